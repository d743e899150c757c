"""Processes of a fleet that use up its limits, and oracles for what they use.

The oracles know only the users' rules, over the whole fleet and in any window. Resends
of a service may be `per_request` for each request, plus `slack`; its requests are those
of the window, of the one before it or of the one half a window before it. Admitted
requests of a workspace may be a tenth over its rate and burst, plus 20.
"""

from bisect import bisect_left
from random import Random

from attrs import define, field

from lacewinglift.configuration import Configuration, Fleet, Workspace
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.fleet_history import FleetHistory
from lacewinglift.mesh.fleet_limits import FleetQuota
from lacewinglift.mesh.full_heartbeats import INITIAL_FULL_HEARTBEATS
from lacewinglift.mesh.members import (
    DIRECT_MEMBER_TIMEOUT_S,
    MemberTable,
    PeerAddresses,
)
from lacewinglift.mesh.observer_election import INITIAL_LISTEN_S
from lacewinglift.mesh.resend_records import ResendRecordKeeper
from lacewinglift.mesh.retry_budgets import FleetRetryBudgets, RetryLimits
from lacewinglift.mesh.unreported_usage import NO_TOLERANCE, RateTolerance
from lacewinglift.timers import ManualTimers

SERVICE = "catalogo"
STEP_S = 0.02
FULL_HEARTBEAT_EVERY = 6
# Distance of the windows that the oracles check.
ORACLE_STEP_S = 0.1
HOUSE = Workspace("house", rate_per_s=66.0, burst=66)
CONFIGURATION = Configuration(1, Fleet("f"), {}, (), {"house": HOUSE})
QUOTA_WINDOW_S = 5.0
QUOTA_TOLERANCE = 0.1
QUOTA_SLACK = 20


@define(eq=False)
class Process:
    """One incarnation of an instance."""

    name: str
    incarnation: int
    members: MemberTable
    peer_addresses: PeerAddresses
    history: FleetHistory
    budgets: FleetRetryBudgets
    quota: FleetQuota
    next_heartbeat_s: float
    keeper: ResendRecordKeeper
    heartbeats: int = 0

    def build_heartbeat(self):
        self.members.record_own_activity(True)
        self.heartbeats += 1
        full = (
            self.heartbeats <= INITIAL_FULL_HEARTBEATS
            or self.heartbeats % FULL_HEARTBEAT_EVERY == 0
        )
        heartbeat = beats_pb2.Beat(
            instance=self.name,
            incarnation=self.incarnation,
            sequence=self.heartbeats,
            history_ms=self.history.own_ms(),
        )
        if full:
            heartbeat.description.beat_address = f"{self.name}:81"
            heartbeat.peers.extend(sorted(self.peer_addresses.known()))
            earlier = self.budgets.earlier_resends()
            if earlier is not None:
                heartbeat.earlier_resends.CopyFrom(earlier)
        heartbeat.resends.extend(self.budgets.resend_counts(full=full))
        heartbeat.usages.extend(self.quota.usages(full=full))
        return heartbeat

    def receive(self, heartbeat):
        member = self.members.receive(heartbeat)
        if member is not None:
            known = [member.description.beat_address, *heartbeat.peers]
            self.peer_addresses.add(known)
            self.budgets.record_peer_resends(heartbeat)
            self.quota.record_peer_usage(heartbeat)


@define(eq=False)
class RecordStore:
    """The key of the store that holds the record of resends."""

    timers: ManualTimers
    value: bytes | None = None
    expires_at_s: float = 0.0
    writes: int = 0

    def serve(self, observer):
        """Read and write the record as an observer does."""
        if observer.history.own_s() < INITIAL_LISTEN_S:
            return
        keeper = observer.keeper
        if keeper.must_read():
            keeper.has_read = True
            if self.value is not None and self.timers.now() < self.expires_at_s:
                keeper.apply(self.value)
        value = keeper.due()
        if value is not None:
            self.value = value
            self.writes += 1
            self.expires_at_s = self.timers.now() + keeper.lease_s


@define(eq=False)
class LimitsFleet:
    """Processes that exchange heartbeats, on simulated time.

    Attributes
    ----------
    size : int
        Number of instances.
    limits : RetryLimits
        The users' rule for resends.
    heartbeat_interval_s : float
        Time between two heartbeats of an instance to all others.
    lost_heartbeats : float
        Fraction of the heartbeats that are lost.
    tolerance : RateTolerance
        What a workspace may exceed its rate by, as far as the instances know.
    """

    size: int
    limits: RetryLimits
    heartbeat_interval_s: float
    lost_heartbeats: float = 0.0
    tolerance: RateTolerance = NO_TOLERANCE
    timers: ManualTimers = field(factory=ManualTimers)
    random: Random = field(factory=lambda: Random(19))
    processes: list = field(factory=list)
    groups: dict = field(factory=dict)
    """Group of each instance; heartbeats between groups are lost."""
    request_times_s: list = field(factory=list)
    resend_times_s: list = field(factory=list)
    admission_times_s: list = field(factory=list)
    due_requests: float = 0.0
    due_admissions: float = 0.0
    store: RecordStore = field(init=False)

    def __attrs_post_init__(self):
        self.store = RecordStore(self.timers)
        names = [f"frontend-{number}" for number in range(self.size)]
        self.processes = [self._start(name, 1) for name in names]

    def _start(self, name, incarnation):
        delay_s = self.random.uniform(0.0, self.heartbeat_interval_s)
        members = MemberTable(name, self.timers)
        history = FleetHistory(self.timers, members, first_start=incarnation == 1)
        seeds = [f"frontend-{number}:81" for number in range(3)]
        addresses = PeerAddresses(self.timers, seeds, f"{name}:81")

        def reachable_fraction():
            expected = 0 if history.has_heard_all() else len(addresses.known())
            return members.reachable_fraction(expected, DIRECT_MEMBER_TIMEOUT_S)

        budgets = FleetRetryBudgets(
            self.timers,
            self.limits,
            reachable_fraction,
            history,
            Random(self.random.random()),
        )
        quota = FleetQuota(
            self.timers,
            reachable_fraction,
            history,
            lambda: self.heartbeat_interval_s,
            self.tolerance,
        )
        quota.apply(CONFIGURATION)
        first_heartbeat_s = self.timers.now() + delay_s
        return Process(
            name,
            incarnation,
            members,
            addresses,
            history,
            budgets,
            quota,
            first_heartbeat_s,
            ResendRecordKeeper(self.timers, budgets, self.limits.window_s),
        )

    def restart(self, processes):
        """Replace processes by new ones, which know nothing."""
        for old in processes:
            index = self.processes.index(old)
            self.processes[index] = self._start(old.name, old.incarnation + 1)

    def run(self, duration_s, requests_per_s, resends_per_request):
        """Let callers send requests, each of which is to be resent several times."""
        self._run(
            duration_s, lambda: self._send_requests(requests_per_s, resends_per_request)
        )

    def run_workspace(self, duration_s, requests_per_s):
        """Let the callers of a workspace send requests."""
        self._run(duration_s, lambda: self._request_admissions(requests_per_s))

    def _run(self, duration_s, send):
        end_s = self.timers.now() + duration_s
        while self.timers.now() < end_s:
            send()
            for process in self.processes:
                if self.timers.now() >= process.next_heartbeat_s:
                    self._send_heartbeat(process)
            self.store.serve(self.processes[0])
            self.timers.advance(STEP_S)

    def _send_requests(self, requests_per_s, resends_per_request):
        self.due_requests += requests_per_s * STEP_S
        while self.due_requests >= 1.0:
            self.due_requests -= 1.0
            process = self.random.choice(self.processes)
            budget = process.budgets.budget_for(SERVICE)
            budget.record_request()
            self.request_times_s.append(self.timers.now())
            for _ in range(resends_per_request):
                if budget.try_acquire():
                    self.resend_times_s.append(self.timers.now())

    def _request_admissions(self, requests_per_s):
        self.due_admissions += requests_per_s * STEP_S
        while self.due_admissions >= 1.0:
            self.due_admissions -= 1.0
            decision = self.random.choice(self.processes).quota.admit(HOUSE)
            if decision.admitted:
                self.admission_times_s.append(self.timers.now() + decision.wait_s)

    def _send_heartbeat(self, sender):
        sender.next_heartbeat_s += self.heartbeat_interval_s
        heartbeat = sender.build_heartbeat()
        for receiver in self.processes:
            if receiver is not sender and self._arrives(sender, receiver):
                receiver.receive(heartbeat)

    def _arrives(self, sender, receiver):
        if self.groups.get(sender.name) != self.groups.get(receiver.name):
            return False
        return self.random.random() >= self.lost_heartbeats

    def admissions_over_the_rule(self):
        """Return by how much the worst window exceeds the rule; negative if none."""
        times_s = sorted(self.admission_times_s)
        allowed = HOUSE.rate_per_s * QUOTA_WINDOW_S + HOUSE.burst
        allowed += allowed * QUOTA_TOLERANCE + QUOTA_SLACK
        start_s = times_s[0]
        worst = -allowed
        while start_s + QUOTA_WINDOW_S <= self.timers.now():
            worst = max(
                worst, count_between(times_s, start_s, QUOTA_WINDOW_S) - allowed
            )
            start_s += ORACLE_STEP_S
        return worst

    def resends_over_the_rule(self):
        """Return by how much the worst window exceeds the rule; negative if none."""
        window_s = self.limits.window_s
        start_s = min(self.request_times_s)
        worst = -self.limits.slack
        while start_s + window_s <= self.timers.now() + ORACLE_STEP_S:
            resends = count_between(self.resend_times_s, start_s, window_s)
            requests = max(
                count_between(self.request_times_s, start_s - earlier_s, window_s)
                for earlier_s in (0.0, window_s / 2, window_s)
            )
            allowed = self.limits.per_request * requests + self.limits.slack
            worst = max(worst, resends - allowed)
            start_s += ORACLE_STEP_S
        return worst


def most_in_a_window(times_s, window_s):
    """Return the largest number of times that lie in one window."""
    ordered_s = sorted(times_s)
    return max(
        bisect_left(ordered_s, start_s + window_s) - number
        for number, start_s in enumerate(ordered_s)
    )


def count_between(times_s, start_s, duration_s):
    """Return how many of the sorted times lie in a window."""
    return bisect_left(times_s, start_s + duration_s) - bisect_left(times_s, start_s)
