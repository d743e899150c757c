"""Stateful fuzzing of the quota rule: admitted <= rate x t + burst, any window."""

import random
from collections import defaultdict

import hypothesis.strategies as st
import pytest
from attrs import define
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lacewinglift.configuration import Workspace
from lacewinglift.timers import ManualTimers
from testing.standins.quota_cell import QuotaCell, centres_of

NANO = 10**9
COUNT = 5
TICK_S = 0.05
NAMES = list(centres_of(COUNT))
# "deep" fills so slowly that tokens made from nothing are not hidden by those that
# a moved share loses meanwhile.
LIMITS = {"small": (4, 3), "large": (128, 64), "deep": (1, 60)}
LIMITED = {name: Workspace(name, *limits) for name, limits in LIMITS.items()}
ONE = st.sampled_from(NAMES)
WORKSPACE = st.sampled_from(list(LIMITS))
PERIOD_S = st.sampled_from([0.05, 0.2, 1.0, 2.0, 4.25, 9.0])


@define
class Meter:
    """Fills by one for each admission and drains at the rate.

    It exceeds the burst exactly if some window that began after `at_ns` had more
    than rate x t + burst admissions.
    """

    rate: int
    burst: int
    at_ns: int
    used: int = 0

    def add(self, now_ns):
        drained = (now_ns - self.at_ns) * self.rate
        self.used = max(self.used - drained, 0) + NANO
        self.at_ns = now_ns
        return self.used <= self.burst * NANO


class Oracle:
    """Knows the limits and the times of admissions, and nothing of the design."""

    def __init__(self, limits):
        self.meters = defaultdict(list)
        for name, (rate, burst) in limits.items():
            self.meters[name].append(Meter(rate, burst, 0))

    def admitted(self, workspace, now_s):
        now_ns = int(now_s * NANO)
        within = [meter.add(now_ns) for meter in self.meters[workspace]]
        assert all(within), f"{workspace} exceeded its quota: {self.meters}"

    def change_begins(self, limits):
        """Windows that overlap a change are held to the larger of the limits."""
        for name, (rate, burst) in limits.items():
            for meter in self.meters[name]:
                meter.rate = max(meter.rate, rate)
                meter.burst = max(meter.burst, burst)

    def change_ended(self, limits, now_s):
        for name, (rate, burst) in limits.items():
            self.meters[name].append(Meter(rate, burst, int(now_s * NANO)))


class QuotaMachine(RuleBasedStateMachine):
    def __init__(self, homes=2):
        super().__init__()
        self.timers = ManualTimers()
        self.cell = QuotaCell(
            self.timers, random.Random(1), centres_of(COUNT), dict(LIMITS), homes
        )
        self.oracle = Oracle(LIMITS)
        self.limits = dict(LIMITS)
        self.saturated = set()
        self.changing_since_s = None

    @initialize(homes=st.sampled_from([1, 2]), names=st.sets(ONE))
    def fill(self, homes, names):
        self.cell.publish(self.limits, homes)
        self.run_for(60.0)
        for name in sorted(names):  # asks at instances that may hold no share
            self.hammer(name, "large")
        self.run_for(8.0)

    def run_for(self, duration_s):
        end_s = self.timers.now() + duration_s
        if not self.saturated and self.changing_since_s is None:
            self.timers.advance(duration_s)
        while self.timers.now() < end_s - 1e-6:
            self.timers.advance(TICK_S)
            for name, workspace in sorted(self.saturated):
                self.hammer(name, workspace)
            self.note_end_of_change()

    def hammer(self, name, workspace, most=80):
        for _ in range(most):
            decision = self.cell.request(name, workspace)
            if decision is None or not decision.admitted:
                return
            self.oracle.admitted(workspace, self.timers.now())

    def note_end_of_change(self):
        if self.changing_since_s is None:
            return
        generation = self.cell.published.generation
        running = [i for i in self.cell.instances.values() if i.alive]
        if any(i.members.generation != generation for i in running):
            self.changing_since_s = self.timers.now()
        elif self.timers.now() - self.changing_since_s > 0.35:
            self.changing_since_s = None
            self.oracle.change_ended(self.limits, self.timers.now())

    @rule(period_s=PERIOD_S)
    def advance(self, period_s):
        self.run_for(period_s)

    @rule(workspace=WORKSPACE)
    def saturate_all(self, workspace):
        self.saturated |= {(name, workspace) for name in NAMES}

    @rule(workspace=WORKSPACE)
    def stampede(self, workspace):
        for name in NAMES:
            self.hammer(name, workspace)

    @rule(period_s=PERIOD_S)
    def calm(self, period_s):
        self.saturated.clear()
        self.run_for(period_s)

    @rule(
        name=ONE,
        kind=st.sampled_from(["in", "out", "both"]),
        store_s=st.sampled_from([3.5, 4.0, 4.25, 4.5, 5.0]),
    )
    def isolate_in_steps(self, name, kind, store_s):
        # The store is lost about when the others fence the instance; demand comes
        # when its share may have been given to others while it has standing.
        self.saturated.clear()
        self.isolate(name, kind, False)
        self.run_for(store_s)
        self.cell.store_cuts.add(name)
        self.run_for(1.0)
        self.saturate_all("large")
        self.run_for(6.0)

    @rule(names=st.sets(ONE), workspace=WORKSPACE)
    def saturate_some(self, names, workspace):
        self.saturated = {(name, workspace) for name in names}

    @rule(name=ONE, workspace=WORKSPACE, most=st.integers(1, 80))
    def ask(self, name, workspace, most):
        self.hammer(name, workspace, most)

    @rule(source=ONE, peer=ONE)
    def cut_one_way(self, source, peer):
        self.cell.cuts.add((source, peer))

    @rule(name=ONE, kind=st.sampled_from(["in", "out", "both"]), store=st.booleans())
    def isolate(self, name, kind, store):
        if kind != "in":
            self.cell.cut_out(name)
        if kind != "out":
            self.cell.cut_in(name)
        if store:
            self.cell.store_cuts.add(name)

    @rule(names=st.sets(ONE), period_s=st.sampled_from([5.0, 16.0]))
    def split(self, names, period_s):
        """Divide the cell in two, of which one part has the store."""
        rest = set(NAMES) - names
        pairs = {(name, other) for name in names for other in rest}
        self.cell.cuts |= pairs | {pair[::-1] for pair in pairs}
        self.cell.store_cuts = rest
        self.saturated.clear()
        self.run_for(period_s)
        self.saturate_all("large")
        self.run_for(2.0)

    @rule(names=st.sets(ONE, max_size=COUNT))
    def cut_store(self, names):
        self.cell.store_cuts = set(names)

    @rule(up=st.booleans(), lost=st.integers(0, 2))
    def trouble_store(self, up, lost):
        self.cell.store.up = up
        self.cell.store.replies_to_lose = lost

    @rule(delay_s=st.sampled_from([0.005, 0.3, 0.9]))
    def slow_store(self, delay_s):
        self.cell.store_delay_s = delay_s

    @rule(source=ONE, peer=ONE, delay_s=st.sampled_from([0.3, 1.5, 3.5]))
    def slow_link(self, source, peer, delay_s):
        self.cell.delays_s[source, peer] = delay_s

    @rule(delay_s=st.sampled_from([0.0, 0.02, 0.2, 0.26]), late=st.booleans())
    def slow_loans(self, delay_s, late):
        self.cell.borrow_delay_s, self.cell.late_replies = delay_s, late

    @rule(name=ONE)
    def pause(self, name):
        self.cell.instances[name].paused = self.cell.instances[name].alive

    @rule(name=ONE, workspace=WORKSPACE)
    def resume(self, name, workspace):
        instance = self.cell.instances[name]
        if instance.paused:
            # Request threads run before the control half has read anything.
            instance.paused = False
            self.hammer(name, workspace)
            instance.resume()

    @rule(name=ONE)
    def kill(self, name):
        self.cell.instances[name].kill()

    @rule(name=ONE)
    def restart(self, name):
        self.cell.instances[name].kill()
        self.cell.instances[name].boot()

    @rule(name=ONE)
    def leave(self, name):
        if self.cell.instances[name].alive and not self.cell.instances[name].paused:
            self.cell.instances[name].leave()

    @rule(
        workspace=WORKSPACE,
        rate=st.sampled_from([1, 8, 32]),
        burst=st.sampled_from([1, 3, 8, 64]),
    )
    def configure(self, workspace, rate, burst):
        self.limits = {**self.limits, workspace: (rate, burst)}
        self.oracle.change_begins({workspace: (rate, burst)})
        self.changing_since_s = self.timers.now()
        self.cell.publish(self.limits, self.cell.homes)

    @rule()
    def heal(self):
        self.cell.heal()

    @invariant()
    def ledger_is_valid(self):
        for instance in self.cell.instances.values():
            assert instance.holder.ledger().version <= self.cell.store.revision

    def teardown(self):
        """After all faults have ended, the whole quota is in use again."""
        self.saturated.clear()
        self.cell.heal()
        self.run_for(8.0)  # those that were leaving have ended
        self.cell.heal()
        self.run_for(60.0)
        for name in LIMITS:
            assert self.cell.granted_ppm(name) >= 990_000, self.cell.store.value


QuotaMachine.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
test_quota_holds_under_faults = QuotaMachine.TestCase


@pytest.fixture
def machine():
    machine = QuotaMachine()
    machine.fill(2, set())
    return machine


@pytest.mark.parametrize("store_s", [4.0, 4.25, 4.5, 5.0])
def test_share_moves_only_after_the_holder_lost_standing(machine, store_s):
    """Guards against a fence without a wait, or without promises."""
    machine.isolate_in_steps("i02", "both", store_s)


def test_minority_with_the_store_takes_no_shares(machine):
    """Guards against a fence without promises of a majority."""
    instances = machine.cell.instances.values()
    allocator = next(i.name for i in instances if i.is_allocator())
    machine.split({allocator}, 16.0)
    machine.run_for(5.0)


def test_tokens_that_an_earlier_incarnation_spent_stay_spent(machine):
    """Guards against a bucket that is full after a restart."""
    machine.stampede("deep")
    for name in NAMES:
        machine.restart(name)
    machine.run_for(16.0)
    machine.stampede("deep")


def test_moved_share_brings_no_tokens(machine):
    """Guards against a raised share that comes with the tokens of its capacity."""
    machine.stampede("deep")
    machine.kill("i01")
    machine.run_for(16.0)
    machine.stampede("deep")


def test_lent_tokens_do_not_flow_in_twice():
    """Guards against a lender that refills while its loan may still be used."""
    workspace = "large"
    machine = QuotaMachine(homes=1)
    machine.run_for(10.0)
    instances = machine.cell.instances.values()
    holders = [i.name for i in instances if i.holder.granted_ppm(workspace)]
    borrower = next(i for i in instances if i.name not in holders)
    state = borrower.admission._workspace_state(LIMITED[workspace])
    state.demand.record(machine.timers.now(), 800.0)  # asks for a large batch
    machine.hammer(borrower.name, workspace, 1)
    machine.timers.advance(0.2)
    for name in [borrower.name, *holders]:
        machine.hammer(name, workspace)
