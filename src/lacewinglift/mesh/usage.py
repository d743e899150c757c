"""Fleet-wide limits from counts that all instances tell each other.

Each instance keeps the same bucket: its own use is taken at once, that of the others
when their datagrams arrive. What all admit in the time that a datagram takes is
repaid before the bucket admits again.
"""

import threading
from collections import deque
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from lacewinglift.admission import OVER_LIMIT, Decision
from lacewinglift.configuration import Configuration, Workspace
from lacewinglift.generated import beats_pb2
from lacewinglift.timers import Timers

# Width of the steps in which a sliding window forgets, in seconds.
WINDOW_STEP_S = 0.5
# Part of the retry slack that the fleet uses; the rest covers resends that
# instances make before they hear of each other's.
SLACK_PART = 0.6
# Counts are repeated for this long, since datagrams can be lost.
COUNT_REPEAT_S = 2.0
# Longest wait for a token. A refusal costs the caller more than such a wait, and a
# workspace far beyond its rate is still refused at once.
MAX_WAIT_S = 0.25
# Least burst, in seconds of the rate: requests do not come at even distances.
MIN_BURST_S = 0.25
# Longest debt of a bucket, in seconds of its rate.
MAX_DEBT_S = 5.0


@define(eq=False)
class _PeerCounts:
    """Last counts of one incarnation of another instance, by name."""

    incarnation: int
    complete: bool = False
    """Whether all counts above zero were heard once."""
    counts: dict[str, int] = field(factory=dict)

    def gain(self, name: str, count: int) -> int:
        """Return how much a count has grown since it was last heard."""
        # The first datagram that is taken in names all counts.
        before = self.counts.get(name, 0 if self.complete else count)
        self.counts[name] = count
        return max(count - before, 0)


@define(eq=False)
class PeerLedger:
    """Turns cumulative counts of other instances into differences."""

    peers: dict[str, _PeerCounts] = field(factory=dict)

    def of(self, heartbeat: beats_pb2.Beat) -> _PeerCounts:
        """Return the counts of the sender of a datagram."""
        known = self.peers.get(heartbeat.instance)
        if known is None or known.incarnation != heartbeat.incarnation:
            known = self.peers[heartbeat.instance] = _PeerCounts(heartbeat.incarnation)
            return known
        known.complete = True
        return known


@define(eq=False)
class _Bucket:
    rate_per_s: float
    burst: float
    level: float
    filled_at_s: float
    admitted: int = 0
    used_at_s: float = float("-inf")
    """Last time at which this instance admitted a request."""

    def fill(self, now_s: float, part: float) -> None:
        gained = (now_s - self.filled_at_s) * self.rate_per_s * part
        self.filled_at_s = now_s
        self.level = min(self.level + gained, self.burst)

    def basis(self, part: float) -> dict[str, object]:
        return {
            "tokens": self.level,
            "rate_per_s": self.rate_per_s,
            "heard_part": part,
        }

    def charge(self, tokens: int) -> None:
        self.level = max(self.level - tokens, -MAX_DEBT_S * self.rate_per_s)


class FleetQuota:
    """Admits requests of workspaces within their rate over all instances.

    Parameters
    ----------
    timers : Timers
        Clock.
    heard_part : callable
        Returns the part of the fleet that is heard. The same part of a rate may be
        used, so that instances cut off from each other stay within it together.
    """

    def __init__(self, timers: Timers, heard_part: Callable[[], float]) -> None:
        self.timers = timers
        self.heard_part = heard_part
        self.buckets: dict[str, _Bucket] = {}
        self.ledger = PeerLedger()
        self._lock = threading.Lock()

    def apply(self, configuration: Configuration) -> None:
        """Take over the rates of a configuration; levels are kept."""
        now = self.timers.now()
        with self._lock:
            before = self.buckets
            self.buckets = {}
            for workspace in configuration.workspaces.values():
                if workspace.rate_per_s > 0:
                    known = before.get(workspace.name)
                    self.buckets[workspace.name] = _adopt(known, workspace, now)

    def admit(self, workspace: Workspace) -> Decision:
        """Return whether one more request may run, and count it."""
        part = self.heard_part()
        with self._lock:
            bucket = self.buckets.get(workspace.name)
            if bucket is None:
                return Decision(True)
            bucket.fill(self.timers.now(), part)
            wait_s = max(1.0 - bucket.level, 0.0) / (bucket.rate_per_s * part)
            basis = bucket.basis(part)
            if wait_s > MAX_WAIT_S:
                later_s = wait_s - MAX_WAIT_S / 2
                return Decision(False, OVER_LIMIT, later_s, basis=basis)
            bucket.level -= 1.0
            bucket.admitted += 1
            bucket.used_at_s = bucket.filled_at_s
            return Decision(True, wait_s=wait_s, basis=basis)

    def note_peer(self, heartbeat: beats_pb2.Beat) -> None:
        """Charge what another instance has admitted."""
        with self._lock:
            counts = self.ledger.of(heartbeat)
            for usage in heartbeat.usages:
                gained = counts.gain(usage.workspace, usage.admitted)
                bucket = self.buckets.get(usage.workspace)
                if bucket is not None and gained:
                    bucket.fill(self.timers.now(), 1.0)
                    bucket.charge(gained)

    def levels(self) -> dict[str, float]:
        """Return the tokens of each workspace."""
        part = self.heard_part()
        now = self.timers.now()
        with self._lock:
            for bucket in self.buckets.values():
                bucket.fill(now, part)
            return {name: bucket.level for name, bucket in self.buckets.items()}

    def usages(self, full: bool) -> list[beats_pb2.Usage]:
        """Return all counts, or those that have grown lately, for other instances."""
        since_s = self.timers.now() - COUNT_REPEAT_S
        with self._lock:
            return [
                beats_pb2.Usage(workspace=name, admitted=bucket.admitted)
                for name, bucket in self.buckets.items()
                if bucket.used_at_s >= since_s or (full and bucket.admitted)
            ]


def _adopt(known: _Bucket | None, workspace: Workspace, now_s: float) -> _Bucket:
    least = max(MIN_BURST_S * workspace.rate_per_s, 1.0)
    burst = max(float(workspace.burst), least)
    if known is None:
        # A restarted fleet cannot know what was used before: the burst is earned.
        return _Bucket(workspace.rate_per_s, burst, least, now_s)
    level = min(known.level, burst)
    return evolve(known, rate_per_s=workspace.rate_per_s, burst=burst, level=level)


@define(eq=False)
class SlidingCount:
    """Sum of what was added within the last `window_s`."""

    timers: Timers
    window_s: float
    steps: deque = field(factory=deque)
    sum: int = 0

    def add(self, count: int) -> None:
        """Add now."""
        step = int(self.timers.now() / WINDOW_STEP_S)
        if self.steps and self.steps[-1][0] == step:
            self.steps[-1][1] += count
        else:
            self.steps.append([step, count])
        self.sum += count

    def total(self) -> int:
        """Return the sum."""
        oldest = int((self.timers.now() - self.window_s) / WINDOW_STEP_S)
        while self.steps and self.steps[0][0] < oldest:
            self.sum -= self.steps.popleft()[1]
        return self.sum


@frozen
class RetryLimits:
    """How many resends of a service the fleet may make in any window."""

    per_request: float
    window_s: float
    slack: float


class ServiceRetryBudget:
    """Retry budget of one service, shared by the fleet."""

    def __init__(self, budgets: "FleetRetryBudgets") -> None:
        self.budgets = budgets
        window_s = budgets.limits.window_s
        self.requests = SlidingCount(budgets.timers, window_s)
        self.resends = SlidingCount(budgets.timers, window_s)
        self.own_requests = 0
        self.own_resends = 0
        self.used_at_s = float("-inf")

    def note_request(self) -> None:
        """Count a first attempt."""
        with self.budgets.lock:
            self.own_requests += 1
            self.requests.add(1)
            self.used_at_s = self.budgets.timers.now()

    def take(self) -> bool:
        """Return whether one more request may be resent now, and count it."""
        with self.budgets.lock:
            if self.left() < 1:
                return False
            self.own_resends += 1
            self.resends.add(1)
            return True

    def left(self) -> float:
        """Return how many requests may be resent now."""
        limits = self.budgets.limits
        slack = limits.slack * SLACK_PART * self.budgets.heard_part()
        with self.budgets.lock:
            allowed = limits.per_request * self.requests.total() + slack
            return allowed - self.resends.total()


class FleetRetryBudgets:
    """Retry budgets of all services, counted over all instances.

    Parameters
    ----------
    timers : Timers
        Clock.
    limits : RetryLimits
        Limits of each service.
    heard_part : callable
        Returns the part of the fleet that is heard.
    """

    def __init__(
        self, timers: Timers, limits: RetryLimits, heard_part: Callable[[], float]
    ) -> None:
        self.timers = timers
        self.limits = limits
        self.heard_part = heard_part
        self.services: dict[str, ServiceRetryBudget] = {}
        self.ledger = PeerLedger()
        self.lock = threading.RLock()

    def of(self, service: str) -> ServiceRetryBudget:
        """Return the budget of a service."""
        with self.lock:
            budget = self.services.get(service)
            if budget is None:
                budget = self.services[service] = ServiceRetryBudget(self)
            return budget

    def note_peer(self, heartbeat: beats_pb2.Beat) -> None:
        """Count the requests and resends of another instance."""
        with self.lock:
            counts = self.ledger.of(heartbeat)
            for count in heartbeat.resends:
                budget = self.of(count.service)
                requests = counts.gain(f"{count.service} requests", count.requests)
                resends = counts.gain(f"{count.service} resends", count.resends)
                budget.requests.add(requests)
                budget.resends.add(resends)

    def counts(self, full: bool) -> list[beats_pb2.ResendCount]:
        """Return all counts, or those that have grown lately, for other instances."""
        since_s = self.timers.now() - COUNT_REPEAT_S
        with self.lock:
            return [
                beats_pb2.ResendCount(
                    service=name,
                    requests=budget.own_requests,
                    resends=budget.own_resends,
                )
                for name, budget in self.services.items()
                if full or budget.used_at_s >= since_s
            ]

    def left(self) -> dict[str, float]:
        """Return how many requests of each service may be resent now."""
        with self.lock:
            return {name: budget.left() for name, budget in self.services.items()}

    def request_rate_per_s(self) -> float:
        """Return the first attempts of the fleet per second, over the window."""
        with self.lock:
            total = sum(budget.requests.total() for budget in self.services.values())
            return total / self.limits.window_s
