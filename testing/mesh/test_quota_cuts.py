"""Rates of workspaces while instances are cut off from each other."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from lacewinglift.mesh.retry_budgets import RetryLimits
from lacewinglift.mesh.unreported_usage import RateTolerance
from testing.mesh.limits_fleet import (
    HOUSE,
    QUOTA_SLACK,
    QUOTA_TOLERANCE,
    QUOTA_WINDOW_S,
    LimitsFleet,
)

LIMITS = RetryLimits(per_request=0.2, window_s=10.0, slack=58.0)
TOLERANCE = RateTolerance(QUOTA_TOLERANCE, QUOTA_SLACK, QUOTA_WINDOW_S)
USUAL_RATE_PER_S = HOUSE.rate_per_s * 2 / 3
HOT_RATE_PER_S = 7.5 * USUAL_RATE_PER_S
SIZE = 40
CUT_SHARE = 0.35
CUT_S = 12.0


@pytest.fixture
def fleet():
    fleet = LimitsFleet(SIZE, LIMITS, heartbeat_interval_s=0.1, tolerance=TOLERANCE)
    fleet.run_workspace(10.0, USUAL_RATE_PER_S)
    return fleet


def partition(fleet, share):
    """Cut a share of the instances off from the others, but not from each other."""
    names = [process.name for process in fleet.processes]
    fleet.groups = dict.fromkeys(names[: round(share * len(names))], "cut")


def isolate(fleet, share):
    """Cut a share of the instances off from all others, each by itself."""
    names = [process.name for process in fleet.processes]
    fleet.groups = {name: name for name in names[: round(share * len(names))]}


def test_both_sides_of_a_partition_share_the_rate(fleet):
    """Load: a workspace sends 7.5 times its usual rate to a fleet in two parts.

    Guards against buckets that reports of other instances refill by the whole rate.
    """
    partition(fleet, CUT_SHARE)
    fleet.run_workspace(3.0, USUAL_RATE_PER_S)
    fleet.run_workspace(3.0, HOT_RATE_PER_S)
    before = len(fleet.admission_times_s)
    fleet.run_workspace(QUOTA_WINDOW_S, HOT_RATE_PER_S)
    admitted = len(fleet.admission_times_s) - before
    assert_that(admitted, LessThan(1.1 * HOUSE.rate_per_s * QUOTA_WINDOW_S))
    assert_that(admitted, GreaterThan(0.8 * HOUSE.rate_per_s * QUOTA_WINDOW_S))


@pytest.mark.parametrize("cut", [partition, isolate])
@pytest.mark.parametrize("onset_s", [0.0, 0.3, 1.0, 3.0])
def test_surge_while_a_part_is_cut_off(fleet, onset_s, cut):
    """Load: a workspace sends 7.5 times its usual rate, some time after a cut.

    Guards against parts that each grant the whole rate and burst until they miss the
    others, and a burst each after that.
    """
    for _ in range(2):
        cut(fleet, CUT_SHARE)
        fleet.run_workspace(onset_s, USUAL_RATE_PER_S)
        fleet.run_workspace(6.5, HOT_RATE_PER_S)
        fleet.run_workspace(CUT_S - onset_s - 6.5, USUAL_RATE_PER_S)
        fleet.groups = {}
        fleet.run_workspace(5.0, USUAL_RATE_PER_S)
    assert_that(fleet.admissions_over_the_rule(), LessThan(0.001))


def test_usual_requests_are_admitted_on_both_sides_of_a_partition(fleet):
    """Guards against a part that holds back tokens for which the other has no use."""
    partition(fleet, CUT_SHARE)
    before = len(fleet.admission_times_s)
    fleet.run_workspace(CUT_S, USUAL_RATE_PER_S)
    admitted = len(fleet.admission_times_s) - before
    assert_that(admitted, GreaterThan(0.99 * CUT_S * USUAL_RATE_PER_S))


@pytest.mark.parametrize("cut", [isolate, partition])
def test_usual_requests_are_admitted_once_a_cut_is_healed(fleet, cut):
    """Guards against buckets that are charged for what was withheld from them already.

    The reports of a cut come all at once when it is healed.
    """
    cut(fleet, CUT_SHARE)
    fleet.run_workspace(CUT_S, USUAL_RATE_PER_S)
    fleet.groups = {}
    fleet.run_workspace(2.0, USUAL_RATE_PER_S)
    before = len(fleet.admission_times_s)
    fleet.run_workspace(10.0, USUAL_RATE_PER_S)
    admitted = len(fleet.admission_times_s) - before
    assert_that(admitted, GreaterThan(0.99 * 10.0 * USUAL_RATE_PER_S))
