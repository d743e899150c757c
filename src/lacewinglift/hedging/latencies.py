"""Latencies of a service over the fleet, from which the delay of a hedge follows.

Load: a service whose latencies change with its load. The quantile covers the last half
minute to minute, so that the delay follows a slowdown of the whole service instead of
hedging each of its requests.
"""

from attrs import define, field
from ddsketch import DDSketch

from lacewinglift.timers import Timers

# A sketch is in use for this long, and counts for as long again afterwards.
SKETCH_PERIOD_S = 30.0
MAX_LATENCY_S = 60.0
RELATIVE_ACCURACY = 0.01
# Below this number of latencies, a high quantile says little.
MIN_SAMPLES = 40
# A report of another instance is used for this long.
REPORT_MAX_AGE_S = 60.0


def _new_sketch() -> DDSketch:
    return DDSketch(RELATIVE_ACCURACY)


@define(eq=False)
class LatencyWindow:
    """Latencies that this instance has seen in the last `SKETCH_PERIOD_S` or two."""

    timers: Timers
    current: DDSketch = field(factory=_new_sketch)
    previous: DDSketch = field(factory=_new_sketch)
    started_at_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.started_at_s = self.timers.now()

    def record(self, latency_s: float) -> None:
        """Add a latency."""
        self._rotate()
        self.current.add(min(latency_s, MAX_LATENCY_S))

    def count(self) -> int:
        """Return the number of latencies."""
        self._rotate()
        return int(self.current.count + self.previous.count)

    def quantile_s(self, percent: float) -> float:
        """Return a quantile of the latencies; 0 if there are none."""
        self._rotate()
        merged = _new_sketch()
        merged.merge(self.previous)
        merged.merge(self.current)
        return merged.get_quantile_value(percent / 100) or 0.0

    def _rotate(self) -> None:
        age_s = self.timers.now() - self.started_at_s
        if age_s < SKETCH_PERIOD_S:
            return
        expired = age_s >= 2 * SKETCH_PERIOD_S
        self.previous = _new_sketch() if expired else self.current
        self.current = _new_sketch()
        self.started_at_s = self.timers.now()


@define
class LatencyReport:
    """Quantile of the latencies that one instance has seen."""

    quantile_s: float
    samples: int
    received_at_s: float


@define(eq=False)
class ServiceLatencies:
    """Latencies of a service at this instance, and what the others report."""

    timers: Timers
    own: LatencyWindow = field(init=False)
    reports: dict[str, LatencyReport] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.own = LatencyWindow(self.timers)

    def quantile_s(self, percent: float) -> float | None:
        """Return the quantile over the fleet; None if too few latencies are known.

        It is the median of the quantiles of the instances, weighted by their
        latencies: one instance with a slow network path does not move it.
        """
        oldest_s = self.timers.now() - REPORT_MAX_AGE_S
        for instance, report in list(self.reports.items()):
            if report.received_at_s < oldest_s:
                del self.reports[instance]
        known = [(each.quantile_s, each.samples) for each in self.reports.values()]
        if count := self.own.count():
            known.append((self.own.quantile_s(percent), count))
        total = sum(samples for _, samples in known)
        if total < MIN_SAMPLES:
            return None
        below = 0
        for quantile_s, samples in sorted(known):
            below += samples
            if 2 * below >= total:
                return quantile_s
        return None
