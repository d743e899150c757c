"""Record of the resends of a fleet, for the processes that start after it.

Load: all instances restart together while requests fail, so that nobody remembers what
was used of the retry budget. An observer writes the record to the store while some of
the slack is in use. It is some seconds older than the restart: what the fleet may have
resent since counts as resent right before the start.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define, frozen
from google.protobuf.message import DecodeError

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_warning
from lacewinglift.mesh.sliding_window import (
    WINDOW_RESOLUTION_S,
    SlidingWindowCounter,
)
from lacewinglift.timers import Timers

# Each write costs the store two calls. What is resent between two writes is covered by
# the limit of the window, not by the record.
WRITE_INTERVAL_S = 2.0


@frozen
class _Interval:
    ended_at_s: float
    resends: float
    requests: float


@define(eq=False)
class EarlierResends:
    """Resends and requests of a service before the start of this process."""

    intervals: list[_Interval]

    @classmethod
    def from_message(
        cls,
        message: beats_pb2.ServiceResends,
        now_s: float,
        window_s: float,
        limit_of: Callable[[float], float],
    ) -> "EarlierResends":
        """Return what a record says, and what may have been resent since.

        Parameters
        ----------
        message : ServiceResends
            The record of the service.
        now_s : float
            Present time. The record counts as written now, since its age is unknown.
        window_s : float
            Length of a window.
        limit_of : callable
            Returns the resends that the fleet allows itself in a window, given its
            requests in the window.
        """
        intervals = [
            _Interval(now_s - each.age_ms / 1000, each.resends, each.requests)
            for each in message.intervals
        ]
        if not message.complete:
            # In the window that ends now, all before the first write interval counts.
            oldest_s = now_s - window_s + WRITE_INTERVAL_S
            known = sum(e.resends for e in intervals if e.ended_at_s >= oldest_s)
            unknown = limit_of(sum(each.requests for each in intervals)) - known
            intervals.append(_Interval(now_s, max(unknown, 0.0), 0.0))
        return cls(intervals)

    def resends_since(self, oldest_s: float) -> float:
        """Return the resends since a point in time."""
        return sum(e.resends for e in self.intervals if e.ended_at_s >= oldest_s)

    def requests_since(self, oldest_s: float) -> float:
        """Return the requests since a point in time."""
        return sum(e.requests for e in self.intervals if e.ended_at_s >= oldest_s)

    def messages(
        self, now_s: float, oldest_s: float
    ) -> Iterable[beats_pb2.ResendInterval]:
        """Return the intervals since a point in time."""
        return (
            _interval_message(now_s - e.ended_at_s, e.resends, e.requests)
            for e in self.intervals
            if e.ended_at_s >= oldest_s
        )


def _interval_message(
    age_s: float, resends: float, requests: float
) -> beats_pb2.ResendInterval:
    return beats_pb2.ResendInterval(
        age_ms=max(int(age_s * 1000), 0), resends=resends, requests=requests
    )


def counted_intervals(
    now_s: float, resends: SlidingWindowCounter, requests: SlidingWindowCounter
) -> list[beats_pb2.ResendInterval]:
    """Return what was counted in the window, by intervals."""
    # Intervals that the window has passed are dropped when the sum is read.
    resends.total(), requests.total()
    requested = dict(requests.intervals)
    resent = dict(resends.intervals)
    return [
        _interval_message(
            now_s - (number + 1) * WINDOW_RESOLUTION_S,
            resent.get(number, 0),
            requested.get(number, 0),
        )
        for number in sorted(requested.keys() | resent.keys())
    ]


class RecordedBudgets(Protocol):
    """The retry budgets, as far as they are recorded."""

    def build_record(self) -> beats_pb2.ResendRecord | None:
        """Return the record; None while nothing of the slack is in use."""
        ...

    def adopt_record(self, record: beats_pb2.ResendRecord) -> None:
        """Apply what the fleet resent before this process and most others started."""
        ...

    def is_slack_use_known(self) -> bool:
        """Return whether at least half of the fleet has counted for a whole window."""
        ...


@define(eq=False)
class ResendRecordKeeper:
    """Decides when an observer reads and writes the record."""

    timers: Timers
    budgets: RecordedBudgets
    lease_s: float
    """Time after which a record is of no use: the window of the budgets."""
    has_read: bool = False
    written_at_s: float = float("-inf")

    def must_read(self) -> bool:
        """Return whether the record in the store may say what nobody remembers."""
        return not self.has_read and not self.budgets.is_slack_use_known()

    def apply(self, value: bytes) -> None:
        """Apply a record that was read; one that cannot be read is left out."""
        try:
            record = beats_pb2.ResendRecord.FromString(value)
        except DecodeError as error:
            log_warning("resend_record_unreadable", reason=error)
            return
        self.budgets.adopt_record(record)

    def due(self) -> bytes | None:
        """Return the record if it is to be written now."""
        now = self.timers.now()
        if now - self.written_at_s < WRITE_INTERVAL_S:
            return None
        record = self.budgets.build_record()
        if record is None:
            return None
        self.written_at_s = now
        return record.SerializeToString()
