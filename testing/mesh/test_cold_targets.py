"""Cold targets: what the fleet sends them while they warm up, and who knows of it."""

from random import Random

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan, Not

from lacewinglift.configuration import Service
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.registry import RegisteredTarget, TargetRegistry, from_message
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.timers import ManualTimers
from testing.mesh.simulated_fleet import SERVICE, SimulatedFleet
from testing.mesh.test_target_table import chosen_names, make_target

WARMUP_S, PER_S = 3.0, 4.6
# The rule for the requests that a cold target gets in one second, over the fleet.
ALLOWED = PER_S * 1.5 + 8
# Time for the news that a target is cold to reach all instances.
NEWS_S = 1.0
REPORT = RegisteredTarget("i-1", SERVICE, "10.0.0.1:80", "milano", 6, 1000, 5)
WARMING = {SERVICE: Service(SERVICE, (), warmup_s=WARMUP_S, warmup_per_s=PER_S)}


class Cut:
    """Socket that loses the datagrams between a group of instances and the others."""

    def __init__(self, datagrams, inside, group):
        self.datagrams, self.inside, self.group = datagrams, inside, group

    def sendto(self, data, address):
        if (f"{address[0]}:{address[1]}" in self.group) == self.inside:
            self.datagrams.sendto(data, address)


def cut_off(fleet, instances):
    group = {each.settings.heartbeat_address for each in instances}
    for each in fleet.instances:
        inside = each.settings.heartbeat_address in group
        each.heartbeats.socket = Cut(each.heartbeats.socket, inside, group)


@pytest.fixture
def fleet():
    """Thirty-six instances before 24 targets, 18 requests a second for each."""
    fleet = SimulatedFleet(36, 125_000_000, targets=24)
    fleet.failing = set()
    fleet.codec.services = WARMING
    for each in fleet.instances:
        each.apply_configuration(fleet.configuration_value(2))
    fleet.assume_request_rate(430.0)
    run(fleet, 2.5)
    return fleet


def run(fleet, duration_s):
    fleet.run(duration_s, 430.0, 0.3)


def become_cold(fleet, names, warmup_s=WARMUP_S):
    """Let the store tell one instance that targets are cold again."""
    registry = fleet.instances[0].registry
    written = [
        evolve(known, sequence=known.sequence + 1, warmup_s=warmup_s)
        for known in map(registry.targets.get, names)
    ]
    registry.apply_changes(written, [], registry.revision + 1)


def worst_second(fleet, names, since_s, until_s):
    worst = 0
    for name in names:
        times_s = [t for t in fleet.arrivals[name] if since_s <= t < until_s]
        counts = [sum(t <= u < t + 1.0 for u in times_s) for t in times_s]
        worst = max([worst, *counts])
    return worst


def disturb(fleet, kind):
    if kind == "partition":
        cut_off(fleet, fleet.instances[::3])
    elif kind == "restart":
        registry = fleet.instances[0].registry
        fleet.restart(list(fleet.instances))
        for each in fleet.instances:
            each.registry.replace_all(registry.targets.values(), registry.revision)


@pytest.mark.parametrize("kind", ["none", "partition", "restart"])
def test_cold_targets_get_what_they_bear(fleet, kind):
    """Load: a third of the targets is cold again, at nearly full load.

    Guards against instances that each fill an empty target, also when a third of them
    is cut off or all of them are new and know nobody.
    """
    names = sorted(fleet.instances[0].targets.states)[::3]
    become_cold(fleet, names, warmup_s=9.0)
    fleet.codec.services = {SERVICE: evolve(WARMING[SERVICE], warmup_s=9.0)}
    for each in fleet.instances:
        each.apply_configuration(fleet.configuration_value(3))
    started_s = fleet.timers.now()
    run(fleet, 2.0)
    disturb(fleet, kind)
    run(fleet, 6.5)
    since_s = started_s + NEWS_S
    assert_that(worst_second(fleet, names, since_s, started_s + 8.5), LessThan(ALLOWED))


def test_data_centre_that_returns_cold_is_used_again_once_it_is_warm(fleet):
    """Load: all targets of a data centre are cold; the others are nearly full.

    Guards against a crowd at the empty targets, against requests that are refused
    while others have room, and against targets that stay unused.
    """
    registry = fleet.instances[0].registry
    names = [n for n, t in registry.targets.items() if t.data_centre == "milano"]
    become_cold(fleet, names)
    started_s = fleet.timers.now()
    run(fleet, WARMUP_S)
    ended_s = fleet.timers.now()
    assert_that(
        worst_second(fleet, names, started_s + NEWS_S, ended_s), LessThan(ALLOWED)
    )
    assert_that(fleet.requests_without_target, Equals(0))
    run(fleet, 3.0)
    used = [sum(t > ended_s + 1.0 for t in fleet.arrivals[name]) for name in names]
    assert_that(min(used), GreaterThan(0))


@pytest.fixture
def table():
    table = MeshTargetTable(ManualTimers(), "a", "milano")
    table.cold_targets.apply(WARMING)
    table.cold_targets.callers_served = lambda: True
    table.apply([evolve(make_target(number), warmup_s=0.0) for number in range(3)])
    return table


def add_cold(table, **fields):
    targets = [state.registered for state in table.states.values()]
    table.apply([*targets, evolve(make_target(9), **fields)])


def is_cold(table):
    return table.cold_targets.is_cold(table.states["t9"], table.timers.now())


@pytest.mark.parametrize(
    ("warmup_s", "callers", "cold"),
    [(None, True, True), (None, False, False), (0.0, True, False)],
)
def test_unknown_target_is_cold_unless_it_says_otherwise(
    table, warmup_s, callers, cold
):
    """Guards against a crowd at a new target, and against a fleet that starts cold."""
    table.cold_targets.callers_served = lambda: callers
    add_cold(table, warmup_s=warmup_s)
    assert_that(is_cold(table), Equals(cold))
    table.timers.advance(WARMUP_S + 1.0)
    assert not is_cold(table)


def test_warm_targets_come_first_and_a_request_finds_a_target(table):
    """Guards against an idle cold target that gets requests as the least loaded."""
    add_cold(table, warmup_s=None)
    chosen_names(table)
    table.timers.advance(1.0)
    assert_that(chosen_names(table), Equals({"t0", "t1", "t2"}))
    busy = [table.acquire("cassa").target.name for _ in range(8)]
    assert_that(busy.count("t9"), Equals(1))


def test_refused_requests_return_at_the_rate_that_the_targets_take(table):
    """Guards against refused requests that return together and are refused again."""
    table.apply([evolve(make_target(9), warmup_s=None)])
    table.cold_targets.rate_share = lambda name, limit: 2.0
    assert_that(table.acquire("cassa"), Is(None))
    waits_s = [table.wait_s("cassa") for _ in range(9)]
    assert_that(waits_s, Equals([0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 3.5, 3.5]))


def test_hour_of_warmup_ends_as_the_service_states(table):
    """Guards against a target that is lost for an hour by its own odd word."""
    add_cold(table, warmup_s=3600.0, warmup_ends_at_s=table.timers.now() + 3600.0)
    assert is_cold(table)
    table.timers.advance(WARMUP_S + 1.0)
    assert not is_cold(table)


def test_choices_are_as_before_where_no_service_limits_cold_targets():
    """Guards against a change of decisions while the feature is off."""
    names = []
    for services, number in (({}, 0), ({SERVICE: Service(SERVICE, ())}, 7)):
        table = MeshTargetTable(ManualTimers(), "a", "milano", random=Random(1))
        table.cold_targets.apply(services)
        table.cold_targets.callers_served = lambda: True
        table.apply([make_target(each) for each in range(3)])
        ends_at_s = table.timers.now() + 3.0 if number else 0.0
        cold = {"warmup_sequence": number, "warmup_ends_at_s": ends_at_s}
        table.apply([evolve(make_target(each), **cold) for each in range(3)])
        names.append([table.acquire("cassa").target.name for _ in range(12)])
    assert_that(names[0], Equals(names[1]))


@pytest.fixture
def registry():
    registry = TargetRegistry(ManualTimers())
    registry.replace_all([REPORT], 10)
    return registry


def test_digest_shows_a_new_warmup_and_no_further_reports(registry):
    """Guards against instances that do not learn of it, and against a fetch a second.

    The second warm-up begins before the first has ended.
    """
    digests = []
    for number, warmup_s in enumerate([3.0, 2.1, 0.9, 3.0, 1.9, 0.0], 6):
        report = evolve(REPORT, sequence=number, warmup_s=warmup_s)
        registry.apply_changes([report], [], 5 + number)
        digests.append(registry.digest)
        registry.timers.advance(1.0)
    assert_that(digests[1:3], Equals([digests[0]] * 2))
    assert_that(digests[3], Not(Equals(digests[0])))
    assert_that(digests[4:], Equals([digests[3]] * 2))


def test_observers_that_noticed_different_reports_agree(registry):
    """Guards against two instances that fetch from each other for ever."""
    other = TargetRegistry(registry.timers)
    other.replace_all([evolve(REPORT, sequence=7, warmup_s=2.0)], 12)
    for number, warmup_s in ((6, 3.0), (7, 2.0)):
        report = evolve(REPORT, sequence=number, warmup_s=warmup_s)
        registry.apply_changes([report], [], 5 + number)
    for receiver, sender in ((registry, other), (other, registry)):
        message = beats_pb2.Snapshot.FromString(sender.snapshot().SerializeToString())
        receiver.apply_snapshot(map(from_message, message.targets), 12)
    assert_that(registry.digest, Equals(other.digest))


def test_late_snapshot_tells_the_time_that_is_left(registry):
    """Guards against a warm-up that each transfer begins anew."""
    registry.apply_changes([evolve(REPORT, sequence=6, warmup_s=3.0)], [], 11)
    registry.timers.advance(2.0)
    message = registry.snapshot().targets[0]
    assert_that(from_message(message).warmup_s, Equals(1.0))
    message.ClearField("warmup_remaining_ms")
    assert_that(from_message(message).warmup_s, Equals(3.0))
