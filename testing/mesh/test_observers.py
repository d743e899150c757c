import contextlib

import pytest
from attrs import define, field
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan, Not

from lacewinglift.errors import StoreUnavailableError
from lacewinglift.generated import beats_pb2
from lacewinglift.kv import Item, Listing, WatchCutError
from lacewinglift.mesh.fleet_history import FleetHistory
from lacewinglift.mesh.members import MEMBER_TIMEOUT_S, MemberTable
from lacewinglift.mesh.observer_election import (
    INITIAL_LISTEN_S,
    OBSERVER_HEARTBEAT_INTERVAL_S,
    OBSERVER_TIMEOUT_S,
    ObserverElection,
)
from lacewinglift.mesh.observers import ROLE_CHECK_INTERVAL_S, Observer
from lacewinglift.mesh.registry import EXPIRED_ENTRY_GRACE_S, TargetRegistry
from lacewinglift.mesh.resend_records import ResendRecordKeeper
from lacewinglift.mesh.retry_budgets import FleetRetryBudgets, RetryLimits
from lacewinglift.rendezvous import rank_candidates
from lacewinglift.timers import ManualTimers
from testing.mesh.test_directory import build_heartbeat
from testing.mesh.test_registry import TARGET


@define(slots=False)
class EmptyStore:
    """Store without keys that records the listed prefixes; fails if `down`."""

    down: bool = False
    calls: list = field(factory=list)

    def list(self, prefix, stale=False):
        self.calls.append(prefix)
        if self.down:
            raise StoreUnavailableError("down")
        return Listing((), 7)

    def close(self):
        pass


class RecordStoreStandIn(EmptyStore):
    """Store with one key."""

    value = None
    written = ()

    def list(self, prefix, stale=False):
        items = () if self.value is None else (Item(prefix, self.value, 7),)
        return Listing(items, 7)

    def put_with_lease(self, key, value, ttl_s):
        self.value = value
        self.written = (*self.written, key)


class EmptyCodec:
    operator_prefix = "config"
    configuration_key = "config"
    targets_prefix = "targets/"
    instances_prefix = "instances/"
    resend_record_key = "resends"


@pytest.fixture
def timers():
    return ManualTimers()


def observe(store, timers, name="f0", interval_s=1.5):
    """Return the observer of one instance."""
    members = MemberTable(name, timers)
    return Observer(
        store,
        EmptyCodec(),
        TargetRegistry(timers),
        ObserverElection(members, data_centre_of(name), timers),
        lambda value: None,
        lambda addresses: None,
        f"{name}:81",
        timers,
        lambda: True,
        read_immediately=False,
        target_heartbeat_interval_s=interval_s,
    )


@pytest.fixture
def fleet(timers):
    """Observers of nine instances that exchanged heartbeats."""
    observers = {}
    for number in range(9):
        name = f"f{number}"
        observers[name] = observe(EmptyStore(), timers, name)
    send_heartbeats(observers, observers)
    timers.advance(INITIAL_LISTEN_S)
    return observers


def data_centre_of(name):
    return ("milano", "torino", "verona")[int(name[1:]) % 3]


def send_heartbeats(senders, observers, sequence=1, state=beats_pb2.SERVING):
    for name in senders:
        observer = observers[name]
        heartbeat = build_heartbeat(name, data_centre_of(name), sequence, state=state)
        heartbeat.observer = observer.watching.is_set()
        heartbeat.store_age_ms = min(
            int(min(observer.contact.age_s(), 1e6) * 1000), 2**31
        )
        for other in observers.values():
            other.members.receive(heartbeat)


def update_roles(observers):
    for observer in observers.values():
        observer.update_role()
    return {name for name, each in observers.items() if each.watching.is_set()}


def test_one_instance_per_data_centre_watches_the_store(fleet):
    """Guards against a number of store calls that grows with the fleet."""
    chosen = update_roles(fleet)
    assert_that({data_centre_of(name) for name in chosen}, HasLength(3))
    assert_that(chosen, HasLength(3))


def test_another_instance_takes_over_from_an_unreachable_observer(fleet, timers):
    """Guards against a fleet that gets no changes after an observer is lost."""
    lost = sorted(update_roles(fleet))[0]
    timers.advance(MEMBER_TIMEOUT_S + 0.1)
    alive = [name for name in fleet if name != lost]
    send_heartbeats(alive, fleet, 2)
    chosen = update_roles(fleet) - {lost}
    assert_that({data_centre_of(name) for name in chosen}, HasLength(3))


def test_another_instance_takes_over_from_an_observer_that_the_store_refuses(fleet):
    """Guards against keeping an observer to which the store refuses access."""
    chosen = update_roles(fleet)
    refused = sorted(chosen)[0]
    for name in chosen:
        fleet[name].contact.record_answer(0)
    fleet[refused].contact.record_failure(StoreUnavailableError("refused"))
    send_heartbeats(fleet, fleet, 2)
    others = update_roles(fleet) - {refused}
    assert_that({data_centre_of(name) for name in others}, HasLength(3))


def test_refused_observer_tells_the_others_at_once(fleet):
    """Guards against a fleet that watches nothing for seconds after its start.

    The instances learn from heartbeats alone that the chosen observer is refused.
    """
    announced = []
    for name, observer in fleet.items():
        observer.on_role_change = lambda name=name: announced.append(name)
    chosen = update_roles(fleet)
    assert_that(set(announced), Equals(chosen))
    refused = sorted(chosen)[0]
    announced.clear()
    fleet[refused].contact.record_failure(StoreUnavailableError("refused"))
    fleet[refused].contact.record_failure(StoreUnavailableError("refused"))
    assert_that(announced, Equals([refused]))
    fleet[refused].contact.record_answer(0)
    assert_that(announced, Equals([refused, refused]))


def test_failed_first_read_announces_nothing(fleet):
    """Guards against one more heartbeat from each instance that starts in an outage.

    Only observers are watched for their contact to the store.
    """
    announced = []
    fleet["f0"].on_role_change = lambda: announced.append("f0")
    fleet["f0"].contact.record_failure(StoreUnavailableError("down"))
    assert_that(announced, Equals([]))


def test_observer_that_the_store_refuses_has_no_working_watch(fleet):
    """Guards against outdated targets at an observer that the store refuses.

    It must not wait for its own watch, but accept newer targets from others.
    """
    name = sorted(update_roles(fleet))[0]
    fleet[name].contact.record_answer(0)
    assert fleet[name].has_working_watch()
    fleet[name].contact.record_failure(StoreUnavailableError("refused"))
    assert not fleet[name].has_working_watch()


def test_watch_without_changes_does_not_count_as_lost_contact(fleet, timers):
    """Guards against additional observers only because nothing changes for seconds."""
    chosen = update_roles(fleet)
    for name in chosen:
        fleet[name].contact.record_answer(0)
    for step in range(2):
        timers.advance(2.0)
        send_heartbeats(fleet, fleet, 2 + step)
    assert_that(update_roles(fleet), Equals(chosen))


def test_all_instances_watch_when_no_observer_reaches_the_store(fleet, timers):
    """Guards against a fleet without updates when the store refuses all observers."""
    chosen = update_roles(fleet)
    for name in chosen:
        fleet[name].contact.record_failure(StoreUnavailableError("refused"))
    for step in range(2, 9):
        timers.advance(OBSERVER_TIMEOUT_S / 4)
        send_heartbeats(fleet, fleet, step)
        update_roles(fleet)
    assert_that(update_roles(fleet), Equals(set(fleet)))


def test_instance_without_reachable_members_watches_the_store(fleet, timers):
    """Guards against a partitioned instance that never receives changes."""
    timers.advance(MEMBER_TIMEOUT_S + 0.1)
    fleet["f0"].update_role()
    assert fleet["f0"].watching.is_set()


def test_initial_read_ends_once_the_state_arrived_from_others(timers):
    """Guards against reading from the store what peers have already sent."""
    store = EmptyStore(down=True)
    started = iter([False, True])
    observer = observe(store, timers)
    observer.is_started = lambda: next(started)
    observer._read_initial_state()
    assert_that(store.calls, Equals(["config"]))


@pytest.mark.parametrize("answered_meanwhile", [True, False])
def test_call_that_an_outage_swallowed_is_no_later_outage(timers, answered_meanwhile):
    """Guards against targets that are kept for seconds although they have left.

    A call that was sent before the store returned fails by its timeout, when the
    store has long answered others.
    """
    observer = observe(EmptyStore(), timers)

    def fail_late(prefix, stale=False):
        timers.advance(1.0)
        if answered_meanwhile:
            observer.contact.record_answer(0)
        timers.advance(0.5)
        raise StoreUnavailableError("timed out")

    observer.store.list = fail_late
    with pytest.raises(StoreUnavailableError):
        observer._list_targets()
    assert_that(observer.contact.failing, Equals(True))
    expected = float("-inf") if answered_meanwhile else timers.now()
    assert_that(observer.registry.last_outage_at_s, Equals(expected))


@pytest.mark.parametrize(
    ("overdue_s", "was_outage"), [(-1.9, False), (-0.1, False), (0.1, True)]
)
def test_watch_that_is_cut_when_it_is_overdue_was_an_outage(
    timers, overdue_s, was_outage
):
    """Guards against losing all targets that could not write their entries.

    The connection of a watch may stay open in an outage and be closed at its end. A
    watch that is cut before it has to answer says nothing about the store.
    """
    observer = observe(EmptyStore(), timers)

    def cut_late(prefix, after, wait_s):
        timers.advance(wait_s + overdue_s)
        raise WatchCutError("closed")

    observer.store.watch = cut_late
    observer.watching.set()
    observer._watch_targets()
    expected = timers.now() if was_outage else float("-inf")
    assert_that(observer.registry.last_outage_at_s, Equals(expected))


@pytest.mark.parametrize(
    ("silent_s", "was_outage"), [(0.5, False), (1.9, False), (2.1, True), (4.5, True)]
)
def test_failed_call_after_a_silence_was_an_outage(timers, silent_s, was_outage):
    """Guards against a single refused call that counts as an outage.

    Entries cannot expire in a time as short as that since the last answer.
    """
    observer = observe(EmptyStore(), timers)
    observer._list_targets()
    timers.advance(silent_s)
    observer.store.down = True
    with pytest.raises(StoreUnavailableError):
        observer._list_targets()
    expected = timers.now() if was_outage else float("-inf")
    assert_that(observer.registry.last_outage_at_s, Equals(expected))


@pytest.mark.parametrize("interval_s", [0.5, 1.5, 5.0])
def test_outage_is_shorter_than_what_lets_entries_expire(timers, interval_s):
    """Guards against an outage that is missed, at any heartbeat interval.

    An entry expires after three intervals, of which one may lie before the outage.
    """
    observer = observe(EmptyStore(), timers, interval_s=interval_s)
    assert_that(observer.contact.min_outage_s, LessThan(2 * interval_s))


def test_missing_target_is_kept_while_the_store_fails_again(timers):
    """Guards against losing live targets in two outages that follow one another.

    Their targets cannot write the entries again within the grace period.
    """
    observer = observe(EmptyStore(down=True), timers)
    observer.registry.replace_all([TARGET], 5)
    observer.watching.set()
    for down in (True, False, True):
        observer.store.down = down
        with contextlib.suppress(StoreUnavailableError):
            observer._list_targets()
    timers.advance(EXPIRED_ENTRY_GRACE_S + 1.0)
    observer.remove_expired_targets()
    assert_that(observer.registry.targets, Contains(TARGET.name))
    observer.contact.record_answer(0)
    observer.remove_expired_targets()
    assert_that(observer.registry.targets, Not(Contains(TARGET.name)))


# Time in which another instance watches the store after the last heartbeat of an
# observer: of the users' 2 s, 0.5 s are left to spread a change.
MAX_UNWATCHED_S = 1.5
FLEETS = {"nine": 9, "hundred": 100}


def start_fleet(timers, size):
    """Return a fleet whose observers reach the store and have sent heartbeats."""
    fleet = {f"f{n}": observe(EmptyStore(), timers, f"f{n}") for n in range(size)}
    send_heartbeats(fleet, fleet)
    timers.advance(INITIAL_LISTEN_S)
    for name in update_roles(fleet):
        fleet[name].contact.record_answer(0)
    send_heartbeats(fleet, fleet, 2)
    return fleet


def time_until_watched(timers, alive):
    """Return the time until one of the instances that are alive watches the store."""
    started_s = timers.now()
    while not update_roles(alive):
        timers.advance(ROLE_CHECK_INTERVAL_S)
        assert timers.now() - started_s < 10 * MAX_UNWATCHED_S
    return timers.now() - started_s


@pytest.mark.parametrize("size", FLEETS.values(), ids=FLEETS)
@pytest.mark.parametrize("lost_share", [0.0, 0.5, 0.8])
def test_store_is_watched_soon_after_all_observers_are_lost(timers, size, lost_share):
    """Guards against a key that works on for seconds after it was taken away.

    The observers lose power at the same moment, and with them a share of the others,
    in the order in which they would take over.
    """
    fleet = start_fleet(timers, size)
    observers = update_roles(fleet)
    assert_that(observers, HasLength(3))
    others = rank_candidates("observer", set(fleet) - observers)
    lost = observers | set(others[: int(lost_share * len(others))])
    alive = {name: each for name, each in fleet.items() if name not in lost}
    assert_that(time_until_watched(timers, alive), LessThan(MAX_UNWATCHED_S))


def test_few_instances_take_over_from_lost_observers(timers):
    """Guards against a whole fleet that reads the store when its observers are lost."""
    fleet = start_fleet(timers, 100)
    observers = update_roles(fleet)
    alive = {name: each for name, each in fleet.items() if name not in observers}
    time_until_watched(timers, alive)
    watching = update_roles(alive)
    for name in watching:
        alive[name].contact.record_answer(0)
    for sequence in range(3, 8):
        send_heartbeats(alive, alive, sequence)
        watching = update_roles(alive)
        timers.advance(OBSERVER_HEARTBEAT_INTERVAL_S)
    assert_that({data_centre_of(name) for name in watching}, HasLength(3))
    assert_that(watching, HasLength(3))


def test_observer_whose_heartbeat_is_lost_keeps_its_duty(timers):
    """Guards against a change of observers for each lost datagram."""
    fleet = start_fleet(timers, 9)
    observers = update_roles(fleet)
    timers.advance(2 * OBSERVER_HEARTBEAT_INTERVAL_S)
    assert_that(update_roles(fleet), Equals(observers))


def test_observer_that_stops_is_replaced_before_it_ends(timers):
    """Guards against a data centre that misses changes after a planned stop.

    The next instance watches the store while the one that stops still does.
    """
    fleet = start_fleet(timers, 9)
    leaving = sorted(update_roles(fleet))[0]
    fleet[leaving].election.is_leaving = lambda: True
    send_heartbeats([leaving], fleet, 3, state=beats_pb2.DRAINING)
    watching = update_roles(fleet)
    near = {n for n in watching if data_centre_of(n) == data_centre_of(leaving)}
    assert_that(near, HasLength(2))
    for name in near:
        fleet[name].contact.record_answer(0)
    send_heartbeats(near - {leaving}, fleet, 4)
    assert_that(update_roles(fleet), Equals(watching - {leaving}))


@pytest.fixture
def delays(monkeypatch):
    """Delays between the iterations of an observer's loop; sleeping is replaced."""
    taken = []
    monkeypatch.setattr("lacewinglift.mesh.observers.time.sleep", taken.append)
    return taken


def run_iterations(observer, answered):
    """Run an observer's loop; every iteration fails, after an answer where True."""
    remaining = list(answered)

    def loop():
        if not remaining:
            observer.stopped = True
        elif remaining.pop(0):
            observer.timers.advance(0.01)
            observer.contact.record_answer(0)
            observer.timers.advance(0.01)
        raise StoreUnavailableError("down")

    observer.watching.set()
    observer._run_while_watching(loop)


def test_retries_continue_each_second_during_a_long_outage(fleet, delays):
    """Guards against an overflow in the backoff that ends the thread."""
    run_iterations(fleet["f0"], [False] * 1100)
    assert_that(delays, HasLength(1100))
    assert_that(delays[:6], Equals([0.1, 0.2, 0.4, 0.8, 1.0, 1.0]))
    assert_that(set(delays[6:]), Equals({1.0}))


def test_answer_of_the_store_resets_the_backoff(fleet, delays):
    """Guards against a backoff that is not reset after an outage."""
    run_iterations(fleet["f0"], [False, False, False, True, False])
    assert_that(delays, Equals([0.1, 0.2, 0.4, 0.1, 0.2]))


def test_record_of_resends_outlives_the_fleet(timers):
    """Guards against a write while nothing is used, and a record that nobody reads."""
    store = RecordStoreStandIn()

    def keep_record(name, resends, first_start):
        observer = observe(store, timers, name)
        observer.watching.set()
        observer._sleep = lambda duration_s: None
        history = FleetHistory(timers, observer.members, first_start)
        limits = RetryLimits(0.2, 10.0, 8.0)
        budgets = FleetRetryBudgets(timers, limits, lambda: 1.0, history)
        observer.resend_record = ResendRecordKeeper(timers, budgets, 10.0)
        budget = budgets.budget_for("cassa")
        for _ in range(10):
            budget.record_request()
        for _ in range(resends):
            budget.try_acquire()
        for _ in range(3):
            observer.keep_resend_record()
        return budget

    keep_record("f0", 2, first_start=True)
    assert_that(store.written, HasLength(0))
    keep_record("f1", 4, first_start=True)
    assert_that(store.written, HasLength(1))
    restarted = keep_record("f2", 0, first_start=False)
    assert_that(restarted.earlier.resends_since(timers.now()), Equals(8.0))
    store.value = b"\xff"
    assert keep_record("f3", 0, first_start=False).earlier is None
