"""Fleet-wide limits from counts that all instances send each other.

Each instance keeps the same token bucket. It is charged for the instance's own use at
once and for that of other instances when their heartbeats arrive. Requests that several
instances admit at the same time can overdraw it; this debt is repaid before the bucket
admits again.
"""

import threading
from collections.abc import Callable, Mapping

from attrs import define, evolve, field, frozen

from lacewinglift.admission import OVER_LIMIT, Decision
from lacewinglift.configuration import Configuration, Workspace
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.request_rate import RateEstimate, RequestRate
from lacewinglift.mesh.sliding_window import SlidingWindowCounter
from lacewinglift.timers import Timers

# Fraction of the retry slack that is used. The rest covers resends that instances make
# before they receive each other's counts.
USABLE_SLACK_FRACTION = 0.6
# Window of the request rate of this instance alone.
RECENT_REQUESTS_S = 3.0
# A count is repeated in heartbeats for this long, since datagrams can be lost.
COUNT_REPEAT_S = 2.0
# Longest wait for a token. A refusal costs the caller more than this wait. A workspace
# far beyond its rate needs to wait longer and is refused at once.
MAX_TOKEN_WAIT_S = 0.25
# Minimum burst, in seconds of the rate, since requests do not arrive evenly spaced.
MIN_BURST_S = 0.25
# Maximum debt of a bucket, in seconds of its rate.
MAX_DEBT_S = 5.0


@define(eq=False)
class _PeerCounts:
    """Last counts that one incarnation of another instance reported, by name."""

    incarnation: int
    has_baseline: bool = False
    """Whether a heartbeat with all counts above zero was received."""
    counts: dict[str, int] = field(factory=dict)

    def update(self, name: str, count: int) -> int:
        """Store a reported count and return its increase since the last report."""
        # The first heartbeat that is processed reports all counts above zero, so a name
        # that appears only later started at zero.
        before = self.counts.get(name, 0 if self.has_baseline else count)
        self.counts[name] = count
        return max(count - before, 0)


@define(eq=False)
class PeerCounters:
    """Last cumulative counts of other instances, to derive increases from."""

    peers: dict[str, _PeerCounts] = field(factory=dict)

    def counts_of(self, heartbeat: beats_pb2.Beat) -> _PeerCounts:
        """Return the last counts of the sender of a heartbeat."""
        known = self.peers.get(heartbeat.instance)
        if known is None or known.incarnation != heartbeat.incarnation:
            known = self.peers[heartbeat.instance] = _PeerCounts(heartbeat.incarnation)
            return known
        known.has_baseline = True
        return known


@define(eq=False)
class _Bucket:
    rate_per_s: float
    burst: float
    level: float
    refilled_at_s: float
    admitted: int = 0
    last_admitted_at_s: float = float("-inf")
    """Last time at which this instance admitted a request."""

    def refill(self, now_s: float, fraction: float) -> None:
        increase = (now_s - self.refilled_at_s) * self.rate_per_s * fraction
        self.refilled_at_s = now_s
        self.level = min(self.level + increase, self.burst)

    def log_fields(self, fraction: float) -> dict[str, object]:
        return {
            "tokens": self.level,
            "rate_per_s": self.rate_per_s,
            "heard_part": fraction,
        }

    def charge(self, tokens: int) -> None:
        self.level = max(self.level - tokens, -MAX_DEBT_S * self.rate_per_s)


class FleetQuota:
    """Admits requests of workspaces within their rate over all instances.

    Parameters
    ----------
    timers : Timers
        Clock.
    reachable_fraction : callable
        Returns the fraction of the fleet that is reachable. Only this fraction of a
        rate is granted, so that both sides of a network partition together stay within
        the rate.
    """

    def __init__(self, timers: Timers, reachable_fraction: Callable[[], float]) -> None:
        self.timers = timers
        self.reachable_fraction = reachable_fraction
        self.buckets: dict[str, _Bucket] = {}
        self.peer_counters = PeerCounters()
        self._lock = threading.Lock()

    def apply(self, configuration: Configuration) -> None:
        """Apply the rates of a configuration; bucket levels are kept."""
        now = self.timers.now()
        with self._lock:
            before = self.buckets
            self.buckets = {}
            for workspace in configuration.workspaces.values():
                if workspace.rate_per_s > 0:
                    known = before.get(workspace.name)
                    self.buckets[workspace.name] = _resize_or_create_bucket(
                        known, workspace, now
                    )

    def admit(self, workspace: Workspace) -> Decision:
        """Decide on one more request, and count it if it is admitted."""
        fraction = self.reachable_fraction()
        with self._lock:
            bucket = self.buckets.get(workspace.name)
            if bucket is None:
                return Decision(True)
            bucket.refill(self.timers.now(), fraction)
            wait_s = max(1.0 - bucket.level, 0.0) / (bucket.rate_per_s * fraction)
            log_fields = bucket.log_fields(fraction)
            if wait_s > MAX_TOKEN_WAIT_S:
                later_s = wait_s - MAX_TOKEN_WAIT_S / 2
                return Decision(False, OVER_LIMIT, later_s, log_fields=log_fields)
            bucket.level -= 1.0
            bucket.admitted += 1
            bucket.last_admitted_at_s = bucket.refilled_at_s
            return Decision(True, wait_s=wait_s, log_fields=log_fields)

    def record_peer_usage(self, heartbeat: beats_pb2.Beat) -> None:
        """Charge the requests that another instance has admitted."""
        with self._lock:
            counts = self.peer_counters.counts_of(heartbeat)
            for usage in heartbeat.usages:
                increase = counts.update(usage.workspace, usage.admitted)
                bucket = self.buckets.get(usage.workspace)
                if bucket is not None and increase:
                    bucket.refill(self.timers.now(), 1.0)
                    bucket.charge(increase)

    def levels(self) -> dict[str, float]:
        """Return the tokens in the bucket of each workspace."""
        fraction = self.reachable_fraction()
        now = self.timers.now()
        with self._lock:
            for bucket in self.buckets.values():
                bucket.refill(now, fraction)
            return {name: bucket.level for name, bucket in self.buckets.items()}

    def usages(self, full: bool) -> list[beats_pb2.Usage]:
        """Return all counts, or the recently increased ones, to send to others."""
        since_s = self.timers.now() - COUNT_REPEAT_S
        with self._lock:
            return [
                beats_pb2.Usage(workspace=name, admitted=bucket.admitted)
                for name, bucket in self.buckets.items()
                if bucket.last_admitted_at_s >= since_s or (full and bucket.admitted)
            ]


def _resize_or_create_bucket(
    known: _Bucket | None, workspace: Workspace, now_s: float
) -> _Bucket:
    min_burst = max(MIN_BURST_S * workspace.rate_per_s, 1.0)
    burst = max(float(workspace.burst), min_burst)
    if known is None:
        # After a restart of the fleet, earlier use is unknown, so the bucket does not
        # start with the whole burst.
        return _Bucket(workspace.rate_per_s, burst, min_burst, now_s)
    level = min(known.level, burst)
    return evolve(known, rate_per_s=workspace.rate_per_s, burst=burst, level=level)


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
