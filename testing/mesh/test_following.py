"""When an instance fetches configuration and targets from another one."""

import pytest

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.following import WATCH_LAG_S, Follower
from lacewinglift.mesh.registry import RegisteredTarget, TargetRegistry
from lacewinglift.timers import ManualTimers


def make_target(number, leaving=False):
    address = f"10.0.0.{number}:80"
    return RegisteredTarget(
        f"t{number}", "cassa", address, "milano", 2, 1, 1 + leaving, leaving
    )


class Setup:
    """An instance and another one that knows more."""

    def __init__(self):
        self.timers = ManualTimers()
        self.own = TargetRegistry(self.timers)
        self.other = TargetRegistry(self.timers)
        self.reads_store = True
        self.follower = Follower(
            self.timers, self.own, lambda: 3, lambda: self.reads_store
        )
        for registry in (self.own, self.other):
            registry.reset([make_target(1), make_target(2)], 10)

    def is_behind(self, generation=3):
        heartbeat = beats_pb2.Beat(
            configuration_version=generation,
            registry_digest=self.other.digest,
            registry_revision=self.other.revision,
        )
        return self.follower.is_behind(heartbeat)


@pytest.fixture
def setup():
    return Setup()


def test_observer_whose_watch_went_silent_follows_the_others(setup):
    """Guards against requests to a target that said long ago that it leaves.

    An answer of the store is lost, and the watch that waits for it notices only
    seconds later, while other observers know of the change.
    """
    setup.other.apply([make_target(1, leaving=True)], [], 11)
    assert not setup.is_behind()
    setup.timers.advance(WATCH_LAG_S + 0.01)
    assert setup.is_behind()
    setup.own.adopt(setup.other.targets.values(), setup.other.revision)
    assert not setup.is_behind()


def test_observer_that_the_store_tells_in_time_fetches_nothing(setup):
    """Guards against fetches among observers at each change of a target."""
    for revision in range(11, 31):
        leaving = revision % 2 == 1
        setup.other.apply([make_target(revision, leaving)], [], revision)
        assert not setup.is_behind()
        setup.timers.advance(0.1)
        setup.own.apply([make_target(revision, leaving)], [], revision)
        assert not setup.is_behind()


def test_instance_that_does_not_read_the_store_follows_at_once(setup):
    """Guards against targets that are used after they were drained."""
    setup.reads_store = False
    setup.other.apply([], ["t1"], 11)
    assert setup.is_behind()


def test_older_targets_are_not_followed(setup):
    """Guards against an instance cut off from the store that takes others back."""
    setup.own.apply([], ["t1"], 12)
    setup.reads_store = False
    assert not setup.is_behind()


def test_newer_configuration_is_followed_at_once(setup):
    """Guards against a version that waits for the store's own word."""
    assert setup.is_behind(generation=4)
    assert not setup.is_behind(generation=2)
