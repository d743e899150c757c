"""Estimate of what other instances have admitted and not reported yet."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from lacewinglift.configuration import Configuration, Fleet, Workspace
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.fleet_limits import FleetQuota
from lacewinglift.mesh.unreported_usage import RateTolerance, UnreportedUsage
from lacewinglift.timers import ManualTimers

REPORT_DELAY_S = 0.75
HOUSE = Workspace("house", rate_per_s=100.0, burst=100)
TOLERANCE = RateTolerance(fraction=0.1, slack=20.0, window_s=5.0)
PEERS_PER_S = 60
OWN_PER_S = 2


@pytest.fixture
def usage():
    """Usage of a workspace that sends evenly, a thirtieth of it to this instance."""
    usage = UnreportedUsage.since(0.0)
    for second in range(20):
        usage.record_peers(second, PEERS_PER_S)
        for number in range(OWN_PER_S):
            usage.record_own(second + number / OWN_PER_S)
    return usage


def test_others_are_expected_to_go_on_as_usual(usage):
    """Guards against an estimate that forgets the usual use of the others."""
    estimate = usage.estimate(20.0, REPORT_DELAY_S)
    assert_that(estimate, GreaterThan(0.7 * PEERS_PER_S * REPORT_DELAY_S))
    assert_that(estimate, LessThan(1.5 * PEERS_PER_S * REPORT_DELAY_S))


def test_surge_here_is_expected_at_the_others_too(usage):
    """Load: the workspace sends eight times its usual rate.

    Guards against an instance that admits its part of the surge as if it were alone.
    """
    before = usage.estimate(20.0, REPORT_DELAY_S)
    for number in range(12):
        usage.record_own(20.0 + 0.06 * number)
    assert_that(usage.estimate(20.7, REPORT_DELAY_S), GreaterThan(3.0 * before))


def test_reports_that_come_at_once_leave_nothing_unreported(usage):
    """Guards against a small fleet that holds back what it knows to be free."""
    usage.record_own(20.0)
    assert_that(usage.estimate(20.0, 0.0), Equals(0.0))


def test_single_instance_that_serves_a_workspace_holds_nothing_back():
    """Guards against refusing a surge whose callers all use one instance."""
    usage = UnreportedUsage.since(0.0)
    for number in range(40):
        usage.record_own(0.01 * number)
    assert_that(usage.estimate(0.4, REPORT_DELAY_S), Equals(0.0))


def make_quota(timers, report_delay_s):
    quota = FleetQuota(
        timers,
        lambda: 1.0,
        report_delay_s=lambda: report_delay_s,
        tolerance=TOLERANCE,
    )
    quota.apply(Configuration(1, Fleet("f"), {}, (), {HOUSE.name: HOUSE}))
    return quota


def admitted_in_a_surge(report_delay_s):
    """Return what one instance of thirty admits of a surge, until a report comes."""
    timers = ManualTimers()
    quota = make_quota(timers, report_delay_s)
    heartbeat = beats_pb2.Beat(instance="peer", incarnation=1)
    quota.record_peer_usage(heartbeat)
    for second in range(1, 11):
        heartbeat.ClearField("usages")
        heartbeat.usages.add(workspace="house", admitted=PEERS_PER_S * second)
        quota.record_peer_usage(heartbeat)
        for _ in range(OWN_PER_S):
            timers.advance(1.0 / OWN_PER_S)
            assert quota.admit(HOUSE).admitted
    return sum(quota.admit(HOUSE).admitted for _ in range(100))


def test_instance_admits_its_part_of_the_tokens_in_a_surge():
    """Load: a surge through thirty instances, whose reports take 0.75 s.

    Guards against instances that each admit all tokens; 100 are there, a quarter of a
    second of the rate may wait, and half of the tolerated 80 may be unreported.
    """
    assert_that(admitted_in_a_surge(REPORT_DELAY_S), LessThan(20))


def test_instance_admits_all_tokens_where_reports_come_at_once():
    """Guards against decisions that change in fleets whose reports are not late."""
    assert_that(admitted_in_a_surge(0.0), GreaterThan(99))
