"""Targets that state how many requests a second they take from the whole fleet."""

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from testing.mesh.simulated_fleet import SimulatedFleet

LINK_BYTES_PER_S = 125_000_000
# The users' rule holds from this time after a target first states a limit.
SETTLING_S = 3.0
CALLER_RATE_PER_S = 80.0
PROBE_RATE_PER_S = 0.3


@pytest.fixture
def fleet():
    """Forty instances before 18 targets, as on the Sfax site, under load."""
    fleet = SimulatedFleet(40, LINK_BYTES_PER_S, targets=18)
    fleet.failing = set()
    fleet.assume_request_rate(CALLER_RATE_PER_S)
    run(fleet, 1.0)
    return fleet


def run(fleet, duration_s):
    fleet.run(duration_s, CALLER_RATE_PER_S, PROBE_RATE_PER_S)


def target_names(fleet):
    return sorted(fleet.instances[0].targets.states)


def state_limits(fleet, count, limit_per_s):
    """Let targets state a limit; return their names and when the rule holds."""
    names = target_names(fleet)[:count]
    fleet.rate_limits = dict.fromkeys(names, limit_per_s)
    return names, fleet.timers.now() + SETTLING_S


@pytest.mark.parametrize("limit_per_s", [0.0, 0.4, 1.0, 3.0])
def test_target_gets_no_more_than_the_rate_that_it_states(fleet, limit_per_s):
    """Load: six of 18 targets state a limit, with 4.4 requests a second for each.

    Guards against instances that ignore the limit, or that each keep it for
    themselves.
    """
    names, since_s = state_limits(fleet, 6, limit_per_s)
    run(fleet, 12.0)
    over = [fleet.arrivals_over_the_limit(name, limit_per_s, since_s) for name in names]
    assert_that(max(over), LessThan(0.001))


def test_limited_target_still_gets_requests(fleet):
    """Load: as above, with a limit of one a second.

    Guards against a limit that takes the target out of use.
    """
    names, since_s = state_limits(fleet, 6, 1.0)
    run(fleet, 13.0)
    counts = [sum(time_s >= since_s for time_s in fleet.arrivals[n]) for n in names]
    assert_that(sum(counts), GreaterThan(0.5 * 6 * 10.0))


def test_most_of_the_rate_is_used_when_all_targets_state_one(fleet):
    """Load: all targets state a limit of one a second, of 80 requests a second.

    Guards against refusing requests that a target would have taken.
    """
    names, since_s = state_limits(fleet, 18, 1.0)
    run(fleet, 13.0)
    counts = [sum(time_s >= since_s for time_s in fleet.arrivals[n]) for n in names]
    assert_that(sum(counts), GreaterThan(0.75 * 18 * 10.0))


def test_target_is_used_as_before_once_it_states_no_limit(fleet):
    """Guards against a limit that outlasts the target's need."""
    names, _ = state_limits(fleet, 6, 1.0)
    run(fleet, 6.0)
    fleet.rate_limits = {}
    run(fleet, 3.0)
    since_s = fleet.timers.now()
    run(fleet, 5.0)
    counts = [sum(time_s >= since_s for time_s in fleet.arrivals[n]) for n in names]
    assert_that(min(counts), GreaterThan(5.0 * 4.4 / 2))


def test_limit_holds_while_instances_restart(fleet):
    """Load: as above, while a third of the instances restarts in turn.

    Guards against new processes that do not know what targets have stated, and
    against shares that count instances that are gone.
    """
    names, since_s = state_limits(fleet, 6, 1.0)
    run(fleet, 3.0)
    for instance in fleet.instances[:13]:
        fleet.restart([instance])
        run(fleet, 0.5)
    over = [fleet.arrivals_over_the_limit(name, 1.0, since_s) for name in names]
    assert_that(max(over), LessThan(0.001))


def test_requests_are_refused_when_all_targets_have_what_they_take(fleet):
    """Load: all targets state a limit of one a second, of 80 requests a second.

    Guards against sending the rest to the targets all the same.
    """
    names, since_s = state_limits(fleet, 18, 1.0)
    run(fleet, 12.0)
    over = [fleet.arrivals_over_the_limit(name, 1.0, since_s) for name in names]
    assert_that(max(over), LessThan(0.001))
    assert_that(fleet.requests_without_target, GreaterThan(8 * (80 - 18)))


def test_new_incarnation_has_no_limit(fleet):
    """Guards against the limit of an ended incarnation under the same name."""
    state_limits(fleet, 6, 1.0)
    run(fleet, 2.0)
    tables = [instance.targets for instance in fleet.instances]
    table = next(table for table in tables if table.count_rate_limited())
    before = [state.registered for state in table.states.values()]
    table.apply([evolve(registered, born_ms=2) for registered in before])
    assert_that(table.count_rate_limited(), Equals({}))
