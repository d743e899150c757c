import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.fleet_history import HEARD_ALL_AFTER_S, FleetHistory
from lacewinglift.mesh.members import MemberTable
from lacewinglift.timers import ManualTimers


@pytest.fixture
def timers():
    return ManualTimers()


@pytest.fixture
def members(timers):
    return MemberTable("self", timers)


def hear(members, histories_ms):
    for number, history_ms in enumerate(histories_ms):
        heartbeat = beats_pb2.Beat(
            instance=f"peer-{number}", incarnation=1, sequence=1, history_ms=history_ms
        )
        heartbeat.description.beat_address = f"10.0.0.{number}:81"
        members.receive(heartbeat)


def test_restarted_instance_has_the_history_of_the_others(timers, members):
    """Guards against an instance that restarts alone and serves worse for long."""
    history = FleetHistory(timers, members, first_start=False)
    timers.advance(HEARD_ALL_AFTER_S)
    hear(members, [60_000, 60_000])
    assert_that(history.fleet_s(), Equals(60.0))


def test_history_is_short_when_most_instances_have_restarted(timers, members):
    """Guards against trusting counts that most of the fleet has lost."""
    history = FleetHistory(timers, members, first_start=False)
    timers.advance(HEARD_ALL_AFTER_S)
    hear(members, [60_000, 2_000, 2_000])
    assert_that(history.fleet_s(), LessThan(2.1))


def test_new_instance_does_not_trust_the_first_peers_that_it_hears(timers, members):
    """Guards against using a limit before most of the others were heard."""
    history = FleetHistory(timers, members, first_start=False)
    hear(members, [60_000])
    timers.advance(HEARD_ALL_AFTER_S / 2)
    assert_that(history.fleet_s(), LessThan(HEARD_ALL_AFTER_S))


def test_first_start_of_a_fleet_has_nothing_to_remember(timers, members):
    """Guards against a new fleet that waits for the memory of an earlier one."""
    history = FleetHistory(timers, members, first_start=True)
    assert_that(history.fleet_s(), GreaterThan(1e6))
    assert_that(history.own_ms(), Equals(2**32 - 1))


@pytest.mark.parametrize(
    ("histories_ms", "expected"),
    [
        ([200, 300, 400], True),
        ([200], False),
        ([200, 300, 60_000, 60_000], False),
        ([0, 0, 0], False),
    ],
)
def test_restart_of_the_fleet_shows_in_its_histories(
    timers, members, histories_ms, expected
):
    """Guards against a debt charged when only some restart, or by older builds."""
    history = FleetHistory(timers, members, first_start=False)
    hear(members, histories_ms)
    assert_that(history.is_mostly_new(), Equals(expected))
