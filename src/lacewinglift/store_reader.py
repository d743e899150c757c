"""Reads the ledger, the manifest and the platform's instance list from the store."""

import asyncio
import contextlib
import json
from collections.abc import Callable

from lacewinglift.distribution import Distribution, manifest_key
from lacewinglift.errors import StoreError
from lacewinglift.generated import fleet_pb2
from lacewinglift.identity import Identity
from lacewinglift.logs import log_exception, log_info, log_warning
from lacewinglift.members import Members
from lacewinglift.standing import Standing
from lacewinglift.store import Entry, Store
from lacewinglift.timers import Timers

POLL_INTERVAL_S = 1.0
WATCHERS_PER_DATA_CENTRE = 2
PLATFORM_LIST_INTERVAL_S = 3.0
PLATFORM_LIST_PREFIX = "platform/instances/"
WATCH_RETRY_INTERVAL_S = 1.0


def ledger_key(fleet: str, cell: str) -> str:
    """Return the store key of a cell's ledger."""
    return f"/lacewinglift/{fleet}/cells/{cell}/ledger"


class StoreReader:
    """Polls and watches the store.

    An instance polls if it is one of the watchers of its data centre, or if it has no
    standing without the store. It watches the manifest if it is a watcher, or has no
    configuration yet. There are `WATCHERS_PER_DATA_CENTRE` watchers, so that the
    load of the store does not grow with the fleet. The other instances get the ledger
    and the configuration from their peers.

    Parameters
    ----------
    on_ledger : callable
        Called with each newer ledger that was read, before the contact with the
        store is recorded as evidence for standing.
    """

    def __init__(
        self,
        identity: Identity,
        store: Store,
        members: Members,
        standing: Standing,
        distribution: Distribution,
        timers: Timers,
        on_ledger: Callable[[fleet_pb2.Ledger], None],
    ) -> None:
        self.identity = identity
        self.store = store
        self.members = members
        self.standing = standing
        self.distribution = distribution
        self.timers = timers
        self.on_ledger = on_ledger
        self.ledger: fleet_pb2.Ledger | None = None
        self.ledger_revision = 0
        self.platform_addresses: list[str] = []
        self.platform_list_read_at_s = float("-inf")
        self.watch_task: asyncio.Task | None = None
        self.reachable: bool | None = None

    def is_watcher(self) -> bool:
        """Return whether this instance is a watcher of its data centre.

        Every instance is one while no live instance of the data centre is known.
        """
        names = self.members.store_watchers(
            self.identity.data_centre, WATCHERS_PER_DATA_CENTRE
        )
        return not names or self.identity.instance in names

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self.poll()
            except Exception:
                log_exception("store_duty_failed")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Start or stop the watch, and poll if this instance has to."""
        watcher = self.is_watcher()
        self._update_watch(watcher)
        if not watcher and self.standing.refusal() is None:
            return
        await self.read_ledger()
        now = self.timers.now()
        if now - self.platform_list_read_at_s >= PLATFORM_LIST_INTERVAL_S:
            await self._read_platform_list()
            self.platform_list_read_at_s = now

    async def read_ledger(self) -> bool:
        """Read the ledger; return whether the store replied."""
        sent_at_s = self.timers.now()
        try:
            entry = await self.store.get(
                ledger_key(self.identity.fleet, self.identity.cell)
            )
        except StoreError as error:
            self._record_reachability(False, error)
            return False
        self._record_reachability(True, None)
        if entry is not None and entry.revision > self.ledger_revision:
            self.record_ledger(fleet_pb2.Ledger.FromString(entry.value), entry.revision)
        self.members.record_store_contact(sent_at_s)
        self.standing.update()
        return True

    def record_ledger(self, ledger: fleet_pb2.Ledger, revision: int) -> None:
        """Record the ledger that the store has at `revision`, and call `on_ledger`."""
        self.ledger = ledger
        self.ledger_revision = revision
        self.on_ledger(ledger)

    async def close(self) -> None:
        """Cancel the watch and wait for its end."""
        if self.watch_task is not None:
            self.watch_task.cancel()
            await asyncio.gather(self.watch_task, return_exceptions=True)

    def _update_watch(self, watcher: bool) -> None:
        needed = watcher or self.distribution.generation() == 0
        running = self.watch_task is not None and not self.watch_task.done()
        if needed and not running:
            self.watch_task = asyncio.create_task(self._watch_manifest())
        if not needed and running:
            self.watch_task.cancel()

    async def _watch_manifest(self) -> None:
        key = manifest_key(self.identity.fleet)
        while True:
            try:
                # Without `aclosing`, a cancellation while an entry is being applied
                # would leave the watch open.
                async with contextlib.aclosing(self.store.watch(key)) as watch:
                    async for entry in watch:
                        await self._apply_manifest_entry(entry)
            except StoreError as error:
                log_warning("manifest_watch_failed", reason=error)
            await asyncio.sleep(WATCH_RETRY_INTERVAL_S)

    async def _apply_manifest_entry(self, entry: Entry) -> None:
        if entry.deleted:
            log_warning("manifest_deleted", generation=self.distribution.generation())
            return
        await self._fetch_manifest(entry.value)

    async def _fetch_manifest(self, value: bytes) -> None:
        while not await self.distribution.fetch_from_store(self.store, value):
            await asyncio.sleep(WATCH_RETRY_INTERVAL_S)

    async def _read_platform_list(self) -> None:
        try:
            entries = await self.store.list_prefix(PLATFORM_LIST_PREFIX)
        except StoreError:
            return
        leaving = set()
        addresses = []
        for entry in entries:
            name = entry.key.removeprefix(PLATFORM_LIST_PREFIX)
            item = _parse_list_item(entry.value)
            if item.get("state") == "leaving":
                leaving.add(name)
            if isinstance(item.get("peer_address"), str):
                addresses.append(item["peer_address"])
        self.members.leaving_in_platform_list = frozenset(leaving)
        self.platform_addresses = addresses

    def _record_reachability(self, reachable: bool, error: Exception | None) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            log_info("store_reachable")
        else:
            log_warning("store_unreachable", reason=error)


def _parse_list_item(value: bytes) -> dict[str, object]:
    try:
        item = json.loads(value)
    except ValueError:
        return {}
    return item if isinstance(item, dict) else {}
