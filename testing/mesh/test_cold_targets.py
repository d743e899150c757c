"""Cold targets: what the fleet sends them while they warm up, and who knows of it."""

from random import Random

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from lacewinglift.configuration import Service
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.registry import RegisteredTarget, TargetRegistry, from_message
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.timers import ManualTimers
from testing.mesh.simulated_fleet import SERVICE, SimulatedFleet
from testing.mesh.test_target_table import chosen_names, make_target

WARMUP_S, PER_S = 6.0, 4.6
# The rule for the requests that a cold target gets in one second, over the fleet.
ALLOWED = PER_S * 1.5 + 8
# Time for the news that a target is cold to reach all instances.
NEWS_S = 1.0
REPORT = RegisteredTarget("i-1", SERVICE, "10.0.0.1:80", "milano", 6, 1000, 5)
WARMING = {SERVICE: Service(SERVICE, (), warmup_s=WARMUP_S, warmup_per_s=PER_S)}


def cut_off(fleet):
    """Lose the heartbeats between a third of the instances and the others."""
    group = {each.settings.instance for each in fleet.instances[::3]}
    for each in fleet.instances:
        inside = each.settings.instance in group
        each.receive_heartbeat = (
            lambda beat, inside=inside, old=each.receive_heartbeat: (
                old(beat) if (beat.instance in group) == inside else None
            )
        )


DISTURBANCES = {
    "none": lambda fleet: None,
    "partition": cut_off,
    "restart": lambda fleet: fleet.restart(list(fleet.instances)),
}


@pytest.mark.parametrize("disturbance", DISTURBANCES)
@pytest.mark.parametrize("cold", [("milano",), ("milano", "torino", "verona")])
def test_cold_targets_get_what_they_bear(disturbance, cold):
    """Load: one data centre, or all, cold again at nearly full load.

    Guards against instances that each fill an empty target, also when a third of them
    is cut off or all of them are new and know nobody, and against refusals or idle
    targets once the others have room or the targets are warm.
    """
    fleet = SimulatedFleet(36, 125_000_000, targets=24)
    fleet.failing = set()
    fleet.codec.services = WARMING
    for each in fleet.instances:
        each.apply_configuration(fleet.configuration_value(2))
    fleet.assume_request_rate(430.0)
    fleet.run(2.5, 430.0, 0.3)
    registry = fleet.instances[0].registry
    changed = [each for each in registry.targets.values() if each.data_centre in cold]
    changed = [evolve(each, sequence=2, warmup_s=WARMUP_S) for each in changed]
    registry.apply_changes(changed, [], 11)
    started_s = fleet.timers.now()
    fleet.run(2.0, 430.0, 0.3)
    DISTURBANCES[disturbance](fleet)
    fleet.run(4.0, 430.0, 0.3)
    ended_s = fleet.timers.now()
    if len(cold) == 1:
        assert_that(fleet.requests_without_target, Equals(0))
    fleet.run(3.0, 430.0, 0.3)
    for target in changed:
        arrivals = fleet.arrivals[target.name]
        times_s = [t for t in arrivals if started_s + NEWS_S <= t < ended_s]
        counts = [sum(t <= u < t + 1.0 for u in times_s) for t in times_s]
        assert_that(max([0, *counts]), LessThan(ALLOWED))
        assert_that(arrivals[-1], GreaterThan(ended_s))


@pytest.fixture
def table():
    table = MeshTargetTable(ManualTimers(), "a", "milano")
    table.cold_targets.apply(WARMING)
    table.cold_targets.callers_served = lambda: True
    return table


@pytest.mark.parametrize(
    ("warmup_s", "callers", "cold"),
    [(None, True, True), (None, False, False), (0.0, True, False), (3600, True, True)],
)
def test_unknown_target_is_cold_unless_it_says_otherwise(
    table, warmup_s, callers, cold
):
    """Guards against a crowd at a new target, and one that is cold for an hour."""
    table.cold_targets.callers_served = lambda: callers
    ends_at_s = table.timers.now() + (warmup_s or 0.0) if warmup_s else 0.0
    table.apply([evolve(make_target(9), warmup_s=warmup_s, warmup_ends_at_s=ends_at_s)])
    assert_that(table.count_cold(), Equals({SERVICE: 1} if cold else {}))
    table.timers.advance(WARMUP_S + 1.0)
    assert_that(table.count_cold(), Equals({}))


def test_warm_targets_come_first_and_a_request_finds_a_target(table):
    """Guards against an idle cold target that gets requests as the least loaded."""
    cold = evolve(make_target(9), warmup_s=None)
    table.apply([cold, *(make_target(number) for number in range(3))])
    chosen_names(table)
    table.timers.advance(1.0)
    assert_that(chosen_names(table), Equals({"t0", "t1", "t2"}))
    busy = [table.acquire("cassa").target.name for _ in range(8)]
    assert_that(busy.count("t9"), Equals(1))


def test_refused_requests_return_at_the_rate_that_the_targets_take(table):
    """Guards against refused requests that return together and are refused again."""
    table.apply([evolve(make_target(9), warmup_s=None)])
    table.cold_targets.rate_share = lambda name, limit: 0.5
    assert_that(table.acquire("cassa"), Is(None))
    waits_s = [table.wait_s("cassa") for _ in range(4)]
    assert_that(waits_s, Equals([2.0, 4.0, 6.0, 6.5]))


def test_choices_are_as_before_where_no_service_limits_cold_targets():
    """Guards against a change of decisions while the feature is off."""
    names = []
    for services, number in (({}, 0), ({SERVICE: Service(SERVICE, ())}, 7)):
        table = MeshTargetTable(ManualTimers(), "a", "milano", random=Random(1))
        table.cold_targets.apply(services)
        table.apply([make_target(each) for each in range(3)])
        cold = {"warmup_sequence": number, "warmup_ends_at_s": 1e9 * number}
        table.apply([evolve(make_target(each), **cold) for each in range(3)])
        names.append([table.acquire("cassa").target.name for _ in range(12)])
    assert_that(names[0], Equals(names[1]))


def test_digest_shows_a_new_warmup_and_no_further_reports():
    """Guards against instances that do not learn of it, and against a fetch a second.

    The second warm-up begins before the first has ended. Another observer lists the
    entries late; both must agree, or they would fetch from each other for ever. A
    snapshot tells the time that is left; an earlier build tells that of the report.
    """
    timers = ManualTimers()
    registry, other = TargetRegistry(timers), TargetRegistry(timers)
    registry.replace_all([REPORT], 10)
    digests = []
    for number, warmup_s in enumerate([3.0, 2.1, 0.9, 3.0, 1.9, 0.7], 6):
        report = evolve(REPORT, sequence=number, warmup_s=warmup_s)
        registry.apply_changes([report], [], 5 + number)
        digests.append(registry.digest)
        timers.advance(1.0)
    assert_that(digests, Equals([digests[0]] * 3 + [digests[3]] * 3))
    assert digests[0] != digests[3]
    other.replace_all([evolve(REPORT, sequence=12, warmup_s=0.1)], 17)
    message = beats_pb2.Snapshot.FromString(registry.snapshot().SerializeToString())
    other.apply_snapshot(map(from_message, message.targets), 17)
    assert_that(other.digest, Equals(registry.digest))
    message = registry.snapshot().targets[0]
    assert_that(from_message(message).warmup_s, Equals(0.0))
    message.ClearField("warmup_remaining_ms")
    assert_that(from_message(message).warmup_s, Equals(0.7))
