"""Recipients of the periodic heartbeats of an instance of a large fleet."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from lacewinglift.mesh.full_heartbeats import (
    FULL_HEARTBEAT_EVERY,
    INITIAL_FULL_HEARTBEATS,
    FullHeartbeatSchedule,
)
from lacewinglift.mesh.heartbeat_rounds import (
    MAX_PERIODIC_RECIPIENTS,
    HeartbeatRounds,
    round_duration_s,
)


def make_addresses(count):
    return [f"10.1.{number // 250}.{number % 250}:81" for number in range(count)]


@pytest.fixture
def rounds():
    return HeartbeatRounds("10.1.0.100:81")


def test_small_fleet_gets_every_heartbeat(rounds):
    """Guards against a slower detection of lost instances where it saves little."""
    addresses = make_addresses(MAX_PERIODIC_RECIPIENTS)
    for _ in range(3):
        recipients = rounds.next_recipients(addresses, [], to_all=False)
        assert_that(recipients.each_time, Equals(sorted(addresses)))
    assert_that(round_duration_s(len(addresses)), Equals(1.0))


@pytest.mark.parametrize("size", [101, 294, 2196])
@pytest.mark.parametrize("preferred_count", [0, 40, 99])
def test_heartbeats_are_bounded_and_reach_all_within_a_round(
    rounds, size, preferred_count
):
    """Load: a fleet of hundreds of machines, of which some serve callers.

    Guards against traffic that grows with the square of the fleet, and against an
    instance that waits longer for a heartbeat than the sender states.
    """
    addresses = make_addresses(size)
    preferred = addresses[5 : 5 + preferred_count]
    bound = MAX_PERIODIC_RECIPIENTS + preferred_count
    last_s = dict.fromkeys(addresses, 0)
    round_s = round_duration_s(size)
    rounds.next_recipients(addresses, preferred, to_all=False)
    for second in range(1, 3 * int(round_s) + 1):
        recipients = rounds.next_recipients(addresses, preferred, to_all=False)
        sent = [*recipients.each_time, *recipients.in_turn]
        assert_that(set(sent), HasLength(len(sent)))
        assert_that(len(sent), LessThan(bound + 1))
        assert_that(set(recipients.each_time), Equals(set(preferred)))
        for address in sent:
            assert_that(second - last_s[address], LessThan(round_s + 1))
            last_s[address] = second
    assert_that(3 * round_s - min(last_s.values()), LessThan(round_s + 1))


def test_instances_that_join_and_leave_hold_up_no_other(rounds):
    """Load: in each second, ten instances are replaced by new ones.

    Guards against a turn that is lost because the places of addresses change.
    """
    addresses = make_addresses(300)
    stable = addresses[200:]
    missed = dict.fromkeys(stable, 0)
    for second in range(20):
        others = make_addresses(200 + 10 * second)[10 * second :]
        recipients = rounds.next_recipients([*others, *stable], [], to_all=False)
        for address in stable:
            missed[address] += 1
            if address in recipients.in_turn:
                missed[address] = 0
        assert_that(max(missed.values()), LessThan(round_duration_s(300) + 2))


def test_one_to_all_is_sent_at_once(rounds):
    """Guards against a stop, or a new version, that others hear of after seconds."""
    addresses = make_addresses(294)
    recipients = rounds.next_recipients(addresses, [], to_all=True)
    assert_that(recipients.each_time, HasLength(294))


@pytest.mark.parametrize("size", [36, 294])
def test_each_instance_gets_a_full_heartbeat_in_each_cycle(rounds, size):
    """Guards against instances that never get the counts again which they have missed.

    The parts of a fleet whose turn it is must not fall together with the parts that
    get full heartbeats.
    """
    schedule = FullHeartbeatSchedule()
    schedule.sent = INITIAL_FULL_HEARTBEATS + 1
    addresses = make_addresses(size)
    described = set()
    for _ in range(FULL_HEARTBEAT_EVERY * int(round_duration_s(size))):
        recipients = rounds.next_recipients(addresses, [], to_all=False)
        sent = [*recipients.each_time, *recipients.in_turn]
        described |= set(schedule.split(sent)[0])
    assert_that(described, Equals(set(addresses)))


def test_rounds_of_different_instances_are_spread_over_time():
    """Guards against instances that all address the same part of the fleet at once.

    Each would hear all others within one second, and none in the next two.
    """
    addresses = make_addresses(300)
    first_turns = []
    for own in addresses[::30]:
        rounds = HeartbeatRounds(own)
        first_turns += rounds.next_recipients(addresses, [], to_all=False).in_turn
    heard = [first_turns.count(address) for address in addresses]
    assert_that(max(heard) - min(heard), LessThan(3))
