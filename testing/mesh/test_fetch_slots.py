"""Tests of how many fetches of a snapshot are in progress at once."""

import itertools

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.mesh.fetch_slots import HEDGE_DELAY_S, MAX_FETCHES, FetchSlots
from lacewinglift.mesh.snapshots import FETCH_TIMEOUT_S
from lacewinglift.timers import ManualTimers


@pytest.fixture
def slots():
    return FetchSlots(ManualTimers())


def test_slow_fetch_gets_company(slots):
    """Guards against waiting for a source that is cut off until the timeout."""
    assert slots.try_start()
    assert not slots.try_start()
    slots.timers.advance(HEDGE_DELAY_S)
    assert slots.try_start()
    assert not slots.try_start()


def test_number_of_fetches_is_bounded(slots):
    """Guards against ever more transfers over a link that is already full."""
    started = 0
    for _ in range(10 * MAX_FETCHES):
        started += slots.try_start()
        slots.timers.advance(HEDGE_DELAY_S)
    assert_that(started, Equals(MAX_FETCHES))
    slots.end()
    assert slots.try_start()


def test_next_fetch_starts_as_soon_as_the_last_one_has_ended(slots):
    """Guards against a delay between two versions in quick succession."""
    assert slots.try_start()
    slots.end()
    assert slots.try_start()


def test_unreachable_sources_do_not_delay_further_ones(slots):
    """Guards against slots that fetches from instances that are cut off hold."""
    started_at_s = []
    ends_at_s = []
    for _ in range(60):
        now = slots.timers.now()
        for end_s in [each for each in ends_at_s if each <= now]:
            ends_at_s.remove(end_s)
            slots.end()
        if slots.try_start():
            started_at_s.append(now)
            ends_at_s.append(now + FETCH_TIMEOUT_S)
        slots.timers.advance(HEDGE_DELAY_S / 4)
    gaps_s = [b - a for a, b in itertools.pairwise(started_at_s)]
    assert_that(max(gaps_s), Equals(HEDGE_DELAY_S))
