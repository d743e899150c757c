import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from lacewinglift.configuration import Configuration, Fleet, Workspace
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.fleet_limits import (
    MAX_TOKEN_WAIT_S,
    MIN_BURST_S,
    FleetQuota,
    FleetRetryBudgets,
    RetryLimits,
    SlidingWindowCounter,
)
from lacewinglift.timers import ManualTimers

HOUSE = Workspace("house", rate_per_s=10.0, burst=10)


def make_configuration(rate_per_s=10.0):
    house = Workspace("house", rate_per_s, 10)
    return Configuration(1, Fleet("f"), {}, (), {"house": house})


@pytest.fixture
def timers():
    return ManualTimers()


@pytest.fixture
def fleet(timers):
    """Three instances whose datagrams arrive when a test says so."""
    quotas = [FleetQuota(timers, lambda: 1.0) for _ in range(3)]
    for quota in quotas:
        quota.apply(make_configuration())
    tell(quotas)
    return quotas


def tell(quotas):
    for sender, quota in enumerate(quotas):
        heartbeat = beats_pb2.Beat(instance=f"f{sender}", incarnation=1)
        heartbeat.usages.extend(quota.usages(full=True))
        for receiver, other in enumerate(quotas):
            if receiver != sender:
                other.record_peer_usage(heartbeat)


def admitted(quota, tries):
    return sum(quota.admit(HOUSE).admitted for _ in range(tries))


def test_hot_workspace_stays_within_its_rate_over_all_instances(fleet, timers):
    """Load: one workspace sends eight times its rate to every instance alike.

    Guards against instances that each admit the whole rate.
    """
    timers.advance(2.0)
    total = 0
    for _ in range(100):
        total += sum(admitted(quota, 3) for quota in fleet)
        tell(fleet)
        timers.advance(0.1)
    # 10 s of the rate, one burst, and what is admitted before it is heard.
    assert_that(total, LessThan(10 * 10 + 10 + 9 + 1 + 3 * 10 * MAX_TOKEN_WAIT_S))


def test_request_waits_for_a_token_that_is_on_its_way(fleet, timers):
    """Load: a workspace at its rate, its requests at uneven distances.

    Guards against refusals of requests whose token comes in a moment.
    """
    timers.advance(2.0)
    assert_that(admitted(fleet[0], 10), Equals(10))
    decision = fleet[0].admit(HOUSE)
    assert decision.admitted
    assert_that(decision.wait_s, GreaterThan(0.0))
    assert_that(decision.wait_s, LessThan(MAX_TOKEN_WAIT_S + 0.001))


def test_workspace_far_beyond_its_rate_is_refused_at_once(fleet, timers):
    """Load: one workspace sends many times its rate.

    Guards against worker threads that all wait for tokens of one workspace.
    """
    timers.advance(2.0)
    waits = [fleet[0].admit(HOUSE) for _ in range(100)]
    held = [each for each in waits if each.admitted and each.wait_s > 0]
    assert_that(len(held), LessThan(10 * MAX_TOKEN_WAIT_S + 1))


def test_rate_is_fully_usable_through_any_instance(fleet, timers):
    """Load: all callers of a workspace use one instance.

    Guards against fixed parts of a rate, which refuse requests within it.
    """
    timers.advance(2.0)
    refused = 0
    for _ in range(90):
        refused += not fleet[0].admit(HOUSE).admitted
        tell(fleet)
        timers.advance(1 / 9)
    assert_that(refused, Equals(0))


def test_instances_cut_off_from_each_other_share_the_rate(timers):
    """Guards against two halves of a fleet that both admit the whole rate."""
    halves = [FleetQuota(timers, lambda: 0.5) for _ in range(2)]
    for quota in halves:
        quota.apply(make_configuration())
    total = 0
    for _ in range(100):
        total += sum(admitted(quota, 3) for quota in halves)
        timers.advance(0.1)
    # 10 s of the rate, one burst, and what waits for its token at the end.
    assert_that(total, LessThan(10 * 10 + 10 + 2 + 10 * MAX_TOKEN_WAIT_S))


def test_refusal_names_the_time_until_a_token(fleet, timers):
    """Guards against callers that come back before, or long after, a token."""
    timers.advance(2.0)
    admitted(fleet[0], 14)
    decision = fleet[0].admit(HOUSE)
    assert not decision.admitted
    timers.advance(decision.retry_after_s + 0.001)
    assert fleet[0].admit(HOUSE).admitted


def test_restarted_fleet_does_not_spend_the_burst_again(timers):
    """Guards against a second burst within a window when all instances restart."""
    quota = FleetQuota(timers, lambda: 1.0)
    quota.apply(make_configuration())
    assert_that(
        admitted(quota, 20), LessThan(10 * (MIN_BURST_S + MAX_TOKEN_WAIT_S) + 1)
    )


def test_requests_that_come_together_are_within_a_rate_without_burst(timers):
    """Load: two requests of a workspace at once, far below its rate.

    Guards against a bucket of one token, which refuses every second one.
    """
    quota = FleetQuota(timers, lambda: 1.0)
    house = Workspace("house", rate_per_s=100.0, burst=0)
    quota.apply(Configuration(1, Fleet("f"), {}, (), {"house": house}))
    assert_that(admitted(quota, 5), Equals(5))


def test_counts_of_an_instance_heard_late_are_no_new_use(timers):
    """Guards against refusals at a new instance for what was used before it."""
    quota = FleetQuota(timers, lambda: 1.0)
    quota.apply(make_configuration())
    timers.advance(2.0)
    old = beats_pb2.Beat(instance="old", incarnation=1)
    old.usages.add(workspace="house", admitted=500)
    quota.record_peer_usage(old)
    assert quota.admit(HOUSE).admitted


def test_first_use_by_a_known_instance_is_charged(timers):
    """Guards against use that is missed because its count was zero before."""
    quota = FleetQuota(timers, lambda: 1.0)
    quota.apply(make_configuration())
    timers.advance(2.0)
    heartbeat = beats_pb2.Beat(instance="peer", incarnation=1)
    quota.record_peer_usage(heartbeat)
    quota.record_peer_usage(heartbeat)
    heartbeat.usages.add(workspace="house", admitted=20)
    quota.record_peer_usage(heartbeat)
    assert not quota.admit(HOUSE).admitted


def test_sliding_count_forgets_what_is_older_than_its_window(timers):
    """Guards against a budget that grows with all requests ever made."""
    count = SlidingWindowCounter(timers, window_s=10.0)
    count.add(5)
    timers.advance(6.0)
    count.add(2)
    assert_that(count.total(), Equals(7))
    timers.advance(5.1)
    assert_that(count.total(), Equals(2))


def test_retry_budget_is_one_for_all_instances(timers):
    """Load: every request fails once, at ten instances at the same time.

    Guards against resends that each instance counts for itself.
    """
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
