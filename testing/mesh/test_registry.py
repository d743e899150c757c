import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from lacewinglift.mesh.registry import (
    EXPIRED_ENTRY_GRACE_S,
    OUTAGE_EXPIRY_WINDOW_S,
    RegisteredTarget,
    TargetRegistry,
    from_message,
)
from lacewinglift.timers import ManualTimers

TARGET = RegisteredTarget("i-1", "cassa", "10.0.0.1:80", "milano", 6, 1000, 5)


@pytest.fixture
def timers():
    return ManualTimers()


@pytest.fixture
def registry(timers):
    registry = TargetRegistry(timers)
    registry.replace_all([TARGET], revision=10)
    return registry


def test_delayed_report_does_not_revert_leaving(registry):
    """Guards against a delayed write that makes a leaving target ready again."""
    registry.apply_changes([evolve(TARGET, sequence=7, leaving=True)], [], 11)
    registry.apply_changes([evolve(TARGET, sequence=6)], [], 12)
    assert registry.targets["i-1"].leaving
    registry.apply_changes([evolve(TARGET, sequence=8)], [], 13)
    assert registry.targets["i-1"].leaving


def test_restart_under_the_same_name_is_a_new_target(registry):
    """Guards against a restarted target that is marked as leaving forever."""
    registry.apply_changes([evolve(TARGET, sequence=7, leaving=True)], [], 11)
    registry.apply_changes([evolve(TARGET, born_ms=2000, sequence=1)], [], 12)
    assert not registry.targets["i-1"].leaving


def test_report_of_the_previous_process_is_dropped(registry):
    """Guards against the delayed report of a previous process of a target."""
    registry.apply_changes([evolve(TARGET, born_ms=2000, sequence=1)], [], 11)
    registry.apply_changes([evolve(TARGET, sequence=90, address="10.0.0.9:80")], [], 12)
    assert_that(registry.targets["i-1"].address, Equals("10.0.0.1:80"))


@pytest.mark.parametrize("removed", [True, False])
def test_target_whose_clock_was_set_back_is_known_by_its_second_report(
    registry, removed
):
    """Guards against requests to a target that has said that it leaves.

    All that a process says whose start time is before that of the previous one was
    taken for delayed writes.
    """
    if removed:
        registry.apply_changes([], ["i-1"], 11)
    restarted = evolve(TARGET, born_ms=500, sequence=1, address="10.0.0.9:80")
    registry.apply_changes([restarted], [], 12)
    registry.apply_changes([evolve(restarted, sequence=2)], [], 13)
    assert_that(registry.targets["i-1"].address, Equals("10.0.0.9:80"))
    registry.apply_changes([evolve(restarted, sequence=3, leaving=True)], [], 14)
    assert registry.targets["i-1"].leaving


def test_delayed_reports_of_a_previous_process_do_not_add_up(registry):
    """Guards against a delayed write that is believed as it comes after another one."""
    previous = evolve(TARGET, born_ms=500, address="10.0.0.9:80")
    registry.apply_changes([evolve(previous, sequence=7)], [], 11)
    registry.apply_changes([evolve(TARGET, sequence=6)], [], 12)
    registry.apply_changes([evolve(previous, sequence=8)], [], 13)
    assert_that(registry.targets["i-1"].address, Equals("10.0.0.1:80"))


@pytest.mark.parametrize("revision", [10, 11])
def test_set_back_clock_is_learned_from_newer_states_only(registry, revision):
    """Guards against instances that do not believe the observer, or an older state."""
    restarted = evolve(TARGET, born_ms=500, sequence=2)
    registry.apply_snapshot([restarted], revision)
    expected = 500 if revision > 10 else 1000
    assert_that(registry.targets["i-1"].born_ms, Equals(expected))


def test_older_listing_does_not_remove_what_has_come_back(registry):
    """Guards against ready targets that no instance knows any more.

    A listing of a slow store arrives after a newer state of another instance, and the
    watch then brings what that state held.
    """
    returned = evolve(TARGET, name="i-2", sequence=9)
    registry.apply_snapshot([TARGET, returned], 13)
    registry.replace_all([TARGET], revision=11)
    registry.apply_changes([], ["i-2"], 12)
    assert_that(registry.targets, Contains("i-2"))
    registry.apply_changes([returned], [], 13)
    assert_that(registry.targets, Contains("i-2"))
    registry.apply_changes([], ["i-2"], 14)
    assert_that(registry.targets, Not(Contains("i-2")))


def test_removed_target_is_not_restored_by_an_old_report(registry):
    """Guards against a write that takes effect seconds after its target has left."""
    registry.apply_changes([], ["i-1"], 11)
    registry.apply_changes([TARGET], [], 12)
    assert_that(registry.targets, Not(Contains("i-1")))
    registry.apply_changes([evolve(TARGET, sequence=6)], [], 13)
    assert_that(registry.targets, Contains("i-1"))


def test_removal_takes_effect_at_once_without_an_outage(registry):
    """Guards against requests to a target whose entry was removed."""
    registry.apply_changes([], ["i-1"], 11)
    assert_that(registry.targets, Not(Contains("i-1")))


def test_expired_entry_is_kept_for_a_grace_period_after_an_outage(registry, timers):
    """Guards against losing all targets when leases expire in a store outage."""
    registry.record_outage()
    timers.advance(OUTAGE_EXPIRY_WINDOW_S)
    registry.replace_all([], 11)
    timers.advance(EXPIRED_ENTRY_GRACE_S - OUTAGE_EXPIRY_WINDOW_S - 0.1)
    registry.remove_expired()
    assert_that(registry.targets, Contains("i-1"))
    registry.apply_changes([evolve(TARGET, sequence=6)], [], 12)
    timers.advance(EXPIRED_ENTRY_GRACE_S + 1)
    registry.remove_expired()
    assert_that(registry.targets, Contains("i-1"))


def test_entry_that_stays_missing_after_an_outage_is_removed(registry, timers):
    """Guards against requests to targets that ended during an outage."""
    registry.record_outage()
    registry.replace_all([], 11)
    timers.advance(EXPIRED_ENTRY_GRACE_S)
    registry.remove_expired()
    assert_that(registry.targets, Not(Contains("i-1")))


def test_older_state_of_another_instance_is_not_applied(registry):
    """Guards against an outdated observer that restores a removed target."""
    other = evolve(TARGET, name="i-2")
    registry.apply_changes([other], ["i-1"], 20)
    assert not registry.apply_snapshot([TARGET], 15)
    assert_that(set(registry.targets), Equals({"i-2"}))


def test_newer_state_of_another_instance_replaces_all(registry):
    """Guards against keeping targets that the observers have removed."""
    other = evolve(TARGET, name="i-2")
    assert registry.apply_snapshot([from_message(other.to_message())], 15)
    assert_that(registry.targets, Equals({"i-2": other}))


def test_digest_ignores_reports_without_relevant_changes(registry):
    """Guards against a fetch by every instance for each report of a target."""
    before = registry.digest
    registry.apply_changes([evolve(TARGET, sequence=9, warmup_s=0.5)], [], 11)
    assert_that(registry.digest, Equals(before))
    registry.apply_changes([evolve(TARGET, sequence=10, leaving=True)], [], 12)
    assert_that(registry.digest, Not(Equals(before)))


def test_target_that_leaves_after_an_outage_is_removed_at_once(registry, timers):
    """Guards against requests to a target that has left for as long as an outage lasts.

    It has reported since the outage, so its entry has not expired in it.
    """
    registry.record_outage()
    timers.advance(OUTAGE_EXPIRY_WINDOW_S)
    registry.apply_changes([evolve(TARGET, sequence=6)], [], 11)
    timers.advance(0.1)
    registry.apply_changes([], ["i-1"], 12)
    assert_that(registry.targets, Not(Contains("i-1")))


def test_report_before_an_outage_does_not_make_its_removal_final(registry, timers):
    """Guards against losing targets whose entries expire right after an outage."""
    registry.apply_changes([evolve(TARGET, sequence=6)], [], 11)
    timers.advance(1.0)
    registry.record_outage()
    timers.advance(0.5)
    registry.apply_changes([], ["i-1"], 12)
    assert_that(registry.targets, Contains("i-1"))


def test_missing_target_is_gone_once_the_effects_of_an_outage_are_over(
    registry, timers
):
    """Guards against a grace period that begins when the removal is noticed.

    The period counts from the end of the outage, whenever an entry disappears.
    """
    registry.record_outage()
    timers.advance(OUTAGE_EXPIRY_WINDOW_S + EXPIRED_ENTRY_GRACE_S - 0.1)
    registry.apply_changes([], ["i-1"], 11)
    assert_that(registry.targets, Contains("i-1"))
    timers.advance(0.1)
    registry.remove_expired()
    assert_that(registry.targets, Not(Contains("i-1")))
