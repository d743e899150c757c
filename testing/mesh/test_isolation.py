"""Detection of the silence of all other instances."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.isolation import (
    INITIAL_GAP_S,
    ISOLATION_GAPS,
    ISOLATION_MIN_S,
    OBSERVATION_S,
    HeartbeatGaps,
)
from lacewinglift.mesh.members import (
    ACTIVE_TIMEOUT_S,
    DIRECT_MEMBER_TIMEOUT_S,
    MemberTable,
)
from lacewinglift.timers import ManualTimers
from testing.mesh.test_directory import build_heartbeat

OTHERS = 9


@pytest.fixture
def timers():
    return ManualTimers()


def hear_all(members, sequence):
    for number in range(OTHERS):
        heartbeat = build_heartbeat(f"f{number}", "milano", sequence)
        heartbeat.state = beats_pb2.SERVING
        members.receive(heartbeat)


def hear_for(members, timers, interval_s, duration_s):
    """Receive heartbeats of all others at an interval."""
    for _ in range(round(duration_s / interval_s)):
        timers.advance(interval_s)
        hear_all(members, int(timers.now() * 1000))


@pytest.mark.parametrize("interval_s", [0.1, 0.3, 1.0])
def test_silence_counts_from_what_is_usual(timers, interval_s):
    """Guards against a fleet with few requests, all of whose instances look cut off."""
    gaps = HeartbeatGaps()
    for _ in range(round(2 * OBSERVATION_S / interval_s) + 2):
        timers.advance(interval_s)
        gaps.record(timers.now())
        assert not gaps.is_isolated(timers.now() + interval_s * 1.5)
    timeout_s = max(ISOLATION_GAPS * interval_s, ISOLATION_MIN_S)
    assert gaps.is_isolated(timers.now() + timeout_s + 0.01)


def test_new_process_waits_before_it_counts_as_isolated(timers):
    """Guards against a process that judges by the first few heartbeats."""
    gaps = HeartbeatGaps()
    assert not gaps.is_isolated(timers.now())
    gaps.record(timers.now())
    timers.advance(ISOLATION_GAPS * INITIAL_GAP_S)
    assert not gaps.is_isolated(timers.now())


@pytest.mark.parametrize(("active", "expected"), [(True, 1 / (OTHERS + 1)), (False, 1)])
def test_isolated_instance_keeps_its_own_part(timers, active, expected):
    """Load: a surge through instances that have just been cut off.

    Guards against the whole rate at each of them until its timeouts have passed, and
    against one that others only seldom send to, which hears nobody for a while.
    """
    members = MemberTable("self", timers)
    members.record_own_activity(active)
    hear_for(members, timers, 0.1, 2 * OBSERVATION_S + ACTIVE_TIMEOUT_S)
    timers.advance(ISOLATION_MIN_S + 0.1)
    assert_that(members.reachable_fraction(), Equals(expected))
    hear_all(members, int(timers.now() * 1000))
    assert_that(members.reachable_fraction(), Equals(1.0))


def test_direct_members_are_missed_after_an_interval(timers):
    """Guards against limits that are granted twice while a part of a fleet is cut."""
    members = MemberTable("self", timers)
    hear_for(members, timers, 1.0, 5.0)
    timers.advance(DIRECT_MEMBER_TIMEOUT_S + 0.1)
    assert_that(members.reachable_fraction(), Equals(1.0))
    fraction = members.reachable_fraction(timeout_s=DIRECT_MEMBER_TIMEOUT_S)
    assert_that(fraction, LessThan(1.0))
