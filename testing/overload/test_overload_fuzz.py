"""Stateful fuzzing of admission, waiting and return.

A long run, here of 100,000 steps:
    OVERLOAD_FUZZ_EXAMPLES=1000 pytest testing/overload/test_overload_fuzz.py
"""

import os

from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lacewinglift.mesh.target_state import MAX_LOAD
from lacewinglift.mesh.target_table import MeshAttempt
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.overload.return_times import MAX_RETURN_S, MIN_RETURN_S
from lacewinglift.overload.service_control import Refused
from testing.overload.overload_tables import (
    SERVICE,
    ControlledTable,
    make_configuration,
    make_targets,
)

EXAMPLES = int(os.environ.get("OVERLOAD_FUZZ_EXAMPLES", "25"))
STEPS = 100


class OverloadMachine(RuleBasedStateMachine):
    """Requests of three priorities at one instance with few targets."""

    def __init__(self):
        super().__init__()
        self.fixture = ControlledTable.make(targets=3, worker_threads=24)
        self.control = self.fixture.control
        self.attempts = []
        self.waiters = []
        self.refused = []
        self.number = 0

    def settle(self, decision):
        if isinstance(decision, MeshAttempt):
            self.attempts.append(decision)
        elif isinstance(decision, Refused):
            assert MIN_RETURN_S <= decision.retry_after_s <= MAX_RETURN_S
        elif decision is not None:
            self.waiters.append(decision)

    def settle_waiters(self):
        """Conclude the waits that have ended, as their worker threads would."""
        ended = [each for each in self.waiters if not each.is_pending()]
        self.waiters = [each for each in self.waiters if each.is_pending()]
        for each in ended:
            assert (each.grant is not None) == (each.end_reason == "granted")
            self.settle(self.control.conclude(each))

    @rule(
        priority=st.integers(0, 3),
        objective_s=st.sampled_from([None, 0.1, 0.8, 4.0]),
        timeout_s=st.sampled_from([0.05, 0.5, 2.0]),
        excluded=st.integers(0, 3),
        returns=st.booleans(),
        workspace=st.sampled_from("ab"),
    )
    def arrive(self, priority, objective_s, timeout_s, excluded, returns, workspace):
        if not returns:
            self.number += 1
        fields = {"objective_s": objective_s, "workspace": workspace}
        fields["request_id"] = f"r{self.number}"
        demand = self.fixture.demand(priority, timeout_s, **fields)
        exclude = frozenset(f"t{each}" for each in range(excluded))
        decision = self.control.decide(demand, exclude, priority == 2)
        if isinstance(decision, MeshAttempt):
            assert decision.target.name not in exclude
        self.settle(decision)

    @rule(index=st.integers(0, 50), kind=st.sampled_from(OutcomeKind))
    def finish(self, index, kind):
        if self.attempts:
            attempt = self.attempts.pop(index % len(self.attempts))
            attempt.finish(Outcome(kind, 0.3))
            self.settle_waiters()

    @rule(duration_s=st.sampled_from([0.001, 0.05, 0.3, 1.7]))
    def advance(self, duration_s):
        self.fixture.timers.advance(duration_s)

    @rule(in_flight=st.integers(0, 13), peer=st.sampled_from("bc"))
    def report_load(self, in_flight, peer):
        self.fixture.report_load(in_flight, peer)

    @rule(count=st.integers(0, 3), instances=st.integers(0, 9), part=st.floats(0, 1))
    def change_fleet(self, count, instances, part):
        self.fixture.table.apply(make_targets(count))
        self.control.update_fleet(instances, part)

    @rule(priorities=st.sampled_from([(0, 1, 2), (0, 2), (1,), ()]))
    def change_configuration(self, priorities):
        self.control.apply(make_configuration(*priorities))
        self.settle_waiters()

    @rule(index=st.integers(0, 9))
    def cancel(self, index):
        if self.waiters:
            waiter = self.waiters.pop(index % len(self.waiters))
            self.control.withdraw(waiter, "cancelled")
            if waiter.grant is not None:
                self.attempts.append(waiter.grant)

    @rule()
    def search(self):
        self.fixture.timers.advance(0.02)
        if not self.waiters:
            return
        self.control.search(self.waiters[0])
        self.settle_waiters()
        now = self.fixture.timers.now()
        assert all(each.latest_start_s >= now for each in self.waiters)

    @invariant()
    def waiting_requests_are_those_of_the_queue(self):
        """Guards against waits that no decision ends, or that end twice."""
        control = self.control.services.get(SERVICE)
        queued = control.queue.waiters if control else []
        pending = [each for each in self.waiters if each.is_pending()]
        assert sorted(map(id, queued)) == sorted(map(id, pending))
        assert queued == sorted(queued, key=lambda each: each.order())
        assert self.control.space.used == len(queued) <= self.control.space.capacity

    @invariant()
    def every_attempt_is_counted_once(self):
        """Guards against slots that stay occupied after a wait was cancelled."""
        granted = [each.grant for each in self.waiters if each.grant is not None]
        in_flight = [each for each in (*self.attempts, *granted) if not each.finished]
        for state in self.fixture.table.states.values():
            own = [each for each in in_flight if each.state is state]
            assert state.in_flight == len(own) <= MAX_LOAD * state.registered.slots


seed(35)(OverloadMachine)
TestOverload = OverloadMachine.TestCase
TestOverload.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
