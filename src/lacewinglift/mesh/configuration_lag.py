"""Measures for how long an instance has known of a configuration that it lacks."""

from collections.abc import Callable

from attrs import define

from lacewinglift.logs import log_warning
from lacewinglift.timers import Timers

# A newer configuration normally follows within a few tenths of a second of the
# heartbeat that reports it.
REPORTED_LAG_S = 1.0


@define(eq=False)
class ConfigurationLag:
    """Compares the generation in force with the newest one heard of.

    Attributes
    ----------
    timers : Timers
        Clock.
    generation : callable
        Returns the generation in force at this instance.
    """

    timers: Timers
    generation: Callable[[], int]
    newest: int = 0
    """Newest generation that another instance has reported."""
    since_s: float | None = None
    """Time since which a newer generation has been known of."""
    reported: bool = False

    def record(self, generation: int) -> None:
        """Record the generation that another instance has in force."""
        self.newest = max(self.newest, generation)
        if self.newest <= self.generation():
            self.since_s = None
            self.reported = False
        elif self.since_s is None:
            self.since_s = self.timers.now()

    def lag_s(self) -> float:
        """Return the time for which a newer generation has been known of."""
        if self.since_s is None or self.newest <= self.generation():
            return 0.0
        return self.timers.now() - self.since_s

    def report(self, failed_fetches: int, reachable: int) -> None:
        """Log once that this instance stays behind.

        Parameters
        ----------
        failed_fetches : int
            Number of fetches of a snapshot that have failed since the start.
        reachable : int
            Number of other instances that are heard.
        """
        lag_s = self.lag_s()
        if self.reported or lag_s < REPORTED_LAG_S:
            return
        self.reported = True
        log_warning(
            "configuration_behind",
            generation=self.generation(),
            newest=self.newest,
            lag_s=lag_s,
            failed_fetches=failed_fetches,
            reachable=reachable,
        )
