"""Sum of counts over a sliding window."""

from collections import deque

from attrs import define, field

from lacewinglift.timers import Timers

# Length of the intervals by which a sliding window drops old counts.
WINDOW_RESOLUTION_S = 0.5


@define(eq=False)
class SlidingWindowCounter:
    """Sum of the counts that were added within the last `window_s`."""

    timers: Timers
    window_s: float
    intervals: deque = field(factory=deque)
    running_total: float = 0

    def add(self, count: float) -> None:
        """Add a count at the present time."""
        interval_number = int(self.timers.now() / WINDOW_RESOLUTION_S)
        if self.intervals and self.intervals[-1][0] == interval_number:
            self.intervals[-1][1] += count
        else:
            self.intervals.append([interval_number, count])
        self.running_total += count

    def total(self) -> float:
        """Return the sum over the window."""
        oldest_interval_number = int(
            (self.timers.now() - self.window_s) / WINDOW_RESOLUTION_S
        )
        while self.intervals and self.intervals[0][0] < oldest_interval_number:
            self.running_total -= self.intervals.popleft()[1]
        return self.running_total
