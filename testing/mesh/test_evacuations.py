"""Evacuation of data centres: in force everywhere in time, and ended by its key."""

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.evacuations import Evacuations
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.timers import ManualTimers
from testing.mesh.simulated_fleet import SERVICE, SimulatedFleet
from testing.mesh.test_target_table import chosen_names, make_target

# The rule for the time from the acknowledged key to the last request.
EVACUATION_S = 5.0


def run(fleet, duration_s):
    fleet.run(duration_s, 150.0, 0.3)


def set_keys(fleet, revision, **present):
    """Let the store tell one instance which data centres are evacuated."""
    fleet.instances[0].evacuations.apply_changes(present, revision, 0)


def arrivals(fleet, data_centre, since_s):
    targets = fleet.instances[0].registry.targets
    names = [name for name, t in targets.items() if t.data_centre == data_centre]
    return sum(t >= since_s for name in names for t in fleet.arrivals[name])


@pytest.fixture
def fleet():
    fleet = SimulatedFleet(30, 1_250_000, targets=60)
    fleet.failing = set()
    fleet.assume_request_rate(150.0)
    run(fleet, 1.0)
    return fleet


def test_two_data_centres_get_nothing_until_their_keys_are_removed(fleet):
    """Guards against instances that never hear of a key, or of its removal.

    All instances are replaced meanwhile, and the new ones learn it from a single one.
    """
    set_keys(fleet, 20, milano=True, torino=True)
    run(fleet, EVACUATION_S)
    fleet.restart(fleet.instances[1:])
    since_s = fleet.timers.now()
    for each in fleet.instances[1:]:
        # As with the listing or the snapshot that a new process begins to serve with.
        each.apply_snapshot(
            fleet.instances[0].build_snapshot(beats_pb2.SnapshotRequest())
        )
    run(fleet, 4.0)
    for name in ("milano", "torino"):
        assert_that(arrivals(fleet, name, since_s), Equals(0))
    set_keys(fleet, 21, milano=False)
    run(fleet, EVACUATION_S)
    held = {each.evacuations.data_centres for each in fleet.instances}
    assert_that(held, Equals({frozenset({"torino"})}))
    assert_that(arrivals(fleet, "milano", since_s), GreaterThan(0))
    assert_that(arrivals(fleet, "torino", since_s), Equals(0))


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


def test_unknown_name_is_logged_once_and_harms_nobody(pair, caplog):
    """Guards against a misspelt name that empties a service, or fills the log."""
    known, _ = pair
    known.replace_all(["milan"], 20, 0)
    for _ in range(3):
        known.report_unknown({"milano"})
    lines = [r.getMessage() for r in caplog.records]
    assert_that([each for each in lines if "unknown" in each], HasLength(1))
    table = MeshTargetTable(known.timers, "a", "milano")
    table.evacuated = known.data_centres
    table.apply([make_target(0)])
    assert_that(chosen_names(table), Equals({"t0"}))


def test_service_without_any_other_target_gets_no_request(pair):
    """Guards against a last resort that overrides the operator's word."""
    table = MeshTargetTable(pair[0].timers, "a", "milano")
    table.apply([make_target(0), evolve(make_target(1), data_centre="torino")])
    table.evacuated = frozenset({"milano", "torino"})
    assert_that(table.acquire(SERVICE, repeatable=True), Is(None))
