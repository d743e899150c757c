"""When to fetch what another instance knows better."""

from collections.abc import Callable

from attrs import define

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.registry import TargetRegistry
from lacewinglift.timers import Timers

# An instance that watches the store hears of a change within a few tenths of a second
# of the others. Later than that its watch has gone silent, which the watch itself
# notices only seconds later.
MAX_WATCH_LAG_S = 0.4


@define(eq=False)
class SnapshotFetchPolicy:
    """Compares this instance's configuration and targets with those of others.

    Attributes
    ----------
    timers : Timers
        Clock.
    registry : TargetRegistry
        Targets as this instance knows them.
    generation : callable
        Returns the generation of the configuration in force here.
    has_working_watch : callable
        Tells whether the store tells this instance of changes itself.
    """

    timers: Timers
    registry: TargetRegistry
    generation: Callable[[], int]
    has_working_watch: Callable[[], bool]
    behind_since_s: float | None = None
    """Time since which another instance has known of newer targets."""

    def should_fetch(self, heartbeat: beats_pb2.Beat) -> bool:
        """Return whether the sender of a datagram has something to fetch."""
        newer_targets = self._has_newer_targets(heartbeat)
        return newer_targets or heartbeat.configuration_version > self.generation()

    def _has_newer_targets(self, heartbeat: beats_pb2.Beat) -> bool:
        registry = self.registry
        if (
            heartbeat.registry_revision < registry.revision
            or not heartbeat.registry_revision
        ):
            return False
        if heartbeat.registry_digest == registry.digest:
            registry.confirm_revision(heartbeat.registry_revision)
            self.behind_since_s = None
            return False
        if not self.has_working_watch() or not registry.ready:
            return True
        return self._is_watch_late()

    def _is_watch_late(self) -> bool:
        now = self.timers.now()
        if (
            self.behind_since_s is None
            or self.behind_since_s < self.registry.last_changed_s
        ):
            self.behind_since_s = now
        return now - self.behind_since_s >= MAX_WATCH_LAG_S
