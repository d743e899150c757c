"""Rate of a workspace that surges in a fleet whose reports take most of a second."""

from random import Random

import pytest
from attrs import define
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from lacewinglift.configuration import Workspace
from lacewinglift.mesh.settings import ADDRESS_LIFETIME_S
from testing.mesh.limits_fleet import most_in_a_window
from testing.mesh.simulated_fleet import STEP_S, SimulatedFleet

LINK_BYTES_PER_S = 20_000_000 / 8
CALLER_RATE_PER_S = 355.0
HOUSE = Workspace("house", rate_per_s=101.0, burst=101)
USUAL_RATE_PER_S = 63.0
SURGE_FACTOR = 7.5
DATA_CENTRES = ("milano", "torino", "verona", "bologna", "genova")
# The users' rule for the requests of a workspace, in any window.
WINDOW_S = 5.0
TOLERATED = 0.1
SLACK = 20


@define
class Caller:
    """A caller of the workspace, who keeps addresses for some seconds."""

    lifetime_s: float
    addresses: tuple = ()
    expires_at_s: float = 0.0


class HouseCallers:
    """Callers of one workspace, who spread over the instances that serve callers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.random = Random(1)
        # Some keep addresses three times as long as they were told to.
        lifetimes_s = [
            ADDRESS_LIFETIME_S * (3 if n % 5 == 0 else 1) for n in range(200)
        ]
        self.callers = [Caller(lifetime_s) for lifetime_s in lifetimes_s]
        self.due = 0.0
        self.sent = 0
        self.admitted_at_s = []

    def run(self, duration_s, rate_per_s):
        end_s = self.fleet.timers.now() + duration_s
        while self.fleet.timers.now() < end_s:
            self.due += rate_per_s * STEP_S
            while self.due >= 1.0:
                self.due -= 1.0
                self.send()
            self.fleet.run(STEP_S, CALLER_RATE_PER_S, 0.0)

    def send(self):
        instance = self.connect(self.random.choice(self.callers))
        instance.retry_budgets.budget_for("cassa").record_request()
        decision = instance.admit(HOUSE)
        self.sent += 1
        if decision.admitted:
            self.admitted_at_s.append(self.fleet.timers.now() + decision.wait_s)

    def connect(self, caller):
        now = self.fleet.timers.now()
        if now >= caller.expires_at_s:
            asked = self.random.choice(self.fleet.instances)
            data_centre = self.random.choice(self.fleet.data_centres)
            caller.addresses = asked.directory.resolve(data_centre).addresses
            caller.expires_at_s = now + caller.lifetime_s * self.random.uniform(0.7, 1)
        host = self.random.choice(caller.addresses).removesuffix(":80")
        return self.fleet.by_heartbeat_address[f"{host}:81"]


@pytest.fixture(scope="module")
def callers():
    fleet = SimulatedFleet(
        100, LINK_BYTES_PER_S, targets=40, workspaces=4, data_centres=DATA_CENTRES
    )
    fleet.codec.workspaces[HOUSE.name] = HOUSE
    for instance in fleet.instances:
        instance.apply_configuration(fleet.configuration_value(2))
    callers = HouseCallers(fleet)
    callers.run(4.0, USUAL_RATE_PER_S)
    return callers


def test_usual_requests_are_admitted(callers):
    """Guards against an estimate of unreported use that refuses what is owed."""
    assert_that(len(callers.admitted_at_s), GreaterThan(0.99 * callers.sent))


def test_instances_of_a_whole_fleet_hear_each_other(callers):
    """Guards against parts of the rates that are withheld although nothing is cut.

    Relays pass heartbeats on in bundles, so that each hears others in turns only.
    """
    for _ in range(12):
        callers.run(0.25, USUAL_RATE_PER_S)
        fractions = [each.reachable_fraction() for each in callers.fleet.instances]
        assert_that(min(fractions), GreaterThan(0.97))


def test_surging_workspace_stays_within_its_rate(callers):
    """Load: a workspace sends 7.5 times its usual rate, through tens of instances.

    Guards against instances that all admit the same tokens, as each hears only after
    most of a second what the others have admitted.
    """
    callers.run(6.0, SURGE_FACTOR * USUAL_RATE_PER_S)
    allowed = (HOUSE.rate_per_s * WINDOW_S + HOUSE.burst) * (1 + TOLERATED) + SLACK
    assert_that(
        most_in_a_window(callers.admitted_at_s, WINDOW_S), LessThan(allowed + 1)
    )
