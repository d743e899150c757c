"""Estimate of the rate at which callers send requests to the fleet."""

from attrs import define, field, frozen

from lacewinglift.mesh.sliding_window import SlidingWindowCounter
from lacewinglift.timers import Timers

# Window of the estimate. It is short, so that a rise is followed within seconds, and
# longer than the interval of the heartbeats that report the requests of others.
RATE_WINDOW_S = 2.0
# Shortest time that the requests after a pause are divided by, as heartbeats report
# the requests of up to one second together.
MIN_SPAN_S = 1.0


@frozen
class RateEstimate:
    """Estimated rate of requests."""

    per_s: float
    settled: bool = True
    """Whether requests have been seen for the whole window of the estimate."""


@define(eq=False)
class RequestRate:
    """Rate of requests over the last `RATE_WINDOW_S`.

    After a pause, the requests are divided by the time since the first of them, so
    that the estimate does not take the whole window to rise.
    """

    timers: Timers
    counter: SlidingWindowCounter = field(init=False)
    first_at_s: float | None = None
    """Time of the first request after a pause; None while there are none."""

    def __attrs_post_init__(self) -> None:
        self.counter = SlidingWindowCounter(self.timers, RATE_WINDOW_S)

    def add(self, count: int) -> None:
        """Add requests at the present time."""
        if not count:
            return
        if self.first_at_s is None or not self.counter.total():
            self.first_at_s = self.timers.now()
        self.counter.add(count)

    def estimate(self) -> RateEstimate:
        """Return the requests per second."""
        total = self.counter.total()
        if not total or self.first_at_s is None:
            return RateEstimate(0.0, settled=False)
        elapsed_s = self.timers.now() - self.first_at_s
        span_s = min(max(elapsed_s, MIN_SPAN_S), RATE_WINDOW_S)
        return RateEstimate(total / span_s, settled=elapsed_s >= RATE_WINDOW_S)
