from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.mesh.sliding_window import SlidingWindowCounter
from lacewinglift.timers import ManualTimers


def test_sliding_window_counter_drops_counts_older_than_its_window():
    """Guards against a budget that grows with all requests since the start."""
    timers = ManualTimers()
    count = SlidingWindowCounter(timers, window_s=10.0)
    count.add(5)
    timers.advance(6.0)
    count.add(2)
    assert_that(count.total(), Equals(7))
    timers.advance(5.1)
    assert_that(count.total(), Equals(2))
