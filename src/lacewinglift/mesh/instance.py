"""Builds, starts and stops the components of an instance of a mesh."""

import threading
from collections.abc import Sequence
from random import Random

from lacewinglift.addresses import AddressBook
from lacewinglift.admission import Decision
from lacewinglift.concurrency import ConcurrencyLimiter
from lacewinglift.dialects import Dialect
from lacewinglift.errors import SettingsError
from lacewinglift.exchanges import ExchangeMonitor
from lacewinglift.forwarder import Forwarder
from lacewinglift.frontend import Frontend
from lacewinglift.generated import beats_pb2
from lacewinglift.hedging.hedger import Hedger
from lacewinglift.held_bytes import HeldBytes
from lacewinglift.kv import STORE_DRIVERS
from lacewinglift.logs import LEFT_OUT_REPORT_INTERVAL_S, log_info, report_left_out
from lacewinglift.mesh.allowed_regions import report_unknown_regions
from lacewinglift.mesh.choice_registry import COMPLETION_TIME
from lacewinglift.mesh.configuration_holder import ConfigurationHolder
from lacewinglift.mesh.configuration_lag import ConfigurationLag
from lacewinglift.mesh.directory import Directory
from lacewinglift.mesh.evacuations import Evacuations
from lacewinglift.mesh.fleet_history import FleetHistory
from lacewinglift.mesh.fleet_limits import FleetQuota
from lacewinglift.mesh.full_heartbeats import FullHeartbeatSchedule
from lacewinglift.mesh.heartbeat_rounds import (
    HEARTBEAT_INTERVAL_S,
    HeartbeatRounds,
    round_duration_s,
)
from lacewinglift.mesh.heartbeats import (
    ACTIVE_HEARTBEAT_INTERVAL_S,
    HeartbeatExchange,
    OutgoingHeartbeat,
    Recipients,
)
from lacewinglift.mesh.hedge_capacity import crowded_targets
from lacewinglift.mesh.members import (
    DIRECT_MEMBER_TIMEOUT_S,
    MEMBER_TIMEOUT_S,
    Member,
    MemberTable,
    PeerAddresses,
)
from lacewinglift.mesh.observer_election import (
    OBSERVER_HEARTBEAT_INTERVAL_S,
    ObserverElection,
)
from lacewinglift.mesh.observers import Codec, Observer, try_read_configuration
from lacewinglift.mesh.peer_counters import COUNT_REPEAT_S
from lacewinglift.mesh.rate_shares import RateShares
from lacewinglift.mesh.registry import TargetRegistry, from_message
from lacewinglift.mesh.relay_election import RelayElection
from lacewinglift.mesh.relaying import (
    BUNDLE_INTERVAL_S,
    DETAILS_INTERVAL_S,
    Relaying,
)
from lacewinglift.mesh.report_lease import ReportLease
from lacewinglift.mesh.resend_records import ResendRecordKeeper
from lacewinglift.mesh.retry_budgets import FleetRetryBudgets
from lacewinglift.mesh.route_priorities import check_choice, choice_for
from lacewinglift.mesh.settings import MeshSettings
from lacewinglift.mesh.snapshot_fetch_policy import SnapshotFetchPolicy
from lacewinglift.mesh.snapshot_fetcher import SnapshotFetcher
from lacewinglift.mesh.snapshots import (
    SnapshotExchange,
    SnapshotService,
    compress_snapshot,
    decompress_snapshot,
)
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.mesh.telemetry import InstrumentedStore, MeshCollector
from lacewinglift.mesh.traffic import MeshTraffic
from lacewinglift.metrics import Metrics
from lacewinglift.overload.control import OverloadControl
from lacewinglift.request_handler import RequestComponents
from lacewinglift.response_pacing import ResponsePacer
from lacewinglift.shutdown import Shutdown, ShutdownState, StopReport
from lacewinglift.timers import ThreadTimers, Timers

HOUSEKEEPING_INTERVAL_S = 0.25
# Idle connections are closed after this time once no new ones are accepted. It is
# short, so that the last requests on them have time to finish before the stop bound.
DRAINING_IDLE_TIMEOUT_S = 0.2
# Time for worker threads to end once all requests are finished or cut.
WORKER_SHUTDOWN_TIMEOUT_S = 0.2
# Limit of the peers named in one heartbeat, so that its size does not grow with the
# fleet. It is higher in heartbeats to instances that have just joined, so that those
# that start together find each other at once.
MAX_GOSSIPED_PEERS = 6
MAX_GOSSIPED_PEERS_TO_NEWCOMERS = 48
MAX_STORE_AGE_MS = 2**31
# Bound of the limits in a description, whose fields have 32 bits.
MAX_STATED_LIMIT = 2**31
# Part of the rate for which callers are sent to one more instance, from which on an
# instance counts as active although callers are not sent to it, or no longer.
ACTIVE_RATE_FRACTION = 0.25


class AlwaysStanding:
    """Standing that permits keyed routes also while the instance is partitioned."""

    def refusal(self) -> str | None:
        """Return None: keyed routes are never refused."""
        return None


class MeshInstance:
    """One instance of the mesh; `start` and `stop` are called once each.

    Parameters
    ----------
    settings : MeshSettings
        Settings.
    codec : Codec
        Decodes the values of the store.
    dialect : Dialect
        Header names of callers and targets.
    timers : Timers, default=None
        Clock and scheduler; a `ThreadTimers` by default.

    Raises
    ------
    SettingsError
        If no store driver has the name that the settings give.
    """

    def __init__(
        self,
        settings: MeshSettings,
        codec: Codec,
        dialect: Dialect,
        timers: Timers | None = None,
    ) -> None:
        check_choice(settings.target_choice)
        self.settings = settings
        self.codec = codec
        self.timers = timers or ThreadTimers()
        self.incarnation = self.timers.wall_ms()
        self.sequence = 0
        self.full_heartbeats = FullHeartbeatSchedule()
        self.evidence_number = 0
        """Number of the last event that was sent to the active instances."""
        self.chooses_for_large_fleet = False
        """Whether targets were last chosen as a large fleet calls for."""
        self.callers_served = not settings.first_start
        """Whether the fleet has served callers; at its first start there are none."""
        self.rounds = HeartbeatRounds(settings.heartbeat_address)
        self.is_followed = False
        """Whether all other instances get each periodic heartbeat of this one."""
        self.random = Random()
        self.metrics = Metrics()
        self.configuration_holder = ConfigurationHolder(self.timers)
        self.configuration_lag = ConfigurationLag(
            self.timers, self.configuration_holder.generation
        )
        self.started = threading.Event()
        self.members = MemberTable(settings.instance, self.timers)
        self.traffic = MeshTraffic()
        self.heartbeats = HeartbeatExchange(
            settings.heartbeat_address, self, self.timers, self.traffic
        )
        self.members.on_join = self._note_join
        self.joined_address: str | None = None
        """Address of the instance that joined with the heartbeat in progress."""
        self.targets = MeshTargetTable(
            self.timers,
            settings.instance,
            settings.data_centre,
            on_event=self.heartbeats.send_to_active_soon,
        )
        self.overload = OverloadControl(self.targets, settings.worker_threads)
        self.targets.on_end = self.overload.record_end
        self.targets.on_loads = self.overload.record_loads
        self.registry = TargetRegistry(self.timers, self._registry_changed)
        self.targets.on_leaving = self.registry.mark_leaving
        self.history = FleetHistory(self.timers, self.members, settings.first_start)
        self.report_lease = ReportLease(
            self.timers,
            lambda: not self.relaying.is_on(),
            lambda: len(self.members.known()) + 1,
            self.heartbeats.send_soon,
            self.heartbeats.send_to_active_soon,
        )
        self.quota = FleetQuota(
            self.timers,
            self.reachable_fraction,
            self.history,
            self.report_delay_s,
            settings.rate_tolerance,
            self.report_lease,
        )
        self.retry_budgets = FleetRetryBudgets(
            self.timers,
            settings.retry_limits,
            self.reachable_fraction,
            self.history,
        )
        self.overload.fleet.requests_of = self.retry_budgets.recent_requests
        self.hedger = Hedger(
            self.timers,
            settings.hedge_limit_percent,
            lambda service, avoided: crowded_targets(self.targets, service, avoided),
        )
        self.rate_shares = RateShares(
            self.timers,
            settings.instance,
            self._serving_names,
            self.reachable_fraction,
        )
        self.targets.regions = settings.regions
        self.targets.rate_share = self.rate_shares.rate_per_s
        self.targets.cold_targets.rate_share = self.rate_shares.warming_rate_per_s
        self.targets.cold_targets.callers_served = self._are_callers_served
        self.peer_addresses = PeerAddresses(
            self.timers, settings.seeds, settings.heartbeat_address
        )
        self.evacuations = Evacuations(self.timers, self._evacuations_changed)
        self.store = self._open_store()
        self.observer = self._build_observer()
        self.fetch_policy = SnapshotFetchPolicy(
            self.timers,
            self.registry,
            self.configuration_holder.generation,
            self.observer.has_working_watch,
            self.evacuations,
        )
        self.snapshots = SnapshotExchange(
            settings.fetch_address,
            SnapshotService(self.build_snapshot, self.traffic),
            self.apply_snapshot,
            self.timers,
        )
        self.snapshot_fetcher = SnapshotFetcher(
            self.timers,
            settings.data_centre,
            self.members,
            self.fetch_policy,
            self._fetch_snapshot,
            # At the first start of the fleet no callers are there yet.
            lambda: not (self.is_started() or settings.first_start),
        )
        self.shutdown = Shutdown(
            self.timers,
            lambda: settings.leave_duration_s,
            self.heartbeats.send_soon,
            settings.stop_bound_s,
            close_while_leaving=True,
        )
        self.relaying = self._build_relaying()
        self.directory = Directory(
            settings,
            self.members,
            self.is_ready,
            self.observer.watching.is_set,
            self.retry_budgets.request_rate,
            self.timers,
        )
        self.directory.by_capacity = self._balances_load
        self.held_bytes = HeldBytes(settings.max_held_bytes)
        collector = MeshCollector(
            self.timers,
            self.members,
            self.observer.contact,
            self.configuration_holder,
            self.registry,
            self.targets,
            self.quota,
            self.retry_budgets,
            self.store,
            self.snapshots,
            self.traffic,
            self.configuration_lag,
            self.overload,
            self.held_bytes,
            self.hedger,
        )
        self.metrics.registry.register(collector)
        self.frontend = Frontend(settings, self._build_request_components(dialect))
        self.frontend.server.shutdown_timeout = WORKER_SHUTDOWN_TIMEOUT_S
        self.frontend.server.draining_idle_timeout_s = DRAINING_IDLE_TIMEOUT_S

    def _open_store(self) -> InstrumentedStore:
        settings = self.settings
        driver = STORE_DRIVERS.get(settings.store_driver)
        if driver is None:
            known = ", ".join(sorted(STORE_DRIVERS))
            raise SettingsError(
                f"store_driver {settings.store_driver!r} is not known; use one of "
                f"{known}"
            )
        return InstrumentedStore(driver(settings.store_address), self.timers)

    def _build_observer(self) -> Observer:
        settings = self.settings
        election = ObserverElection(
            self.members,
            settings.data_centre,
            self.timers,
            lambda: self.shutdown.in_progress(),
        )
        return Observer(
            self.store,
            self.codec,
            self.registry,
            election,
            self.apply_configuration,
            self.peer_addresses.add,
            settings.heartbeat_address,
            self.timers,
            self.is_started,
            read_immediately=not settings.first_start,
            on_role_change=self.heartbeats.send_soon,
            evacuations=self.evacuations,
            resend_record=ResendRecordKeeper(
                self.timers, self.retry_budgets, settings.retry_limits.window_s
            ),
            target_heartbeat_interval_s=settings.target_heartbeat_interval_s,
            change_bounds=settings.change_bounds,
        )

    def _build_relaying(self) -> Relaying:
        settings = self.settings
        election = RelayElection(
            self.members,
            settings.data_centre,
            settings.link_bytes_per_s or 0.0,
            settings.relay_min_instances,
            self.timers,
            self._serving_state,
        )
        return Relaying(
            self.members,
            election,
            self,
            settings.heartbeat_address,
            self.timers,
            self.heartbeats.schedule_relayed,
        )

    def _build_request_components(self, dialect: Dialect) -> RequestComponents:
        settings = self.settings
        forwarder = Forwarder(
            self.targets,
            self.timers,
            on_attempt=self.metrics.record_attempt,
            on_retry=self.metrics.record_retry,
            on_connection=self.metrics.record_connection,
            dialect=dialect,
            make_retry_budget=self.retry_budgets.budget_for,
            pacer=ResponsePacer(self.timers, settings.link_bytes_per_s),
            overload=self.overload,
            hedger=self.hedger,
        )
        forwarder.held_bytes = self.held_bytes
        forwarder.reads_ahead = self._balances_load
        self.targets.choice.has_connection = forwarder.pools.has_idle
        forwarder.no_target_wait_s = self.targets.wait_s
        forwarder.targets_outside = self.targets.outside
        return RequestComponents(
            timers=self.timers,
            distribution=self.configuration_holder,
            standing=AlwaysStanding(),
            admission=self,
            forwarder=forwarder,
            address_book=AddressBook(settings.data_centre, list),
            shutdown=self.shutdown,
            concurrency_limiter=ConcurrencyLimiter(settings.worker_threads),
            exchange_monitor=ExchangeMonitor(self.timers),
            metrics=self.metrics,
            dialect=dialect,
            cancel_on_access_loss=False,
            wait_for_configuration=self.started.wait,
        )

    def start(self) -> None:
        """Start all components; raises OSError if an address is in use."""
        self.snapshots.start()
        self.heartbeats.start()
        self.frontend.start()
        self.observer.start()
        self.timers.subscribe(HOUSEKEEPING_INTERVAL_S, self._run_housekeeping)
        self.timers.subscribe(
            OBSERVER_HEARTBEAT_INTERVAL_S, self._send_observer_heartbeat
        )
        self.timers.subscribe(LEFT_OUT_REPORT_INTERVAL_S, report_left_out)
        log_info(
            "instance_started",
            incarnation=self.incarnation,
            callers=self.settings.caller_address,
        )

    def stop(self) -> StopReport:
        """Stop gracefully and return a report of the requests that were cut."""
        report = self.shutdown.run(self.frontend)
        self.observer.stop()
        self.heartbeats.stop()
        self.snapshots.stop()
        self.timers.stop()
        return report

    def reachable_fraction(self) -> float:
        """Return the reachable fraction of the fleet, this instance included."""
        if not self.history.has_heard_all():
            return self.members.reachable_fraction(len(self.peer_addresses.known()))
        relayed = self.relaying.is_on()
        timeout_s = MEMBER_TIMEOUT_S if relayed else DIRECT_MEMBER_TIMEOUT_S
        return self.members.reachable_fraction(timeout_s=timeout_s)

    def report_delay_s(self) -> float:
        """Return the time that counts of other instances take to get here."""
        if self.relaying.is_on():
            return DETAILS_INTERVAL_S + BUNDLE_INTERVAL_S
        return self.heartbeats.active_interval_s

    def is_started(self) -> bool:
        """Return whether this instance has a configuration and the targets."""
        return self.configuration_holder.current() is not None and self.registry.ready

    def is_ready(self) -> bool:
        """Return whether callers should be sent to this instance."""
        serving = self.shutdown.state is ShutdownState.SERVING
        return serving and self.is_started()

    def _balances_load(self) -> bool:
        """Return whether the configuration calls for balancing under load."""
        return self.targets.choice_name == COMPLETION_TIME

    def _update_started(self) -> None:
        if self.is_started() and not self.started.is_set():
            self.started.set()
            log_info(
                "instance_ready", generation=self.configuration_holder.generation()
            )

    def admit(self, workspace: object) -> Decision:
        """Decide whether one more request of a workspace is admitted."""
        self._schedule_active_heartbeat()
        return self.quota.admit(workspace)

    def is_active(self) -> bool:
        """Return whether this instance has a share of the callers' requests.

        Other instances get a few requests too, by which operators test the
        configuration. These do not count, or all instances of a fleet would exchange
        frequent heartbeats.
        """
        if self.directory.selects_own_instance():
            return True
        rate_per_s = self.retry_budgets.own_request_rate_per_s()
        return rate_per_s >= ACTIVE_RATE_FRACTION * self.settings.instance_rate_per_s

    def _serving_names(self) -> list[str]:
        """Return the instances that share the rates that targets take."""
        names = [
            member.name
            for member in self.members.active()
            if member.heartbeat.state == beats_pb2.SERVING
        ]
        if self.is_ready() and self.is_active():
            names.append(self.settings.instance)
        return names

    def _schedule_active_heartbeat(self) -> None:
        # Where heartbeats are relayed, one more costs two or three datagrams only.
        reports_soon = self.is_active() or self.report_lease.is_sharing()
        if reports_soon or self.relaying.is_on():
            self.heartbeats.schedule_active_heartbeat()

    # ---- configuration and registry ----

    def apply_configuration(self, value: bytes) -> None:
        """Apply a configuration if it is valid and newer."""
        configuration = try_read_configuration(self.codec, value)
        lag_s = self.configuration_lag.lag_s()
        if configuration is None or not self.configuration_holder.apply_if_newer(
            configuration, value
        ):
            return
        self.quota.apply(configuration)
        self.targets.cold_targets.apply(configuration.services)
        report_unknown_regions(configuration, self.settings.regions.values())
        self._update_choice()
        if self.settings.overload_control:
            self.overload.apply(configuration)
        if configuration.idle_timeout_s is not None:
            self.frontend.server.timeout = configuration.idle_timeout_s
        log_info(
            "configuration_in_force",
            generation=configuration.generation,
            routes=len(configuration.routes),
            workspaces=len(configuration.workspaces),
            lag_s=lag_s,
        )
        self._update_started()
        self.heartbeats.send_soon()

    def _update_choice(self) -> None:
        """Choose targets as the configuration and the size of the fleet call for."""
        configuration = self.configuration_holder.current()
        if configuration is None:
            return
        self.chooses_for_large_fleet = self.relaying.was_on
        choice = choice_for(
            configuration, self.settings.target_choice, self.chooses_for_large_fleet
        )
        self.targets.use_choice(choice)

    def _are_callers_served(self) -> bool:
        """Return whether the fleet has served callers, as far as is known here."""
        if not self.callers_served:
            self.callers_served = self.retry_budgets.request_rate().per_s > 0
        return self.callers_served

    def _registry_changed(self) -> None:
        self.targets.apply(list(self.registry.targets.values()))
        self.rate_shares.forget_others(set(self.registry.targets))
        self._update_started()
        self.heartbeats.send_soon()

    def _evacuations_changed(self) -> None:
        self.targets.evacuated = self.evacuations.data_centres
        self.heartbeats.send_soon()

    def build_snapshot(self, request: beats_pb2.SnapshotRequest) -> beats_pb2.Snapshot:
        """Return those of the configuration and the registry that are newer here."""
        snapshot = beats_pb2.Snapshot()
        if self._has_newer_registry(request):
            snapshot = self.registry.snapshot()
        if request.configuration_version < self.configuration_holder.generation():
            snapshot.configuration = self.configuration_holder.serialized
        self.evacuations.write_snapshot(snapshot)
        return compress_snapshot(snapshot) if request.accepts_compressed else snapshot

    def _has_newer_registry(self, request: beats_pb2.SnapshotRequest) -> bool:
        position = self.registry.position_of(
            request.registry_revision, request.store_era
        )
        if position > self.registry.position():
            return False
        return request.registry_digest != self.registry.digest

    def apply_snapshot(self, snapshot: beats_pb2.Snapshot) -> None:
        """Apply a snapshot that was fetched from another instance."""
        if snapshot.compressed:
            snapshot = decompress_snapshot(snapshot)
        # Before the configuration, with which this instance begins to serve.
        self.evacuations.apply_snapshot(snapshot)
        if snapshot.configuration:
            self.apply_configuration(snapshot.configuration)
        if snapshot.registry_revision:
            targets = [from_message(each) for each in snapshot.targets]
            self.registry.apply_snapshot(
                targets, snapshot.registry_revision, snapshot.store_era
            )

    # ---- heartbeats ----

    def build_heartbeats(self, recipients: Recipients) -> list[OutgoingHeartbeat]:
        """Return the next heartbeats of this instance to a group of instances."""
        if recipients is Recipients.RELAYED:
            return [
                OutgoingHeartbeat(each.heartbeat, each.addresses)
                for each in self.relaying.build()
            ]
        if recipients is Recipients.ACTIVE:
            return self._build_active_heartbeats()
        if recipients is Recipients.DATA_CENTRE:
            near = self._addresses_in_data_centre()
            return [OutgoingHeartbeat(self._build_minimal_heartbeat(), near)]
        newcomers = self.full_heartbeats.take_newcomers()
        if newcomers and self.relaying.greet_all(newcomers):
            newcomers = []
        outgoing = []
        if newcomers:
            welcome = self._build_full_heartbeat(
                self._build_brief_heartbeat(),
                MAX_GOSSIPED_PEERS_TO_NEWCOMERS,
                with_levels=True,
            )
            outgoing.append(OutgoingHeartbeat(welcome, newcomers))
        if recipients is Recipients.ALL:
            self.relaying.update()
            outgoing += self._build_periodic_heartbeats(set(newcomers))
        return outgoing

    def _build_active_heartbeats(self) -> list[OutgoingHeartbeat]:
        """Return the heartbeats to the instances that serve callers."""
        self.heartbeats.min_active_interval_s = (
            ACTIVE_HEARTBEAT_INTERVAL_S
            if self.relaying.sends_details()
            else DETAILS_INTERVAL_S
        )
        brief = self._build_brief_heartbeat()
        self.quota.record_report(brief.usages)
        self.relaying.note_own(brief)
        active = self._report_recipients()
        detailed = self.relaying.for_details(active)
        outgoing = [_outgoing(brief, detailed)]
        number = max((each.number for each in brief.evidence), default=0)
        if number > self.evidence_number and not self.relaying.sends_details():
            names = {member.name for member in detailed}
            others = [m for m in self.relaying.direct(active) if m.name not in names]
            outgoing.append(_outgoing(self._without_details(brief), others))
        self.evidence_number = number
        return outgoing

    def _report_recipients(self) -> list[Member]:
        """Return the instances that get each report of use and evidence."""
        active = self.members.active()
        names = {member.name for member in active}
        sharing = self.members.sharing_limits()
        return active + [member for member in sharing if member.name not in names]

    def _without_details(self, brief: beats_pb2.Beat) -> beats_pb2.Beat:
        """Return a heartbeat without the counts and loads that relays pass on."""
        heartbeat = beats_pb2.Beat()
        heartbeat.CopyFrom(brief)
        for name in ("usages", "resends", "loads"):
            heartbeat.ClearField(name)
        heartbeat.loads_omitted = True
        return heartbeat

    def _build_periodic_heartbeats(self, greeted: set[str]) -> list[OutgoingHeartbeat]:
        """Return the heartbeats of this second, except to `greeted` addresses."""
        was_followed = self.is_followed
        self.is_followed = self._must_be_followed()
        # The last one to all tells them that others come in turn.
        to_all = self.is_followed or was_followed
        active = self.members.active() if self.members.sends_to_active_often() else []
        preferred = self.relaying.for_details(active)
        recipients = self.rounds.next_recipients(
            self._direct_addresses() - greeted,
            [member.description.beat_address for member in preferred],
            to_all or self.full_heartbeats.is_next_for_all(),
        )
        self.full_heartbeats.sent += 1
        return [
            *self._build_for_round(recipients.each_time, in_turn=False),
            *self._build_for_round(recipients.in_turn, in_turn=True),
        ]

    def _build_for_round(
        self, addresses: Sequence[str], in_turn: bool
    ) -> list[OutgoingHeartbeat]:
        """Return a full and a brief heartbeat, each to some of the addresses."""
        if not addresses:
            return []
        brief = self._build_brief_heartbeat(in_turn)
        if not in_turn:
            self.quota.record_report(brief.usages)
        self.relaying.note_own(brief)
        full_recipients, others = self.full_heartbeats.split(addresses)
        full = self._build_full_heartbeat(brief, MAX_GOSSIPED_PEERS)
        outgoing = [OutgoingHeartbeat(full, full_recipients)]
        if not self.relaying.sends_details():
            detailed = {
                member.description.beat_address
                for member in self.relaying.for_details(self.members.known())
            }
            light = [each for each in others if each not in detailed]
            outgoing.append(OutgoingHeartbeat(self._without_details(brief), light))
            others = [each for each in others if each in detailed]
        return [*outgoing, OutgoingHeartbeat(brief, others)]

    def _must_be_followed(self) -> bool:
        """Return whether all others must learn at once what this instance reports."""
        return self.observer.watching.is_set() or self._serving_state() != (
            beats_pb2.SERVING
        )

    def _heartbeat_interval_s(self) -> float:
        """Return the time within which each other instance gets a heartbeat."""
        if self.is_followed:
            return HEARTBEAT_INTERVAL_S
        return round_duration_s(len(self._direct_addresses()))

    def _build_minimal_heartbeat(self, with_loads: bool = True) -> beats_pb2.Beat:
        """Build a heartbeat that tells the state of this instance and no events.

        Receivers take loads that are left out as zero.
        """
        self.sequence += 1
        is_active = self.is_active()
        self.members.record_own_activity(is_active)
        store_age_s = self.observer.contact.age_s()
        heartbeat = beats_pb2.Beat(
            instance=self.settings.instance,
            incarnation=self.incarnation,
            sequence=self.sequence,
            state=self._serving_state(),
            configuration_version=self.configuration_holder.generation(),
            registry_digest=self.registry.digest,
            registry_revision=self.registry.revision,
            store_era=self.registry.era,
            store_age_ms=min(int(min(store_age_s, 1e6) * 1000), MAX_STORE_AGE_MS),
            observer=self.observer.watching.is_set(),
            loads=self.targets.loads() if with_loads else [],
            loads_omitted=not with_loads and self.relaying.is_on(),
            active=is_active,
            shares_limits=self.report_lease.is_sharing(),
            history_ms=self.history.own_ms(),
            relays_to=self.relaying.relays_to,
            failing_services=sorted(self.targets.failing_services()),
        )
        interval_s = self._heartbeat_interval_s()
        if interval_s > HEARTBEAT_INTERVAL_S:
            heartbeat.interval_ms = int(interval_s * 1000)
        self.evacuations.write_heartbeat(heartbeat)
        return heartbeat

    def _build_brief_heartbeat(self, in_turn: bool = False) -> beats_pb2.Beat:
        """Build a heartbeat; one to instances in turn covers the time of a round."""
        # Loads are of no use to instances that hear of them only in their turn.
        heartbeat = self._build_minimal_heartbeat(with_loads=not in_turn)
        repeat_s = COUNT_REPEAT_S
        if in_turn:
            round_s = self._heartbeat_interval_s() + HEARTBEAT_INTERVAL_S
            repeat_s = max(COUNT_REPEAT_S, round_s)
        heartbeat.evidence.extend(self.targets.evidence())
        heartbeat.shedding.extend(self.targets.shedding.messages())
        if heartbeat.interval_ms:
            # In a small fleet, all miss an instance at the same time.
            heartbeat.lost.extend(self.members.lost_active())
        if heartbeat.loads:
            self._schedule_active_heartbeat()
        heartbeat.usages.extend(self.quota.usages(full=False, repeat_s=repeat_s))
        heartbeat.resends.extend(
            self.retry_budgets.resend_counts(full=False, repeat_s=repeat_s)
        )
        heartbeat.rate_limits.extend(self.targets.rate_limits(full=False))
        return heartbeat

    def _build_full_heartbeat(
        self, brief: beats_pb2.Beat, max_peers: int, with_levels: bool = False
    ) -> beats_pb2.Beat:
        """Add all counts, the description of this instance and addresses of peers."""
        heartbeat = beats_pb2.Beat()
        heartbeat.CopyFrom(brief)
        heartbeat.ClearField("usages")
        heartbeat.ClearField("resends")
        heartbeat.ClearField("rate_limits")
        heartbeat.usages.extend(self.quota.usages(full=True, with_levels=with_levels))
        heartbeat.resends.extend(self.retry_budgets.resend_counts(full=True))
        heartbeat.rate_limits.extend(self.targets.rate_limits(full=True))
        heartbeat.description.CopyFrom(self._describe())
        heartbeat.latencies.extend(self.hedger.reports())
        earlier = self.retry_budgets.earlier_resends()
        if earlier is not None:
            heartbeat.earlier_resends.CopyFrom(earlier)
        reachable = self.members.reachable()
        self.random.shuffle(reachable)
        heartbeat.peers.extend(
            member.description.beat_address for member in reachable[:max_peers]
        )
        return heartbeat

    def _describe(self) -> beats_pb2.Description:
        settings = self.settings
        return beats_pb2.Description(
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            beat_address=settings.heartbeat_address,
            fetch_address=settings.fetch_address,
            bundles_heartbeats=settings.relay_min_instances > 0,
            link_bytes_per_s=int(
                min(settings.link_bytes_per_s or 0.0, MAX_STATED_LIMIT)
            ),
            processor_millicores=int(
                min((settings.processor_cores or 0.0) * 1000, MAX_STATED_LIMIT)
            ),
        )

    # ---- relayed heartbeats ----

    def build_beacon(self) -> beats_pb2.Beat:
        """Return a heartbeat with the state of this instance only."""
        return self._build_minimal_heartbeat()

    def build_own_heartbeat(self) -> beats_pb2.Beat:
        """Return a heartbeat with the recent counts and events of this instance."""
        return self._build_brief_heartbeat()

    def build_welcome(self, peers: Sequence[str]) -> beats_pb2.Beat:
        """Return a heartbeat to instances that have just joined."""
        heartbeat = self._build_full_heartbeat(
            self._build_brief_heartbeat(), MAX_GOSSIPED_PEERS, with_levels=True
        )
        if peers:
            del heartbeat.peers[:]
            heartbeat.peers.extend(peers)
        return heartbeat

    def add_counts(self, heartbeat: beats_pb2.Beat) -> None:
        """Add the description and all known counts of the sender to a heartbeat."""
        name, incarnation = heartbeat.instance, heartbeat.incarnation
        heartbeat.ClearField("usages")
        heartbeat.ClearField("resends")
        if name == self.settings.instance:
            heartbeat.description.CopyFrom(self._describe())
            heartbeat.usages.extend(self.quota.usages(full=True, with_levels=False))
            heartbeat.resends.extend(self.retry_budgets.resend_counts(full=True))
            return
        member = self.members.find(name)
        if member is not None:
            heartbeat.description.CopyFrom(member.description)
        heartbeat.usages.extend(self.quota.peer_usages(name, incarnation))
        heartbeat.resends.extend(
            self.retry_budgets.peer_resend_counts(name, incarnation)
        )

    def _serving_state(self) -> int:
        if self.shutdown.state is not ShutdownState.SERVING:
            return beats_pb2.DRAINING
        return beats_pb2.SERVING if self.is_ready() else beats_pb2.BOOTING

    def _addresses_in_data_centre(self) -> list[str]:
        descriptions = [member.description for member in self.members.known()]
        return [
            each.beat_address
            for each in descriptions
            if each.data_centre == self.settings.data_centre
        ]

    def _send_observer_heartbeat(self) -> None:
        """Let the data centre know that this instance still watches the store."""
        if self.observer.watching.is_set():
            self.heartbeats.send_to_data_centre()

    def _known_addresses(self) -> set[str]:
        known = {member.description.beat_address for member in self.members.known()}
        return known | self.peer_addresses.known()

    def _direct_addresses(self) -> set[str]:
        """Return the addresses that get heartbeats from this instance itself."""
        return self.relaying.direct_addresses(self._known_addresses())

    def _note_join(self, address: str) -> None:
        self.joined_address = address

    def _welcome(self, member: Member, relayed: bool) -> None:
        """Send a full heartbeat soon to a member that has just joined."""
        if self.relaying.greet(member, relayed):
            return
        address = member.description.beat_address
        self.full_heartbeats.add_newcomer(address)
        self.heartbeats.send_to_newcomers_soon()

    def receive_heartbeat(self, heartbeat: beats_pb2.Beat) -> None:
        """Process a heartbeat of another instance, or a bundle of them."""
        if heartbeat.HasField("bundle"):
            self.relaying.receive_bundle(heartbeat.bundle)
        else:
            self.apply_heartbeat(heartbeat, relayed=False)

    def apply_heartbeat(self, heartbeat: beats_pb2.Beat, relayed: bool) -> None:
        """Process a heartbeat of another instance.

        Parameters
        ----------
        heartbeat : Beat
            The heartbeat.
        relayed : bool
            Whether it came through another instance.
        """
        self.joined_address = None
        member = self.members.receive(heartbeat)
        if member is None:
            if relayed:
                self._apply_late_details(heartbeat)
            return
        joined = self.joined_address is not None
        if joined:
            self._welcome(member, relayed)
        if not relayed:
            self.relaying.note(member, heartbeat, joined)
        self.peer_addresses.add([member.description.beat_address, *heartbeat.peers])
        self.members.record_losses(heartbeat)
        self._apply_details(member, heartbeat)
        self.hedger.record_peer_reports(heartbeat)
        self.configuration_lag.record(heartbeat.configuration_version)
        self.snapshot_fetcher.process_heartbeat(heartbeat)

    def _apply_details(self, member: Member, heartbeat: beats_pb2.Beat) -> None:
        """Apply the counts, events and loads that another instance reports."""
        if not heartbeat.loads_omitted or heartbeat.usages or heartbeat.resends:
            member.details_sequence = heartbeat.sequence
            self._record_report(member)
        self.quota.record_peer_usage(heartbeat)
        self.retry_budgets.record_peer_resends(heartbeat)
        member.last_evidence_number = self.targets.record_peer_evidence(
            heartbeat, member.last_evidence_number
        )
        self.targets.record_peer_rate_limits(heartbeat)

    def _record_report(self, member: Member) -> None:
        """Record the time since the last report of an instance that serves callers."""
        now = self.timers.now()
        if member.reported_at_s is not None and member.heartbeat.active:
            self.traffic.report_intervals.record(now - member.reported_at_s)
        member.reported_at_s = now

    def _apply_late_details(self, heartbeat: beats_pb2.Beat) -> None:
        """Apply details that came through a relay, after newer state came directly."""
        member = self.members.find(heartbeat.instance)
        if member is None or member.heartbeat.incarnation != heartbeat.incarnation:
            return
        if heartbeat.sequence >= member.details_sequence:
            self._apply_details(member, heartbeat)
            return
        # Counts only rise, but the rest is outdated.
        self.quota.record_peer_usage(heartbeat)

    def _fetch_snapshot(self, sources: Sequence[beats_pb2.Description]) -> None:
        request = beats_pb2.SnapshotRequest(
            configuration_version=self.configuration_holder.generation(),
            registry_digest=self.registry.digest,
            registry_revision=self.registry.revision,
            store_era=self.registry.era,
            accepts_compressed=True,
        )
        addresses = [source.fetch_address for source in sources]
        self.snapshots.fetch(addresses, request)

    def _run_housekeeping(self) -> None:
        if self.overload.services:
            instances = len(self._serving_names())
            self.overload.update_fleet(instances, self.reachable_fraction())
        if self.relaying.was_on != self.chooses_for_large_fleet:
            self._update_choice()
        self.members.remove_unreachable()
        if self.members.reachable():
            self.peer_addresses.expire()
        self.observer.remove_expired_targets()
        self.targets.shedding.remove_expired()
        # Callers may pause before the next target is seen.
        self._are_callers_served()
        if self.registry.ready:
            self.evacuations.report_unknown(self.targets.count_by_data_centre())
        self.configuration_lag.report(
            self.snapshots.failed_fetches, len(self.members.reachable())
        )


def _outgoing(
    heartbeat: beats_pb2.Beat, members: Sequence[Member]
) -> OutgoingHeartbeat:
    addresses = [member.description.beat_address for member in members]
    return OutgoingHeartbeat(heartbeat, addresses)
