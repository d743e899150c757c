"""Decisions on the requests of one service: send now, wait, or refuse.

Load: the requests of a service exceed its capacity for seconds, because demand rises or
because targets fail, shed requests or leave. The less urgent requests are held or
refused first, and targets keep their queues free for the urgent ones.
"""

from collections import Counter
from collections.abc import Callable, Collection

from attrs import define, field, frozen

from lacewinglift.mesh.retry_budgets import ServiceRetryBudget
from lacewinglift.mesh.sliding_window import SlidingWindowCounter
from lacewinglift.mesh.target_state import LoadLimit
from lacewinglift.mesh.target_table import MeshAttempt, MeshTargetTable
from lacewinglift.overload.capacity import Capacity, ResponseTimes
from lacewinglift.overload.demands import Demand
from lacewinglift.overload.priorities import REPORTING_FRACTION_MIN, PriorityLevels
from lacewinglift.overload.return_times import ReturnTimes
from lacewinglift.overload.served_shares import ServedShares
from lacewinglift.overload.slot_budget import FREE_FRACTION, SlotBudget
from lacewinglift.overload.wait_queue import Waiter, WaitQueue, WaitSpace

# Window of the request rates of this instance: long enough for a few requests of an
# instance with 3 a second, short enough to follow a burst.
RATE_WINDOW_S = 2.0
# Longest wait, whatever the objective: a waiting request occupies a worker thread.
MAX_WAIT_S = 3.0
# Shortest time between two searches for room that no ended attempt calls for.
SEARCH_INTERVAL_S = 0.02
# Part of the capacity that is shared equally, and not by the requests of each instance.
EQUAL_PART = 0.3
# Time for which a measured capacity is used. Loads change about as often.
CAPACITY_AGE_S = 0.1
# Resends that are kept for each more urgent rank when the retry budget runs low.
RESENDS_KEPT_PER_RANK = 1.0
# Part of the rate of the most urgent requests that the others get at least.
STARVING_SHARE = 0.25


@define
class FleetView:
    """What an instance knows of the fleet; updated a few times a second."""

    instances: int = 1
    """Instances that serve callers, this one included."""
    reporting_fraction: float = 1.0
    """Fraction of the instances whose load is known here."""
    requests_of: Callable[[str], tuple[float, float]] = lambda service: (0.0, 0.0)
    """Returns the recent requests of a service at this instance and at all of them."""

    def own_share(self, service: str) -> float:
        """Return the part of a service's capacity that this instance may use.

        It follows the requests. An instance whose callers have just come has a part of
        an equal share at once.
        """
        own, fleet = self.requests_of(service)
        equal = 1.0 + EQUAL_PART * fleet / self.instances
        share = (own + equal) / (fleet + equal * self.instances)
        return share * min(max(self.reporting_fraction, REPORTING_FRACTION_MIN), 1.0)


@frozen
class Refused:
    """Decision to refuse a request, which has not run."""

    reason: str
    retry_after_s: float
    capacity: Capacity


Decision = MeshAttempt | Waiter | Refused


@define(eq=False)
class ServiceCounts:
    """Numbers of requests by priority, for metrics."""

    waited: Counter[int] = field(factory=Counter)
    waited_s: Counter[int] = field(factory=Counter)
    refused: Counter[int] = field(factory=Counter)


class ServiceControl:
    """Decides on the requests of one service; callers hold the lock of the control.

    Parameters
    ----------
    service : str
        Name of the service.
    levels : PriorityLevels
        Priorities of the routes that lead to the service.
    table : MeshTargetTable
        Targets and their loads.
    fleet : FleetView
        What is known of the fleet.
    space : WaitSpace
        Number of requests that may wait at this instance.
    """

    def __init__(
        self,
        service: str,
        levels: PriorityLevels,
        table: MeshTargetTable,
        fleet: FleetView,
        space: WaitSpace,
    ) -> None:
        self.service = service
        self.levels = levels
        self.table = table
        self.timers = table.timers
        self.fleet = fleet
        self.queue = WaitQueue(space)
        self.shares = ServedShares(self.timers)
        self.returns = ReturnTimes(self.timers, table.random)
        self.responses = ResponseTimes()
        self.counts = ServiceCounts()
        self.starts = SlidingWindowCounter(self.timers, RATE_WINDOW_S)
        self.arrivals: dict[int, SlidingWindowCounter] = {}
        self.next_search_s = 0.0
        self.slot_budget = SlotBudget(self.timers)
        self._capacity: Capacity | None = None
        self._capacity_until_s = 0.0

    # ---- decisions ----

    def decide(
        self, demand: Demand, exclude: Collection[str], repeatable: bool
    ) -> Decision:
        """Return the attempt of a request, its wait, or its refusal."""
        early = self.returns.is_early(demand.request_id)
        if not exclude and not self.returns.is_return(demand.request_id):
            self._arrivals(self.rank(demand)).add(1)
            self.shares.record_demand(self._share_keys(demand))
        rank = self._effective_rank(demand, early)
        if not self.queue.blocks(rank):
            attempt = self._take(demand, rank, exclude, repeatable)
            if attempt is not None:
                return attempt
        capacity = self.capacity()
        if early:
            return self._refuse(demand, "early", capacity)
        waiter = Waiter(
            demand,
            rank,
            self.timers.now(),
            self._latest_start_s(demand),
            "target",
            lambda: self._take(demand, rank, exclude, repeatable),
        )
        if self._expected_wait_s(waiter, capacity) <= self._patience_s(waiter):
            if self.queue.add(waiter):
                return waiter
            reason = "waiting_full"
        else:
            reason = "too_late"
        if rank == 0 or not capacity.slots:
            attempt = self._take_any(demand, exclude, repeatable)
            if attempt is not None:
                return attempt
        return self._refuse(demand, reason, capacity)

    def decide_resend(
        self, demand: Demand, budget: ServiceRetryBudget, may_wait: bool
    ) -> bool | Waiter:
        """Return whether a request may be resent now, or its wait for the budget."""
        kept = RESENDS_KEPT_PER_RANK * self.rank(demand)
        if not self._resend_waits(demand) and budget.try_acquire(kept):
            return True
        if not may_wait:
            return False
        waiter = Waiter(
            demand,
            self.rank(demand),
            self.timers.now(),
            self._latest_start_s(demand),
            "resend",
            lambda: budget.try_acquire(kept) or None,
        )
        rate_per_s = budget.gain_per_s()
        ahead = self.queue.count_ahead(waiter.rank, waiter.latest_start_s, "resend")
        if ahead + 1 > rate_per_s * self._patience_s(waiter):
            return False
        return waiter if self.queue.add(waiter) else False

    def refuse(self, demand: Demand, reason: str) -> Refused:
        """Return the refusal of a request that gets neither a target nor a resend."""
        return self._refuse(demand, reason, self.capacity())

    def search(self, urgent: bool = False) -> None:
        """Grant waiting requests what there is room for.

        Parameters
        ----------
        urgent : bool, default=False
            Whether there is room for certain, since an attempt ended here.
        """
        now = self.timers.now()
        if not self.queue.waiters or (now < self.next_search_s and not urgent):
            return
        self.next_search_s = now + SEARCH_INTERVAL_S
        self.queue.grant_ready(now)

    def rank(self, demand: Demand) -> int:
        """Return the rank of a request among those of the service."""
        return self.levels.rank(demand.priority)

    def level(self, demand: Demand) -> int:
        """Return the priority that stands for a request in metrics."""
        return self.levels.levels[self.rank(demand)]

    def _effective_rank(self, demand: Demand, early: bool) -> int:
        if early:
            # It gets only what nobody else wants, or returning early would pay.
            return len(self.levels.levels) - 1
        returned = self.returns.is_return(demand.request_id)
        if not returned and self.shares.is_starving(self._share_keys(demand)):
            return 0
        return self.rank(demand)

    def _resend_waits(self, demand: Demand) -> bool:
        rank = self.rank(demand)
        return any(
            each.needs == "resend" and each.rank <= rank for each in self.queue.waiters
        )

    # ---- targets ----

    def _take(
        self, demand: Demand, rank: int, exclude: Collection[str], repeatable: bool
    ) -> MeshAttempt | None:
        capacity = self.capacity()
        wanted_load = self.levels.wanted_load(capacity.response_s)
        is_free = capacity.load() < FREE_FRACTION * wanted_load
        if not is_free and self.slot_budget.missing(self.levels.urgency(rank)):
            return None
        max_load = self.levels.max_load(rank, self.fleet.reporting_fraction)
        limit = LoadLimit(max_load, eligible_only=True, spread=not is_free)
        attempt = self.table.acquire(self.service, exclude, repeatable, limit)
        return self._record_start(demand, attempt, exclude)

    def _take_any(
        self, demand: Demand, exclude: Collection[str], repeatable: bool
    ) -> MeshAttempt | None:
        """Use also a target that sheds or fails, since there is nothing better."""
        attempt = self.table.acquire(self.service, exclude, repeatable)
        return self._record_start(demand, attempt, exclude)

    def _record_start(
        self, demand: Demand, attempt: MeshAttempt | None, exclude: Collection[str]
    ) -> MeshAttempt | None:
        if attempt is None:
            return None
        attempt.kind = demand.kind()
        self.slot_budget.take(self.responses.unqueued_s(demand.kind()))
        self.starts.add(1)
        if not exclude:
            self.shares.record_served(self._share_keys(demand))
        return attempt

    def record_response(self, attempt: MeshAttempt, latency_s: float) -> None:
        """Learn from the time of a response."""
        self.responses.record(None, latency_s)
        if attempt.kind is not None:
            self.responses.record(attempt.kind, latency_s)

    def capacity(self) -> Capacity:
        """Return the capacity of the service over the whole fleet."""
        now = self.timers.now()
        if self._capacity is None or now >= self._capacity_until_s:
            self._capacity_until_s = now + CAPACITY_AGE_S
            response_s = self.responses.unqueued_s()
            self._capacity = self.table.capacity(
                self.service, response_s, self.fleet.reporting_fraction
            )
            own_slots = self._capacity.slots * self.fleet.own_share(self.service)
            self.slot_budget.set_share(
                own_slots,
                response_s,
                self._capacity.load(),
                self.levels.wanted_load(response_s),
            )
        return self._capacity

    # ---- times ----

    def _latest_start_s(self, demand: Demand) -> float:
        """Return the time after which a target could not respond in time."""
        latest_s = demand.due_s() - self.responses.mean_s(demand.kind())
        return min(latest_s, self.timers.now() + MAX_WAIT_S)

    def _patience_s(self, waiter: Waiter) -> float:
        return waiter.latest_start_s - self.timers.now()

    def _expected_wait_s(self, waiter: Waiter, capacity: Capacity) -> float:
        """Return the time until a request would be sent to a target."""
        if not capacity.slots:
            return capacity.usable_again_s - self.timers.now()
        ahead = self.queue.count_ahead(waiter.rank, waiter.latest_start_s, "target")
        interval_s = self._interval_s(waiter.rank, capacity)
        missing = self.slot_budget.missing(self.levels.urgency(waiter.rank))
        requests = ahead + missing / self.responses.unqueued_s()
        max_load = self.levels.max_load(waiter.rank)
        return max(capacity.time_until_load_s(max_load), requests * interval_s)

    def _interval_s(self, rank: int, capacity: Capacity) -> float:
        """Return the time in which this instance can send one request of a rank.

        The more urgent requests of this instance come first.
        """
        own_per_s = capacity.drain_per_s() * self.fleet.own_share(self.service)
        urgent = sum(self._arrivals(each).total() for each in range(rank))
        left_per_s = own_per_s - urgent / RATE_WINDOW_S
        return 1 / left_per_s if left_per_s > 0 else float("inf")

    def _refuse(self, demand: Demand, reason: str, capacity: Capacity) -> Refused:
        rank = self.rank(demand)
        self.counts.refused[self.level(demand)] += 1
        now = self.timers.now()
        if capacity.slots:
            backlog_s = capacity.time_until_load_s(self.levels.max_load(rank))
        else:
            backlog_s = capacity.usable_again_s - now
        # Where the more urgent requests take all there is, the rank gets its share as
        # soon as it starves.
        interval_s = min(
            self._interval_s(rank, capacity),
            self._interval_s(0, capacity) / STARVING_SHARE,
        )
        ahead = self.queue.count_ahead(rank, float("inf"), "target")
        retry_after_s = self.returns.promise(
            rank,
            backlog_s + (ahead + 1) * interval_s,
            interval_s,
            demand.request_id,
            demand.deadline_s - now,
        )
        return Refused(reason, retry_after_s, capacity)

    def _arrivals(self, rank: int) -> SlidingWindowCounter:
        counter = self.arrivals.get(rank)
        if counter is None:
            counter = SlidingWindowCounter(self.timers, RATE_WINDOW_S)
            self.arrivals[rank] = counter
        return counter

    def _share_keys(self, demand: Demand) -> tuple[object, object]:
        return demand.kind(), ("workspace", demand.workspace)
