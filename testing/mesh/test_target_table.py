from random import Random

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan, Not

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.registry import RegisteredTarget
from lacewinglift.mesh.target_state import MAX_LOAD
from lacewinglift.mesh.target_table import (
    FAILED,
    PATH_HOLD_OFF_S,
    SUSPECT_HOLD_OFF_S,
    TRIAL_INTERVAL_S,
    UNREACHED,
    EvidenceEvent,
    MeshTargetTable,
)
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.timers import ManualTimers

ERROR = Outcome(OutcomeKind.ERROR, 0.001)
SUCCESS = Outcome(OutcomeKind.SUCCESS, 0.2)
SHED = Outcome(OutcomeKind.SHED, 0.001)
CUT = Outcome(OutcomeKind.CUT, 0.1)


def make_target(number, data_centre="milano", slots=2):
    address = f"10.0.0.{number}:80"
    return RegisteredTarget(f"t{number}", "cassa", address, data_centre, slots, 1, 1)


@pytest.fixture
def timers():
    return ManualTimers()


@pytest.fixture
def pair(timers):
    """Target tables of two instances with the same four targets."""
    tables = [
        MeshTargetTable(timers, name, "milano", random=Random(1)) for name in ("a", "b")
    ]
    for table in tables:
        table.apply([make_target(number) for number in range(4)])
    return tables


def send_heartbeat(sender, receiver, last_number=0):
    heartbeat = beats_pb2.Beat(instance=sender.instance, incarnation=1)
    heartbeat.evidence.extend(sender.evidence())
    heartbeat.loads.extend(sender.loads())
    return receiver.record_peer_evidence(heartbeat, last_number)


def send_to(table, name, outcome):
    others = {each for each in table.states if each != name}
    attempt = table.acquire("cassa", others)
    attempt.finish(outcome)


def chosen_names(table, count=40, repeatable=False):
    names = set()
    for _ in range(count):
        attempt = table.acquire("cassa", repeatable=repeatable)
        names.add(attempt.target.name)
        attempt.finish(Outcome(OutcomeKind.CANCELLED, 0.0))
    return names


def test_one_failure_stops_unrepeatable_requests_at_all_instances(pair):
    """Load: few requests per instance; a target fails 90 % of them for seconds.

    Guards against failed requests at a target that another instance has seen fail.
    """
    send_to(pair[0], "t1", ERROR)
    send_heartbeat(*pair)
    for table in pair:
        assert_that(chosen_names(table), Not(Contains("t1")))


def test_suspected_target_is_tried_with_a_repeatable_request(pair, timers):
    """Guards against trying a failed target with a request that cannot be repeated."""
    send_to(pair[0], "t1", ERROR)
    timers.advance(TRIAL_INTERVAL_S)
    assert_that(chosen_names(pair[0]), Not(Contains("t1")))
    attempt = pair[0].acquire("cassa", repeatable=True)
    assert_that(attempt.target.name, Equals("t1"))


def test_one_served_request_does_not_clear_a_suspicion(pair, timers):
    """Guards against clearing a target that serves only one in ten requests."""
    send_to(pair[0], "t1", ERROR)
    timers.advance(TRIAL_INTERVAL_S)
    pair[0].acquire("cassa", repeatable=True).finish(SUCCESS)
    assert_that(chosen_names(pair[0]), Not(Contains("t1")))
    timers.advance(0.1)
    pair[0].acquire("cassa", repeatable=True).finish(SUCCESS)
    assert_that(chosen_names(pair[0]), Contains("t1"))


def test_served_requests_clear_a_suspicion_at_all_instances(pair, timers):
    """Guards against instances that avoid a target long after it has recovered."""
    send_to(pair[0], "t1", ERROR)
    last_number = send_heartbeat(*pair)
    for _ in range(2):
        timers.advance(TRIAL_INTERVAL_S)
        pair[0].acquire("cassa", repeatable=True).finish(SUCCESS)
    send_heartbeat(*pair, last_number)
    assert_that(chosen_names(pair[1]), Contains("t1"))


def test_success_of_a_request_sent_before_a_failure_is_not_counted(pair, timers):
    """Guards against a long request that succeeds and so hides a failing target."""
    old = pair[0].acquire("cassa", {"t0", "t2", "t3"})
    timers.advance(0.3)
    send_to(pair[0], "t1", ERROR)
    old.finish(SUCCESS)
    assert pair[0].states["t1"].successes_since_failure == 0


def test_broken_path_is_avoided_only_by_the_instance_that_reported_it(pair, timers):
    """Guards against a partitioned instance that makes the fleet avoid all targets."""
    for name in ("t0", "t1", "t2"):
        send_to(pair[0], name, CUT)
    send_heartbeat(*pair)
    assert_that(chosen_names(pair[0]), Equals({"t3"}))
    assert_that(chosen_names(pair[1]), Equals({"t0", "t1", "t2", "t3"}))
    timers.advance(PATH_HOLD_OFF_S)
    assert_that(chosen_names(pair[0]), Equals({"t0", "t1", "t2", "t3"}))


def test_target_is_suspected_when_two_instances_report_broken_paths(pair, timers):
    """Guards against each instance trying a target that resets connections."""
    third = MeshTargetTable(timers, "c", "milano", random=Random(1))
    third.apply([make_target(number) for number in range(4)])
    for table in pair:
        send_to(table, "t1", CUT)
        send_heartbeat(table, third)
    assert_that(chosen_names(third), Not(Contains("t1")))


def test_requests_in_flight_at_other_instances_count(pair):
    """Load: two slots per target and several instances.

    Guards against two instances that send their requests to the same targets.
    """
    busy = [pair[0].acquire("cassa") for _ in range(4)]
    send_heartbeat(*pair)
    attempts = [pair[1].acquire("cassa") for _ in range(4)]
    names = [attempt.target.name for attempt in (*busy, *attempts)]
    assert_that(max(names.count(name) for name in names), Equals(2))


def test_target_that_sheds_gets_no_requests_during_the_backoff(pair, timers):
    """Guards against a burst of requests to a full target that sheds them."""
    send_to(pair[0], "t1", SHED)
    assert_that(chosen_names(pair[0]), Not(Contains("t1")))
    timers.advance(1.0)
    assert_that(chosen_names(pair[0]), Contains("t1"))


def test_suspected_targets_return_sooner_when_the_others_are_full(pair, timers):
    """Load: more requests than the targets without suspicion have slots.

    Guards against queues at few targets while suspected ones are idle.
    """
    send_to(pair[0], "t1", ERROR)
    timers.advance(SUSPECT_HOLD_OFF_S / 2)
    names = [pair[0].acquire("cassa").target.name for _ in range(7)]
    assert_that(names[:6], Not(Contains("t1")))
    assert_that(names[6], Equals("t1"))


def test_leaving_target_gets_no_requests(pair):
    """Guards against new requests to a target that drains."""
    leaving = [make_target(number) for number in range(4)]
    leaving[2] = evolve(leaving[2], leaving=True)
    pair[0].apply(leaving)
    assert_that(chosen_names(pair[0]), Equals({"t0", "t1", "t3"}))


def test_new_incarnation_starts_without_suspicion(pair):
    """Guards against suspecting a new process for a failure of the old one."""
    send_to(pair[0], "t1", ERROR)
    targets = [make_target(number) for number in range(4)]
    targets[1] = evolve(targets[1], born_ms=2)
    pair[0].apply(targets)
    assert_that(chosen_names(pair[0]), Contains("t1"))


def test_near_targets_are_preferred_until_they_are_full(timers):
    """Guards against traffic between data centres while near targets are idle."""
    table = MeshTargetTable(timers, "a", "milano", random=Random(1))
    near = [make_target(number, slots=4) for number in range(2)]
    far = [make_target(number, "torino", slots=4) for number in range(2, 4)]
    table.apply(near + far)
    first = [table.acquire("cassa").target.data_centre for _ in range(2)]
    assert_that(first, Equals(["milano", "milano"]))
    rest = [table.acquire("cassa").target.data_centre for _ in range(8)]
    assert_that(rest, Contains("torino"))


def test_instances_with_old_loads_do_not_all_choose_the_same_target(timers):
    """Load: twenty instances choose before they hear of each other, one target is idle.

    Guards against a crowd at the target that was the least loaded a moment ago, as
    after its restart; it queues or refuses what the others have slots for.
    """
    tables = [
        MeshTargetTable(timers, f"f{number}", "milano", random=Random(number))
        for number in range(20)
    ]
    heartbeat = beats_pb2.Beat(instance="busy", incarnation=1)
    for number in range(1, 10):
        heartbeat.loads.add(target=f"t{number}", in_flight=1)
    for table in tables:
        table.apply([make_target(number, slots=6) for number in range(10)])
        table.record_peer_evidence(heartbeat, 0)
    names = [table.acquire("cassa").target.name for table in tables]
    assert_that(names.count("t0"), LessThan(8))


def test_open_connections_are_preferred(timers):
    """Guards against a new connection for each request when an instance gets few."""
    table = MeshTargetTable(timers, "a", "milano", random=Random(1))
    table.apply([make_target(number) for number in range(4)])
    table.choice.has_connection = lambda address: address.startswith("10.0.0.2:")
    assert_that(chosen_names(table), Equals({"t2"}))


def test_evidence_of_a_lost_datagram_is_repeated_in_the_next(pair):
    """Guards against evidence that is lost together with one datagram."""
    send_to(pair[0], "t1", ERROR)
    pair[0].evidence()
    assert_that(send_heartbeat(*pair), Equals(1))
    assert_that(chosen_names(pair[1]), Not(Contains("t1")))


def test_few_requests_are_lost_when_different_targets_fail_over_time(timers):
    """Load: 35 unrepeatable requests per second on nine instances.

    About 30 % of the targets have gray failures. Guards against detection by each
    instance alone, which loses a quarter of the requests.
    """
    random = Random(7)
    targets = [make_target(number, slots=6) for number in range(15)]
    tables = []
    for number in range(9):
        table = MeshTargetTable(timers, f"f{number}", "milano", random=random)
        table.apply(targets)
        tables.append(table)
    last_numbers = {}
    failing = {target.name: random.random() < 0.3 for target in targets}
    sent = lost = 0
    for step in range(1000):
        if step % 50 == 0:
            name = random.choice(targets).name
            failing[name] = random.random() < 0.3
        table = random.choice(tables)
        attempt = table.acquire("cassa")
        fails = failing[attempt.target.name] and random.random() < 0.9
        attempt.finish(ERROR if fails else SUCCESS)
        sent += 1
        lost += fails
        for receiver in tables:
            if receiver is not table:
                key = (table.instance, receiver.instance)
                last_numbers[key] = send_heartbeat(
                    table, receiver, last_numbers.get(key, 0)
                )
        timers.advance(1 / 35)
    assert_that(lost / sent, LessThan(0.06))


def test_statements_of_targets_reach_other_instances(pair, timers):
    """Guards against a limit, or its end, that only one instance knows."""
    sender, receiver = pair
    attempt = sender.acquire("cassa", {"t1", "t2", "t3"})
    attempt.record_rate_limit(2.0, served=False)
    send_rate_limits(sender, receiver)
    assert_that(receiver.states["t0"].limit.limit_per_s, Equals(2.0))
    timers.advance(0.1)
    attempt.record_rate_limit(None, served=False)
    send_rate_limits(sender, receiver)
    assert_that(receiver.states["t0"].limit.limit_per_s, Equals(2.0))
    attempt.record_rate_limit(None, served=True)
    send_rate_limits(sender, receiver)
    assert_that(receiver.states["t0"].limit.limit_per_s, Equals(None))


def test_full_heartbeat_tells_newcomers_of_earlier_limits(pair, timers):
    """Guards against a new process that sends to targets in need as to others."""
    sender, receiver = pair
    attempt = sender.acquire("cassa", {"t1", "t2", "t3"})
    attempt.record_rate_limit(2.0, served=True)
    timers.advance(10.0)
    send_rate_limits(sender, receiver)
    assert_that(receiver.states["t0"].limit.limit_per_s, Equals(None))
    send_rate_limits(sender, receiver, full=True)
    assert_that(receiver.states["t0"].limit.limit_per_s, Equals(2.0))


def send_rate_limits(sender, receiver, full=False):
    heartbeat = beats_pb2.Beat(instance=sender.instance, incarnation=1)
    heartbeat.rate_limits.extend(sender.rate_limits(full))
    receiver.record_peer_rate_limits(heartbeat)


def test_limited_target_is_asked_when_its_share_goes_unused(pair, timers):
    """Guards against a limit that stays because nobody asks its target again.

    The other targets are nearer, so that they are chosen for each request.
    """
    table, _ = pair
    far = evolve(make_target(0), data_centre="verona")
    table.apply([far, *(make_target(number) for number in range(1, 4))])
    attempt = table.acquire("cassa", {"t1", "t2", "t3"})
    attempt.record_rate_limit(1.0, served=True)
    attempt.finish(SUCCESS)
    timers.advance(3.0)
    assert_that(table.acquire("cassa").target.name, Equals("t0"))


def start_at(table, name, count=1):
    """Start requests at one target; return the numbers of those that it loses."""
    abandoned = []
    others = {each for each in table.states if each != name}
    for number in range(count):
        attempt = table.acquire("cassa", others)
        attempt.on_ejected = lambda number=number: abandoned.append(number)
    return abandoned


def eject(table, name):
    """Let another instance report a broken path, and find one too."""
    event = EvidenceEvent(name, UNREACHED, table.timers.now(), 1)
    table._apply_evidence("b", event, event.at_s)
    table._record_unreached(table.states[name], "a", event.at_s)


def test_request_at_a_target_whose_entry_is_removed_is_not_abandoned(pair):
    """Guards against breaking off requests that a leaving target still serves."""
    table = pair[0]
    abandoned = start_at(table, "t1")
    table.apply([make_target(number) for number in (0, 2, 3)])
    assert_that(abandoned, Equals([]))


def test_request_at_a_target_that_has_restarted_is_abandoned(pair):
    """Guards against waiting for a process that has ended."""
    table = pair[0]
    abandoned = start_at(table, "t1")
    restarted = evolve(make_target(1), born_ms=2)
    table.apply([make_target(0), restarted, make_target(2), make_target(3)])
    assert_that(abandoned, Equals([0]))


@pytest.mark.parametrize("free", [0, 1, 4])
def test_requests_at_an_ejected_target_are_abandoned_as_far_as_others_have_room(
    pair, free
):
    """Guards against requests that are broken off and then find no target."""
    table = pair[0]
    abandoned = start_at(table, "t1", count=3)
    full = int(MAX_LOAD) * 2
    for name in ("t0", "t2", "t3"):
        start_at(table, name, full - (free if name == "t0" else 0))
    eject(table, "t1")
    assert_that(abandoned, HasLength(min(free, 3)))


class LateLock:
    """Lock that another thread held meanwhile, to record a failure."""

    def __init__(self, table):
        self.table = table

    def __enter__(self):
        self.table.timers.advance(0.01)
        at_s = self.table.timers.now()
        self.table.events.append(EvidenceEvent("t1", FAILED, at_s, 1))

    def __exit__(self, *error):
        pass


def test_failure_that_is_recorded_while_a_heartbeat_is_built_has_no_negative_age(pair):
    """Guards against a heartbeat that cannot be built, after which none is sent."""
    pair[0].lock = LateLock(pair[0])
    (evidence,) = pair[0].evidence()
    assert_that(evidence.age_ms, Equals(0))
