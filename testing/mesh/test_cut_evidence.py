"""Connections that targets close, and connections that break with the path."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.mesh.choice_registry import COMPLETION_TIME, LEAST_LOADED
from lacewinglift.mesh.cut_evidence import COMPARISON_WINDOW_S, CutEvidence
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.timers import ManualTimers
from testing.mesh.test_target_table import make_target


def cut_once(choice, reused):
    table = MeshTargetTable(ManualTimers(100.0), "i-1", "milano")
    table.use_choice(choice)
    table.apply([make_target(number) for number in range(4)])
    attempt = table.acquire("cassa")
    attempt.finish(Outcome(OutcomeKind.CUT, 0.004, reused_connection=reused))
    return table, table.states[attempt.target.name]


@pytest.mark.parametrize(
    ("choice", "reused", "suspected"),
    [
        (COMPLETION_TIME, False, True),
        (COMPLETION_TIME, True, False),
        (LEAST_LOADED, False, False),
    ],
)
def test_closed_new_connection_is_evidence_at_once(choice, reused, suspected):
    """Guards against a target that resets requests until two instances lost one each.

    A connection that was idle may have been closed for its age.
    """
    _, state = cut_once(choice, reused)
    assert_that(state.is_suspected(), Equals(suspected))


def test_other_instances_suspect_the_target_too():
    """Guards against evidence that stays with the instance that lost a request."""
    table, state = cut_once(COMPLETION_TIME, reused=False)
    kinds = [event.kind for event in table.evidence()]
    assert_that(kinds, Equals([0]))
    assert_that(state.last_failure_at_s, Equals(100.0))


def test_connections_that_break_together_are_a_fault_of_the_path():
    """Load: all connections of an instance are reset within milliseconds.

    Guards against one instance with a broken path that makes the fleet suspect most
    targets of a service.
    """
    evidence = CutEvidence()
    verdicts = [evidence.is_fault_of_target(f"t{n}", 1.0) for n in range(10)]
    assert_that(verdicts.count(True), Equals(1))


def test_many_failing_targets_are_found_while_others_respond():
    """Load: three targets in ten close connections, and the others respond.

    Guards against a path that is blamed for a spell of several targets.
    """
    evidence = CutEvidence()
    for n in range(3, 10):
        evidence.record_response(f"t{n}", 1.0)
    verdicts = [evidence.is_fault_of_target(f"t{n}", 1.01) for n in range(3)]
    assert_that(verdicts, Equals([True, True, True]))


def test_old_cuts_do_not_count():
    """Guards against a reset of all connections that hides later failures."""
    evidence = CutEvidence()
    for n in range(10):
        evidence.is_fault_of_target(f"t{n}", 1.0)
    later_s = 1.01 + COMPARISON_WINDOW_S
    assert_that(evidence.is_fault_of_target("t1", later_s), Equals(True))
