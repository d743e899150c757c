"""The retry budget of a fleet whose instances do not know each other's last resends."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.retry_budgets import FleetRetryBudgets, RetryLimits
from lacewinglift.timers import ManualTimers
from testing.mesh.limits_fleet import LimitsFleet

LIMITS = RetryLimits(per_request=0.2, window_s=10.0, slack=58.0)
LARGE_FLEET_LIMITS = RetryLimits(per_request=0.2, window_s=10.0, slack=172.0)


@pytest.fixture
def fleet():
    """Twelve instances that serve callers, as on a site of 36."""
    return LimitsFleet(12, LIMITS, heartbeat_interval_s=0.2)


@pytest.mark.parametrize(
    ("size", "limits", "interval_s", "rate_per_s"),
    [
        (12, LIMITS, 0.2, 60.0),
        (36, LIMITS, 0.5, 60.0),
        (60, LARGE_FLEET_LIMITS, 0.5, 200.0),
    ],
)
def test_instances_do_not_all_spend_the_same_remainder(
    size, limits, interval_s, rate_per_s
):
    """Load: targets refuse what they get, so each request is to be resent thrice.

    Guards against instances that each take all that is left of the budget for their
    own until they hear what the others have spent.
    """
    fleet = LimitsFleet(size, limits, interval_s)
    fleet.run(10.0, rate_per_s, 0)
    fleet.run(25.0, rate_per_s, 3)
    assert_that(fleet.resends_over_the_rule(), LessThan(0.001))


def test_budget_holds_while_heartbeats_are_lost():
    """Load: as above, with one heartbeat in five lost.

    Guards against an estimate of what others spend that needs each heartbeat.
    """
    fleet = LimitsFleet(12, LIMITS, 0.2, lost_heartbeats=0.2)
    fleet.run(10.0, 60.0, 0)
    fleet.run(25.0, 60.0, 3)
    assert_that(fleet.resends_over_the_rule(), LessThan(0.001))


def test_halves_that_do_not_hear_each_other_stay_within_the_budget(fleet):
    """Load: as above, while the fleet is cut in two halves.

    Guards against halves that each spend the whole budget.
    """
    fleet.run(10.0, 60.0, 0)
    fleet.groups = {each.name: 1 for each in fleet.processes[::2]}
    fleet.run(15.0, 60.0, 3)
    assert_that(fleet.resends_over_the_rule(), LessThan(0.001))


def test_instance_that_restarts_does_not_get_the_slack_again(fleet):
    """Load: each request is to be resent thrice, while instances restart in turn.

    Guards against a new process that takes the whole slack for unspent, and against
    others that forget what the old process has spent.
    """
    fleet.run(10.0, 60.0, 0)
    fleet.run(2.0, 60.0, 3)
    for _ in range(2):
        for process in list(fleet.processes):
            fleet.restart([process])
            fleet.run(0.5, 60.0, 3)
    assert_that(fleet.resends_over_the_rule(), LessThan(0.001))


@pytest.mark.parametrize("restart_interval_s", [5.0, 8.0])
@pytest.mark.parametrize("spent_before_s", [2.0, 5.0, 12.0])
def test_fleet_that_restarts_does_not_get_the_budget_again(
    fleet, spent_before_s, restart_interval_s
):
    """Load: each request is to be resent thrice; all instances restart together, twice.

    Guards against a budget that is there once more for each restart within a window.
    """
    fleet.run(10.0, 60.0, 0)
    fleet.run(spent_before_s, 60.0, 3)
    for _ in range(2):
        fleet.restart(list(fleet.processes))
        fleet.run(restart_interval_s, 60.0, 3)
    fleet.run(10.0, 60.0, 3)
    assert_that(fleet.resends_over_the_rule(), LessThan(0.001))


def test_first_resends_of_a_new_process_count_at_the_others(fleet):
    """Load: instances restart, resend at once and are heard of only afterwards.

    Guards against taking the first counts of a process as those of an earlier time.
    """
    fleet.run(10.0, 60.0, 0)
    for process in list(fleet.processes):
        fleet.restart([process])
        fleet.run(0.8, 60.0, 3)
    assert_that(fleet.resends_over_the_rule(), LessThan(0.001))


@pytest.mark.parametrize(
    ("size", "limits", "rate_per_s"),
    [(12, LIMITS, 30.0), (60, LARGE_FLEET_LIMITS, 100.0)],
)
def test_slack_serves_a_burst_of_failures(size, limits, rate_per_s):
    """Load: for two seconds, each request fails once, as when targets crash.

    Guards against a budget that is kept from callers: half of the slack is to be there
    at once, besides the resends that the requests themselves allow.
    """
    fleet = LimitsFleet(size, limits, heartbeat_interval_s=0.2)
    fleet.run(10.0, rate_per_s, 0)
    fleet.run(2.0, 2 * rate_per_s, 1)
    expected = limits.per_request * 10 * rate_per_s + limits.slack / 2
    assert_that(len(fleet.resend_times_s), GreaterThan(expected))


@pytest.mark.parametrize(
    ("size", "limits", "rate_per_s", "failing"),
    [
        (12, LIMITS, 60.0, 1 / 6),
        (12, LIMITS, 30.0, 1 / 4),
        (60, LARGE_FLEET_LIMITS, 100.0, 1 / 4),
    ],
)
def test_failures_within_the_budget_are_all_resent(size, limits, rate_per_s, failing):
    """Load: one request in six or four fails, for a long time.

    Guards against instances that refuse resends although the fleet is within its
    budget, since each of them has only a part of it.
    """
    fleet = LimitsFleet(size, limits, heartbeat_interval_s=0.2)
    fleet.run(10.0, rate_per_s, 0)
    for _ in range(60):
        fleet.run(0.5 * (1 - failing), rate_per_s, 0)
        fleet.run(0.5 * failing, rate_per_s, 1)
    expected = 30 * rate_per_s * failing
    assert_that(len(fleet.resend_times_s), GreaterThan(0.95 * expected))


def test_retry_budget_is_shared_by_all_instances():
    """Load: every request fails once, at ten instances at the same time.

    Guards against resends that each instance limits only by its own counts.
    """
    timers = ManualTimers()
    limits = RetryLimits(per_request=0.2, window_s=10.0, slack=50.0)
    fleet = [FleetRetryBudgets(timers, limits, lambda: 1.0) for _ in range(10)]
    resends = 0
    for _ in range(100):
        for number, budgets in enumerate(fleet):
            budget = budgets.budget_for("cassa")
            budget.record_request()
            resends += budget.try_acquire()
            heartbeat = beats_pb2.Beat(instance=f"f{number}", incarnation=1)
            heartbeat.resends.extend(budgets.resend_counts(full=True))
            for other in fleet:
                if other is not budgets:
                    other.record_peer_resends(heartbeat)
        timers.advance(0.1)
    assert_that(resends, GreaterThan(200))
    assert_that(resends, LessThan(0.2 * 1000 + 50 + 1))
