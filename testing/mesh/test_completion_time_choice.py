"""Choice of targets by expected completion time."""

from collections import Counter
from random import Random

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.configuration import Configuration, Fleet, Route, Service
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.choice_registry import COMPLETION_TIME, LEAST_LOADED
from lacewinglift.mesh.registry import RegisteredTarget
from lacewinglift.mesh.route_priorities import choice_for
from lacewinglift.mesh.target_table import UNREACHED, MeshTargetTable
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.timers import ManualTimers
from testing.mesh.simulated_fleet import SimulatedFleet

DATA_CENTRES = ("milano", "torino")
ERROR = Outcome(OutcomeKind.ERROR, 0.001)
SUCCESS = Outcome(OutcomeKind.SUCCESS, 0.2)
SHED = Outcome(OutcomeKind.SHED, 0.001)
CUT = Outcome(OutcomeKind.CUT, 0.1)


def make_target(number, data_centre="milano", slots=4):
    address = f"10.0.0.{number}:80"
    return RegisteredTarget(f"t{number}", "cassa", address, data_centre, slots, 1, 1)


@pytest.fixture
def timers():
    return ManualTimers()


def make_table(timers, count, instance="a", remote=0):
    table = MeshTargetTable(timers, instance, "milano", random=Random(instance))
    table.use_choice(COMPLETION_TIME)
    table.choice._try_random = Random(instance)
    data_centres = ["milano"] * count + ["torino"] * remote
    table.apply([make_target(*each) for each in enumerate(data_centres)])
    return table


def report_unreached(table, names):
    for instance in ("b", "c"):
        heartbeat = beats_pb2.Beat(instance=instance, incarnation=1)
        for number, name in enumerate(names, 1):
            heartbeat.evidence.add(target=name, kind=UNREACHED, number=number)
        table.record_peer_evidence(heartbeat, 0)


def exchange_heartbeats(tables, last_numbers):
    for sender in tables:
        heartbeat = beats_pb2.Beat(instance=sender.instance, incarnation=1)
        heartbeat.evidence.extend(sender.evidence())
        heartbeat.loads.extend(sender.loads())
        heartbeat.failing_services.extend(sender.failing_services())
        for receiver in tables:
            if receiver is not sender:
                key = (receiver.instance, sender.instance)
                last_numbers[key] = receiver.record_peer_evidence(
                    heartbeat, last_numbers[key]
                )


@pytest.mark.parametrize(("outcome", "most"), [(SUCCESS, 250), (ERROR, 25)])
def test_each_target_is_tried_while_the_others_cannot_serve_all(timers, outcome, most):
    """Load: 84 requests/s, none repeatable, at 18 instances for 12 targets.

    Two instances cannot reach 5 targets, and the others shed a quarter of the
    requests. Guards against leaving targets that work without requests for seconds,
    and against losing many requests at them if they do fail.
    """
    random = Random(2)
    tables = [make_table(timers, 12, f"i{number}") for number in range(18)]
    reported = {f"t{number}" for number in range(5)}
    for table in tables:
        report_unreached(table, reported)
    asked_at_s = dict.fromkeys(tables[0].states, timers.now())
    last_numbers, sent_to_reported, longest_s = Counter(), 0, 0.0
    for number in range(4 * 84):
        attempt = random.choice(tables).acquire("cassa")
        name = attempt.target.name
        longest_s = max(longest_s, timers.now() - asked_at_s[name])
        asked_at_s[name] = timers.now()
        sent_to_reported += name in reported
        other = SHED if random.random() < 0.25 else SUCCESS
        attempt.finish(outcome if name in reported else other)
        timers.advance(1 / 84)
        if number % 8 == 0:
            exchange_heartbeats(tables, last_numbers)
    longest_s = max(longest_s, timers.now() - min(asked_at_s.values()))
    assert longest_s < 1.1 or outcome is ERROR
    assert sent_to_reported < most


def test_present_choice_decides_as_before(timers):
    """Guards against a change of decisions where the new way of choosing is off.

    The sequence was recorded before there was a second way of choosing.
    """
    table = MeshTargetTable(timers, "a", "milano", random=Random(5))
    table.choice.has_connection = lambda address: address.endswith(("1:80", "4:80"))
    table.apply(
        [make_target(number, DATA_CENTRES[number % 2], slots=2) for number in range(8)]
    )
    names, pending = "", []
    for number in range(60):
        pending.append(table.acquire("cassa", repeatable=number % 3 == 0))
        names += pending[-1].target.name[1:]
        for period, turn, outcome in ((4, 3, SUCCESS), (9, 5, ERROR), (11, 7, SHED)):
            if number % period == turn:
                pending.pop(0).finish(outcome)
        if number % 13 == 8:
            pending.pop(0).finish(CUT)
        if len(pending) > 14:
            pending.pop(0).finish(Outcome(OutcomeKind.SUCCESS, 0.1, 5000))
        timers.advance(0.07)
    recorded = "426041576036101737066201670607533322272166757535032441141677"
    assert_that(names, Equals(recorded))


def serve(table, timers, rate_per_s, duration_s, time_of, random):
    """Send requests at a rate; return how many each target served."""
    served, running = Counter(), []
    for number in range(int(rate_per_s * duration_s)):
        now = timers.now()
        for each in [each for each in running if each[0] <= now]:
            running.remove(each)
            each[1].finish(Outcome(OutcomeKind.SUCCESS, each[2], 1000))
        attempt = table.acquire("cassa")
        name = attempt.target.name
        # The work of a request varies by a factor of seven.
        latency_s = time_of(name) * random.uniform(0.25, 1.75)
        running.append((now + latency_s, attempt, latency_s))
        served[name] += number >= rate_per_s * duration_s / 2
        timers.advance(1 / rate_per_s)
    return served


def test_slow_targets_get_their_part(timers):
    """Load: 40 requests/s to 10 targets, of which one takes twice and one ten times.

    Guards against flooding slow targets, and against forgetting them.
    """
    table = make_table(timers, 10)
    slow = {"t1": 0.4, "t2": 2.0}
    served = serve(table, timers, 40, 120, lambda name: slow.get(name, 0.2), Random(3))
    ordinary = sum(served[name] for name in served if name not in slow) / 8
    assert 0.35 < served["t1"] / ordinary < 0.65
    assert 0.03 < served["t2"] / ordinary < 0.25


def test_new_target_gets_work_within_seconds(timers):
    """Load: a scale-up while all other targets are known to be as fast as each other.

    Guards against a target without measured times that waits for requests.
    """
    table = make_table(timers, 4)
    serve(table, timers, 40, 10, lambda name: 0.2, Random(3))
    table.apply([make_target(number) for number in range(5)])
    served = serve(table, timers, 40, 4, lambda name: 0.2, Random(3))
    assert served["t4"] >= 8


@pytest.mark.parametrize(
    ("free_slots", "least", "most"), [(16, 11, 16), (3, 1, 3), (0, 0, 0)]
)
def test_requests_move_only_while_the_other_side_has_free_slots(
    timers, free_slots, least, most
):
    """Load: 32 requests at once for 16 near slots and what is free elsewhere.

    Guards against requests that leave their data centre while it has free slots, and
    against all instances moving theirs to a few free slots.
    """
    table = make_table(timers, 4, remote=4)
    for number in range(16 - free_slots):
        name = f"t{4 + number % 4}"
        table.states[name].peer_loads["b"] = (number // 4 + 1, timers.now())
    near = [table.acquire("cassa").state.near for _ in range(32)]
    assert all(near[:16])
    assert least <= near.count(False) <= most


def test_requests_move_when_near_targets_fail(timers):
    """Guards against holding on to a data centre whose targets all fail."""
    table = make_table(timers, 4, remote=4)
    for name in ("t0", "t1", "t2", "t3"):
        table.acquire("cassa", set(table.states) - {name}).finish(ERROR)
    assert [table.acquire("cassa").state.near for _ in range(8)].count(False) >= 4


def test_reports_do_not_outweigh_an_own_path_that_works(timers):
    """Load: some network paths to a target are cut, that of this instance is not.

    Guards against giving up a target for all because of two instances.
    """
    table = make_table(timers, 2)
    table.acquire("cassa", {"t0"}).finish(SUCCESS)
    report_unreached(table, ["t0", "t1"])
    assert table.states["t0"].is_suspected()
    assert not table.states["t1"].is_suspected()


def test_one_gray_target_is_not_tried_with_requests_that_cannot_be_repeated(timers):
    """Load: one target fails all its requests for some seconds, the others none.

    Guards against losing bookings to a target that is known to fail.
    """
    table = make_table(timers, 12)
    names = []
    for _ in range(4 * 84):
        attempt = table.acquire("cassa")
        names.append(attempt.target.name)
        attempt.finish(ERROR if names[-1] == "t3" else SUCCESS)
        timers.advance(1 / 84)
    assert names.count("t3") == 1


@pytest.mark.parametrize(
    ("priorities", "warmup_per_s", "stated", "expected"),
    [
        ((0, 0), 0.0, None, LEAST_LOADED),
        ((0, 1), 0.0, None, COMPLETION_TIME),
        ((0, 0), 4.6, None, COMPLETION_TIME),
        ((0, 1), 4.6, LEAST_LOADED, LEAST_LOADED),
    ],
)
def test_configuration_turns_it_on(priorities, warmup_per_s, stated, expected):
    """Guards against another way of choosing where nothing calls for it."""
    routes = [
        Route(f"/{number}", "cassa", priority=priority)
        for number, priority in enumerate(priorities)
    ]
    routes.append(Route("/other", "other", priority=7))
    services = {"cassa": Service("cassa", (), warmup_per_s=warmup_per_s)}
    configuration = Configuration(1, Fleet("fleet"), services, tuple(routes), {})
    in_large_fleet = choice_for(configuration, stated, large_fleet=True)
    assert_that(in_large_fleet, Equals(expected))
    in_small_fleet = choice_for(configuration, stated, large_fleet=False)
    by_priorities = stated is None and not warmup_per_s
    assert_that(in_small_fleet, Equals(LEAST_LOADED if by_priorities else expected))


@pytest.mark.parametrize("large_fleet", [True, False])
def test_a_configuration_turns_it_on_and_off_in_an_instance(large_fleet):
    """Guards against an instance that keeps the way of an earlier configuration.

    Guards also against a small fleet that takes the way of a large one.
    """
    fleet = SimulatedFleet(1, 1e6, targets=4)
    instance = fleet.instances[0]
    instance.relaying.was_on = large_fleet
    read = fleet.codec.read_configuration
    for generation, priorities in ((2, (0, 1)), (3, (0, 0))):
        routes = tuple(Route(f"/{each}", "cassa", priority=each) for each in priorities)
        fleet.codec.read_configuration = lambda value, routes=routes: evolve(
            read(value), routes=routes
        )
        instance.apply_configuration(fleet.configuration_value(generation))
        is_on = large_fleet and bool(priorities[1])
        expected = COMPLETION_TIME if is_on else LEAST_LOADED
        assert_that(instance.targets.choice_name, Equals(expected))
        assert instance.directory.by_capacity() == is_on
