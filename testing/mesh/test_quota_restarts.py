"""Rates of workspaces while instances restart, which do not know the earlier use."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from lacewinglift.mesh.retry_budgets import RetryLimits
from testing.mesh.limits_fleet import HOUSE, LimitsFleet

LIMITS = RetryLimits(per_request=0.2, window_s=10.0, slack=58.0)
HOT_RATE_PER_S = 7.5 * HOUSE.rate_per_s


@pytest.fixture(params=[(12, 0.2), (36, 0.5)], ids=["12", "36"])
def fleet(request):
    size, heartbeat_interval_s = request.param
    fleet = LimitsFleet(size, LIMITS, heartbeat_interval_s)
    fleet.run_workspace(10.0, HOUSE.rate_per_s / 2)
    return fleet


def restart_in_turn(fleet, at_once, interval_s, rate_per_s):
    processes = list(fleet.processes)
    for start in range(0, len(processes), at_once):
        fleet.restart(processes[start : start + at_once])
        fleet.run_workspace(interval_s, rate_per_s)


def test_instances_that_restart_do_not_get_the_burst_again(fleet):
    """Load: a workspace sends 7.5 times its rate; four instances restart at a time.

    Guards against a burst for each new process, and against others that do not count
    what a process has admitted before they first hear of it.
    """
    fleet.run_workspace(1.0, HOT_RATE_PER_S)
    for _ in range(2):
        restart_in_turn(fleet, 4, 0.6, HOT_RATE_PER_S)
    assert_that(fleet.admissions_over_the_rule(), LessThan(0.001))


def test_fleet_that_restarts_does_not_admit_the_rate_once_for_each_instance(fleet):
    """Load: a workspace sends 7.5 times its rate; all instances restart together.

    Guards against instances that each admit the whole rate until they hear each other.
    """
    fleet.run_workspace(5.0, HOT_RATE_PER_S)
    for _ in range(2):
        fleet.restart(list(fleet.processes))
        fleet.run_workspace(4.0, HOT_RATE_PER_S)
    assert_that(fleet.admissions_over_the_rule(), LessThan(0.001))


def test_requests_within_the_rate_are_admitted_while_instances_restart(fleet):
    """Load: a workspace sends two thirds of its rate while instances restart in turn.

    Guards against new processes that refuse what the workspace is owed.
    """
    before = len(fleet.admission_times_s)
    started_s = fleet.timers.now()
    restart_in_turn(fleet, 2, 1.0, HOUSE.rate_per_s * 2 / 3)
    admitted = len(fleet.admission_times_s) - before
    sent = (fleet.timers.now() - started_s) * HOUSE.rate_per_s * 2 / 3
    assert_that(admitted, GreaterThan(0.99 * sent))
