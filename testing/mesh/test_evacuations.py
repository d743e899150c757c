"""Evacuation of data centres: in force everywhere in time, and ended by its key."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.evacuations import Evacuations
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.timers import ManualTimers
from testing.mesh.simulated_fleet import SERVICE, SimulatedFleet
from testing.mesh.test_target_table import make_target

# The rule for the time from the acknowledged key to the last request.
EVACUATION_S = 5.0


def test_two_data_centres_get_nothing_until_their_keys_are_removed():
    """Guards against instances that never hear of a key, or of its removal.

    All but one instance are replaced meanwhile; the new ones learn it from that one.
    """
    fleet = SimulatedFleet(30, 1_250_000, targets=60)
    fleet.failing = set()
    fleet.assume_request_rate(150.0)
    first = fleet.instances[0]

    def arrivals(data_centre, since_s):
        targets = first.registry.targets.values()
        names = [each.name for each in targets if each.data_centre == data_centre]
        return sum(t >= since_s for name in names for t in fleet.arrivals[name])

    fleet.run(1.0, 150.0, 0.3)
    first.evacuations.apply_changes({"milano": True, "torino": True}, 20, 0)
    fleet.run(EVACUATION_S, 150.0, 0.3)
    since_s = fleet.timers.now()
    fleet.restart(fleet.instances[1:])
    for each in fleet.instances[1:]:
        # With such a snapshot, or a listing, a new process begins to serve.
        each.apply_snapshot(first.build_snapshot(beats_pb2.SnapshotRequest()))
    fleet.run(3.0, 150.0, 0.3)
    assert_that(arrivals("milano", since_s), Equals(0))
    first.evacuations.apply_changes({"milano": False}, 21, 0)
    fleet.run(EVACUATION_S, 150.0, 0.3)
    held = {each.evacuations.data_centres for each in fleet.instances}
    assert_that(held, Equals({frozenset({"torino"})}))
    assert_that(arrivals("milano", since_s), GreaterThan(0))
    assert_that(arrivals("torino", since_s), Equals(0))


@pytest.fixture
def pair():
    timers = ManualTimers()
    return Evacuations(timers), Evacuations(timers)


def heartbeat_of(evacuations):
    heartbeat = beats_pb2.Beat()
    evacuations.write_heartbeat(heartbeat)
    return heartbeat


def test_state_of_an_earlier_revision_changes_nothing(pair):
    """Guards against an evacuation that a late watch or snapshot brings back."""
    known, _ = pair
    known.apply_changes({"milano": True}, 20, 1)
    known.apply_changes({"milano": False}, 22, 1)
    known.apply_changes({"milano": True}, 21, 1)
    known.replace_all(["milano"], 90, 0)
    assert_that(known.data_centres, Equals(frozenset()))


def test_instance_that_missed_the_end_hears_of_it(pair):
    """Guards against an evacuation that outlasts its key at one instance.

    The other one has started since and never knew of it.
    """
    holder, newcomer = pair
    holder.apply_changes({"milano": True}, 20, 0)
    newcomer.replace_all([], 25, 0)
    assert_that(heartbeat_of(newcomer), Equals(beats_pb2.Beat()))
    assert not newcomer.compare(heartbeat_of(holder))
    assert holder.compare(heartbeat_of(newcomer))
    snapshot = beats_pb2.Snapshot()
    newcomer.write_snapshot(snapshot)
    holder.apply_snapshot(snapshot)
    assert_that(holder.data_centres, Equals(frozenset()))
    assert not holder.compare(heartbeat_of(newcomer))


def test_unknown_name_is_logged_once_and_the_last_target_is_no_exception(pair, caplog):
    """Guards against a misspelt name that harms, and a last resort that disobeys."""
    known, _ = pair
    known.replace_all(["milan"], 20, 0)
    for _ in range(3):
        known.report_unknown({"milano"})
    lines = [r.getMessage() for r in caplog.records]
    assert_that([each for each in lines if "unknown" in each], HasLength(1))
    table = MeshTargetTable(known.timers, "a", "milano")
    table.apply([make_target(0)])
    for names, found in ((known.data_centres, True), (frozenset({"milano"}), False)):
        table.evacuated = names
        assert_that(table.acquire(SERVICE, repeatable=True) is not None, Is(found))
