"""Requests that wait at an instance until a target may take them.

Load: more requests than the slots of a service, for a shorter time than the objective
of some of them. A waiting request occupies a worker thread and up to 64 KB of body, so
their number is bounded.
"""

import itertools
import threading
from bisect import insort
from collections.abc import Callable
from typing import Generic, TypeVar

from attrs import define, field

from lacewinglift.overload.demands import Demand

Grant = TypeVar("Grant")


@define(eq=False)
class Waiter(Generic[Grant]):
    """A waiting request; it ends with a grant or with a reason to refuse it."""

    demand: Demand
    rank: int
    since_s: float
    latest_start_s: float
    """Time after which a target could not respond within the objective."""
    needs: str
    """What it waits for; requests that wait for the same are granted in order."""
    try_grant: Callable[[], Grant | None]
    number: int = 0
    grant: Grant | None = None
    end_reason: str | None = None
    wake: threading.Event = field(factory=threading.Event)

    def order(self) -> tuple[int, float, int]:
        """Return the sort key: by urgency, then by deadline."""
        return self.rank, self.latest_start_s, self.number

    def is_pending(self) -> bool:
        """Return whether the request still waits."""
        return self.end_reason is None


@define(eq=False)
class WaitSpace:
    """Number of requests that wait at this instance, over all services."""

    capacity: int
    used: int = 0


@define(eq=False)
class WaitQueue:
    """Waiting requests of one service; the caller holds a lock."""

    space: WaitSpace
    waiters: list[Waiter] = field(factory=list)
    numbers: "itertools.count[int]" = field(factory=itertools.count)

    def count_ahead(self, rank: int, latest_start_s: float, needs: str) -> int:
        """Return how many requests would be granted before a new one."""
        return sum(
            each.needs == needs
            and (each.rank, each.latest_start_s) <= (rank, latest_start_s)
            for each in self.waiters
        )

    def blocks(self, rank: int) -> bool:
        """Return whether a request as urgent or more urgent waits for a target."""
        return any(
            each.rank <= rank and each.needs == "target" for each in self.waiters
        )

    def add(self, waiter: Waiter) -> bool:
        """Add a request; return False if there is no space for it.

        The last of the less urgent requests gives way to it.
        """
        if self.space.used >= self.space.capacity:
            if not self.waiters or self.waiters[-1].rank <= waiter.rank:
                return False
            self.end(self.waiters[-1], "displaced")
        waiter.number = next(self.numbers)
        insort(self.waiters, waiter, key=Waiter.order)
        self.space.used += 1
        return True

    def end(self, waiter: Waiter, reason: str) -> None:
        """End the wait of a request; later calls have no effect."""
        if waiter.end_reason is not None:
            return
        waiter.end_reason = reason
        self.waiters.remove(waiter)
        self.space.used -= 1
        waiter.wake.set()

    def grant_ready(self, now_s: float) -> None:
        """Grant requests in order while there is room; end those that are too late.

        Behind a request that gets nothing, none gets the same: it is as urgent at most.
        """
        refused: set[str] = set()
        for waiter in list(self.waiters):
            if now_s > waiter.latest_start_s:
                self.end(waiter, "too_late")
            elif waiter.needs not in refused:
                waiter.grant = waiter.try_grant()
                if waiter.grant is None:
                    refused.add(waiter.needs)
                else:
                    self.end(waiter, "granted")

    def wake_first(self) -> None:
        """Let the first waiting request look for room."""
        if self.waiters:
            self.waiters[0].wake.set()
