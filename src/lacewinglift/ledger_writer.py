"""Writes the ledger to the store while this instance is the cell's allocator."""

import asyncio

from lacewinglift.allocator import Allocator
from lacewinglift.distribution import Distribution
from lacewinglift.errors import StoreError
from lacewinglift.identity import Identity
from lacewinglift.logs import log_exception, log_info, log_warning
from lacewinglift.members import Members
from lacewinglift.store import Store
from lacewinglift.store_reader import StoreReader, ledger_key
from lacewinglift.timers import Timers

PLAN_INTERVAL_S = 0.25


class LedgerWriter:
    """Plans and writes new ledgers while this instance is the allocator."""

    def __init__(
        self,
        identity: Identity,
        store: Store,
        store_reader: StoreReader,
        members: Members,
        distribution: Distribution,
        allocator: Allocator,
        timers: Timers,
    ) -> None:
        self.identity = identity
        self.store = store
        self.store_reader = store_reader
        self.members = members
        self.distribution = distribution
        self.allocator = allocator
        self.timers = timers
        self.allocating = False

    async def run(self) -> None:
        """Plan and write periodically until cancelled."""
        while True:
            try:
                await self.plan_and_write()
            except Exception:
                log_exception("allocation_failed")
            await asyncio.sleep(PLAN_INTERVAL_S)

    async def plan_and_write(self) -> None:
        """Plan the next ledger and write it, if this instance is the allocator."""
        if not self.members.is_allocator():
            self.allocating = False
            return
        if not self.allocating:
            # Another allocator may have written the ledger since the last read.
            if not await self.store_reader.read_ledger():
                return
            self.allocating = True
            log_info("allocator_started")
        configuration = self.distribution.current()
        now = self.timers.now()
        if configuration is None:
            return
        planned = self.allocator.plan(
            self.store_reader.ledger, self.members.views(), configuration, now
        )
        if planned is not None:
            await self._write(planned)

    async def _write(self, planned) -> None:
        key = ledger_key(self.identity.fleet, self.identity.cell)
        revision = self.store_reader.ledger_revision
        try:
            new_revision = await self.store.compare_and_swap(
                key, planned.SerializeToString(), revision
            )
        except StoreError as error:
            # The write may have taken effect, so read the record back.
            log_warning("ledger_write_failed", reason=error)
            await self.store_reader.read_ledger()
            return
        if new_revision is None:
            log_info("ledger_write_lost", version=planned.version)
            await self.store_reader.read_ledger()
            return
        now = self.timers.now()
        self.allocator.record_written(planned.version, now)
        self.store_reader.record_ledger(planned, new_revision)
