"""The control plane of an instance: one asyncio loop on its own thread."""

import asyncio
import threading

from lacewinglift.admission import LENDER_LOAN_LIFETIME_S, AdmissionController
from lacewinglift.allocator import Allocator
from lacewinglift.configuration import Configuration
from lacewinglift.distribution import Distribution
from lacewinglift.errors import ConfigurationError, PeerError
from lacewinglift.generated import fleet_pb2
from lacewinglift.identity import Identity
from lacewinglift.ledger import LocalLedger
from lacewinglift.ledger_writer import LedgerWriter
from lacewinglift.logs import log_exception, log_info, log_warning
from lacewinglift.loops import LoopRunner
from lacewinglift.members import HEARTBEAT_INTERVAL_S, Members
from lacewinglift.peers import (
    CALL_TIMEOUT_S,
    Dialer,
    Links,
    PeerClient,
    PeerService,
    serve_peers,
)
from lacewinglift.standing import Standing
from lacewinglift.statuses import status_reply
from lacewinglift.store import Store
from lacewinglift.store_reader import StoreReader
from lacewinglift.targets import TargetTable
from lacewinglift.timers import Timers

# Small enough that two unreachable lenders can be tried before one that replies,
# within the time that a request waits for a loan.
BORROW_TIMEOUT_S = 0.1
SHARE_RELEASE_POLL_INTERVAL_S = 0.1
# Slightly longer than the lifetime of a loan at its lender.
LOAN_EXPIRY_DELAY_S = LENDER_LOAN_LIFETIME_S + 0.01
# The allocator releases the shares of a leaving instance in two writes, at most half a
# second apart, each after at most one heartbeat.
SHARE_RELEASE_TIMEOUT_S = 4.0


class ControlPlane:
    """Runs membership, standing, configuration distribution and quota allocation.

    Parameters
    ----------
    identity : Identity
        This instance.
    store_address : str
        ``host:port`` of the store.
    seeds : list of str
        Peer addresses to dial in addition to those of the known members.
    targets : TargetTable
        Targets of the data plane; exchanges suspicions with the peers.
    timers : Timers
        Timer service.
    """

    def __init__(
        self,
        identity: Identity,
        store_address: str,
        seeds: list[str],
        targets: TargetTable,
        timers: Timers,
    ) -> None:
        self.identity = identity
        self.seeds = list(seeds)
        self.targets = targets
        self.timers = timers
        self.members = Members(identity, timers)
        self.standing = Standing(identity, self.members, timers)
        self.peer_client = PeerClient()
        self.links = Links(timers)
        self.distribution = Distribution(identity.fleet, self.peer_client)
        self.local_ledger = LocalLedger(identity, timers)
        self.admission = AdmissionController(
            local_ledger=self.local_ledger,
            timers=timers,
            standing_refusal=self.standing.refusal,
            borrow=self.borrow_from,
        )
        self.allocator = Allocator(identity.cell)
        self.store_address = store_address
        self.dump_state = lambda: "{}"
        self.fetches_in_progress: set[str] = set()
        self.background_tasks: set[asyncio.Task] = set()
        self.runner = LoopRunner("control", self._main)
        self.distribution.subscribe(self._apply_configuration)

    def start(self) -> None:
        """Start the loop; raises the error that prevented it from listening."""
        self.runner.start()

    def stop(self) -> None:
        """Cancel all tasks, close the streams and stop the loop."""
        self.runner.stop()

    def set_state(self, state: fleet_pb2.InstanceState) -> None:
        """Set the state of this instance and send it to all peers."""
        self.identity.state = state
        self.runner.loop.call_soon_threadsafe(self.links.trigger_heartbeats)

    def wait_for_share_release(self) -> None:
        """Wait until the ledger no longer names this instance.

        Waits for at most `SHARE_RELEASE_TIMEOUT_S`. The other instances fence
        shares that are not released by then.
        """
        deadline_s = self.timers.now() + SHARE_RELEASE_TIMEOUT_S
        waiting = threading.Event()
        while self.timers.now() < deadline_s and self._holds_shares():
            waiting.wait(SHARE_RELEASE_POLL_INTERVAL_S)

    def borrow_from(
        self, member: fleet_pb2.Member, workspace: str, tokens: int
    ) -> int | None:
        """Borrow tokens of a workspace; None if the lender did not reply in time."""
        request = fleet_pb2.BorrowRequest(
            workspace=workspace,
            tokens=tokens,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
        )
        future = asyncio.run_coroutine_threadsafe(
            self._borrow(member.peer_address, request), self.runner.loop
        )
        try:
            return future.result(BORROW_TIMEOUT_S)
        except TimeoutError:
            future.cancel()
            log_info("loan_failed", peer=member.instance, reason="no reply in time")
            return None

    # PeerHandler: calls and heartbeats of other instances.

    async def fetch_configuration(
        self, request: fleet_pb2.FetchConfigurationRequest
    ) -> fleet_pb2.FetchConfigurationReply:
        """Return the manifest and the requested segments."""
        return self.distribution.build_reply(request)

    async def fetch_ledger(
        self, request: fleet_pb2.FetchLedgerRequest
    ) -> fleet_pb2.FetchLedgerReply:
        """Return the ledger if it is newer than the caller's version."""
        ledger = self.local_ledger.ledger()
        if ledger.version <= request.newer_than_version:
            return fleet_pb2.FetchLedgerReply()
        return fleet_pb2.FetchLedgerReply(ledger=ledger)

    async def offer_configuration(
        self, request: fleet_pb2.OfferConfigurationRequest
    ) -> fleet_pb2.OfferConfigurationReply:
        """Apply a configuration that the store has accepted."""
        segments = {segment.sha256: segment.content for segment in request.segments}
        try:
            await self.distribution.offer(request.manifest, segments)
        except ConfigurationError as error:
            log_warning("offered_configuration_refused", reason=error)
        return fleet_pb2.OfferConfigurationReply(
            generation=self.distribution.generation()
        )

    async def borrow(self, request: fleet_pb2.BorrowRequest) -> fleet_pb2.BorrowReply:
        """Lend tokens of a workspace's quota."""
        return self.admission.lend(request)

    def status(self) -> fleet_pb2.GetStatusReply:
        """Return the status of this instance and of its peers."""
        return status_reply(self.members, self.timers.now())

    def dump(self) -> str:
        """Return the state of this instance as JSON."""
        return self.dump_state()

    def on_heartbeat(self, heartbeat: fleet_pb2.Heartbeat) -> None:
        """Apply suspicions, fetch what is newer at the peer, and update standing."""
        self.targets.record_peer_suspicions(
            heartbeat.instance, list(heartbeat.suspicions)
        )
        record = self.members.peers.get(heartbeat.instance)
        address = record.peer_address if record is not None else ""
        if address and heartbeat.generation > self.distribution.generation():
            self._start_fetch("configuration", address, heartbeat.generation)
        if address and heartbeat.ledger_version > self.local_ledger.ledger().version:
            self._start_fetch("ledger", address, heartbeat.ledger_version)
        self.standing.update_if_stale()

    # Coroutines and callbacks of the loop.

    async def _main(self) -> None:
        store = Store(self.store_address, self.timers)
        self.store = store
        self.store_reader = StoreReader(
            self.identity,
            store,
            self.members,
            self.standing,
            self.distribution,
            self.timers,
            self.apply_ledger,
        )
        ledger_writer = LedgerWriter(
            self.identity,
            store,
            self.store_reader,
            self.members,
            self.distribution,
            self.allocator,
            self.timers,
        )
        dialer = Dialer(self.identity, self.members, self.links, self)
        service = PeerService(self.links, self.members, self)
        server = await serve_peers(service, self.identity.peer_address)
        self.runner.started.set()
        tasks = [
            asyncio.create_task(self.store_reader.run()),
            asyncio.create_task(ledger_writer.run()),
            asyncio.create_task(self._run_ticks(dialer)),
        ]
        await self.runner.stopping.wait()
        for task in [*tasks, *self.background_tasks]:
            task.cancel()
        await asyncio.gather(*tasks, *self.background_tasks, return_exceptions=True)
        await dialer.close()
        await self.store_reader.close()
        server.close()
        await server.wait_closed()
        self.peer_client.close()
        store.close()

    async def _run_ticks(self, dialer: Dialer) -> None:
        while True:
            try:
                self.members.demands = {
                    demand.workspace: demand.milli_tokens_per_s / 1000
                    for demand in self.admission.demands()
                }
                self.members.ledger_version = self.local_ledger.effective_version()
                self.members.target_suspicions = self.targets.suspicions()
                self.members.tick()
                self.standing.update()
                self.links.close_silent()
                self.links.trigger_heartbeats()
                dialer.update(self.seeds + self.store_reader.platform_addresses)
            except Exception:
                log_exception("control_tick_failed")
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def apply_ledger(self, ledger: fleet_pb2.Ledger) -> None:
        """Apply a ledger from the store or a peer if it is newer."""
        if not self.local_ledger.apply(ledger):
            return
        if self.local_ledger.is_fenced():
            self.identity.renew_incarnation(self.timers.wall_ms())
            self.members.reset_echoes()
            log_warning("incarnation_fenced", renewed=self.identity.incarnation)
        self.members.apply_ledger_members(list(ledger.members))
        self.standing.apply_ledger(ledger)
        self._announce_ledger()
        # By then all loans made under the previous ledger have expired, and heartbeats
        # may report the new version.
        self.runner.loop.call_later(LOAN_EXPIRY_DELAY_S, self._announce_ledger)

    def _announce_ledger(self) -> None:
        version = self.local_ledger.effective_version()
        if version != self.members.ledger_version:
            self.members.ledger_version = version
            self.standing.update()
        self.links.trigger_heartbeats()

    def _holds_shares(self) -> bool:
        members = self.local_ledger.ledger().members
        return any(member.instance == self.identity.instance for member in members)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.members.generation = configuration.generation
        self.targets.apply(configuration)
        self.admission.apply_configuration(configuration)
        self.standing.update()
        self.links.trigger_heartbeats()

    def _start_fetch(self, what: str, address: str, version: int) -> None:
        if what in self.fetches_in_progress:
            return
        self.fetches_in_progress.add(what)
        task = asyncio.create_task(self._fetch(what, address, version))
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def _fetch(self, what: str, address: str, version: int) -> None:
        try:
            if what == "configuration":
                await self.distribution.fetch_from_peer(address, version)
            else:
                await self._fetch_ledger(address)
            self.standing.update()
        except Exception:
            log_exception("fetch_failed", what=what, peer=address)
        finally:
            self.fetches_in_progress.discard(what)

    async def _fetch_ledger(self, address: str) -> None:
        request = fleet_pb2.FetchLedgerRequest(
            newer_than_version=self.local_ledger.ledger().version
        )
        try:
            reply = await self.peer_client.call(
                address, "FetchLedger", request, CALL_TIMEOUT_S
            )
        except PeerError as error:
            log_info("ledger_fetch_failed", peer=address, reason=error)
            return
        if reply.HasField("ledger"):
            self.apply_ledger(reply.ledger)

    async def _borrow(
        self, address: str, request: fleet_pb2.BorrowRequest
    ) -> int | None:
        try:
            reply = await self.peer_client.call(
                address, "Borrow", request, BORROW_TIMEOUT_S
            )
        except PeerError as error:
            log_info("loan_failed", peer=address, reason=error)
            return None
        return reply.tokens
