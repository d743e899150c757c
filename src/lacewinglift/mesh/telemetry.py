"""What an instance of a mesh believes, and how old it is, for Prometheus."""

from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from attrs import define
from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from lacewinglift.errors import LacewingliftError
from lacewinglift.kv import KeyValueStore, Listing, WatchResult
from lacewinglift.mesh.configuration_holder import ConfigurationHolder
from lacewinglift.mesh.fleet_limits import FleetQuota, FleetRetryBudgets
from lacewinglift.mesh.members import MemberTable
from lacewinglift.mesh.observers import StoreContact
from lacewinglift.mesh.pooled_targets import PooledTargets
from lacewinglift.mesh.registry import TargetRegistry
from lacewinglift.timers import Timers


class CountedStore:
    """Store client that counts calls by kind and end, and the time of each.

    Parameters
    ----------
    store : KeyValueStore
        Client that makes the calls.
    timers : Timers
        Clock.
    """

    def __init__(self, store: KeyValueStore, timers: Timers) -> None:
        self.store = store
        self.timers = timers
        self.calls: Counter[tuple[str, str]] = Counter()
        self.seconds: Counter[str] = Counter()

    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return all keys below a prefix."""
        with self._counted("list"):
            return self.store.list(prefix, stale)

    def watch(self, prefix: str, after: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision, or none after `wait_s`."""
        with self._counted("watch"):
            return self.store.watch(prefix, after, wait_s)

    def put_with_lease(self, key: str, value: bytes, ttl_s: float) -> str:
        """Write a key under a new lease, and return the lease."""
        with self._counted("put"):
            return self.store.put_with_lease(key, value, ttl_s)

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has ended."""
        with self._counted("renew"):
            return self.store.renew_lease(lease)

    def close(self) -> None:
        """Close all connections."""
        self.store.close()

    @contextmanager
    def _counted(self, kind: str) -> Iterator[None]:
        started_s = self.timers.now()
        end = "failed"
        try:
            yield
            end = "answered"
        except LacewingliftError as error:
            end = error.code
            raise
        finally:
            self.calls[kind, end] += 1
            self.seconds[kind] += self.timers.now() - started_s


@define(eq=False)
class MeshCollector(Collector):
    """Reads the state of the parts each time that metrics are asked for.

    Labels are names of services, workspaces and kinds, so their number is bounded.
    """

    timers: Timers
    members: MemberTable
    contact: StoreContact
    holder: ConfigurationHolder
    registry: TargetRegistry
    targets: PooledTargets
    quota: FleetQuota
    retry_budgets: FleetRetryBudgets
    store: CountedStore

    def describe(self) -> Iterable[Metric]:
        """Return nothing: names are known once they are collected."""
        return []

    def collect(self) -> Iterable[Metric]:
        """Return the present values."""
        yield self._ages()
        yield self._versions()
        yield self._members()
        yield self._targets()
        yield self._tokens()
        yield self._resends()
        yield from self._store_calls()

    def _ages(self) -> Metric:
        ages = GaugeMetricFamily(
            "lacewinglift_age_seconds",
            "Time since something was last heard or changed.",
            labels=["of"],
        )
        now = self.timers.now()
        ages.add_metric(["store"], now - self.contact.last_answer_s)
        ages.add_metric(["registry"], now - self.registry.last_confirmed_s)
        if self.holder.applied_at_s is not None:
            ages.add_metric(["configuration"], now - self.holder.applied_at_s)
        heard = [now - member.last_heartbeat_s for member in self.members.known()]
        if heard:
            ages.add_metric(["most_silent_member"], max(heard))
        return ages

    def _versions(self) -> Metric:
        versions = GaugeMetricFamily(
            "lacewinglift_version", "Version in force.", labels=["of"]
        )
        versions.add_metric(["configuration"], self.holder.generation())
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
        for (service, state), count in sorted(self.targets.census().items()):
            targets.add_metric([service, state], count)
        return targets

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

    def _store_calls(self) -> Iterable[Metric]:
        calls = CounterMetricFamily(
            "lacewinglift_store_calls",
            "Calls to the store by kind and end.",
            labels=["kind", "end"],
        )
        for (kind, end), count in sorted(self.store.calls.items()):
            calls.add_metric([kind, end], count)
        yield calls
        seconds = CounterMetricFamily(
            "lacewinglift_store_call_seconds",
            "Time spent in calls to the store; watches wait for changes.",
            labels=["kind"],
        )
        for kind, spent_s in sorted(self.store.seconds.items()):
            seconds.add_metric([kind], spent_s)
        yield seconds
