"""Rate of a workspace whose callers use all instances of a fleet with little to do.

The instances that the directory names report their use often. The others report it once
a second, unless they use more than their share.
"""

from random import Random

import pytest
from attrs import define, field
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from lacewinglift.configuration import Workspace
from lacewinglift.mesh.heartbeats import Recipients
from testing.mesh.limits_fleet import most_in_a_window
from testing.mesh.simulated_fleet import STEP_S, SimulatedFleet

SIZE = 40
LINK_BYTES_PER_S = 1_000_000_000 / 8
HOUSE = Workspace("house", rate_per_s=46.0, burst=46)
QUIET_RATE_PER_S = 1.0
USUAL_RATE_PER_S = HOUSE.rate_per_s * 2 / 3
SURGE_RATE_PER_S = 7.5 * USUAL_RATE_PER_S
SURGE_S = 6.5
CUT_SHARE = 0.35
# The users' rule for the requests of a workspace, in any window.
WINDOW_S = 5.0
ALLOWED = (HOUSE.rate_per_s * WINDOW_S + HOUSE.burst) * 1.1 + 20


@define(eq=False)
class Callers:
    """Callers of the workspace, who know all instances."""

    fleet: SimulatedFleet
    random: Random = field(factory=lambda: Random(1))
    due: float = 0.0
    sent: int = 0
    admitted_at_s: list = field(factory=list)

    def run(self, duration_s, rate_per_s):
        end_s = self.fleet.timers.now() + duration_s
        while self.fleet.timers.now() < end_s:
            self.due += rate_per_s * STEP_S
            while self.due >= 1.0:
                self.due -= 1.0
                self.send()
            self.fleet.run(STEP_S, 0.0, 0.0)

    def send(self):
        self.sent += 1
        decision = self.random.choice(self.fleet.instances).admit(HOUSE)
        if decision.admitted:
            self.admitted_at_s.append(self.fleet.timers.now() + decision.wait_s)


@pytest.fixture
def start_callers():
    """Return a function that builds a fleet and the callers of the workspace.

    The heartbeats of a fleet come close together: a new configuration makes all
    instances send one at once.
    """

    def start(spread_s):
        fleet = SimulatedFleet(SIZE, LINK_BYTES_PER_S, targets=4, workspaces=1)
        fleet.codec.workspaces[HOUSE.name] = HOUSE
        callers = Callers(fleet)
        for instance in fleet.instances:
            instance.apply_configuration(fleet.configuration_value(2))
            delay_s = callers.random.uniform(0.0, spread_s)
            instance.heartbeats.due_s[Recipients.ALL] = fleet.timers.now() + delay_s
        return callers

    return start


def cut(fleet, share):
    """Cut a share of the instances off from the others, but not from each other."""
    lost = {each.settings.instance for each in fleet.instances[: round(share * SIZE)]}
    fleet.is_cut = lambda sender, receiver: (
        (sender.instance in lost) != (receiver.instance in lost)
    )


@pytest.mark.parametrize("spread_s", [0.1, 0.4])
@pytest.mark.parametrize("rate_per_s", [QUIET_RATE_PER_S, USUAL_RATE_PER_S])
def test_surge_in_a_quiet_fleet_stays_within_the_rate(
    start_callers, rate_per_s, spread_s
):
    """Load: a workspace sends 7.5 times its usual rate to instances that are not busy.

    Guards against instances that admit the same tokens for up to a second, because
    only those that the directory names report their use sooner.
    """
    callers = start_callers(spread_s)
    callers.run(6.0, rate_per_s)
    callers.run(SURGE_S, SURGE_RATE_PER_S)
    assert_that(
        most_in_a_window(callers.admitted_at_s, WINDOW_S), LessThan(ALLOWED + 1)
    )


@pytest.mark.parametrize("onset_s", [0.0, 0.3, 1.0])
def test_surge_while_a_quiet_fleet_is_cut(start_callers, onset_s):
    """Load: the same surge, some time after a third of the instances is cut off.

    Guards against two parts that each do the same, and the share of the other part.
    """
    callers = start_callers(spread_s=0.1)
    callers.run(6.0, QUIET_RATE_PER_S)
    cut(callers.fleet, CUT_SHARE)
    callers.run(onset_s, QUIET_RATE_PER_S)
    callers.run(SURGE_S, SURGE_RATE_PER_S)
    assert_that(
        most_in_a_window(callers.admitted_at_s, WINDOW_S), LessThan(ALLOWED + 1)
    )


def test_usual_requests_of_a_quiet_fleet_are_admitted(start_callers):
    """Guards against refusals within the rate, and reports of each request."""
    callers = start_callers(spread_s=1.0)
    callers.run(10.0, USUAL_RATE_PER_S)
    assert_that(len(callers.admitted_at_s), GreaterThan(0.99 * callers.sent))
    sent = sum(callers.fleet.datagram_counts().values())
    assert_that(sent, LessThan(1.5 * 10.0 * SIZE * (SIZE - 1)))
