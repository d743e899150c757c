"""Retry budgets of services, shared by all instances of a fleet."""

import threading
from collections.abc import Callable, Mapping

from attrs import frozen

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.peer_counters import COUNT_REPEAT_S, PeerCounters
from lacewinglift.mesh.request_rate import RateEstimate, RequestRate
from lacewinglift.mesh.sliding_window import SlidingWindowCounter
from lacewinglift.timers import Timers

# Fraction of the retry slack that is used. The rest covers resends that instances make
# before they receive each other's counts.
USABLE_SLACK_FRACTION = 0.6
# Window of the request rate of this instance alone.
RECENT_REQUESTS_S = 3.0


@frozen
class RetryLimits:
    """Limit of the resends of a service by the fleet in any window.

    It is `per_request` for each request in the window, plus `slack`.
    """

    per_request: float
    window_s: float
    slack: float


class ServiceRetryBudget:
    """Retry budget of one service, shared by the fleet."""

    def __init__(self, budgets: "FleetRetryBudgets") -> None:
        self.budgets = budgets
        window_s = budgets.limits.window_s
        self.requests = SlidingWindowCounter(budgets.timers, window_s)
        self.resends = SlidingWindowCounter(budgets.timers, window_s)
        self.own_requests = 0
        self.own_resends = 0
        self.last_request_at_s = float("-inf")

    def record_request(self) -> None:
        """Count a first attempt."""
        with self.budgets.lock:
            self.own_requests += 1
            self.budgets.recent_own_requests.add(1)
            self.budgets.recent_rate.add(1)
            self.requests.add(1)
            self.last_request_at_s = self.budgets.timers.now()

    def try_acquire(self) -> bool:
        """Return whether one more request may be resent now, and count it."""
        with self.budgets.lock:
            if self.remaining() < 1:
                return False
            self.own_resends += 1
            self.resends.add(1)
            return True

    def remaining(self) -> float:
        """Return how many requests may be resent now."""
        limits = self.budgets.limits
        slack = limits.slack * USABLE_SLACK_FRACTION * self.budgets.reachable_fraction()
        with self.budgets.lock:
            allowed = limits.per_request * self.requests.total() + slack
            return allowed - self.resends.total()

    def log_fields(self) -> Mapping[str, object]:
        """Return the state of the budget, as fields of a log line."""
        with self.budgets.lock:
            return {
                "budget_left": self.remaining(),
                "fleet_requests": self.requests.total(),
                "fleet_resends": self.resends.total(),
                "own_resends": self.own_resends,
                "heard_part": self.budgets.reachable_fraction(),
            }


class FleetRetryBudgets:
    """Retry budgets of all services, counted over all instances.

    Parameters
    ----------
    timers : Timers
        Clock.
    limits : RetryLimits
        Limits of each service.
    reachable_fraction : callable
        Returns the fraction of the fleet that is reachable.
    """

    def __init__(
        self,
        timers: Timers,
        limits: RetryLimits,
        reachable_fraction: Callable[[], float],
    ) -> None:
        self.timers = timers
        self.limits = limits
        self.reachable_fraction = reachable_fraction
        self.budgets: dict[str, ServiceRetryBudget] = {}
        self.peer_counters = PeerCounters()
        self.recent_own_requests = SlidingWindowCounter(timers, RECENT_REQUESTS_S)
        self.recent_rate = RequestRate(timers)
        self.lock = threading.RLock()

    def budget_for(self, service: str) -> ServiceRetryBudget:
        """Return the budget of a service."""
        with self.lock:
            budget = self.budgets.get(service)
            if budget is None:
                budget = self.budgets[service] = ServiceRetryBudget(self)
            return budget

    def record_peer_resends(self, heartbeat: beats_pb2.Beat) -> None:
        """Count the requests and resends of another instance."""
        with self.lock:
            counts = self.peer_counters.counts_of(heartbeat)
            for count in heartbeat.resends:
                budget = self.budget_for(count.service)
                requests = counts.update(f"{count.service} requests", count.requests)
                resends = counts.update(f"{count.service} resends", count.resends)
                budget.requests.add(requests)
                budget.resends.add(resends)
                self.recent_rate.add(requests)

    def resend_counts(self, full: bool) -> list[beats_pb2.ResendCount]:
        """Return all counts, or the recently increased ones, to send to others."""
        since_s = self.timers.now() - COUNT_REPEAT_S
        with self.lock:
            return [
                beats_pb2.ResendCount(
                    service=name,
                    requests=budget.own_requests,
                    resends=budget.own_resends,
                )
                for name, budget in self.budgets.items()
                if full or budget.last_request_at_s >= since_s
            ]

    def remaining(self) -> dict[str, float]:
        """Return how many requests of each service may be resent now."""
        with self.lock:
            return {name: budget.remaining() for name, budget in self.budgets.items()}

    def own_request_rate_per_s(self) -> float:
        """Return the recent rate of first attempts of this instance."""
        with self.lock:
            return self.recent_own_requests.total() / RECENT_REQUESTS_S

    def request_rate(self) -> RateEstimate:
        """Return the rate of first attempts of the whole fleet.

        It follows a rise within a second or two, and a fall only over the window.
        """
        with self.lock:
            total = sum(budget.requests.total() for budget in self.budgets.values())
            recent = self.recent_rate.estimate()
            long_term_per_s = total / self.limits.window_s
            return RateEstimate(max(long_term_per_s, recent.per_s), recent.settled)
