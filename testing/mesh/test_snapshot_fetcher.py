"""Tests of when and where an instance fetches a snapshot."""

from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.members import MemberTable
from lacewinglift.mesh.registry import TargetRegistry
from lacewinglift.mesh.snapshot_fetch_policy import SnapshotFetchPolicy
from lacewinglift.mesh.snapshot_fetcher import SPREAD_PER_INSTANCE_S, SnapshotFetcher
from lacewinglift.mesh.snapshots import compress_snapshot, decompress_snapshot
from lacewinglift.timers import ManualTimers
from testing.mesh.simulated_fleet import SimulatedFleet
from testing.mesh.test_directory import build_heartbeat

MEMBERS = 30
LONGEST_DELAY_S = MEMBERS * SPREAD_PER_INSTANCE_S


class Setup:
    """An instance of milano that hears of a newer configuration from others."""

    def __init__(self):
        self.timers = ManualTimers()
        self.members = MemberTable("self", self.timers)
        self.fetched = []
        self.urgent = False
        self.sequence = 1
        policy = SnapshotFetchPolicy(
            self.timers, TargetRegistry(self.timers), lambda: 3, lambda: False
        )
        self.fetcher = SnapshotFetcher(
            self.timers,
            "milano",
            self.members,
            policy,
            lambda sources: self.fetched.append(
                [each.beat_address for each in sources]
            ),
            lambda: self.urgent,
            Random(1),
        )
        for number in range(MEMBERS):
            self.hear(f"f{number}", generation=3)

    def hear(self, name, generation):
        self.sequence += 1
        data_centre = ("milano", "torino")[int(name[1:]) % 2]
        heartbeat = build_heartbeat(
            name, data_centre, self.sequence, configuration_version=generation
        )
        self.members.receive(heartbeat)
        self.fetcher.process_heartbeat(heartbeat)


@pytest.fixture
def setup():
    return Setup()


def test_fetches_of_one_change_are_not_repeated(setup):
    """Guards against a fetch for each of the heartbeats that report one change."""
    for number in range(MEMBERS):
        setup.hear(f"f{number}", generation=4)
    setup.timers.advance(LONGEST_DELAY_S)
    assert_that(setup.fetched, HasLength(1))


def test_sources_are_spread_within_the_data_centre(setup):
    """Guards against fetching always from the instance that announces a change."""
    for number in range(MEMBERS):
        setup.hear(f"f{number}", generation=4)
    for _ in range(40):
        setup.timers.advance(LONGEST_DELAY_S)
        setup.hear("f0", generation=4)
    sources = {first.removesuffix(":81") for first, *_ in setup.fetched}
    assert_that(len(sources), GreaterThan(5))
    assert_that({int(name[1:]) % 2 for name in sources}, Equals({0}))


def test_instance_without_state_fetches_at_once(setup):
    """Guards against callers that wait for an instance that has just started."""
    setup.urgent = True
    setup.hear("f1", generation=4)
    setup.timers.advance(0.0)
    assert_that(setup.fetched, Equals([["f1:81"]]))


def test_last_source_is_of_another_data_centre(setup):
    """Guards against sources that are all cut off with the own data centre."""
    for number in range(MEMBERS):
        setup.hear(f"f{number}", generation=4)
    setup.timers.advance(LONGEST_DELAY_S)
    numbers = [int(address.removesuffix(":81")[1:]) for address in setup.fetched[0]]
    assert_that([number % 2 for number in numbers], Equals([0, 0, 1]))


def test_snapshot_holds_only_what_is_newer():
    """Guards against sending all targets to each instance for a new configuration."""
    fleet = SimulatedFleet(2, link_bytes_per_s=1e6)
    newer, older = fleet.instances
    newer.apply_configuration(fleet.configuration_value(2))
    request = beats_pb2.SnapshotRequest(
        configuration_version=1,
        registry_digest=older.registry.digest,
        registry_revision=older.registry.revision,
    )
    snapshot = newer.build_snapshot(request)
    assert_that(snapshot.configuration, Equals(fleet.configuration_value(2)))
    assert_that(snapshot.targets, HasLength(0))
    request.registry_digest += 1
    request.configuration_version = 2
    snapshot = newer.build_snapshot(request)
    assert_that(snapshot.configuration, Equals(b""))
    assert_that(snapshot.targets, HasLength(fleet.targets))


def test_compressed_snapshot_is_restored():
    """Guards against a compressed snapshot that differs from the one sent."""
    snapshot = beats_pb2.Snapshot(configuration=b"value", registry_revision=7)
    assert_that(decompress_snapshot(compress_snapshot(snapshot)), Equals(snapshot))
