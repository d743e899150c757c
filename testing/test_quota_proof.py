"""Stateful fuzzing of the quota invariant under faults.

In every time window of length t, at most rate x t + burst requests are admitted.
"""

import random
from collections import defaultdict

import hypothesis.strategies as st
import pytest
from attrs import define
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lacewinglift.configuration import Workspace
from lacewinglift.timers import ManualTimers
from testing.standins.quota_cell import QuotaCell, assign_data_centres

NANO = 10**9
INSTANCE_COUNT = 5
TICK_S = 0.05
NAMES = list(assign_data_centres(INSTANCE_COUNT))
# "deep" refills so slowly that tokens wrongly created are not masked by tokens that
# are lost while a share moves.
LIMITS = {"small": (4, 3), "large": (128, 64), "deep": (1, 60)}
WORKSPACES_BY_NAME = {name: Workspace(name, *limits) for name, limits in LIMITS.items()}
INSTANCE = st.sampled_from(NAMES)
WORKSPACE = st.sampled_from(list(LIMITS))
PERIODS_S = st.sampled_from([0.05, 0.2, 1.0, 2.0, 4.25, 9.0])


@define
class LeakyBucket:
    """Leaky bucket that fills by one per admission and drains at the rate.

    Its level exceeds the burst if and only if some window that began after the
    initial `at_ns` had more than rate x t + burst admissions.
    """

    rate: int
    burst: int
    at_ns: int
    level_nanotokens: int = 0

    def add(self, now_ns):
        drained = (now_ns - self.at_ns) * self.rate
        self.level_nanotokens = max(self.level_nanotokens - drained, 0) + NANO
        self.at_ns = now_ns
        return self.level_nanotokens <= self.burst * NANO


class Oracle:
    """Checks admissions against the limits, independently of the implementation."""

    def __init__(self, limits):
        self.leaky_buckets = defaultdict(list)
        for name, (rate, burst) in limits.items():
            self.leaky_buckets[name].append(LeakyBucket(rate, burst, 0))

    def record_admission(self, workspace, now_s):
        now_ns = int(now_s * NANO)
        within = [
            leaky_bucket.add(now_ns) for leaky_bucket in self.leaky_buckets[workspace]
        ]
        assert all(within), f"{workspace} exceeded its quota: {self.leaky_buckets}"

    def begin_change(self, limits):
        """Allow the larger of both limits in windows that overlap a change."""
        for name, (rate, burst) in limits.items():
            for leaky_bucket in self.leaky_buckets[name]:
                leaky_bucket.rate = max(leaky_bucket.rate, rate)
                leaky_bucket.burst = max(leaky_bucket.burst, burst)

    def end_change(self, limits, now_s):
        for name, (rate, burst) in limits.items():
            self.leaky_buckets[name].append(LeakyBucket(rate, burst, int(now_s * NANO)))


class QuotaMachine(RuleBasedStateMachine):
    def __init__(self, homes=2):
        super().__init__()
        self.timers = ManualTimers()
        self.cell = QuotaCell(
            self.timers,
            random.Random(1),
            assign_data_centres(INSTANCE_COUNT),
            dict(LIMITS),
            homes,
        )
        self.oracle = Oracle(LIMITS)
        self.limits = dict(LIMITS)
        self.saturated_pairs = set()
        self.changing_since_s = None

    @initialize(homes=st.sampled_from([1, 2]), names=st.sets(INSTANCE))
    def warm_up(self, homes, names):
        self.cell.publish(self.limits, homes)
        self.run_for(60.0)
        for name in sorted(names):  # instances that may hold no share
            self.request_until_refused(name, "large")
        self.run_for(8.0)

    def run_for(self, duration_s):
        end_s = self.timers.now() + duration_s
        if not self.saturated_pairs and self.changing_since_s is None:
            self.timers.advance(duration_s)
        while self.timers.now() < end_s - 1e-6:
            self.timers.advance(TICK_S)
            for name, workspace in sorted(self.saturated_pairs):
                self.request_until_refused(name, workspace)
            self.check_end_of_change()

    def request_until_refused(self, name, workspace, max_requests=80):
        for _ in range(max_requests):
            decision = self.cell.request(name, workspace)
            if decision is None or not decision.admitted:
                return
            self.oracle.record_admission(workspace, self.timers.now())

    def check_end_of_change(self):
        if self.changing_since_s is None:
            return
        generation = self.cell.published.generation
        running = [i for i in self.cell.instances.values() if i.alive]
        if any(i.members.generation != generation for i in running):
            self.changing_since_s = self.timers.now()
        elif self.timers.now() - self.changing_since_s > 0.35:
            self.changing_since_s = None
            self.oracle.end_change(self.limits, self.timers.now())

    @rule(period_s=PERIODS_S)
    def advance(self, period_s):
        self.run_for(period_s)

    @rule(workspace=WORKSPACE)
    def saturate_all(self, workspace):
        self.saturated_pairs |= {(name, workspace) for name in NAMES}

    @rule(workspace=WORKSPACE)
    def surge_all(self, workspace):
        for name in NAMES:
            self.request_until_refused(name, workspace)

    @rule(period_s=PERIODS_S)
    def clear_load(self, period_s):
        self.saturated_pairs.clear()
        self.run_for(period_s)

    @rule(
        name=INSTANCE,
        kind=st.sampled_from(["in", "out", "both"]),
        store_s=st.sampled_from([3.5, 4.0, 4.25, 4.5, 5.0]),
    )
    def isolate_in_steps(self, name, kind, store_s):
        # The store connection is lost at about the time when the others fence the
        # instance. Demand starts when its share may have been granted to others
        # although it still has standing.
        self.saturated_pairs.clear()
        self.isolate(name, kind, False)
        self.run_for(store_s)
        self.cell.cut_from_store.add(name)
        self.run_for(1.0)
        self.saturate_all("large")
        self.run_for(6.0)

    @rule(names=st.sets(INSTANCE), workspace=WORKSPACE)
    def saturate_some(self, names, workspace):
        self.saturated_pairs = {(name, workspace) for name in names}

    @rule(name=INSTANCE, workspace=WORKSPACE, max_requests=st.integers(1, 80))
    def apply_burst(self, name, workspace, max_requests):
        self.request_until_refused(name, workspace, max_requests)

    @rule(source=INSTANCE, peer=INSTANCE)
    def cut_one_way(self, source, peer):
        self.cell.cut_links.add((source, peer))

    @rule(
        name=INSTANCE, kind=st.sampled_from(["in", "out", "both"]), store=st.booleans()
    )
    def isolate(self, name, kind, store):
        if kind != "in":
            self.cell.cut_outgoing(name)
        if kind != "out":
            self.cell.cut_incoming(name)
        if store:
            self.cell.cut_from_store.add(name)

    @rule(names=st.sets(INSTANCE), period_s=st.sampled_from([5.0, 16.0]))
    def split(self, names, period_s):
        """Partition the cell into two parts, one of which can reach the store."""
        rest = set(NAMES) - names
        pairs = {(name, other) for name in names for other in rest}
        self.cell.cut_links |= pairs | {pair[::-1] for pair in pairs}
        self.cell.cut_from_store = rest
        self.saturated_pairs.clear()
        self.run_for(period_s)
        self.saturate_all("large")
        self.run_for(2.0)

    @rule(names=st.sets(INSTANCE, max_size=INSTANCE_COUNT))
    def cut_store(self, names):
        self.cell.cut_from_store = set(names)

    @rule(up=st.booleans(), lost=st.integers(0, 2))
    def vary_store_health(self, up, lost):
        self.cell.store.up = up
        self.cell.store.replies_to_drop = lost

    @rule(delay_s=st.sampled_from([0.005, 0.3, 0.9]))
    def slow_store(self, delay_s):
        self.cell.store_delay_s = delay_s

    @rule(source=INSTANCE, peer=INSTANCE, delay_s=st.sampled_from([0.3, 1.5, 3.5]))
    def slow_link(self, source, peer, delay_s):
        self.cell.link_delays_s[source, peer] = delay_s

    @rule(delay_s=st.sampled_from([0.0, 0.02, 0.2, 0.26]), late=st.booleans())
    def slow_loans(self, delay_s, late):
        self.cell.borrow_delay_s, self.cell.accept_late_replies = delay_s, late

    @rule(name=INSTANCE)
    def pause(self, name):
        self.cell.instances[name].paused = self.cell.instances[name].alive

    @rule(name=INSTANCE, workspace=WORKSPACE)
    def resume(self, name, workspace):
        instance = self.cell.instances[name]
        if instance.paused:
            # Request threads run before the control plane has processed its inbox.
            instance.paused = False
            self.request_until_refused(name, workspace)
            instance.resume()

    @rule(name=INSTANCE)
    def kill(self, name):
        self.cell.instances[name].kill()

    @rule(name=INSTANCE)
    def restart(self, name):
        self.cell.instances[name].kill()
        self.cell.instances[name].boot()

    @rule(name=INSTANCE)
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
        self.oracle.begin_change({workspace: (rate, burst)})
        self.changing_since_s = self.timers.now()
        self.cell.publish(self.limits, self.cell.homes_per_data_centre)

    @rule()
    def heal(self):
        self.cell.heal()

    @invariant()
    def ledger_is_valid(self):
        for instance in self.cell.instances.values():
            assert instance.local_ledger.ledger().version <= self.cell.store.revision

    def teardown(self):
        """Check that the whole quota is granted again after all faults have ended."""
        self.saturated_pairs.clear()
        self.cell.heal()
        self.run_for(8.0)  # instances that were leaving have stopped
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
    machine.warm_up(2, set())
    return machine


@pytest.mark.parametrize("store_s", [4.0, 4.25, 4.5, 5.0])
def test_share_moves_only_after_the_holder_lost_standing(machine, store_s):
    """Guards against releasing a share without a wait or without promises."""
    machine.isolate_in_steps("i02", "both", store_s)


def test_minority_with_store_access_gets_no_shares(machine):
    """Guards against a fence without the promises of a majority."""
    instances = machine.cell.instances.values()
    allocator = next(i.name for i in instances if i.is_allocator())
    machine.split({allocator}, 16.0)
    machine.run_for(5.0)


def test_restarted_instance_does_not_regain_spent_tokens(machine):
    """Guards against a bucket that is full after a restart."""
    machine.surge_all("deep")
    for name in NAMES:
        machine.restart(name)
    machine.run_for(16.0)
    machine.surge_all("deep")


def test_moved_share_brings_no_tokens(machine):
    """Guards against a raised share that immediately adds tokens."""
    machine.surge_all("deep")
    machine.kill("i01")
    machine.run_for(16.0)
    machine.surge_all("deep")


def test_lent_tokens_are_not_refilled_twice():
    """Guards against a lender that refills tokens while its loan is in use."""
    workspace = "large"
    machine = QuotaMachine(homes=1)
    machine.run_for(10.0)
    instances = machine.cell.instances.values()
    holders = [i.name for i in instances if i.local_ledger.granted_ppm(workspace)]
    borrower = next(i for i in instances if i.name not in holders)
    state = borrower.admission._find_or_add_workspace_state(
        WORKSPACES_BY_NAME[workspace]
    )
    state.demand.record(machine.timers.now(), 800.0)  # leads to a large loan
    machine.request_until_refused(borrower.name, workspace, 1)
    machine.timers.advance(0.2)
    for name in [borrower.name, *holders]:
        machine.request_until_refused(name, workspace)
