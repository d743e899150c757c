from concurrent.futures import ThreadPoolExecutor
from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Is, LessThan, Not

from lacewinglift.configuration import Configuration, Fleet, Service, Target
from lacewinglift.generated.fleet_pb2 import Suspicion
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.outlier_detection import HOLD_OFF_MAX_S, HoldOff
from lacewinglift.targets import TargetTable
from lacewinglift.timers import ManualTimers, ThreadTimers

DATA_CENTRES = ("milano", "torino", "verona")
OK = OutcomeKind.SUCCESS


def make_service(count=6, leaving=(), **options):
    targets = tuple(
        Target(
            f"t{i}", f"127.0.0.1:{9000 + i}", DATA_CENTRES[i % 3], 6, 330, i in leaving
        )
        for i in range(count)
    )
    return Service("cassa", targets, **options)


def make_configuration(service, generation=1):
    fleet = Fleet("pilarossi", DATA_CENTRES, instances=40)
    return Configuration(generation, fleet, {service.name: service}, (), {})


@pytest.fixture
def timers():
    return ManualTimers()


@pytest.fixture
def table(timers):
    table = TargetTable(timers, "nowhere", "entry-1", seed=1)
    table.apply(make_configuration(make_service()))
    return table


def send(table, timers, count, outcome_by_target=None, interval_s=0.03, latency_s=0.02):
    """Send `count` requests one after another and return their targets."""
    used = []
    for _ in range(count):
        attempt = table.acquire("cassa", ())
        used.append(attempt.target.name)
        kind, latency = (outcome_by_target or {}).get(
            attempt.target.name, (OK, latency_s)
        )
        timers.advance(latency)
        attempt.finish(Outcome(kind, latency))
        timers.advance(max(0.0, interval_s - latency))
    return used


def state_of(table, target):
    return table.dump()["cassa"]["targets"][target]["state"]


def test_target_that_only_fails_is_ejected(table, timers):
    """Guards against requests that keep failing at one faulty target."""
    send(table, timers, 300)
    send(table, timers, 100, {"t2": (OutcomeKind.ERROR, 0.01)})
    assert_that(state_of(table, "t2"), Equals("ejected"))
    assert_that(send(table, timers, 50), Not(Contains("t2")))


def test_errors_of_the_whole_service_eject_no_target(table, timers):
    """Guards against ejections when all targets return errors for one common cause."""
    send(table, timers, 300)
    send(table, timers, 300, {f"t{i}": (OutcomeKind.ERROR, 0.01) for i in range(6)})
    assert_that(table.suspicions(), Equals([]))


def test_hung_target_is_ejected_before_its_request_ends(table, timers):
    """Guards against a hang that is detected only at the request timeout."""
    send(table, timers, 300)
    hung = table.acquire("cassa", {f"t{i}" for i in range(6)} - {"t4"})
    send(table, timers, 40)
    assert_that(hung.finished, Is(False))
    assert_that(state_of(table, "t4"), Equals("ejected"))


def test_stall_of_the_whole_service_ejects_no_target(table, timers):
    """Guards against ejections when all targets wait for the same dependency."""
    send(table, timers, 300)
    waiting = [table.acquire("cassa", ()) for _ in range(6)]
    timers.advance(3.0)
    assert_that([s for s in table.suspicions() if s.score == 100], Equals([]))
    for attempt in waiting:
        attempt.finish(Outcome(OK, 3.0))
    assert_that([s for s in table.suspicions() if s.score == 100], Equals([]))


def test_leaving_target_gets_no_new_requests(table, timers):
    """Guards against requests to a target that is about to stop."""
    table.apply(make_configuration(make_service(leaving={0, 3}), 2))
    used = set(send(table, timers, 100))
    assert_that(used & {"t0", "t3"}, Equals(set()))


def test_shedding_target_is_paused_and_not_suspected(table, timers):
    """Guards against counting load shedding as a fault."""
    attempt = table.acquire("cassa", ())
    attempt.finish(Outcome(OutcomeKind.SHED, 0.001))
    assert_that(state_of(table, attempt.target.name), Equals("shedding"))
    timers.advance(0.1)
    assert_that(state_of(table, attempt.target.name), Equals("active"))
    assert_that(table.suspicions(), Equals([]))


def test_peers_alone_eject_no_target(table, timers):
    """Guards against an ejection without evidence of this instance's own requests."""
    for peer in range(39):
        suspicion = Suspicion(service="cassa", target="t1", score=100)
        table.record_peer_suspicions(f"peer-{peer}", [suspicion])
    send(table, timers, 200)
    assert_that(state_of(table, "t1"), Not(Equals("ejected")))


def test_ejected_target_returns_after_a_probe_and_starts_slowly(table, timers):
    """Guards against full load on a target that was just readmitted."""
    send(table, timers, 300)
    send(table, timers, 100, {"t2": (OutcomeKind.ERROR, 0.01)})
    timers.advance(10.0)
    [probe] = table.probes_due()
    table.record_probe_result(probe, True, 0.02)
    assert_that(state_of(table, "t2"), Equals("cold"))
    used = send(table, timers, 60)
    assert_that(used.count("t2"), LessThan(6))


def test_attempt_of_a_removed_target_may_finish(table, timers):
    """Guards against an error if a request ends after its target was removed."""
    attempt = table.acquire("cassa", {f"t{i}" for i in range(5)})
    table.apply(make_configuration(make_service(count=5), 2))
    attempt.finish(Outcome(OutcomeKind.CUT, 0.1))
    assert_that(table.acquire("unknown", ()), Is(None))


def fail_one_target(table, timers, target, count=60):
    """Make one target fail while the others keep responding."""
    others = {f"t{i}" for i in range(6)} - {target}
    for _ in range(count):
        attempt = table.acquire("cassa", others)
        if attempt is not None:
            attempt.finish(Outcome(OutcomeKind.ERROR, 0.01))
        send(table, timers, 2)


def test_floor_holds_with_leaving_targets(timers):
    """Guards against ejections that count leaving targets as healthy."""
    table = TargetTable(timers, "nowhere", "entry-1", seed=1)
    table.apply(make_configuration(make_service(leaving={0, 1, 2})))
    send(table, timers, 100)
    fail_one_target(table, timers, "t4")
    assert_that(state_of(table, "t4"), Equals("suspected"))
    table.apply(make_configuration(make_service(leaving={0, 1}), 2))
    fail_one_target(table, timers, "t4", 20)
    assert_that(state_of(table, "t4"), Equals("ejected"))


def test_floor_holds_with_shedding_targets(table, timers):
    """Guards against ejections that count shedding targets as healthy."""
    send(table, timers, 300)
    for target in ("t0", "t1", "t2"):
        state = table.services["cassa"].states[target]
        state.shedding_until_s = timers.now() + 600.0
    fail_one_target(table, timers, "t4")
    assert_that(state_of(table, "t4"), Equals("suspected"))


def test_hold_off_grows_with_each_ejection():
    """Guards against a flapping target that fails requests at a constant rate."""
    hold_off = HoldOff()
    random = Random(1)
    now = 1000.0
    durations = []
    for _ in range(10):
        hold_off.start(now, random)
        durations.append(hold_off.duration_s)
        now = hold_off.until_s
        while not hold_off.probe_passed(now):
            now += 1.0
    assert_that(durations[1], GreaterThan(durations[0]))
    assert_that(durations[4], GreaterThan(8 * durations[0]))
    assert_that(max(durations), LessThan(1.25 * HOLD_OFF_MAX_S + 1.0))
    hold_off.start(now + 3600.0, random)
    assert_that(hold_off.duration_s, LessThan(10.0))


def test_pause_of_the_process_is_not_evidence(table, timers):
    """Guards against ejections when this process was paused and not the targets."""
    send(table, timers, 300)
    waiting = [table.acquire("cassa", ()) for _ in range(4)]
    timers.pause(3.0)
    for attempt in waiting[:2]:
        attempt.finish(Outcome(OK, 3.0))
    timers.advance(0.05)
    assert_that(table.suspicions(), Equals([]))


def test_request_threads_share_a_table():
    """Guards against races between threads that lose in-flight counts."""
    timers = ThreadTimers()
    table = TargetTable(timers, "milano", seed=1)
    table.apply(make_configuration(make_service(9)))

    def work(number):
        for turn in range(300):
            attempt = table.acquire("cassa", ())
            if attempt is not None:
                kind = list(OutcomeKind)[(number + turn) % len(OutcomeKind)]
                attempt.finish(Outcome(kind, 0.001 * turn))
            if turn % 50 == 0:
                table.apply(make_configuration(make_service(6 + turn % 3), turn))

    try:
        with ThreadPoolExecutor(8) as executor:
            for future in [executor.submit(work, n) for n in range(8)]:
                future.result()
    finally:
        timers.stop()
    targets = table.dump()["cassa"]["targets"].values()
    assert_that({target["in_flight"] for target in targets}, Equals({0}))
