import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, Is, Not

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.directory import Directory
from lacewinglift.mesh.members import (
    MAX_DATAGRAM_DELAY_S,
    MEMBER_TIMEOUT_S,
    PEER_ADDRESS_TTL_S,
    REMOVE_MEMBER_AFTER_S,
    MemberTable,
    PeerAddresses,
)
from lacewinglift.mesh.request_rate import RateEstimate
from lacewinglift.mesh.settings import MeshSettings
from lacewinglift.timers import ManualTimers

DATA_CENTRES = ("milano", "torino", "verona")
SETTINGS = MeshSettings(
    instance="self",
    data_centre="milano",
    caller_address="self:80",
    heartbeat_address="self:81",
    fetch_address="self:82",
    metrics_address="self:83",
    store_driver="none",
    store_address="store:84",
)


def build_heartbeat(name, data_centre="milano", sequence=1, **fields):
    heartbeat = beats_pb2.Beat(
        instance=name, incarnation=1, sequence=sequence, **fields
    )
    heartbeat.description.data_centre = data_centre
    heartbeat.description.caller_address = f"{name}:80"
    heartbeat.description.beat_address = f"{name}:81"
    return heartbeat


@pytest.fixture
def timers():
    return ManualTimers()


@pytest.fixture
def members(timers):
    members = MemberTable("self", timers)
    for number in range(36):
        data_centre = DATA_CENTRES[number % 3]
        state = beats_pb2.SERVING
        members.receive(build_heartbeat(f"f{number}", data_centre, state=state))
    return members


@pytest.fixture
def directory(members, timers):
    directory = Directory(
        SETTINGS,
        members,
        lambda: False,
        lambda: False,
        lambda: RateEstimate(directory.rate, directory.rate_settled),
        timers,
    )
    directory.rate = 100.0
    directory.rate_settled = True
    return directory


def test_callers_get_few_instances_of_their_data_centre(directory):
    """Load: about three requests per second per instance if all instances are used.

    Guards against spreading callers over so many instances that each sends too few
    requests to a target to detect its failure.
    """
    near = directory.resolve("torino").addresses
    assert_that(near, HasLength(SETTINGS.min_selected_per_data_centre))
    names = {f"f{number}:80" for number in range(36) if number % 3 == 1}
    assert set(near) <= names


def test_more_instances_are_used_as_traffic_grows(directory):
    """Load: a burst of several times the usual traffic.

    Guards against overloading few instances while the others are idle.
    """
    directory.rate = 20 * SETTINGS.instance_rate_per_s
    assert_that(len(directory.resolve("torino").addresses), GreaterThan(5))


def test_a_third_of_the_instances_is_used_until_the_rate_is_settled(directory):
    """Guards against a few instances that get all of the first requests of a fleet."""
    directory.rate = 0.0
    directory.rate_settled = False
    assert_that(directory.resolve("elsewhere").addresses, HasLength(12))
    directory.rate = 20 * SETTINGS.instance_rate_per_s
    assert_that(directory.resolve("elsewhere").addresses, HasLength(20))


def test_all_callers_of_a_data_centre_get_the_same_instances(
    directory, members, timers
):
    """Guards against every caller connecting to a different set of instances."""
    other = Directory(
        SETTINGS, members, lambda: False, bool, directory.request_rate, timers
    )
    assert_that(other.resolve("verona"), Equals(directory.resolve("verona")))


def test_caller_of_an_unknown_data_centre_gets_instances_of_all(directory):
    """Guards against callers of an unknown data centre that get no addresses."""
    assert_that(directory.resolve("elsewhere").addresses, HasLength(9))
    assert_that(directory.resolve(None).addresses, HasLength(9))


def test_leaving_and_unreachable_instances_are_excluded(directory, members, timers):
    """Guards against sending callers to an instance that stops or is unreachable."""
    first = directory.resolve("milano").addresses[0].removesuffix(":80")
    leaving = build_heartbeat(first, "milano", 2, state=beats_pb2.DRAINING)
    members.receive(leaving)
    assert_that(directory.resolve("milano").addresses, Not(Contains(f"{first}:80")))
    timers.advance(MEMBER_TIMEOUT_S + 0.1)
    assert_that(directory.resolve("milano"), Is(None))


def test_observers_are_used_last(directory, members):
    """Guards against sending callers to an observer while other instances are ready."""
    for number in range(0, 36, 3):
        heartbeat = build_heartbeat(f"f{number}", "milano", 2, state=beats_pb2.SERVING)
        heartbeat.observer = number < 6
        members.receive(heartbeat)
    for observer in ("f0:80", "f3:80"):
        assert_that(directory.resolve("milano").addresses, Not(Contains(observer)))


def test_unreachable_instance_keeps_its_fraction_of_the_rates(members, timers):
    """Guards against using the quota fraction of an unreachable instance twice.

    A partitioned instance still admits requests from its own fraction.
    """
    assert_that(members.reachable_fraction(), Equals(1.0))
    timers.advance(MEMBER_TIMEOUT_S + 0.1)
    for number in range(18):
        members.receive(build_heartbeat(f"f{number}", sequence=2))
    assert_that(members.reachable_fraction(), Equals(19 / 37))
    timers.advance(REMOVE_MEMBER_AFTER_S)
    for number in range(18):
        members.receive(build_heartbeat(f"f{number}", sequence=3))
    members.remove_unreachable()
    assert_that(members.reachable_fraction(), Equals(1.0))


def test_delayed_heartbeat_is_dropped(members):
    """Guards against a delayed heartbeat that replaces a newer state."""
    members.receive(build_heartbeat("f0", sequence=5, state=beats_pb2.DRAINING))
    assert_that(members.receive(build_heartbeat("f0", sequence=4)), Is(None))
    assert_that(members.members["f0"].heartbeat.state, Equals(beats_pb2.DRAINING))


def test_restart_is_detected_after_the_wall_clock_was_set_back(members, timers):
    """Guards against ignoring a restarted instance because its incarnation is lower."""
    late = build_heartbeat("f0", sequence=1, state=beats_pb2.BOOTING)
    late.incarnation = 0
    assert_that(members.receive(late), Is(None))
    timers.advance(MAX_DATAGRAM_DELAY_S + 0.1)
    members.receive(late)
    assert_that(members.members["f0"].heartbeat.state, Equals(beats_pb2.BOOTING))


def test_heartbeat_of_unknown_instance_without_description_is_ignored(members):
    """Guards against a member whose addresses are unknown."""
    heartbeat = beats_pb2.Beat(instance="new", incarnation=1, sequence=1)
    assert_that(members.receive(heartbeat), Is(None))


def test_addresses_of_lost_instances_expire(timers):
    """Guards against sending heartbeats to every address that was ever in the fleet."""
    addresses = PeerAddresses(timers, ["seed:81"], "self:81")
    addresses.add(["a:81", "b:81", "self:81"])
    timers.advance(PEER_ADDRESS_TTL_S - 1)
    addresses.add(["b:81"])
    timers.advance(2.0)
    addresses.expire()
    assert_that(addresses.known(), Equals({"seed:81", "b:81"}))


def test_invalid_address_is_dropped(timers):
    """Guards against an invalid store entry that ends the sender thread."""
    addresses = PeerAddresses(timers, [], "self:81")
    addresses.add(["", "nowhere", "a:b", "\ufffd"])
    assert_that(addresses.known(), Equals(set()))


def test_settings_can_be_changed_by_copy():
    """Guards against a component that modifies the shared settings."""
    assert_that(evolve(SETTINGS, data_centre="torino").data_centre, Equals("torino"))
    with pytest.raises(AttributeError):
        SETTINGS.data_centre = "torino"
