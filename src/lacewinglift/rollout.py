"""Rolls out a generation: offers it to instances and waits until it is in force."""

import asyncio
import json
import random
from collections.abc import Mapping, Sequence

from attrs import define, field, frozen
from google.protobuf.message import DecodeError

from lacewinglift.errors import PeerError, StoreError
from lacewinglift.generated.fleet_pb2 import (
    LEAVING,
    GetStatusRequest,
    InstanceStatus,
    Ledger,
    Manifest,
    OfferConfigurationRequest,
)
from lacewinglift.logs import log_info
from lacewinglift.peers import PeerClient
from lacewinglift.store import Store
from lacewinglift.store_reader import PLATFORM_LIST_PREFIX, ledger_key
from lacewinglift.timers import Timers

CALL_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.25
LIST_INTERVAL_S = 1.0
MAX_OFFERED_INSTANCES = 100
"""Instances that are offered a generation; the others get it from peers."""
MAX_OFFERED_BYTES = 1024 * 1024
"""Above this size only the manifest is offered, and instances fetch the segments."""
MAX_CONCURRENT_CALLS = 16
UNKNOWN_INSTANCES = "instances of the platform's list, which cannot be read"


@frozen
class ListedInstance:
    """An instance from the platform's list."""

    name: str
    peer_address: str


@define
class _FleetView:
    """State of the fleet as known during a rollout."""

    addresses: dict[str, str] = field(factory=dict)
    """Peer address of each instance, by name."""
    listed_live: set[str] = field(factory=set)
    """Names of the live instances in the platform's list."""
    leaving: set[str] = field(factory=set)
    """Names of the other instances in the platform's list."""
    statuses: dict[str, InstanceStatus] = field(factory=dict)
    unanswered_addresses: set[str] = field(factory=set)
    """Given peer addresses that did not reply to the last poll."""
    list_read: bool = False
    """Whether the platform's list could be read."""
    members: set[str] = field(factory=set)
    """Instances named in ledgers. They are polled because the platform's list lags, but
    the rollout does not wait for them."""

    def record_status(self, status: InstanceStatus) -> None:
        """Record a status if it is the newest of its instance."""
        known = self.statuses.get(status.instance)
        if known is None or _freshness(status) > _freshness(known):
            self.statuses[status.instance] = status
        if status.peer_address:
            self.addresses[status.instance] = status.peer_address

    def expected_instances(self) -> set[str]:
        """Return the instances that must have the generation.

        These are the listed and the unsuspected ones, unless they are leaving.
        Instances that are starting count: before the first generation, all are.
        """
        reachable = {
            name for name, status in self.statuses.items() if not status.suspected
        }
        leaving = self.leaving | {
            name for name, status in self.statuses.items() if status.state == LEAVING
        }
        return (self.listed_live | reachable) - leaving

    def in_force(self, generation: int) -> set[str]:
        """Return the expected instances with `generation` or a later one in force."""
        return {
            name
            for name in self.expected_instances() & self.statuses.keys()
            if self.statuses[name].generation >= generation
        }

    def missing(self, generation: int) -> set[str]:
        """Return the other expected instances, and addresses that did not reply."""
        if not self.list_read and not self.statuses:
            return self.unanswered_addresses | {UNKNOWN_INSTANCES}
        known = set(self.addresses.values())
        return (self.expected_instances() - self.in_force(generation)) | (
            self.unanswered_addresses - known
        )


def _freshness(status: InstanceStatus) -> tuple[int, int, int]:
    return status.incarnation, status.generation, -status.age_ms


class Rollout:
    """Offers a generation to the instances and waits until they have applied it.

    Parameters
    ----------
    store : Store
        Store with the platform's list and the ledgers.
    peer_addresses : sequence of str
        Peer addresses of instances to offer to and to poll in any case.
    timers : Timers
        Clock.
    """

    def __init__(
        self, store: Store, peer_addresses: Sequence[str], timers: Timers
    ) -> None:
        self.store = store
        self.peer_addresses = list(peer_addresses)
        self.timers = timers
        self.view = _FleetView()
        self.peer_client = PeerClient()
        self.call_limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def run(
        self, manifest: Manifest, segments: Mapping[bytes, bytes], wait_s: float
    ) -> tuple[list[str], list[str]]:
        """Offer a manifest and wait for up to `wait_s` until it is in force everywhere.

        Returns
        -------
        tuple of list of str
            Instances that have it in force, and instances that do not.
        """
        view = self.view
        deadline_s = self.timers.now() + wait_s
        try:
            await self._offer(view, manifest, segments)
            await self._wait_until_in_force(view, manifest.generation, deadline_s)
        finally:
            self.peer_client.close()
        generation = manifest.generation
        return sorted(view.in_force(generation)), sorted(view.missing(generation))

    async def read_list(self) -> None:
        """Read the platform's list of instances.

        If it cannot be read, the expected instances are those that the statuses
        name. Call this before a generation is accepted, so that the instances are
        known if the store fails right afterwards.
        """
        view = self.view
        try:
            entries = await self.store.list_prefix(PLATFORM_LIST_PREFIX)
        except StoreError as error:
            log_info("instance_list_unavailable", reason=error)
            return
        view.list_read = True
        view.listed_live.clear()
        view.leaving.clear()
        for entry in entries:
            name = entry.key.removeprefix(PLATFORM_LIST_PREFIX)
            state, address = _parse_listed(entry.value)
            (view.listed_live if state == "live" else view.leaving).add(name)
            if address:
                view.addresses[name] = address

    async def read_ledgers(self, fleet: str, cells: Sequence[str]) -> None:
        """Read which instances hold quota shares; the platform's list may lag."""
        for cell in cells:
            try:
                entry = await self.store.get(ledger_key(fleet, cell))
                ledger = Ledger.FromString(entry.value if entry else b"")
            except (StoreError, DecodeError) as error:
                log_info("ledger_unavailable", cell=cell, reason=error)
                continue
            for member in ledger.members:
                self.view.members.add(member.instance)
                self.view.addresses.setdefault(member.instance, member.peer_address)

    async def _offer(
        self, view: _FleetView, manifest: Manifest, segments: Mapping[bytes, bytes]
    ) -> None:
        request = OfferConfigurationRequest(manifest=manifest)
        if sum(map(len, segments.values())) <= MAX_OFFERED_BYTES:
            for sha256, content in segments.items():
                request.segments.add(sha256=sha256, content=content)
        listed = sorted(
            address
            for name, address in view.addresses.items()
            if name in view.listed_live | view.members
            and address not in self.peer_addresses
        )
        if len(listed) > MAX_OFFERED_INSTANCES:
            listed = random.sample(listed, MAX_OFFERED_INSTANCES)
        addresses = [*self.peer_addresses, *listed]
        await asyncio.gather(
            *(self._call(each, "OfferConfiguration", request) for each in addresses)
        )

    async def _wait_until_in_force(
        self, view: _FleetView, generation: int, deadline_s: float
    ) -> None:
        next_list_at_s = self.timers.now() + LIST_INTERVAL_S
        while True:
            await self._poll(view, generation)
            if not view.missing(generation) or self.timers.now() >= deadline_s:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.timers.now() >= next_list_at_s:
                next_list_at_s = self.timers.now() + LIST_INTERVAL_S
                await self.read_list()

    async def _poll(self, view: _FleetView, generation: int) -> None:
        """Poll instances until each one without the generation has a fresh status.

        An instance returns the statuses of its whole cell, so a few replies cover
        the fleet.
        """
        # Instances whose status was in a reply to this poll, be it their own reply or
        # that of a peer.
        covered: set[str] = set()
        view.unanswered_addresses.clear()
        await asyncio.gather(
            *(self._query_status(each, view, covered) for each in self.peer_addresses)
        )
        polled = set(self.peer_addresses)
        while True:
            lacking = view.missing(generation) | view.members
            lacking -= covered | view.in_force(generation)
            addresses = [view.addresses.get(name, "") for name in sorted(lacking)]
            chosen = [each for each in addresses if each and each not in polled]
            if not chosen:
                return
            batch = random.sample(chosen, min(len(chosen), MAX_CONCURRENT_CALLS))
            polled.update(batch)
            await asyncio.gather(
                *(self._query_status(each, view, covered) for each in batch)
            )

    async def _query_status(
        self, address: str, view: _FleetView, covered: set[str]
    ) -> None:
        reply = await self._call(address, "GetStatus", GetStatusRequest())
        if reply is None:
            if address in self.peer_addresses:
                view.unanswered_addresses.add(address)
            return
        for status in (reply.self, *reply.peers):
            view.record_status(status)
            covered.add(status.instance)

    async def _call(self, address: str, method: str, request: object) -> object:
        async with self.call_limit:
            try:
                return await self.peer_client.call(
                    address, method, request, CALL_TIMEOUT_S
                )
            except PeerError as error:
                log_info("instance_not_reached", peer=address, reason=error)
                return None


def _parse_listed(value: bytes) -> tuple[str, str]:
    """Return the state and the peer address in an entry of the platform's list."""
    try:
        entry = json.loads(value)
        return str(entry.get("state", "live")), str(entry.get("peer_address", ""))
    except (ValueError, AttributeError):
        return "live", ""
