"""Tests of when an instance fetches a snapshot from another one."""

import pytest

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.registry import RegisteredTarget, TargetRegistry
from lacewinglift.mesh.snapshot_fetch_policy import MAX_WATCH_LAG_S, SnapshotFetchPolicy
from lacewinglift.timers import ManualTimers


def make_target(number, leaving=False):
    address = f"10.0.0.{number}:80"
    return RegisteredTarget(
        f"t{number}", "cassa", address, "milano", 2, 1, 1 + leaving, leaving
    )


class Setup:
    """The registries of an instance and of a peer, and the policy of the instance."""

    def __init__(self):
        self.timers = ManualTimers()
        self.own = TargetRegistry(self.timers)
        self.other = TargetRegistry(self.timers)
        self.has_working_watch = True
        self.policy = SnapshotFetchPolicy(
            self.timers, self.own, lambda: 3, lambda: self.has_working_watch
        )
        for registry in (self.own, self.other):
            registry.replace_all([make_target(1), make_target(2)], 10)

    def should_fetch(self, generation=3):
        heartbeat = beats_pb2.Beat(
            configuration_version=generation,
            registry_digest=self.other.digest,
            registry_revision=self.other.revision,
            store_era=self.other.era,
        )
        return self.policy.should_fetch(heartbeat)


@pytest.fixture
def setup():
    return Setup()


def test_observer_with_a_late_watch_fetches_from_others(setup):
    """Guards against requests to a target that announced seconds ago that it leaves.

    When a response of the store is lost, the watch that waits for it times out only
    seconds later, while other observers already have the change.
    """
    setup.other.apply_changes([make_target(1, leaving=True)], [], 11)
    assert not setup.should_fetch()
    setup.timers.advance(MAX_WATCH_LAG_S + 0.01)
    assert setup.should_fetch()
    setup.own.apply_snapshot(setup.other.targets.values(), setup.other.revision)
    assert not setup.should_fetch()


def test_observer_with_a_timely_watch_fetches_nothing(setup):
    """Guards against a fetch between observers for each change of a target."""
    for revision in range(11, 31):
        leaving = revision % 2 == 1
        setup.other.apply_changes([make_target(revision, leaving)], [], revision)
        assert not setup.should_fetch()
        setup.timers.advance(0.1)
        setup.own.apply_changes([make_target(revision, leaving)], [], revision)
        assert not setup.should_fetch()


def test_instance_without_a_working_watch_fetches_at_once(setup):
    """Guards against using targets that were already removed."""
    setup.has_working_watch = False
    setup.other.apply_changes([], ["t1"], 11)
    assert setup.should_fetch()


def test_older_targets_are_not_fetched(setup):
    """Guards against replacing newer targets by those of an outdated instance."""
    setup.own.apply_changes([], ["t1"], 12)
    setup.has_working_watch = False
    assert not setup.should_fetch()


def test_newer_configuration_is_fetched_at_once(setup):
    """Guards against delaying a newer configuration until the store reports it."""
    assert setup.should_fetch(generation=4)
    assert not setup.should_fetch(generation=2)


def test_targets_of_a_restored_store_are_newer_at_a_lower_revision(setup):
    """Guards against instances that keep targets from before a restore."""
    setup.has_working_watch = False
    setup.own.apply_changes([], ["t2"], 50)
    setup.other.replace_all([make_target(1), make_target(3)], 7, era=2)
    assert setup.should_fetch()
    setup.own.apply_snapshot(setup.other.targets.values(), 7, era=2)
    assert "t3" in setup.own.targets
    assert not setup.should_fetch()


def test_targets_from_before_a_restore_are_not_fetched(setup):
    """Guards against losing a target again that registered after a restore."""
    setup.has_working_watch = False
    setup.own.replace_all([make_target(1), make_target(3)], 7, era=2)
    setup.other.apply_changes([], ["t2"], 50)
    setup.other.era = 1
    assert not setup.should_fetch()
    assert not setup.own.apply_snapshot(setup.other.targets.values(), 50, era=1)
    assert "t3" in setup.own.targets


def test_instance_that_names_no_era_is_taken_to_be_of_the_same_one(setup):
    """Guards against a fleet in which an earlier build is not heard any more."""
    setup.has_working_watch = False
    setup.own.replace_all([make_target(1), make_target(3)], 7, era=2)
    setup.other.apply_changes([], ["t2"], 50)
    assert setup.should_fetch()
    assert setup.own.apply_snapshot(setup.other.targets.values(), 50)
