import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from lacewinglift.configuration import Configuration, Fleet, Workspace
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.fleet_history import FleetHistory
from lacewinglift.mesh.fleet_limits import (
    MAX_TOKEN_WAIT_S,
    MIN_BURST_S,
    FleetQuota,
)
from lacewinglift.mesh.members import MemberTable
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
    """Quotas of three instances; `exchange_usage` delivers their heartbeats."""
    quotas = [FleetQuota(timers, lambda: 1.0) for _ in range(3)]
    for quota in quotas:
        quota.apply(make_configuration())
    exchange_usage(quotas)
    return quotas


def exchange_usage(quotas):
    for sender, quota in enumerate(quotas):
        heartbeat = beats_pb2.Beat(instance=f"f{sender}", incarnation=1)
        heartbeat.usages.extend(quota.usages(full=True))
        for receiver, other in enumerate(quotas):
            if receiver != sender:
                other.record_peer_usage(heartbeat)


def count_admitted(quota, tries):
    return sum(quota.admit(HOUSE).admitted for _ in range(tries))


def test_hot_workspace_stays_within_its_rate_over_all_instances(fleet, timers):
    """Load: one workspace sends nine times its rate, evenly to all instances.

    Guards against instances that each admit the whole rate.
    """
    timers.advance(2.0)
    total = 0
    for _ in range(100):
        total += sum(count_admitted(quota, 3) for quota in fleet)
        exchange_usage(fleet)
        timers.advance(0.1)
    # 10 s of the rate, one burst, and what is admitted before the others know of it.
    assert_that(total, LessThan(10 * 10 + 10 + 9 + 1 + 3 * 10 * MAX_TOKEN_WAIT_S))


def test_request_waits_for_a_token_that_is_available_soon(fleet, timers):
    """Load: a workspace at its rate, with requests that are not evenly spaced.

    Guards against refusing requests whose token becomes available shortly.
    """
    timers.advance(2.0)
    assert_that(count_admitted(fleet[0], 10), Equals(10))
    decision = fleet[0].admit(HOUSE)
    assert decision.admitted
    assert_that(decision.wait_s, GreaterThan(0.0))
    assert_that(decision.wait_s, LessThan(MAX_TOKEN_WAIT_S + 0.001))


def test_workspace_far_beyond_its_rate_is_refused_at_once(fleet, timers):
    """Load: one workspace sends many times its rate.

    Guards against blocking all worker threads on tokens of one workspace.
    """
    timers.advance(2.0)
    decisions = [fleet[0].admit(HOUSE) for _ in range(100)]
    waiting = [each for each in decisions if each.admitted and each.wait_s > 0]
    assert_that(len(waiting), LessThan(10 * MAX_TOKEN_WAIT_S + 1))


def test_full_rate_is_usable_through_any_instance(fleet, timers):
    """Load: all callers of a workspace use one instance.

    Guards against a fixed fraction of the rate for each instance, with which requests
    within the rate are refused.
    """
    timers.advance(2.0)
    refused = 0
    for _ in range(90):
        refused += not fleet[0].admit(HOUSE).admitted
        exchange_usage(fleet)
        timers.advance(1 / 9)
    assert_that(refused, Equals(0))


def test_partitioned_instances_share_the_rate(timers):
    """Guards against a partitioned fleet whose halves both admit the whole rate."""
    halves = [FleetQuota(timers, lambda: 0.5) for _ in range(2)]
    for quota in halves:
        quota.apply(make_configuration())
    total = 0
    for _ in range(100):
        total += sum(count_admitted(quota, 3) for quota in halves)
        timers.advance(0.1)
    # 10 s of the rate, one burst, and the requests that wait for a token at the end.
    assert_that(total, LessThan(10 * 10 + 10 + 2 + 10 * MAX_TOKEN_WAIT_S))


def test_refusal_states_the_time_until_a_token_is_available(fleet, timers):
    """Guards against callers that retry before a token is available, or long after."""
    timers.advance(2.0)
    count_admitted(fleet[0], 14)
    decision = fleet[0].admit(HOUSE)
    assert not decision.admitted
    timers.advance(decision.retry_after_s + 0.001)
    assert fleet[0].admit(HOUSE).admitted


def test_restarted_fleet_does_not_grant_the_burst_again(timers):
    """Guards against granting the burst again when all instances restart."""
    quota = FleetQuota(timers, lambda: 1.0)
    quota.apply(make_configuration())
    assert_that(
        count_admitted(quota, 20), LessThan(10 * (MIN_BURST_S + MAX_TOKEN_WAIT_S) + 1)
    )


def test_simultaneous_requests_are_admitted_without_configured_burst(timers):
    """Load: two requests of a workspace at once, far below its rate.

    Guards against a bucket of one token, which refuses every second request.
    """
    quota = FleetQuota(timers, lambda: 1.0)
    house = Workspace("house", rate_per_s=100.0, burst=0)
    quota.apply(Configuration(1, Fleet("f"), {}, (), {"house": house}))
    assert_that(count_admitted(quota, 5), Equals(5))


def test_first_counts_of_a_running_instance_are_not_charged(timers):
    """Guards against a new instance charging what was used before its start."""
    quota = FleetQuota(timers, lambda: 1.0)
    quota.apply(make_configuration())
    timers.advance(2.0)
    old = beats_pb2.Beat(instance="old", incarnation=1)
    old.usages.add(workspace="house", admitted=500)
    quota.record_peer_usage(old)
    assert quota.admit(HOUSE).admitted


def test_first_usage_by_a_known_instance_is_charged(timers):
    """Guards against missing usage whose count was zero before."""
    quota = FleetQuota(timers, lambda: 1.0)
    quota.apply(make_configuration())
    timers.advance(2.0)
    heartbeat = beats_pb2.Beat(instance="peer", incarnation=1)
    quota.record_peer_usage(heartbeat)
    quota.record_peer_usage(heartbeat)
    heartbeat.usages.add(workspace="house", admitted=20)
    quota.record_peer_usage(heartbeat)
    assert not quota.admit(HOUSE).admitted


def test_first_counts_of_an_old_instance_are_not_charged_to_a_first_start(timers):
    """Guards against charging at once what an instance admitted while cut off."""
    members = MemberTable("self", timers)
    history = FleetHistory(timers, members, first_start=True)
    quota = FleetQuota(timers, lambda: 1.0, history)
    quota.apply(make_configuration())
    timers.advance(2.0)
    old = beats_pb2.Beat(instance="old", incarnation=1, history_ms=history.own_ms())
    old.usages.add(workspace="house", admitted=500)
    quota.record_peer_usage(old)
    assert quota.admit(HOUSE).admitted


def test_restarted_instance_takes_the_present_level_from_its_peers(timers):
    """Guards against a level of long ago, for which requests are refused."""
    members = MemberTable("self", timers)
    peer = FleetQuota(timers, lambda: 1.0)
    peer.apply(make_configuration())
    timers.advance(2.0)
    count_admitted(peer, 12)
    timers.advance(60.0)
    history = FleetHistory(timers, members, first_start=False)
    restarted = FleetQuota(timers, lambda: 1.0, history)
    restarted.apply(make_configuration())
    heartbeat = beats_pb2.Beat(instance="peer", incarnation=1, history_ms=60_000)
    heartbeat.description.beat_address = "10.0.0.1:81"
    heartbeat.usages.extend(peer.usages(full=True))
    restarted.record_peer_usage(heartbeat)
    assert_that(count_admitted(restarted, 10), Equals(10))


def test_counts_without_levels_leave_the_level_of_a_new_process(timers):
    """Guards against a process that starts with empty buckets, and refuses requests.

    Only heartbeats to instances that have just joined hold the levels.
    """
    members = MemberTable("self", timers)
    history = FleetHistory(timers, members, first_start=False)
    restarted = FleetQuota(timers, lambda: 1.0, history)
    restarted.apply(make_configuration())
    before = restarted.levels()["house"]
    heartbeat = beats_pb2.Beat(instance="peer", incarnation=1, history_ms=60_000)
    heartbeat.description.beat_address = "10.0.0.1:81"
    heartbeat.usages.add(workspace="house", admitted=500)
    restarted.record_peer_usage(heartbeat)
    assert_that(restarted.levels()["house"], Equals(before))


def test_new_process_grants_one_token_until_it_hears_another(timers):
    """Guards against a fleet that restarts and admits a rate at each instance.

    An instance that knows of no other one grants the whole rate.
    """
    history = FleetHistory(timers, MemberTable("self", timers), first_start=False)
    admitted = {}
    for fraction in (0.25, 1.0):
        quota = FleetQuota(timers, lambda fraction=fraction: fraction, history)
        quota.apply(make_configuration())
        admitted[fraction] = 0
        for _ in range(10):
            timers.advance(0.05)
            admitted[fraction] += quota.admit(HOUSE).admitted
    assert_that(admitted[0.25], Equals(1))
    assert_that(admitted[1.0], GreaterThan(3))
