"""What targets say of themselves in responses: that they leave, or want a pause."""

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from lacewinglift.mesh.registry import TargetRegistry
from lacewinglift.mesh.target_table import MAX_PAUSE_S, MeshTargetTable
from lacewinglift.timers import ManualTimers
from testing.mesh.simulated_fleet import SERVICE, SimulatedFleet
from testing.mesh.test_fleet_traffic import SLOW_LINK_BYTES_PER_S
from testing.mesh.test_target_table import SHED, SUCCESS, chosen_names, make_target

# The users' bound from the answer to the last request.
DRAIN_BOUND_S = 2.0


@pytest.fixture
def table():
    timers = ManualTimers()
    table = MeshTargetTable(timers, "a", "milano")
    registry = TargetRegistry(timers)
    registry.on_change = lambda: table.apply(list(registry.targets.values()))
    table.on_leaving = registry.mark_leaving
    registry.replace_all([make_target(number) for number in range(4)], 10)
    table.registry = registry
    return table


def acquire(table, name):
    return table.acquire("cassa", set(table.states) - {name})


def test_target_that_says_it_leaves_gets_no_further_request(table):
    """Guards against requests to a target after it has said that it leaves."""
    attempt = acquire(table, "t1")
    attempt.record_leaving()
    attempt.finish(SUCCESS)
    assert_that(chosen_names(table), Not(Contains("t1")))
    assert_that(acquire(table, "t1"), Is(None))


def test_target_that_starts_again_after_it_left_is_used(table):
    """Guards against a target that stays unused because it left earlier."""
    acquire(table, "t1").record_leaving()
    restarted = evolve(make_target(1), born_ms=2)
    table.registry.apply_changes([restarted], [], 11)
    assert_that(chosen_names(table), Contains("t1"))


def test_word_of_an_earlier_process_does_not_remove_the_next(table):
    """Guards against a late answer that marks the next process of a target."""
    table.registry.mark_leaving("t1", born_ms=99)
    assert_that(chosen_names(table), Contains("t1"))


def test_target_that_wants_a_pause_gets_it(table):
    """Guards against requests to a target within the time that it asked for."""
    attempt = acquire(table, "t1")
    attempt.record_pause(3.0)
    attempt.finish(SHED)
    for _ in range(29):
        assert_that(acquire(table, "t1"), Is(None))
        table.timers.advance(0.1)
    table.timers.advance(0.2)
    assert_that(acquire(table, "t1").target.name, Equals("t1"))


def test_success_of_an_earlier_request_does_not_end_a_pause(table):
    """Guards against a pause that a response sent before it ends."""
    earlier = acquire(table, "t1")
    attempt = acquire(table, "t1")
    attempt.record_pause(3.0)
    attempt.finish(SHED)
    earlier.finish(SUCCESS)
    assert_that(acquire(table, "t1"), Is(None))


def test_pause_is_bounded(table):
    """Guards against a target that is lost since it asked for a pause of years."""
    attempt = acquire(table, "t1")
    attempt.record_pause(1e9)
    attempt.finish(SHED)
    table.timers.advance(MAX_PAUSE_S + 1.0)
    assert_that(acquire(table, "t1").target.name, Equals("t1"))


def test_all_instances_learn_that_a_target_said_it_leaves():
    """Guards against a word that stays with the instance that got it."""
    fleet = SimulatedFleet(12, SLOW_LINK_BYTES_PER_S)
    fleet.run(1.0, 50.0, 1.0)
    teller = fleet.instances[5]
    attempt = teller.targets.acquire(SERVICE)
    attempt.record_leaving()
    attempt.finish(SUCCESS)
    fleet.run(DRAIN_BOUND_S, 50.0, 1.0)
    name = attempt.target.name
    leaving = {each.registry.targets[name].leaving for each in fleet.instances}
    assert_that(leaving, Equals({True}))
