"""Limits of a workspace that a version leaves out and a later one states again."""

from bisect import bisect_left

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from lacewinglift.configuration import Configuration, Fleet, Workspace
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.fleet_limits import FleetQuota
from lacewinglift.timers import ManualTimers

HIGH = Workspace("house", rate_per_s=90.0, burst=20)
LOW = Workspace("house", rate_per_s=20.0, burst=20)
FREE = Workspace("house", rate_per_s=0.0, burst=0)
SENT_PER_S = 60
STEP_S = 0.1
WINDOW_S = 5.0
# The users' rule for the low limit, in any window.
ALLOWED = (LOW.rate_per_s * WINDOW_S + LOW.burst) * 1.1 + 20
# A lower limit binds one window after it is in force everywhere.
BINDS_AFTER_S = WINDOW_S


class HouseFleet:
    """Instances that tell each other what they admit; each gets a part of the requests.

    Attributes
    ----------
    quotas : dict
        Quota of each instance.
    """

    def __init__(self, size):
        self.timers = ManualTimers()
        self.quotas = {f"f{n}": self.start_instance() for n in range(size)}
        self.admitted_at_s = []
        self.workspace = HIGH

    def start_instance(self):
        return FleetQuota(self.timers, lambda: 1.0)

    def apply(self, workspaces, leaving_out=()):
        """Put a version into force, except at instances that do not get it."""
        configuration = Configuration(1, Fleet("f"), {}, (), workspaces)
        for name, quota in self.quotas.items():
            if name not in leaving_out:
                quota.apply(configuration)

    def run(self, duration_s):
        for step in range(round(duration_s / STEP_S)):
            for turn in range(round(SENT_PER_S * STEP_S)):
                names = sorted(self.quotas)
                self.send(names[(step + turn) % len(names)])
            self.exchange_usage()
            self.timers.advance(STEP_S)

    def send(self, name):
        decision = self.quotas[name].admit(LOW)
        if decision.admitted:
            self.admitted_at_s.append(self.timers.now() + decision.wait_s)

    def exchange_usage(self):
        for sender, quota in self.quotas.items():
            heartbeat = beats_pb2.Beat(instance=sender, incarnation=1)
            heartbeat.usages.extend(quota.usages(full=True))
            for receiver, other in self.quotas.items():
                if receiver != sender:
                    other.record_peer_usage(heartbeat)

    def most_in_a_window(self, since_s):
        """Return the most requests that were admitted in a window since a time."""
        times_s = sorted(each for each in self.admitted_at_s if each >= since_s)
        return max(
            bisect_left(times_s, start_s + WINDOW_S) - number
            for number, start_s in enumerate(times_s)
        )


@pytest.fixture
def fleet():
    fleet = HouseFleet(6)
    fleet.apply({"house": HIGH})
    fleet.run(30.0)
    return fleet


@pytest.mark.parametrize("between", [{"house": FREE}, {}], ids=["limit", "workspace"])
@pytest.mark.parametrize("missed_by", [(), ("f0", "f1")], ids=["all", "not all"])
def test_limit_that_is_stated_again_holds_for_the_whole_fleet(
    fleet, between, missed_by
):
    """Load: a workspace sends three times its limit, after a version without one.

    Guards against instances that each grant the whole rate, as their counts start
    again and the others take them for late ones. Some do not get the version between.
    """
    fleet.apply(between, missed_by)
    fleet.run(4.0)
    fleet.apply({"house": LOW})
    binds_at_s = fleet.timers.now() + BINDS_AFTER_S
    fleet.run(BINDS_AFTER_S + 10.0)
    assert_that(fleet.most_in_a_window(binds_at_s), LessThan(ALLOWED + 1))
    # The workspace gets its rate all the same.
    owed = 0.9 * LOW.rate_per_s * WINDOW_S
    assert_that(fleet.most_in_a_window(binds_at_s), GreaterThan(owed))


def test_instance_that_joins_between_does_not_charge_earlier_requests(fleet):
    """Guards against a new instance that refuses for seconds what is owed.

    It first hears of the counts while the workspace has no limit.
    """
    fleet.apply({"house": FREE})
    fleet.quotas["f6"] = fleet.start_instance()
    fleet.run(4.0)
    fleet.apply({"house": LOW})
    before = fleet.quotas["f6"].levels()["house"]
    fleet.exchange_usage()
    assert_that(fleet.quotas["f6"].levels()["house"], Equals(before))
    fleet.send("f0")
    fleet.exchange_usage()
    assert_that(fleet.quotas["f6"].levels()["house"], Equals(before - 1.0))


def test_counts_of_a_free_workspace_are_not_sent_each_time(fleet):
    """Guards against heartbeats that grow with every workspace that had a limit."""
    fleet.apply({"house": FREE})
    fleet.run(4.0)
    assert_that(fleet.quotas["f0"].usages(full=False), Equals([]))
