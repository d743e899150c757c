"""Late requests of a service and of its data centres.

Load: a service or a data centre in which all targets are slow for the same reason. A
hedge there adds load and answers no sooner.
"""

from attrs import define, field

from lacewinglift.mesh.sliding_window import SlidingWindowCounter
from lacewinglift.timers import Timers

WINDOW_S = 10.0
# Part of the requests that are late in a slowdown. A quantile of 90% or more lets a
# tenth be late; a single slow target among five makes a fifth of them late.
SLOW_FRACTION = 0.3
# Late requests below which a fraction of them says little.
MIN_LATE = 4


@define(eq=False)
class _LateCounts:
    timers: Timers
    requests: SlidingWindowCounter = field(init=False)
    late: SlidingWindowCounter = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.requests = SlidingWindowCounter(self.timers, WINDOW_S)
        self.late = SlidingWindowCounter(self.timers, WINDOW_S)

    def is_slow(self) -> bool:
        late = self.late.total()
        return late >= MIN_LATE and late >= SLOW_FRACTION * self.requests.total()


@define(eq=False)
class LateRequests:
    """Counts the requests of a service that are late, by data centre."""

    timers: Timers
    by_data_centre: dict[str, _LateCounts] = field(factory=dict)

    def record_request(self, data_centre: str) -> None:
        """Count a request that was sent to a data centre."""
        self._counts(data_centre).requests.add(1)

    def record_late(self, data_centre: str) -> None:
        """Count a request whose response has not begun within the delay."""
        self._counts(data_centre).late.add(1)

    def slow_data_centres(self) -> set[str]:
        """Return the data centres in which many requests are late."""
        return {name for name, each in self.by_data_centre.items() if each.is_slow()}

    def is_service_slow(self) -> bool:
        """Return whether all data centres with requests are slow."""
        used = {n for n, each in self.by_data_centre.items() if each.requests.total()}
        return bool(used) and used <= self.slow_data_centres()

    def _counts(self, data_centre: str) -> _LateCounts:
        counts = self.by_data_centre.get(data_centre)
        if counts is None:
            counts = self.by_data_centre[data_centre] = _LateCounts(self.timers)
        return counts
