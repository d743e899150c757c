"""Traffic between the instances of a large fleet, on slow links."""

import math
from random import Random

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from lacewinglift.mesh.heartbeats import Recipients
from testing.mesh.simulated_fleet import STEP_S, SimulatedFleet

SLOW_LINK_BYTES_PER_S = 5_000_000 / 8
CALLER_RATE_PER_S = 344.0
PROBE_RATE_PER_S = 1.0
# The users' bound for a change of the configuration on the grown sites.
CONFIGURATION_BOUND_S = 2.5
# The users' pages count an instance as slowed if its packets wait longer than this.
MAX_LINK_WAIT_S = 0.5


@pytest.fixture
def idle_fleet():
    return SimulatedFleet(94, SLOW_LINK_BYTES_PER_S)


@pytest.fixture
def fleet(idle_fleet):
    idle_fleet.assume_request_rate(CALLER_RATE_PER_S)
    return idle_fleet


def run(fleet, duration_s):
    fleet.run(duration_s, CALLER_RATE_PER_S, PROBE_RATE_PER_S)


def publish_in_time(fleet):
    """Give a version to three observers and wait until it is in force everywhere."""
    started_s = fleet.timers.now()
    for instance in fleet.instances[:3]:
        instance.apply_configuration(fleet.configuration_value(2))
    while fleet.generations() != {2}:
        run(fleet, STEP_S)
        assert_that(fleet.timers.now() - started_s, LessThan(CONFIGURATION_BOUND_S))


def test_heartbeats_leave_room_for_responses_on_slow_links(fleet):
    """Load: 94 instances on links of 5 Mbit/s, of which callers use a quarter.

    Guards against heartbeats that fill the link of an instance, so that responses
    wait until their timeout: occasional requests to all instances must not make all
    of them recipients of the frequent heartbeats.
    """
    run(fleet, 4.0)
    waits_s = [link.max_wait_s for link in fleet.links.values()]
    assert_that(max(waits_s), LessThan(MAX_LINK_WAIT_S))


def test_configuration_reaches_all_instances_over_slow_links(fleet):
    """Load: 94 instances on links of 5 Mbit/s learn of a version from three observers.

    Guards against snapshots that all instances fetch at once from the same observers,
    whose links they share until all fetches time out.
    """
    run(fleet, 1.0)
    publish_in_time(fleet)


@pytest.mark.parametrize("wait_s", [0.3, 0.6, 0.9])
def test_configuration_reaches_an_instance_whose_link_is_full(wait_s):
    """Load: each packet that one instance sends waits behind responses to its callers.

    Guards against a fetch that is given up and starts anew before it can end, so that
    the instance handles requests by an old version for as long as its link is full.
    """
    fleet = SimulatedFleet(12, SLOW_LINK_BYTES_PER_S)
    run(fleet, 1.0)
    late = fleet.instances[-1]
    fleet.links[late.settings.instance].other_traffic_s = wait_s
    run(fleet, 1.0)
    publish_in_time(fleet)


@pytest.mark.parametrize("seed", [0, 1])
def test_configuration_reaches_all_although_sources_are_cut_off(fleet, seed):
    """Load: a third of 94 instances is cut off while a version spreads among them.

    Guards against an instance that asks one source after another of those that are
    cut off, which count as lost only seconds later, and waits a second for each.
    """
    run(fleet, 1.0)
    started_s = fleet.timers.now()
    for instance in fleet.instances[:3]:
        instance.apply_configuration(fleet.configuration_value(2))
    run(fleet, 0.25)
    cut_off = Random(seed).sample(fleet.instances[3:], len(fleet.instances) // 3)
    names = {each.settings.instance for each in cut_off}
    fleet.is_cut = lambda sender, receiver: (
        (sender.instance in names) != (receiver.instance in names)
    )
    others = [each for each in fleet.instances if each not in cut_off]
    while any(each.configuration_holder.generation() < 2 for each in others):
        run(fleet, 5 * STEP_S)
        assert_that(fleet.timers.now() - started_s, LessThan(CONFIGURATION_BOUND_S))


def test_target_that_registers_after_a_restore_of_the_store_stays_known():
    """Load: 36 instances, of which three read a restored store at a lower revision.

    Guards against instances that fetch from each other what was registered before the
    restore, and remove the new target again.
    """
    fleet = SimulatedFleet(36, SLOW_LINK_BYTES_PER_S)
    run(fleet, 1.0)
    for instance in fleet.instances:
        instance.registry.era = 1
    known = list(fleet.instances[0].registry.targets.values())
    new = evolve(known[0], name="new", address="10.2.9.9:8489")
    for instance in fleet.instances[:3]:
        instance.registry.replace_all([*known, new], 5, era=2)
    run(fleet, CONFIGURATION_BOUND_S)
    for instance in fleet.instances:
        assert_that(instance.registry.targets, Contains("new"))


def test_frequent_heartbeats_do_not_grow_with_instances_that_serve_no_callers():
    """Load: the same callers in fleets of 36 and of 72 instances.

    Guards against traffic that grows with the square of the fleet: each further
    instance may cost another one heartbeat a second.
    """
    rates = []
    for size in (36, 72):
        fleet = SimulatedFleet(size, SLOW_LINK_BYTES_PER_S)
        fleet.run(2.0, 100.0, PROBE_RATE_PER_S)
        before = fleet.datagram_counts()
        fleet.run(2.0, 100.0, PROBE_RATE_PER_S)
        after = fleet.datagram_counts()
        rates.append(max(after[name] - before[name] for name in after) / 2.0)
    # Of the heartbeats of one a second, a window of 2 s holds three at most.
    assert_that(rates[1] - rates[0], LessThan(36 * 1.5))


def test_callers_are_spread_over_enough_instances_from_the_start(idle_fleet):
    """Load: 344 requests a second reach a fleet that has had no callers.

    Guards against a selection that follows the traffic only after seconds: callers
    keep their addresses for seconds, and the few instances selected at first get
    several times the rate that one is selected for.
    """
    asked = idle_fleet.instances[0]
    selected_counts = []
    for _ in range(4):
        run(idle_fleet, 0.5)
        selected_counts.append(len(asked.directory.resolve(None).addresses))
    needed = CALLER_RATE_PER_S / asked.settings.instance_rate_per_s
    # Half of what is needed leaves each at twice its rate, for less than a second.
    assert_that(min(selected_counts), GreaterThan(needed / 2))
    assert_that(selected_counts[-1], GreaterThan(0.8 * needed))


def test_restarted_instances_do_not_fill_the_links_of_the_others(fleet):
    """Load: a third of 94 instances restarts, one each 0.1 s, while callers are there.

    Guards against an instance that sends its whole description and all counts to the
    fleet for each instance that joins.
    """
    run(fleet, 2.0)
    for instance in fleet.instances[:30]:
        fleet.restart([instance])
        run(fleet, 0.1)
    waits_s = [link.max_wait_s for link in fleet.links.values()]
    assert_that(max(waits_s), LessThan(MAX_LINK_WAIT_S))
    run(fleet, 2.0)
    known = [len(each.members.reachable()) for each in fleet.instances]
    assert_that(min(known), Equals(93))


def test_heartbeats_of_an_observer_between_the_periodic_ones_stay_near():
    """Guards against traffic between data centres that observers cause.

    Only the instances of an observer's own data centre have to miss it that soon.
    """
    fleet = SimulatedFleet(12, SLOW_LINK_BYTES_PER_S)
    observer = fleet.instances[0]
    assert_that(observer.heartbeats.take_due(), Equals(Recipients.ALL))
    observer._send_observer_heartbeat()
    assert_that(observer.heartbeats.due_s[Recipients.DATA_CENTRE], Equals(math.inf))
    observer.observer.watching.set()
    observer._send_observer_heartbeat()
    assert_that(observer.heartbeats.take_due(), Equals(Recipients.DATA_CENTRE))
    (outgoing,) = observer.build_heartbeats(Recipients.DATA_CENTRE)
    near = [
        each.settings.heartbeat_address
        for each in fleet.instances[1:]
        if each.settings.data_centre == observer.settings.data_centre
    ]
    assert_that(sorted(outgoing.addresses), Equals(sorted(near)))
    assert outgoing.heartbeat.observer
    assert_that(len(outgoing.heartbeat.evidence), Equals(0))
