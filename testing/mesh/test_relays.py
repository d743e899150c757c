"""Relays of heartbeats between data centres, on simulated time."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from lacewinglift.generated.beats_pb2 import FAILED
from lacewinglift.mesh.heartbeats import Recipients
from testing.mesh.simulated_fleet import DATA_CENTRES, STEP_S, SimulatedFleet

LINK_BYTES_PER_S = 10_000_000 / 8
CALLER_RATE_PER_S = 455.0
PROBE_RATE_PER_S = 0.3
TARGET = "i-0000000032"
# The users' bounds for a version, and for evidence over the fleet.
CONFIGURATION_BOUND_S = 2.0
EVIDENCE_BOUND_S = 1.0


def make_fleet(size=91, **settings):
    fleet = SimulatedFleet(size, LINK_BYTES_PER_S, **settings)
    fleet.assume_request_rate(CALLER_RATE_PER_S)
    return fleet


def run(fleet, duration_s):
    fleet.run(duration_s, CALLER_RATE_PER_S, PROBE_RATE_PER_S)


def sent(fleet):
    return {each: each.heartbeats.socket.sent_bytes for each in fleet.instances}


def far_bytes(fleet):
    return sum(each.heartbeats.socket.far_bytes for each in fleet.instances)


def lose_relays(fleet, kind):
    """Take relays of one data centre away, or cut off one; return those cut off."""
    relays = fleet.relays_of("milano")
    one = relays[0]
    name = one.settings.instance
    if kind == "one killed":
        fleet.remove([one])
    elif kind == "all killed":
        fleet.remove(relays)
    elif kind == "unheard":
        fleet.is_cut = lambda sender, receiver: sender.instance == name
    elif kind == "deaf":
        fleet.is_cut = lambda sender, receiver: receiver.instance == name
    elif kind == "unheard elsewhere":
        fleet.is_cut = lambda sender, receiver: (
            sender.instance == name and receiver.data_centre != "milano"
        )
    return [] if "killed" in kind else [one]


def publish_news(fleet):
    """Let an ordinary instance learn of a version and of a failing target."""
    instance = next(
        each
        for each in fleet.instances
        if each.settings.data_centre == "milano" and not each.relaying.relays_to
    )
    instance.observer.watching.set()
    instance.apply_configuration(fleet.configuration_value(2))
    state = instance.targets.states[TARGET]
    now = fleet.timers.now()
    instance.targets._suspect(state, instance.settings.instance, now)
    instance.targets._publish_event(state, FAILED, now)


@pytest.mark.parametrize(
    "kind", ["one killed", "all killed", "unheard", "deaf", "unheard elsewhere"]
)
def test_news_arrive_in_time_although_relays_are_lost(kind):
    """Load: relays of a data centre are lost as a version and a failure are reported.

    Guards against news that wait for the member timeout of a relay, and against a live
    data centre that looks lost, so that its part of the rates is not granted.
    """
    fleet = make_fleet()
    fleet.failing = set()
    run(fleet, 2.0)
    cut_off = lose_relays(fleet, kind)
    others = [each for each in fleet.instances if each not in cut_off]
    publish_news(fleet)
    started_s = fleet.timers.now()
    heard_at_s = {}
    in_force_at_s = {}
    while fleet.timers.now() - started_s < 3.0:
        run(fleet, 5 * STEP_S)
        passed_s = fleet.timers.now() - started_s
        for each in others:
            if each.targets.states[TARGET].last_failure_at_s is not None:
                heard_at_s.setdefault(each, passed_s)
            if each.configuration_holder.generation() == 2:
                in_force_at_s.setdefault(each, passed_s)
            lost = 1 - each.reachable_fraction()
            # Of 91 instances; a data centre is a third.
            assert_that(lost, LessThan(0.05))
    assert_that(len(in_force_at_s), Equals(len(others)))
    assert_that(max(in_force_at_s.values()), LessThan(CONFIGURATION_BOUND_S))
    assert_that(len(heard_at_s), Equals(len(others)))
    assert_that(max(heard_at_s.values()), LessThan(EVIDENCE_BOUND_S))


@pytest.mark.parametrize("size", [91, 150])
def test_traffic_is_bounded(size):
    """Load: 455 requests a second, in fleets of different size.

    Guards against bytes between data centres that grow with the square of the fleet,
    and against ordinary instances whose heartbeats fill their links.
    """
    fleet = make_fleet(size)
    run(fleet, 2.0)
    before, far_before = sent(fleet), far_bytes(fleet)
    run(fleet, 2.0)
    after = sent(fleet)
    rates = [
        (after[each] - before[each]) / 2.0
        for each in fleet.instances
        if not each.relaying.relays_to
    ]
    assert_that(sum(rates) / len(rates), LessThan(10_000))
    # What is sent for each instance goes to two relays of two data centres each.
    assert_that((far_bytes(fleet) - far_before) / 2.0, LessThan(400 * size))
    relays = [len(fleet.relays_of(data_centre)) for data_centre in DATA_CENTRES]
    assert_that(max(relays), LessThan(len(DATA_CENTRES) + 1))


def test_fleet_that_starts_at_once_sends_little_and_learns_soon():
    """Load: 91 instances start at the same moment, each with three seeds.

    Guards against heartbeats of each to all others before they have heard of relays.
    """
    fleet = make_fleet(introduced=False)
    fleet.run(1.0, 0.0, 0.0)
    known = [len(each.members.reachable()) for each in fleet.instances]
    assert_that(min(known), Equals(90))
    # Without relays it is 6 MB within two seconds.
    assert_that(far_bytes(fleet), LessThan(400_000))


def test_instance_that_joins_knows_all_and_is_known_soon():
    """Guards against a newcomer that only its own data centre hears of."""
    fleet = make_fleet()
    run(fleet, 2.0)
    fleet.restart(fleet.instances[50:51])
    new = fleet.instances[50]
    run(fleet, 1.0)
    assert_that(len(new.members.reachable()), Equals(90))
    for each in fleet.instances:
        if each is not new:
            member = each.members.find(new.settings.instance)
            assert_that(member.heartbeat.incarnation, Equals(new.incarnation))


def test_counts_of_all_instances_agree_through_relays():
    """Load: one datagram in fifty is lost while callers send requests.

    Guards against counts that are lost, or counted twice, since an instance is heard
    directly and through relays.
    """
    fleet = SimulatedFleet(91, LINK_BYTES_PER_S)
    fleet.is_cut = lambda sender, receiver: fleet.random.random() < 0.02
    run(fleet, 2.0)
    fleet.run(2.0, 0.0, 0.0)
    own = {
        each.settings.instance: each.retry_budgets.budget_for("cassa").own_requests
        for each in fleet.instances
    }
    outdated = [
        name
        for each in fleet.instances
        for name, peer in each.retry_budgets.peer_counters.peers.items()
        if peer.counts.get("cassa requests", 0) != own[name]
    ]
    # One in a hundred pairs of instances.
    assert_that(len(outdated), LessThan(80))
    for each in fleet.instances:
        budget = each.retry_budgets.budget_for("cassa")
        assert_that(budget.requests.total(), LessThan(sum(own.values()) + 1))


def test_fleet_that_shrinks_below_the_limit_sends_directly_again():
    """Guards against data centres that no longer hear each other without relays."""
    fleet = make_fleet(62)
    run(fleet, 2.0)
    assert all(each.relaying.is_on() for each in fleet.instances)
    fleet.remove(fleet.instances[-4:])
    for _ in range(23):
        fleet.run(1.0, 0.0, 0.0)
        for each in fleet.instances:
            each.members.remove_unreachable()
    assert not any(each.relaying.is_on() for each in fleet.instances)
    known = [len(each.members.reachable()) for each in fleet.instances]
    assert_that(min(known), Equals(57))


@pytest.mark.parametrize("size", [12, 59])
def test_small_fleet_sends_the_same_datagrams_as_without_relays(size):
    """Guards against relays that change anything below the limit."""
    recorded = []
    for limit in (0, 60):
        fleet = make_fleet(size, relay_min_instances=limit)
        datagrams = []
        for each in fleet.instances:
            record_datagrams(each, datagrams)
        run(fleet, 1.5)
        recorded.append(datagrams)
    assert recorded[0] == recorded[1]


def record_datagrams(instance, datagrams):
    build = instance.build_heartbeats

    def build_and_record(recipients):
        outgoing = build(recipients)
        for each in outgoing:
            text = type(each.heartbeat)()
            text.CopyFrom(each.heartbeat)
            # The only difference: others must know who reads bundles.
            text.description.bundles_heartbeats = False
            datagrams.append((text.SerializeToString(), list(each.addresses)))
        return outgoing

    instance.build_heartbeats = build_and_record


def test_instances_of_an_earlier_build_keep_the_fleet_from_relaying():
    """Load: a fleet is upgraded one instance after another.

    Guards against data centres that an instance which reads no bundles cannot hear.
    """
    fleet = make_fleet(62)
    for each in fleet.instances[1:]:
        old = each.members.find(fleet.instances[0].settings.instance)
        old.description.bundles_heartbeats = False
    run(fleet, 1.0)
    assert not any(each.relaying.is_on() for each in fleet.instances[1:])
    outgoing = fleet.instances[1].build_heartbeats(Recipients.ALL)
    assert_that(sum(len(each.addresses) for each in outgoing), Equals(61))
