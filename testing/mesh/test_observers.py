import pytest
from attrs import define, field
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from lacewinglift.errors import StoreUnavailableError
from lacewinglift.generated import beats_pb2
from lacewinglift.kv import Listing
from lacewinglift.mesh.members import MEMBER_TIMEOUT_S, MemberTable
from lacewinglift.mesh.observers import (
    INITIAL_LISTEN_S,
    NO_OBSERVER_TIMEOUT_S,
    Observer,
)
from lacewinglift.mesh.registry import TargetRegistry
from lacewinglift.timers import ManualTimers
from testing.mesh.test_directory import build_heartbeat


@define
class EmptyStore:
    """A store without keys that counts its calls, or fails."""

    down: bool = False
    calls: list = field(factory=list)

    def list(self, prefix, stale=False):
        self.calls.append(prefix)
        if self.down:
            raise StoreUnavailableError("down")
        return Listing((), 7)

    def close(self):
        pass


class EmptyCodec:
    configuration_key = "config"
    targets_prefix = "targets/"
    instances_prefix = "instances/"


@pytest.fixture
def timers():
    return ManualTimers()


@pytest.fixture
def fleet(timers):
    """Observers of nine instances that hear each other."""
    observers = {}
    for number in range(9):
        name = f"f{number}"
        members = MemberTable(name, timers)
        observers[name] = Observer(
            EmptyStore(),
            EmptyCodec(),
            TargetRegistry(timers),
            members,
            lambda value: None,
            lambda addresses: None,
            f"{name}:81",
            place(name),
            timers,
            lambda: True,
            read_immediately=False,
        )
    hear(observers, observers)
    timers.advance(INITIAL_LISTEN_S)
    return observers


def place(name):
    return ("milano", "torino", "verona")[int(name[1:]) % 3]


def hear(senders, observers, sequence=1):
    for name in senders:
        observer = observers[name]
        heartbeat = build_heartbeat(
            name, place(name), sequence, state=beats_pb2.SERVING
        )
        heartbeat.observer = observer.watching.is_set()
        heartbeat.store_age_ms = min(
            int(min(observer.contact.age_s(), 1e6) * 1000), 2**31
        )
        for other in observers.values():
            other.members.receive(heartbeat)


def watching(observers):
    for observer in observers.values():
        observer.update_role()
    return {name for name, each in observers.items() if each.watching.is_set()}


def test_one_instance_a_data_centre_watches_the_store(fleet):
    """Guards against store calls that grow with the fleet."""
    chosen = watching(fleet)
    assert_that({place(name) for name in chosen}, HasLength(3))
    assert_that(chosen, HasLength(3))


def test_another_takes_over_from_a_silent_observer(fleet, timers):
    """Guards against a fleet that learns nothing after an observer is lost."""
    lost = sorted(watching(fleet))[0]
    timers.advance(MEMBER_TIMEOUT_S + 0.1)
    alive = [name for name in fleet if name != lost]
    hear(alive, fleet, 2)
    chosen = watching(fleet) - {lost}
    assert_that({place(name) for name in chosen}, HasLength(3))


def test_another_takes_over_from_an_observer_that_the_store_turns_away(fleet):
    """Guards against observers that wait for a store which refuses just them."""
    chosen = watching(fleet)
    turned_away = sorted(chosen)[0]
    for name in chosen:
        fleet[name].contact.record_answer()
    fleet[turned_away].contact.record_failure(StoreUnavailableError("refused"))
    hear(fleet, fleet, 2)
    now = watching(fleet) - {turned_away}
    assert_that({place(name) for name in now}, HasLength(3))


def test_observer_that_is_turned_away_listens_to_the_others(fleet):
    """Guards against an observer with old targets because it should know best."""
    name = sorted(watching(fleet))[0]
    fleet[name].contact.record_answer()
    assert fleet[name].has_working_watch()
    fleet[name].contact.record_failure(StoreUnavailableError("refused"))
    assert not fleet[name].has_working_watch()


def test_quiet_watch_is_no_lost_store(fleet, timers):
    """Guards against a fleet of observers because nothing changes for seconds."""
    chosen = watching(fleet)
    for name in chosen:
        fleet[name].contact.record_answer()
    for step in range(2):
        timers.advance(2.0)
        hear(fleet, fleet, 2 + step)
    assert_that(watching(fleet), Equals(chosen))


def test_all_start_to_watch_where_no_observer_reaches_the_store(fleet, timers):
    """Guards against a fleet whose observers are all turned away by the store."""
    chosen = watching(fleet)
    for name in chosen:
        fleet[name].contact.record_failure(StoreUnavailableError("refused"))
    for step in range(2, 9):
        timers.advance(NO_OBSERVER_TIMEOUT_S / 4)
        hear(fleet, fleet, step)
        watching(fleet)
    assert_that(watching(fleet), Equals(set(fleet)))


def test_instance_that_hears_nobody_watches_the_store_itself(fleet, timers):
    """Guards against a cut-off instance that never learns of changes."""
    timers.advance(MEMBER_TIMEOUT_S + 0.1)
    fleet["f0"].update_role()
    assert fleet["f0"].watching.is_set()


def test_first_read_ends_once_others_have_told_all(timers):
    """Guards against restarts that read the store for what peers have told."""
    store = EmptyStore(down=True)
    started = iter([False, True])
    observer = Observer(
        store,
        EmptyCodec(),
        TargetRegistry(timers),
        MemberTable("f0", timers),
        lambda value: None,
        lambda addresses: None,
        "f0:81",
        "milano",
        timers,
        lambda: next(started),
        read_immediately=True,
    )
    observer._read_initial_state()
    assert_that(store.calls, Equals(["config"]))


@pytest.fixture
def pauses(monkeypatch):
    """Pauses between the turns of an observer's loop, in place of waiting."""
    taken = []
    monkeypatch.setattr("lacewinglift.mesh.observers.time.sleep", taken.append)
    return taken


def run_turns(observer, turns):
    """Run a loop that ends each turn as `turns` says: True for an answer."""
    remaining = list(turns)

    def loop():
        if not remaining:
            observer.stopped = True
        elif remaining.pop(0):
            observer.timers.advance(0.01)
            observer.contact.record_answer()
            observer.timers.advance(0.01)
        raise StoreUnavailableError("down")

    observer.watching.set()
    observer._run_while_watching(loop)


def test_store_that_is_away_for_long_is_still_asked_each_second(fleet, pauses):
    """Guards against a thread that ends because its pause can no longer be computed."""
    run_turns(fleet["f0"], [False] * 1100)
    assert_that(pauses, HasLength(1100))
    assert_that(pauses[:6], Equals([0.1, 0.2, 0.4, 0.8, 1.0, 1.0]))
    assert_that(set(pauses[6:]), Equals({1.0}))


def test_answer_of_the_store_ends_the_long_pauses(fleet, pauses):
    """Guards against an observer that is slow for good after an outage."""
    run_turns(fleet["f0"], [False, False, False, True, False])
    assert_that(pauses, Equals([0.1, 0.2, 0.4, 0.1, 0.2]))
