"""What the fleet knows of targets that shed requests."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from lacewinglift.mesh.shedding import (
    REPORT_INTERVAL_S,
    SHEDDING_HOLD_S,
    SheddingReports,
)
from lacewinglift.timers import ManualTimers

BORN_MS = 7


@pytest.fixture
def timers():
    return ManualTimers()


@pytest.fixture
def instances(timers):
    return [SheddingReports(timers) for _ in range(48)]


def share(instances):
    messages = [message for each in instances for message in each.messages()]
    for each in instances:
        each.receive(messages)


def test_all_instances_learn_of_a_refusal_at_one(instances):
    """Guards against an instance that must be refused itself to avoid a target."""
    instances[0].record("t1", BORN_MS)
    share(instances)
    known = [each.is_shedding("t1", BORN_MS) for each in instances]
    assert_that(known, Equals([True] * len(instances)))


def test_target_is_used_again_after_the_hold_time(instances, timers):
    """Guards against a target that recovered and gets no further request."""
    instances[0].record("t1", BORN_MS)
    share(instances)
    timers.advance(SHEDDING_HOLD_S + 0.01)
    assert_that(instances[1].is_shedding("t1", BORN_MS), Equals(False))


def test_restarted_target_is_not_taken_for_its_predecessor(instances):
    """Guards against a new incarnation that is avoided for what the old one did."""
    instances[0].record("t1", BORN_MS)
    assert_that(instances[0].is_shedding("t1", BORN_MS + 1), Equals(False))


def test_reports_do_not_grow_with_the_requests(instances, timers):
    """Load: each of 48 instances is refused by the same target 100 times a second.

    Guards against reports that grow with the requests of an overloaded service.
    """
    reports = 0
    for step in range(500):
        instance = instances[step % len(instances)]
        reports += instance.record("t1", BORN_MS)
        share(instances)
        timers.advance(0.01)
    assert_that(reports, LessThan(5.0 / REPORT_INTERVAL_S + 2))


def test_expired_reports_are_forgotten(instances, timers):
    """Guards against memory that grows with the targets of the past."""
    instances[0].record("t1", BORN_MS)
    timers.advance(SHEDDING_HOLD_S + 0.01)
    instances[0].remove_expired()
    instances[0].messages()
    assert_that(instances[0].shed_at_s, HasLength(0))
    assert_that(instances[0].own_reports, HasLength(0))
