"""Retry budgets of services, shared by all instances of a fleet.

The users' rule allows the fleet a number of resends for each request, plus a fixed
slack. An instance may always resend what its own requests allow, whatever the others
do. Only the slack is shared: an instance that needs more uses its share of what the
others have left, and reports it in its heartbeats.

Resends from before a restart count in the users' window too. A new process does not
know those of its predecessor, so its own requests allow fewer resends until the window
has passed. After a restart of most of the fleet nobody knows what was used of the
slack, and it is not used until then. If some of it was in use, a record in the store
says what was resent, and the fleet resends what that leaves of its limit.
"""

import threading
from collections import deque
from collections.abc import Callable, Mapping
from random import Random

from attrs import define, field, frozen

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_info
from lacewinglift.mesh.fleet_history import FleetHistory
from lacewinglift.mesh.peer_counters import COUNT_REPEAT_S, PeerCounters
from lacewinglift.mesh.request_rate import RateEstimate, RequestRate
from lacewinglift.mesh.resend_records import EarlierResends, counted_intervals
from lacewinglift.mesh.sliding_window import SlidingWindowCounter
from lacewinglift.timers import Timers

# Fraction of the retry slack that is used. The rest covers resends that arrive later
# than they are counted, and those that a killed instance could not report.
USABLE_SLACK_FRACTION = 0.75
# Within this time all others hear what an instance has used of the slack. It covers
# the interval of heartbeats to all instances, or the loss of a frequent one.
REPORT_DELAY_S = 1.5
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


@define(eq=False)
class _RecentMinimum:
    """Lowest value of a quantity within the last `window_s`."""

    timers: Timers
    window_s: float
    samples: deque[tuple[float, float]] = field(factory=deque)
    """Times and values, both rising: lower samples replace earlier higher ones."""

    def add(self, value: float) -> None:
        while self.samples and self.samples[-1][1] >= value:
            self.samples.pop()
        self.samples.append((self.timers.now(), value))

    def get(self) -> float:
        """Return the minimum; the last sample before the window counts too."""
        oldest_s = self.timers.now() - self.window_s
        while len(self.samples) > 1 and self.samples[1][0] <= oldest_s:
            self.samples.popleft()
        return self.samples[0][1] if self.samples else 0.0


@define(eq=False)
class _RandomRounding:
    """Rounds a share up or down at random, so that the mean stays the same.

    The shares of many instances are less than one resend each. Without it, none of
    them would use the rest of the slack.
    """

    timers: Timers
    random: Random = field(factory=Random)
    period: int = -1
    offset: float = 0.0

    def offset_now(self) -> float:
        """Return what is added to the share, the same for `REPORT_DELAY_S`."""
        period = int(self.timers.now() / REPORT_DELAY_S)
        if period != self.period:
            self.period = period
            self.offset = self.random.random()
        return self.offset


@define(eq=False)
class _PeerSlackUse:
    """What other incarnations use of the slack, as they last reported it.

    The use of an incarnation that has ended counts until its window has passed.
    """

    timers: Timers
    window_s: float
    reports: dict[tuple[str, int], tuple[float, float]] = field(factory=dict)
    """Amount and time of the last report, by instance and incarnation."""

    def record(self, instance: str, incarnation: int, used: float) -> None:
        if used > 0:
            self.reports[instance, incarnation] = (used, self.timers.now())
        else:
            self.reports.pop((instance, incarnation), None)

    def used_by(self, instance: str, incarnation: int) -> float:
        """Return what an incarnation reported last."""
        used, _ = self.reports.get((instance, incarnation), (0.0, 0.0))
        return used

    def total(self) -> float:
        oldest_s = self.timers.now() - self.window_s
        for key, (_, reported_at_s) in list(self.reports.items()):
            if reported_at_s < oldest_s:
                del self.reports[key]
        return sum(used for used, _ in self.reports.values())


class ServiceRetryBudget:
    """Retry budget of one service, shared by the fleet."""

    def __init__(self, budgets: "FleetRetryBudgets") -> None:
        self.budgets = budgets
        timers = budgets.timers
        window_s = budgets.limits.window_s
        self.requests = SlidingWindowCounter(timers, window_s)
        self.resends = SlidingWindowCounter(timers, window_s)
        self.own_recent_requests = SlidingWindowCounter(timers, window_s)
        self.own_recent_resends = SlidingWindowCounter(timers, window_s)
        self.reported_slack = _RecentMinimum(timers, REPORT_DELAY_S)
        """What others know at least of the slack that this instance uses."""
        self.peer_slack = _PeerSlackUse(timers, window_s)
        self.rounding = _RandomRounding(timers, budgets.random)
        self.earlier: EarlierResends | None = None
        """What the fleet resent before it restarted; None if that is not known."""
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
            self.own_recent_requests.add(1)
            self.reported_slack.add(self.slack_used())
            self.last_request_at_s = self.budgets.timers.now()

    def try_acquire(self, kept: float = 0.0) -> bool:
        """Return whether one more request may be resent now, and count it.

        `kept` resends are left to more urgent requests.
        """
        with self.budgets.lock:
            if kept and self.remaining() < 1.0 + kept:
                return False
            if not self._may_resend():
                return False
            self.own_resends += 1
            self.resends.add(1)
            self.own_recent_resends.add(1)
            self.reported_slack.add(self.slack_used())
            return True

    def _may_resend(self) -> bool:
        own_remaining = self._own_remaining()
        if own_remaining >= 1:
            return True
        needed_slack = 1.0 - max(own_remaining, 0.0)
        return needed_slack <= self._slack_share(self.rounding.offset_now())

    def remaining(self) -> float:
        """Return how many requests this instance may resend now."""
        with self.budgets.lock:
            return max(self._own_remaining(), 0.0) + max(self._slack_share(), 0.0)

    def gain_per_s(self) -> float:
        """Return the resends a second that the requests of this instance allow."""
        with self.budgets.lock:
            limits = self.budgets.limits
            rate_per_s = self.own_recent_requests.total() / limits.window_s
            return rate_per_s * limits.per_request

    def slack_used(self) -> float:
        """Return the resends in the window beyond those that own requests allow."""
        with self.budgets.lock:
            return max(-self._own_remaining(), 0.0)

    def _own_remaining(self) -> float:
        """Return what own requests still allow; negative if slack was used."""
        allowed = self.budgets.limits.per_request * self.own_recent_requests.total()
        if self._uses_earlier():
            left = min(max(self._left_after_restart(), 0.0), allowed)
            return left - self.own_recent_resends.total()
        # Squared, since the resends before the start may all have come right before it.
        allowed *= self.budgets.own_known_fraction() ** 2
        return allowed - self.own_recent_resends.total()

    def _uses_earlier(self) -> bool:
        return self.earlier is not None and not self.budgets.is_slack_use_known()

    def _left_after_restart(self) -> float:
        """Return the share in what resends before a restart leave of the limit."""
        history = self.budgets.history
        if self.earlier is None or history is None or not history.has_heard_all():
            return 0.0
        oldest_s = self.budgets.timers.now() - self.budgets.limits.window_s
        since_start = max(self.requests.total(), 1)
        requests = since_start + self.earlier.requests_since(oldest_s)
        left = self.budgets.own_limit(requests) - self.earlier.resends_since(oldest_s)
        return left * self.own_recent_requests.total() / since_start

    def is_slack_in_use(self) -> bool:
        """Return whether some of the slack is in use, or was before a restart."""
        return (
            self._uses_earlier() or self.slack_used() > 0 or self.peer_slack.total() > 0
        )

    def to_message(self, name: str, complete: bool) -> beats_pb2.ServiceResends:
        """Return what the fleet resent in the window."""
        now = self.budgets.timers.now()
        message = beats_pb2.ServiceResends(service=name, complete=complete)
        if self._uses_earlier():
            oldest_s = now - self.budgets.limits.window_s
            message.intervals.extend(self.earlier.messages(now, oldest_s))
        if not complete:
            message.intervals.extend(
                counted_intervals(now, self.resends, self.requests)
            )
        return message

    def _slack_share(self, rounding_offset: float = 0.0) -> float:
        """Return what this instance may use of the slack now.

        Others may use theirs before they hear of it, so that each instance takes only
        its share, by requests, of what was left before the unreported use.
        """
        if not self.budgets.is_slack_use_known():
            return 0.0
        limits = self.budgets.limits
        usable = limits.slack * USABLE_SLACK_FRACTION
        usable *= self.budgets.reachable_fraction()
        reported = min(self.reported_slack.get(), self.slack_used())
        left = usable - self.peer_slack.total() - reported
        if left <= 0:
            return 0.0
        share = self.own_recent_requests.total() / max(self.requests.total(), 1)
        return left * share + rounding_offset - (self.slack_used() - reported)

    def log_fields(self) -> Mapping[str, object]:
        """Return the state of the budget, as fields of a log line."""
        with self.budgets.lock:
            return {
                "budget_left": self.remaining(),
                "fleet_requests": self.requests.total(),
                "fleet_resends": self.resends.total(),
                "own_resends": self.own_recent_resends.total(),
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
    history : FleetHistory, default=None
        Time for which this instance and the fleet have counted resends. By default,
        there were none before the start.
    random : Random, default=None
        Source of randomness; tests pass a seeded one.
    """

    def __init__(
        self,
        timers: Timers,
        limits: RetryLimits,
        reachable_fraction: Callable[[], float],
        history: FleetHistory | None = None,
        random: Random | None = None,
    ) -> None:
        self.timers = timers
        self.limits = limits
        self.reachable_fraction = reachable_fraction
        self.history = history
        self.random = random or Random()
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

    def own_known_fraction(self) -> float:
        """Return the part of the window whose resends by this instance are known."""
        if self.history is None:
            return 1.0
        return min(self.history.own_s() / self.limits.window_s, 1.0)

    def is_slack_use_known(self) -> bool:
        """Return whether at least half of the fleet has counted for a whole window."""
        return self.history is None or self.history.fleet_s() >= self.limits.window_s

    def own_limit(self, requests: float) -> float:
        """Return the resends that the fleet allows itself for requests in a window."""
        slack = self.limits.slack * USABLE_SLACK_FRACTION
        return self.limits.per_request * requests + slack

    def build_record(self) -> beats_pb2.ResendRecord | None:
        """Return the record for the store; None while no slack is in use."""
        return self._record(lambda budget: budget.is_slack_in_use(), complete=False)

    def earlier_resends(self) -> beats_pb2.ResendRecord | None:
        """Return what the fleet resent before it restarted, to tell the others."""
        return self._record(lambda budget: budget._uses_earlier(), complete=True)

    def _record(
        self, includes: Callable[[ServiceRetryBudget], bool], complete: bool
    ) -> beats_pb2.ResendRecord | None:
        with self.lock:
            services = [
                budget.to_message(name, complete)
                for name, budget in self.budgets.items()
                if includes(budget)
            ]
        return beats_pb2.ResendRecord(services=services) if services else None

    def adopt_record(self, record: beats_pb2.ResendRecord) -> None:
        """Apply what the fleet resent before this process and most others started."""
        if self.is_slack_use_known():
            return
        now = self.timers.now()
        with self.lock:
            for each in record.services:
                budget = self.budget_for(each.service)
                if budget.earlier is None:
                    budget.earlier = EarlierResends.from_message(
                        each, now, self.limits.window_s, self.own_limit
                    )
                    oldest_s = now - self.limits.window_s
                    log_info(
                        "earlier_resends",
                        service=each.service,
                        resends=budget.earlier.resends_since(oldest_s),
                    )

    def record_peer_resends(self, heartbeat: beats_pb2.Beat) -> None:
        """Count the requests and resends of another instance."""
        own_history_s = 0.0 if self.history is None else self.history.own_s()
        if heartbeat.HasField("earlier_resends"):
            self.adopt_record(heartbeat.earlier_resends)
        with self.lock:
            counts = self.peer_counters.counts_of(heartbeat, own_history_s)
            for count in heartbeat.resends:
                budget = self.budget_for(count.service)
                requests = counts.update(f"{count.service} requests", count.requests)
                resends = counts.update(f"{count.service} resends", count.resends)
                budget.requests.add(requests)
                budget.resends.add(resends)
                budget.peer_slack.record(
                    heartbeat.instance, heartbeat.incarnation, count.slack_used
                )
                self.recent_rate.add(requests)

    def resend_counts(
        self, full: bool, repeat_s: float = COUNT_REPEAT_S
    ) -> list[beats_pb2.ResendCount]:
        """Return all counts, or those of the last `repeat_s`, to send to others."""
        since_s = self.timers.now() - repeat_s
        with self.lock:
            return [
                beats_pb2.ResendCount(
                    service=name,
                    requests=budget.own_requests,
                    resends=budget.own_resends,
                    slack_used=budget.slack_used(),
                )
                for name, budget in self.budgets.items()
                if full or budget.last_request_at_s >= since_s or budget.slack_used()
            ]

    def peer_resend_counts(
        self, instance: str, incarnation: int
    ) -> list[beats_pb2.ResendCount]:
        """Return all counts that another instance has reported."""
        with self.lock:
            counts = self.peer_counters.known_counts(instance, incarnation)
            return [
                beats_pb2.ResendCount(
                    service=name,
                    requests=counts.get(f"{name} requests", 0),
                    resends=counts.get(f"{name} resends", 0),
                    slack_used=budget.peer_slack.used_by(instance, incarnation),
                )
                for name, budget in self.budgets.items()
                if f"{name} requests" in counts
            ]

    def remaining(self) -> dict[str, float]:
        """Return how many requests of each service this instance may resend now."""
        with self.lock:
            return {name: budget.remaining() for name, budget in self.budgets.items()}

    def recent_requests(self, service: str) -> tuple[float, float]:
        """Return the requests in the window, of this instance and of the fleet."""
        with self.lock:
            budget = self.budget_for(service)
            return budget.own_recent_requests.total(), budget.requests.total()

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
