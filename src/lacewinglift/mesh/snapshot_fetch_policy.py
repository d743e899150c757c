"""Decides when to fetch a snapshot from another instance."""

from collections.abc import Callable

from attrs import Factory, define, field

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.evacuations import Evacuations
from lacewinglift.mesh.registry import TargetRegistry
from lacewinglift.timers import Timers

# All instances that watch the store receive a change within a few tenths of a second
# of each other. If one is later, its watch has stalled, which the watch call itself
# detects only seconds later, by its timeout.
MAX_WATCH_LAG_S = 0.4


@define(eq=False)
class SnapshotFetchPolicy:
    """Compares the configuration and targets of this instance with those of others.

    Attributes
    ----------
    timers : Timers
        Clock.
    registry : TargetRegistry
        Targets known to this instance.
    generation : callable
        Returns the generation of the configuration in force at this instance.
    has_working_watch : callable
        Returns whether this instance receives changes from the store itself.
    """

    timers: Timers
    registry: TargetRegistry
    generation: Callable[[], int]
    has_working_watch: Callable[[], bool]
    evacuations: Evacuations = field(
        default=Factory(lambda self: Evacuations(self.timers), takes_self=True)
    )
    """Data centres that the operator evacuates, as known to this instance."""
    behind_since_s: float | None = None
    """Time since which another instance has had newer targets."""

    def should_fetch(self, heartbeat: beats_pb2.Beat) -> bool:
        """Return whether the sender of a heartbeat has newer state to fetch."""
        newer_targets = self._should_fetch_targets(heartbeat)
        newer_evacuations = self.evacuations.compare(heartbeat)
        newer_version = heartbeat.configuration_version > self.generation()
        return newer_targets or newer_evacuations or newer_version

    def has_newer_state(self, heartbeat: beats_pb2.Beat) -> bool:
        """Return whether the sender of a heartbeat has a newer version or targets."""
        newer_targets = (
            self._is_not_older(heartbeat)
            and heartbeat.registry_digest != self.registry.digest
        )
        newer_evacuations = self.evacuations.is_older_than(heartbeat)
        newer_version = heartbeat.configuration_version > self.generation()
        return newer_targets or newer_evacuations or newer_version

    def _should_fetch_targets(self, heartbeat: beats_pb2.Beat) -> bool:
        """Return whether to fetch targets; confirm the own ones if they are equal."""
        registry = self.registry
        if not self._is_not_older(heartbeat):
            return False
        if heartbeat.registry_digest == registry.digest:
            registry.confirm_position(heartbeat.registry_revision, heartbeat.store_era)
            self.behind_since_s = None
            return False
        if not self.has_working_watch() or not registry.ready:
            return True
        return self._is_watch_late()

    def _is_not_older(self, heartbeat: beats_pb2.Beat) -> bool:
        """Return whether the sender has targets, and not of an earlier position."""
        revision = heartbeat.registry_revision
        position = self.registry.position_of(revision, heartbeat.store_era)
        return revision > 0 and position >= self.registry.position()

    def _is_watch_late(self) -> bool:
        now = self.timers.now()
        if (
            self.behind_since_s is None
            or self.behind_since_s < self.registry.last_changed_at_s
        ):
            self.behind_since_s = now
        return now - self.behind_since_s >= MAX_WATCH_LAG_S
