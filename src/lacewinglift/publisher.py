"""Publishes a configuration: writes it to the store and offers it to instances."""

import asyncio
import datetime
import hashlib
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import TypeVar

from attrs import define, field, frozen

from lacewinglift.configuration import Configuration
from lacewinglift.differences import Changes, compare_segments
from lacewinglift.distribution import manifest_key, parse_manifest, segment_key
from lacewinglift.errors import (
    ConfigurationError,
    PublishConflictError,
    StoreRefusedError,
    StoreUnavailableError,
)
from lacewinglift.generated.fleet_pb2 import Manifest
from lacewinglift.logs import log_info, log_warning
from lacewinglift.rollout import Rollout
from lacewinglift.segments import (
    EncodedConfiguration,
    encode_configuration,
    referenced_segments,
)
from lacewinglift.store import Entry, Store
from lacewinglift.timers import Timers

MAX_STORE_ATTEMPTS = 4
"""Calls to the store, of 1 s each, before the publication fails."""
RETRY_DELAY_S = 0.25
WRITE_INTERVAL_S = 0.005
"""Limits a first publication to 200 writes/s, which leaves the store capacity."""

_Result = TypeVar("_Result")


@frozen
class PublishReport:
    """Result of a publication that the store accepted."""

    generation: int
    in_force: list[str]
    """Instances that reported the generation as in force."""
    missing: list[str]
    """Live instances that did not report it in time."""
    changes: Changes = field(factory=Changes)
    """Differences from the previous generation."""
    unchanged: bool = False
    """Whether the store already had this configuration."""


@define
class _PublishedState:
    """Manifest and segments in the store when the publication started."""

    revision: int
    manifest: Manifest
    segments: dict[bytes, bytes] = field(factory=dict)
    """The index segments and the other segments that were read."""
    digests: set[bytes] = field(factory=set)
    """Digests of all segments of the manifest; empty if an index cannot be read."""


class Publisher:
    """Publishes configurations of one fleet.

    Parameters
    ----------
    store : Store
        The key-value service.
    fleet : str
        Name of the fleet.
    peer_addresses : sequence of str
        Peer addresses of instances, in addition to those in the platform's list.
    timers : Timers
        Clock.
    """

    def __init__(
        self,
        store: Store,
        fleet: str,
        peer_addresses: Sequence[str],
        timers: Timers,
    ) -> None:
        self.store = store
        self.fleet = fleet
        self.timers = timers
        self.rollout = Rollout(store, peer_addresses, timers)

    async def publish(
        self,
        configuration: Configuration,
        author: str,
        wait_s: float,
        expected_generation: int | None = None,
    ) -> PublishReport:
        """Publish `configuration` as the next generation.

        Parameters
        ----------
        configuration : Configuration
            A checked configuration.
        author : str
            Name of the publisher, shown to other operators.
        wait_s : float
            How long to wait until it is in force on all live instances.
        expected_generation : int, default=None
            Publish only if this is the generation in the store.

        Raises
        ------
        PublishConflictError
            Another operator published first.
        StoreUnavailableError
            The store did not answer; the message says whether the configuration
            may have been accepted.
        """
        if configuration.fleet.name != self.fleet:
            raise ConfigurationError(
                f"the configuration is for fleet {configuration.fleet.name!r}, "
                f"not for {self.fleet!r}"
            )
        current = await self._read_current()
        if expected_generation not in (None, current.manifest.generation):
            raise _conflict(current.manifest, f"expected {expected_generation}")
        encoded = encode_configuration(configuration, author)
        changes = await self._compare_with_published(current, encoded)
        await self.rollout.read_list()
        await self.rollout.read_ledgers(self.fleet, configuration.fleet.cells)
        unchanged = _same_segments(current.manifest, encoded.manifest)
        if unchanged:
            encoded.manifest.CopyFrom(current.manifest)
        else:
            encoded.manifest.generation = current.manifest.generation + 1
            encoded.manifest.published_at_ms = self.timers.wall_ms()
            await self._write_segments(current, encoded)
            await self._write_manifest(current, encoded.manifest)
        return await self._roll_out(current, encoded, changes, wait_s, unchanged)

    async def _roll_out(
        self,
        current: _PublishedState,
        encoded: EncodedConfiguration,
        changes: Changes,
        wait_s: float,
        unchanged: bool,
    ) -> PublishReport:
        generation = encoded.manifest.generation
        log_info("configuration_accepted", generation=generation, changes=changes)
        new = {
            sha256: content
            for sha256, content in encoded.segments.items()
            if sha256 not in current.digests
        }
        in_force, missing = await self.rollout.run(encoded.manifest, new, wait_s)
        return PublishReport(generation, in_force, missing, changes, unchanged)

    # ---- reading ----

    async def _read_current(self) -> _PublishedState:
        entry = await self._get(manifest_key(self.fleet), "nothing was published")
        if entry is None:
            return _PublishedState(0, Manifest(fleet=self.fleet))
        current = _PublishedState(entry.revision, parse_manifest(entry.value))
        if current.manifest.fleet != self.fleet:
            raise ConfigurationError(
                f"the store has a manifest of fleet {current.manifest.fleet!r} "
                f"under the key of {self.fleet!r}; check the store address"
            )
        await self._read_references(current)
        return current

    async def _read_references(self, current: _PublishedState) -> None:
        """Read the index segments and set the digests of the segments in the store."""
        indexes = [
            reference.sha256
            for reference in current.manifest.segments
            if reference.name.startswith("index/")
        ]
        await self._read_segments(indexes, current.segments)
        if all(sha256 in current.segments for sha256 in indexes):
            found = referenced_segments(current.manifest, current.segments)
            current.digests = found

    async def _read_segments(
        self, digests: Iterable[bytes], segments: dict[bytes, bytes]
    ) -> None:
        for sha256 in digests:
            if sha256 in segments:
                continue
            key = segment_key(self.fleet, sha256)
            entry = await self._get(key, "nothing was published")
            if entry and hashlib.sha256(entry.value).digest() == sha256:
                segments[sha256] = entry.value

    async def _compare_with_published(
        self, current: _PublishedState, encoded: EncodedConfiguration
    ) -> Changes:
        """Return the differences between the published and the new configuration."""
        old = current.digests - encoded.segments.keys()
        new = encoded.segments.keys() - current.digests
        await self._read_segments(old, current.segments)
        return compare_segments(
            [current.segments[each] for each in old if each in current.segments],
            [encoded.segments[each] for each in new],
        )

    async def _get(self, key: str, consequence: str) -> Entry | None:
        return await self._call_with_retries(lambda: self.store.get(key), consequence)

    async def _call_with_retries(
        self, call: Callable[[], Awaitable[_Result]], consequence: str
    ) -> _Result:
        """Return the result of an idempotent call, which is repeated if it fails."""
        for attempt in range(MAX_STORE_ATTEMPTS):
            try:
                return await call()
            except StoreUnavailableError:
                if attempt + 1 == MAX_STORE_ATTEMPTS:
                    raise StoreUnavailableError(
                        f"the store does not answer; {consequence}, try again later"
                    ) from None
            except StoreRefusedError:
                # Retried, as the store also refuses calls above its rate limit.
                if attempt + 1 == MAX_STORE_ATTEMPTS:
                    raise
            await asyncio.sleep(RETRY_DELAY_S)
        raise AssertionError("not reached")

    # ---- writing ----

    async def _write_segments(
        self, current: _PublishedState, encoded: EncodedConfiguration
    ) -> None:
        for sha256, content in encoded.segments.items():
            if sha256 not in current.digests:
                await self._write_segment(segment_key(self.fleet, sha256), content)
                await asyncio.sleep(WRITE_INTERVAL_S)

    async def _write_segment(self, key: str, content: bytes) -> None:
        """Write a segment if it is absent; its key is the hash of its content."""
        await self._call_with_retries(
            lambda: self.store.compare_and_swap(key, content, 0),
            "nothing was published",
        )

    async def _write_manifest(
        self, current: _PublishedState, manifest: Manifest
    ) -> None:
        """Write `manifest`; after a lost reply, read the key to learn the outcome.

        Repeating the write is safe: each write replaces only the revision that was
        read at the start, so at most one of them takes effect.
        """
        key = manifest_key(self.fleet)
        value = manifest.SerializeToString(deterministic=True)
        refusal: StoreRefusedError | None = None
        for _ in range(MAX_STORE_ATTEMPTS):
            try:
                if await self.store.compare_and_swap(key, value, current.revision):
                    return
            except StoreRefusedError as error:
                refusal = error
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            except StoreUnavailableError:
                refusal = None
                log_warning("manifest_reply_lost", generation=manifest.generation)
            if await self._is_manifest_written(current, manifest):
                return
            await asyncio.sleep(RETRY_DELAY_S)
        if refusal:
            raise refusal
        raise StoreUnavailableError(
            f"the store does not answer; generation {manifest.generation} may have "
            "been accepted. Publish again: if it was accepted, this is recognised"
        )

    async def _is_manifest_written(
        self, current: _PublishedState, manifest: Manifest
    ) -> bool:
        """Return whether `manifest` is in the store; if not, it can be written again.

        Raises
        ------
        PublishConflictError
            If the store has the manifest of another publication.
        """
        consequence = f"generation {manifest.generation} may have been accepted"
        entry = await self._get(manifest_key(self.fleet), consequence)
        if entry is None or entry.revision == current.revision:
            return False
        found = parse_manifest(entry.value)
        if _is_same_publication(found, manifest):
            return True
        changes = await self._changes_of_other(current, found)
        # If the reply was lost, `manifest` may have been written and then replaced by
        # a later generation.
        superseded = found.generation > manifest.generation
        raise _conflict(found, f"changed since you started: {changes}", superseded)

    async def _changes_of_other(
        self, current: _PublishedState, found: Manifest
    ) -> Changes:
        other = _PublishedState(0, found)
        await self._read_references(other)
        old = current.digests - other.digests
        new = other.digests - current.digests
        await self._read_segments(old, current.segments)
        await self._read_segments(new, other.segments)
        return compare_segments(
            [current.segments[each] for each in old if each in current.segments],
            [other.segments[each] for each in new if each in other.segments],
        )


def _same_segments(one: Manifest, other: Manifest) -> bool:
    return [(each.name, each.sha256) for each in one.segments] == [
        (each.name, each.sha256) for each in other.segments
    ]


def _is_same_publication(found: Manifest, manifest: Manifest) -> bool:
    return (
        found.generation == manifest.generation
        and found.author == manifest.author
        and found.published_at_ms == manifest.published_at_ms
        and _same_segments(found, manifest)
    )


def _conflict(
    found: Manifest, detail: str, superseded: bool = False
) -> PublishConflictError:
    if not found.generation:
        message = f"no configuration was published yet; {detail}"
        return PublishConflictError(message, 0)
    published_at = datetime.datetime.fromtimestamp(
        min(found.published_at_ms / 1000, 253_402_300_799), datetime.UTC
    )
    outcome = (
        "Yours may have been in force before, as an earlier generation"
        if superseded
        else "Nothing of yours was published"
    )
    return PublishConflictError(
        f"{found.author!r} published generation {found.generation} at "
        f"{published_at:%Y-%m-%d %H:%M:%S} UTC; {detail}. {outcome}: bring those "
        "changes into your files, then publish again",
        found.generation,
    )
