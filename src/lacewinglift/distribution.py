"""Fetches configurations and holds the one that is in force on this instance."""

import asyncio
import threading
from collections.abc import Callable, Mapping

from lacewinglift.configuration import Configuration
from lacewinglift.errors import ConfigurationError, PeerError, StoreError
from lacewinglift.generated import fleet_pb2
from lacewinglift.logs import log_info, log_warning
from lacewinglift.peers import PeerClient
from lacewinglift.segments import (
    decode_configuration,
    missing_segments,
    referenced_segments,
)
from lacewinglift.store import Store

FETCH_TIMEOUT_S = 2.0
# Keeps the size of a reply well below the message size limit of the receiver.
MAX_SEGMENTS_PER_FETCH = 64


def manifest_key(fleet: str) -> str:
    """Return the store key of a fleet's manifest."""
    return f"/lacewinglift/{fleet}/config/manifest"


def segment_key(fleet: str, sha256: bytes) -> str:
    """Return the store key of one segment."""
    return f"/lacewinglift/{fleet}/config/segments/{sha256.hex()}"


class Distribution:
    """Holds the configuration in force and replaces it by newer generations only.

    Parameters
    ----------
    fleet : str
        Name of the fleet; a manifest of another fleet is refused.
    peer_client : PeerClient
        Client for fetching from other instances.
    """

    def __init__(self, fleet: str, peer_client: PeerClient) -> None:
        self.fleet = fleet
        self.peer_client = peer_client
        self.lock = threading.Lock()
        self.apply_lock = asyncio.Lock()
        self.manifest = fleet_pb2.Manifest(fleet=fleet)
        self.segments: dict[bytes, bytes] = {}
        self.configuration: Configuration | None = None
        self.subscribers: list[Callable[[Configuration], None]] = []

    def current(self) -> Configuration | None:
        """Return the configuration in force, or None before the first one."""
        return self.configuration

    def generation(self) -> int:
        """Return the generation in force, or 0 before the first one."""
        return self.manifest.generation

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with each configuration that comes into force."""
        self.subscribers.append(callback)

    async def offer(
        self, manifest: fleet_pb2.Manifest, segments: Mapping[bytes, bytes]
    ) -> list[bytes]:
        """Put `manifest` into force if it is newer and its segments are complete.

        Returns
        -------
        list of bytes
            Hashes of the segments that are still missing; empty if `manifest`
            is now in force or is not newer.

        Raises
        ------
        ConfigurationError
            The manifest is of another fleet, or cannot be decoded.
        """
        async with self.apply_lock:
            if manifest.generation <= self.manifest.generation:
                return []
            if manifest.fleet != self.fleet:
                raise ConfigurationError(
                    f"configuration of fleet {manifest.fleet!r} offered to an "
                    f"instance of fleet {self.fleet!r}; check the store address"
                )
            # Segments in force take precedence, so that wrong content offered under
            # a known hash does not make the whole offer fail.
            available = {**segments, **self.segments}
            missing = missing_segments(manifest, available)
            if missing:
                return missing
            self._put_into_force(manifest, available)
            return []

    async def fetch_from_peer(self, address: str, generation: int) -> bool:
        """Fetch `generation` or a later one from a peer.

        Returns whether it succeeded.
        """
        try:
            return await self._fetch_from_peer(address, generation)
        except (PeerError, ConfigurationError) as error:
            log_warning("configuration_fetch_failed", peer=address, reason=error)
            return False

    async def fetch_from_store(self, store: Store, value: bytes) -> bool:
        """Put the manifest `value` into force with the segments of the store.

        Returns whether it succeeded.
        """
        try:
            return await self._fetch_from_store(store, value)
        except (StoreError, ConfigurationError) as error:
            log_warning("configuration_fetch_failed", peer="store", reason=error)
            return False

    def build_reply(
        self, request: fleet_pb2.FetchConfigurationRequest
    ) -> fleet_pb2.FetchConfigurationReply:
        """Return the manifest in force and the requested segments that it has."""
        reply = fleet_pb2.FetchConfigurationReply(manifest=self.manifest)
        for sha256 in request.sha256[:MAX_SEGMENTS_PER_FETCH]:
            content = self.segments.get(sha256)
            if content is not None:
                reply.segments.add(sha256=sha256, content=content)
        return reply

    async def _fetch_from_peer(self, address: str, generation: int) -> bool:
        request = fleet_pb2.FetchConfigurationRequest(generation=generation)
        reply = await self._call_fetch(address, request)
        manifest = reply.manifest
        fetched: dict[bytes, bytes] = {}
        while manifest.generation >= generation:
            missing = await self.offer(manifest, fetched)
            if not missing:
                return True
            request = fleet_pb2.FetchConfigurationRequest(
                generation=manifest.generation, sha256=missing[:MAX_SEGMENTS_PER_FETCH]
            )
            reply = await self._call_fetch(address, request)
            if not reply.segments:
                break
            fetched |= {s.sha256: s.content for s in reply.segments}
        return False

    async def _call_fetch(
        self, address: str, request: fleet_pb2.FetchConfigurationRequest
    ) -> fleet_pb2.FetchConfigurationReply:
        return await self.peer_client.call(
            address, "FetchConfiguration", request, FETCH_TIMEOUT_S
        )

    async def _fetch_from_store(self, store: Store, value: bytes) -> bool:
        manifest = parse_manifest(value)
        fetched: dict[bytes, bytes] = {}
        # Index segments are fetched first; then the segments that they refer to are
        # reported as missing.
        while missing := await self.offer(manifest, fetched):
            for sha256 in missing:
                entry = await store.get(segment_key(self.fleet, sha256))
                if entry is None:
                    return False
                fetched[sha256] = entry.value
        return True

    def _put_into_force(
        self, manifest: fleet_pb2.Manifest, available: Mapping[bytes, bytes]
    ) -> None:
        needed = referenced_segments(manifest, available)
        segments = {sha256: available[sha256] for sha256 in needed}
        configuration = decode_configuration(manifest, segments, self.configuration)
        self.segments = segments
        self.configuration = configuration
        self.manifest = manifest
        log_info("configuration_in_force", generation=manifest.generation)
        for callback in self.subscribers:
            callback(configuration)


def parse_manifest(value: bytes) -> fleet_pb2.Manifest:
    """Decode a manifest from the store; raises ConfigurationError."""
    try:
        return fleet_pb2.Manifest.FromString(value)
    except Exception as error:
        raise ConfigurationError(
            "the manifest in the store cannot be read; publish the configuration again"
        ) from error
