"""Processes of a fleet that spend its retry budget, and an oracle for what they spend.

The oracle knows only the users' rule: in any window, resends of a service may be
`per_request` for each request, plus `slack`, over the whole fleet. Its requests are
those of the window, of the one before it or of the one half a window before it.
"""

from bisect import bisect_left
from random import Random

from attrs import define, field

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.fleet_history import FleetHistory
from lacewinglift.mesh.full_heartbeats import INITIAL_FULL_HEARTBEATS
from lacewinglift.mesh.members import MemberTable
from lacewinglift.mesh.retry_budgets import FleetRetryBudgets, RetryLimits
from lacewinglift.timers import ManualTimers

SERVICE = "catalogo"
STEP_S = 0.02
FULL_HEARTBEAT_EVERY = 6
# Distance of the windows that the oracle checks.
ORACLE_STEP_S = 0.1


@define(eq=False)
class Process:
    """One incarnation of an instance."""

    name: str
    incarnation: int
    members: MemberTable
    history: FleetHistory
    budgets: FleetRetryBudgets
    next_heartbeat_s: float
    heartbeats: int = 0

    def build_heartbeat(self):
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
        heartbeat.resends.extend(self.budgets.resend_counts(full=full))
        return heartbeat


@define(eq=False)
class RetryBudgetFleet:
    """Processes that exchange heartbeats, on simulated time.

    Attributes
    ----------
    size : int
        Number of instances.
    limits : RetryLimits
        The users' rule.
    heartbeat_interval_s : float
        Time between two heartbeats of an instance to all others.
    lost_heartbeats : float
        Fraction of the heartbeats that are lost.
    """

    size: int
    limits: RetryLimits
    heartbeat_interval_s: float
    lost_heartbeats: float = 0.0
    timers: ManualTimers = field(factory=ManualTimers)
    random: Random = field(factory=lambda: Random(19))
    processes: list = field(factory=list)
    groups: dict = field(factory=dict)
    """Group of each instance; heartbeats between groups are lost."""
    request_times_s: list = field(factory=list)
    resend_times_s: list = field(factory=list)
    due_requests: float = 0.0

    def __attrs_post_init__(self):
        names = [f"frontend-{number}" for number in range(self.size)]
        self.processes = [self._start(name, 1) for name in names]

    def _start(self, name, incarnation):
        delay_s = self.random.uniform(0.0, self.heartbeat_interval_s)
        members = MemberTable(name, self.timers)
        history = FleetHistory(self.timers, members, first_start=incarnation == 1)
        budgets = FleetRetryBudgets(
            self.timers, self.limits, members.reachable_fraction, history
        )
        next_heartbeat_s = self.timers.now() + delay_s
        return Process(name, incarnation, members, history, budgets, next_heartbeat_s)

    def restart(self, processes):
        """Replace processes by new ones, which know nothing."""
        for old in processes:
            index = self.processes.index(old)
            self.processes[index] = self._start(old.name, old.incarnation + 1)

    def run(self, duration_s, requests_per_s, resends_per_request):
        """Let callers send requests, each of which is to be resent several times."""
        end_s = self.timers.now() + duration_s
        while self.timers.now() < end_s:
            self._send_requests(requests_per_s, resends_per_request)
            for process in self.processes:
                if self.timers.now() >= process.next_heartbeat_s:
                    self._send_heartbeat(process)
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

    def _send_heartbeat(self, sender):
        sender.next_heartbeat_s += self.heartbeat_interval_s
        heartbeat = sender.build_heartbeat()
        for receiver in self.processes:
            if receiver is sender or not self._arrives(sender, receiver):
                continue
            if receiver.members.receive(heartbeat) is not None:
                receiver.budgets.record_peer_resends(heartbeat)

    def _arrives(self, sender, receiver):
        if self.groups.get(sender.name) != self.groups.get(receiver.name):
            return False
        return self.random.random() >= self.lost_heartbeats

    def excess(self):
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


def count_between(times_s, start_s, duration_s):
    """Return how many of the sorted times lie in a window."""
    return bisect_left(times_s, start_s + duration_s) - bisect_left(times_s, start_s)
