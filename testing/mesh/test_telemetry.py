"""Metrics of an instance of a mesh."""

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from lacewinglift.configuration import Configuration, Fleet, Workspace
from lacewinglift.errors import StoreUnavailableError
from lacewinglift.kv import Listing
from lacewinglift.mesh.configuration_holder import ConfigurationHolder
from lacewinglift.mesh.configuration_lag import ConfigurationLag
from lacewinglift.mesh.fleet_limits import FleetQuota
from lacewinglift.mesh.members import MemberTable
from lacewinglift.mesh.registry import RegisteredTarget, TargetRegistry
from lacewinglift.mesh.retry_budgets import FleetRetryBudgets, RetryLimits
from lacewinglift.mesh.snapshots import SnapshotExchange, SnapshotService
from lacewinglift.mesh.store_contact import StoreContact
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.mesh.telemetry import InstrumentedStore, MeshCollector
from lacewinglift.mesh.traffic import Direction, MeshTraffic, MessageKind
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.timers import ManualTimers


class FailingStore:
    def list(self, prefix, stale=False):
        if prefix == "lost":
            raise StoreUnavailableError("no reply")
        return Listing((), 1)


@pytest.fixture
def collector():
    timers = ManualTimers()
    targets = MeshTargetTable(timers, "a", "milano")
    contact = StoreContact(timers)
    quota = FleetQuota(timers, lambda: 1.0)
    retry_budgets = FleetRetryBudgets(timers, RetryLimits(0.2, 10.0, 10.0), lambda: 1.0)
    return MeshCollector(
        timers,
        MemberTable("a", timers),
        contact,
        ConfigurationHolder(timers),
        TargetRegistry(timers),
        targets,
        quota,
        retry_budgets,
        InstrumentedStore(FailingStore(), timers),
        SnapshotExchange(
            "127.0.0.1:0",
            SnapshotService(lambda request: None, MeshTraffic()),
            lambda snapshot: None,
            timers,
        ),
        MeshTraffic(),
        ConfigurationLag(timers, lambda: 3),
    )


def scrape(collector):
    registry = CollectorRegistry()
    registry.register(collector)
    return generate_latest(registry).decode()


def test_ages_limits_and_targets_are_exported(collector):
    """Guards against state whose age an on-call engineer cannot see."""
    house = Workspace("house", 10.0, 10)
    configuration = Configuration(4, Fleet("f"), {}, (), {"house": house})
    collector.configuration_holder.apply_if_newer(configuration, b"")
    collector.quota.apply(configuration)
    collector.registry.replace_all([], 7)
    collector.contact.record_answer(0)
    collector.retry_budgets.budget_for("cassa").record_request()
    collector.targets.apply(
        [
            RegisteredTarget(f"t{n}", "cassa", f"10.0.0.{n}:80", "milano", 2, 1, 1)
            for n in range(3)
        ]
    )
    attempt = collector.targets.acquire("cassa")
    attempt.finish(Outcome(OutcomeKind.ERROR, 0.1))
    collector.timers.advance(4.0)
    text = scrape(collector)
    assert 'lacewinglift_age_seconds{of="store"} 4.0' in text
    assert 'lacewinglift_age_seconds{of="registry"} 4.0' in text
    assert 'lacewinglift_age_seconds{of="configuration"} 4.0' in text
    assert 'lacewinglift_version{of="configuration"} 4.0' in text
    assert 'lacewinglift_version{of="registry"} 7.0' in text
    assert 'lacewinglift_targets{service="cassa",state="doubted"} 1.0' in text
    assert 'lacewinglift_targets{service="cassa",state="usable"} 2.0' in text
    assert 'lacewinglift_quota_tokens{workspace="house"} 10.0' in text
    assert 'lacewinglift_resends_left{service="cassa"} 7.7' in text


def test_store_calls_are_counted_by_outcome(collector):
    """Guards against refusals by the store that no metric shows."""
    collector.store.list("kept")
    with pytest.raises(StoreUnavailableError):
        collector.store.list("lost")
    text = scrape(collector)
    assert 'lacewinglift_store_calls_total{end="answered",kind="list"} 1.0' in text
    end = StoreUnavailableError.code
    assert f'lacewinglift_store_calls_total{{end="{end}",kind="list"}} 1.0' in text


def test_number_of_series_does_not_grow_with_requests(collector):
    """Guards against metrics labelled by request, key or caller."""
    collector.targets.apply(
        [RegisteredTarget("t0", "cassa", "10.0.0.1:80", "milano", 9, 1, 1)]
    )
    before = len(scrape(collector).splitlines())
    for _ in range(50):
        collector.targets.acquire("cassa").finish(Outcome(OutcomeKind.SUCCESS, 0.1))
    assert len(scrape(collector).splitlines()) == before


def test_traffic_between_instances_is_exported(collector):
    """Guards against a full link whose cause no metric shows.

    Heartbeats, snapshots and responses to callers share the link of an instance.
    """
    collector.traffic.record(MessageKind.HEARTBEAT, Direction.SENT, 600)
    collector.traffic.record(MessageKind.HEARTBEAT, Direction.SENT, 400)
    collector.traffic.record(MessageKind.SNAPSHOT, Direction.RECEIVED, 9000)
    collector.snapshots.failed_fetches = 3
    collector.snapshots.fetch_times.record(4.0)
    collector.configuration_lag.record(4)
    collector.timers.advance(2.0)
    collector.timers.delays.record(0.25)
    text = scrape(collector)
    for line in (
        'lacewinglift_mesh_messages_total{direction="sent",kind="heartbeat"} 2.0',
        'lacewinglift_mesh_bytes_total{direction="sent",kind="heartbeat"} 1000.0',
        'lacewinglift_mesh_bytes_total{direction="received",kind="snapshot"} 9000.0',
        "lacewinglift_snapshot_fetches_failed_total 3.0",
        "lacewinglift_snapshot_fetch_seconds_sum 4.0",
        "lacewinglift_configuration_lag_seconds 2.0",
        "lacewinglift_timer_delay_seconds_sum 0.25",
    ):
        assert line in text


def test_interval_of_reports_is_exported(collector):
    """Guards against reports of use that take long without anybody seeing it."""
    collector.traffic.report_intervals.record(0.5)
    collector.traffic.report_intervals.record(1.0)
    text = scrape(collector)
    assert "lacewinglift_mesh_report_interval_seconds_sum 1.5" in text
    assert "lacewinglift_mesh_report_interval_seconds_count 2.0" in text
