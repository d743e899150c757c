"""Prometheus metrics of the state of an instance of a mesh, and of its age."""

from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from attrs import define, field
from prometheus_client import Metric
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from lacewinglift.errors import LacewingliftError
from lacewinglift.hedging.hedger import Hedger
from lacewinglift.held_bytes import HeldBytes
from lacewinglift.kv import KeyValueStore, Listing, WatchResult
from lacewinglift.mesh.configuration_holder import ConfigurationHolder
from lacewinglift.mesh.configuration_lag import ConfigurationLag
from lacewinglift.mesh.fleet_limits import FleetQuota
from lacewinglift.mesh.members import MemberTable
from lacewinglift.mesh.registry import TargetRegistry
from lacewinglift.mesh.retry_budgets import FleetRetryBudgets
from lacewinglift.mesh.snapshots import SnapshotExchange
from lacewinglift.mesh.store_contact import StoreContact
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.mesh.traffic import MeshTraffic
from lacewinglift.overload.control import OverloadControl
from lacewinglift.timers import Timers


class InstrumentedStore:
    """Store client that counts calls by kind and outcome, and measures their time.

    Parameters
    ----------
    store : KeyValueStore
        Client to which calls are delegated.
    timers : Timers
        Clock.
    """

    def __init__(self, store: KeyValueStore, timers: Timers) -> None:
        self.store = store
        self.timers = timers
        self.call_counts: Counter[tuple[str, str]] = Counter()
        self.call_seconds: Counter[str] = Counter()

    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return all keys below a prefix."""
        with self._measure("list"):
            return self.store.list(prefix, stale)

    def watch(self, prefix: str, after: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision, or none after `wait_s`."""
        with self._measure("watch"):
            return self.store.watch(prefix, after, wait_s)

    def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> str:
        """Write a key under a new lease, and return the lease."""
        with self._measure("put"):
            return self.store.put_with_lease(key, value, ttl_s)

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has ended."""
        with self._measure("renew"):
            return self.store.renew_lease(lease)

    def close(self) -> None:
        """Close all connections."""
        self.store.close()

    @contextmanager
    def _measure(self, kind: str) -> Iterator[None]:
        started_s = self.timers.now()
        end = "failed"
        try:
            yield
            end = "answered"
        except LacewingliftError as error:
            end = error.code
            raise
        finally:
            self.call_counts[kind, end] += 1
            self.call_seconds[kind] += self.timers.now() - started_s


@define(eq=False)
class MeshCollector(Collector):
    """Collects metrics from the components of an instance on each scrape.

    Labels are names of services, workspaces and kinds, so their number is bounded.
    """

    timers: Timers
    members: MemberTable
    contact: StoreContact
    configuration_holder: ConfigurationHolder
    registry: TargetRegistry
    targets: MeshTargetTable
    quota: FleetQuota
    retry_budgets: FleetRetryBudgets
    store: InstrumentedStore
    snapshots: SnapshotExchange
    traffic: MeshTraffic
    configuration_lag: ConfigurationLag
    overload: OverloadControl | None = None
    held_bytes: HeldBytes = field(factory=HeldBytes)
    hedger: Hedger | None = None

    def describe(self) -> Iterable[Metric]:
        """Return nothing: metric names are known only once they are collected."""
        return []

    def collect(self) -> Iterable[Metric]:
        """Return the current values."""
        yield self._ages()
        yield self._versions()
        yield self._members()
        yield self._targets()
        yield self._rate_limited_targets()
        yield self._cold_targets()
        yield self._evacuated_targets()
        yield self._choices()
        yield self._failing_services()
        yield from self._held()
        yield self._tokens()
        yield self._resends()
        yield from self._store_calls()
        yield from self.traffic.collect()
        yield self._failed_fetches()
        yield self._fetch_times()
        yield self._configuration_lag()
        yield self._timer_delays()
        if self.overload is not None:
            yield from self.overload.metrics()
        if self.hedger is not None:
            yield self._hedges(self.hedger)

    def _hedges(self, hedger: Hedger) -> Metric:
        hedges = CounterMetricFamily(
            "lacewinglift_hedges",
            "Hedges of each service: sent, how they ended, and why some were withheld.",
            labels=["service", "result"],
        )
        for (service, result), count in sorted(hedger.counts.copy().items()):
            hedges.add_metric([service, result], count)
        return hedges

    def _ages(self) -> Metric:
        ages = GaugeMetricFamily(
            "lacewinglift_age_seconds",
            "Time since something was last heard or changed.",
            labels=["of"],
        )
        now = self.timers.now()
        ages.add_metric(["store"], now - self.contact.last_answer_at_s)
        ages.add_metric(["registry"], now - self.registry.last_confirmed_at_s)
        if self.configuration_holder.applied_at_s is not None:
            ages.add_metric(
                ["configuration"], now - self.configuration_holder.applied_at_s
            )
        silences_s = [
            now - member.last_heartbeat_at_s for member in self.members.known()
        ]
        if silences_s:
            ages.add_metric(["most_silent_member"], max(silences_s))
        return ages

    def _versions(self) -> Metric:
        versions = GaugeMetricFamily(
            "lacewinglift_version", "Version in force.", labels=["of"]
        )
        versions.add_metric(["configuration"], self.configuration_holder.generation())
        versions.add_metric(["registry"], self.registry.revision)
        return versions

    def _members(self) -> Metric:
        members = GaugeMetricFamily(
            "lacewinglift_members", "Other instances.", labels=["state"]
        )
        members.add_metric(["known"], len(self.members.known()))
        members.add_metric(["heard"], len(self.members.reachable()))
        members.add_metric(["active"], len(self.members.active()))
        return members

    def _targets(self) -> Metric:
        targets = GaugeMetricFamily(
            "lacewinglift_targets",
            "Registered targets of each service.",
            labels=["service", "state"],
        )
        for (service, state), count in sorted(self.targets.count_by_state().items()):
            targets.add_metric([service, state], count)
        return targets

    def _rate_limited_targets(self) -> Metric:
        targets = GaugeMetricFamily(
            "lacewinglift_targets_rate_limited",
            "Targets of each service that state the rate that they take.",
            labels=["service"],
        )
        for service, count in sorted(self.targets.count_rate_limited().items()):
            targets.add_metric([service], count)
        return targets

    def _cold_targets(self) -> Metric:
        targets = GaugeMetricFamily(
            "lacewinglift_targets_cold",
            "Cold targets of each service that limits their requests.",
            labels=["service"],
        )
        for service, count in sorted(self.targets.count_cold().items()):
            targets.add_metric([service], count)
        return targets

    def _evacuated_targets(self) -> Metric:
        targets = GaugeMetricFamily(
            "lacewinglift_targets_evacuated",
            "Targets of each data centre that the operator evacuates.",
            labels=["data_centre"],
        )
        counts = self.targets.count_by_data_centre()
        for name in sorted(self.targets.evacuated & counts.keys()):
            targets.add_metric([name], counts[name])
        return targets

    def _choices(self) -> Metric:
        choices = CounterMetricFamily(
            "lacewinglift_target_choices",
            "Choices of targets by expected completion time, by their basis.",
            labels=["service", "basis"],
        )
        for (service, basis), count in sorted(self.targets.choice_counts().items()):
            choices.add_metric([service, basis], count)
        return choices

    def _failing_services(self) -> Metric:
        failing = GaugeMetricFamily(
            "lacewinglift_service_failing",
            "Whether the targets in use fail more than a tenth of the requests.",
            labels=["service"],
        )
        for service in sorted(self.targets.failing_services()):
            failing.add_metric([service], 1)
        return failing

    def _held(self) -> Iterable[Metric]:
        yield GaugeMetricFamily(
            "lacewinglift_held_bytes",
            "Bytes of responses that callers have not read yet.",
            value=self.held_bytes.total,
        )
        yield CounterMetricFamily(
            "lacewinglift_targets_released_early",
            "Responses whose target was released before the caller had read them.",
            value=self.held_bytes.released_early,
        )

    def _tokens(self) -> Metric:
        tokens = GaugeMetricFamily(
            "lacewinglift_quota_tokens",
            "Requests that each workspace could send at once.",
            labels=["workspace"],
        )
        for workspace, level in self.quota.levels().items():
            tokens.add_metric([workspace], level)
        return tokens

    def _resends(self) -> Metric:
        left = GaugeMetricFamily(
            "lacewinglift_resends_left",
            "Requests of each service that could be sent again at once.",
            labels=["service"],
        )
        for service, count in self.retry_budgets.remaining().items():
            left.add_metric([service], count)
        return left

    def _failed_fetches(self) -> Metric:
        return CounterMetricFamily(
            "lacewinglift_snapshot_fetches_failed",
            "Fetches of a snapshot from another instance that failed.",
            value=self.snapshots.failed_fetches,
        )

    def _fetch_times(self) -> Metric:
        times = self.snapshots.fetch_times
        return SummaryMetricFamily(
            "lacewinglift_snapshot_fetch_seconds",
            "Duration of the fetches of a snapshot, failed ones included.",
            count_value=times.count,
            sum_value=times.total_s,
        )

    def _configuration_lag(self) -> Metric:
        return GaugeMetricFamily(
            "lacewinglift_configuration_lag_seconds",
            "Time for which a newer configuration has been known of; 0 if none is.",
            value=self.configuration_lag.lag_s(),
        )

    def _timer_delays(self) -> Metric:
        delays = self.timers.delays
        return SummaryMetricFamily(
            "lacewinglift_timer_delay_seconds",
            "Time by which timer callbacks started late.",
            count_value=delays.count,
            sum_value=delays.total_s,
        )

    def _store_calls(self) -> Iterable[Metric]:
        calls = CounterMetricFamily(
            "lacewinglift_store_calls",
            "Calls to the store by kind and end.",
            labels=["kind", "end"],
        )
        for (kind, end), count in sorted(self.store.call_counts.items()):
            calls.add_metric([kind, end], count)
        yield calls
        seconds = CounterMetricFamily(
            "lacewinglift_store_call_seconds",
            "Time spent in calls to the store; watches wait for changes.",
            labels=["kind"],
        )
        for kind, spent_s in sorted(self.store.call_seconds.items()):
            seconds.add_metric([kind], spent_s)
        yield seconds
