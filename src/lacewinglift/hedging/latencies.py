"""Latencies of a service over the fleet, from which the delay of a hedge follows.

Load: a service whose latencies change with its load. The quantile covers the last half
minute to minute, so that the delay follows a slowdown of the whole service instead of
hedging each of its requests.
"""

from attrs import define, field
from hdrh.histogram import HdrHistogram

from lacewinglift.timers import Timers

# A histogram is in use for this long, and counts for as long again afterwards.
HISTOGRAM_PERIOD_S = 30.0
MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGITS = 2
# Below this number of latencies, a high quantile says little.
MIN_SAMPLES = 40
# A report of another instance is used for this long.
REPORT_MAX_AGE_S = 60.0


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


@define(eq=False)
class LatencyWindow:
    """Latencies that this instance has seen in the last `HISTOGRAM_PERIOD_S` or two."""

    timers: Timers
    current: HdrHistogram = field(factory=_new_histogram)
    previous: HdrHistogram = field(factory=_new_histogram)
    started_at_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.started_at_s = self.timers.now()

    def record(self, latency_s: float) -> None:
        """Add a latency."""
        self._rotate()
        self.current.record_value(min(max(int(latency_s * 1000), 1), MAX_LATENCY_MS))

    def count(self) -> int:
        """Return the number of latencies."""
        self._rotate()
        return self.current.total_count + self.previous.total_count

    def quantile_s(self, percent: float) -> float:
        """Return a quantile of the latencies; 0 if there are none."""
        self._rotate()
        merged = _new_histogram()
        merged.add(self.previous)
        merged.add(self.current)
        return merged.get_value_at_percentile(percent) / 1000

    def _rotate(self) -> None:
        age_s = self.timers.now() - self.started_at_s
        if age_s < HISTOGRAM_PERIOD_S:
            return
        expired = age_s >= 2 * HISTOGRAM_PERIOD_S
        self.previous = _new_histogram() if expired else self.current
        self.current = _new_histogram()
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
