"""Snapshots of configuration and registry that instances fetch from each other."""

import asyncio
import zlib
from collections.abc import Callable, Sequence

from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from lacewinglift.generated import beats_pb2
from lacewinglift.generated.beats_grpc import SnapshotsBase, SnapshotsStub
from lacewinglift.logs import log_exception, log_info
from lacewinglift.loops import LoopRunner
from lacewinglift.mesh.fetch_slots import FetchSlots
from lacewinglift.mesh.source_connections import connect_to_first
from lacewinglift.mesh.traffic import Direction, MeshTraffic, MessageKind
from lacewinglift.socket_addresses import split_address
from lacewinglift.timers import Durations, Timers

# On a full link, opening the connection and the request each wait for a second or more.
FETCH_TIMEOUT_S = 4.0
# The fastest one: a link of 5 Mbit/s gains little more from the others.
COMPRESSION_LEVEL = 1
_FETCH_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


def compress_snapshot(snapshot: beats_pb2.Snapshot) -> beats_pb2.Snapshot:
    """Return a message that holds a snapshot in compressed form."""
    compressed = zlib.compress(snapshot.SerializeToString(), COMPRESSION_LEVEL)
    return beats_pb2.Snapshot(compressed=compressed)


def decompress_snapshot(message: beats_pb2.Snapshot) -> beats_pb2.Snapshot:
    """Return the snapshot that a message holds in compressed form."""
    return beats_pb2.Snapshot.FromString(zlib.decompress(message.compressed))


class SnapshotService(SnapshotsBase):
    """gRPC service that serves snapshots to other instances.

    Parameters
    ----------
    build_snapshot : callable
        Returns the snapshot for a request.
    traffic : MeshTraffic
        Counts the snapshots.
    """

    def __init__(
        self,
        build_snapshot: Callable[[beats_pb2.SnapshotRequest], beats_pb2.Snapshot],
        traffic: MeshTraffic,
    ) -> None:
        self.build_snapshot = build_snapshot
        self.traffic = traffic

    async def Fetch(self, stream: Stream) -> None:
        """Send the configuration and the registry known to this instance."""
        request = await stream.recv_message()
        if request is None:
            return
        snapshot = self.build_snapshot(request)
        self.traffic.record(MessageKind.SNAPSHOT, Direction.SENT, snapshot.ByteSize())
        await stream.send_message(snapshot)


async def fetch_snapshot(
    addresses: Sequence[str], request: beats_pb2.SnapshotRequest
) -> beats_pb2.Snapshot:
    """Fetch a snapshot from the first instance that can be connected to.

    Raises one of `_FETCH_ERRORS`.
    """
    async with asyncio.timeout(FETCH_TIMEOUT_S):
        channel = await connect_to_first(addresses)
        try:
            return await SnapshotsStub(channel).Fetch(request)
        finally:
            channel.close()


class SnapshotExchange:
    """Serves and fetches snapshots on an asyncio loop in its own thread.

    Parameters
    ----------
    address : str
        ``host:port`` that other instances fetch from.
    service : SnapshotService
        Serves the snapshots.
    on_snapshot : callable
        Receives the fetched snapshots.
    timers : Timers
        Clock.
    """

    def __init__(
        self,
        address: str,
        service: SnapshotService,
        on_snapshot: Callable[[beats_pb2.Snapshot], None],
        timers: Timers,
    ) -> None:
        self.address = address
        self.service = service
        self.on_snapshot = on_snapshot
        self.timers = timers
        self.slots = FetchSlots(timers)
        self.failed_fetches = 0
        self.fetch_times = Durations()
        self.runner = LoopRunner("snapshots", self._serve)

    def start(self) -> None:
        """Start serving; raises OSError if the address is in use."""
        self.runner.start()

    def stop(self) -> None:
        """Stop the loop and its thread."""
        self.runner.stop()

    def fetch(
        self, addresses: Sequence[str], request: beats_pb2.SnapshotRequest
    ) -> None:
        """Fetch a snapshot in the background, unless one may be about to arrive.

        Parameters
        ----------
        addresses : sequence of str
            Instances that have newer state. One of them is asked.
        request : SnapshotRequest
            State of this instance.
        """
        if not self.slots.try_start():
            return
        asyncio.run_coroutine_threadsafe(
            self._fetch(addresses, request), self.runner.loop
        )

    async def _fetch(
        self, addresses: Sequence[str], request: beats_pb2.SnapshotRequest
    ) -> None:
        started_s = self.timers.now()
        peers = ",".join(addresses)
        try:
            reply = await fetch_snapshot(addresses, request)
            self.service.traffic.record(
                MessageKind.SNAPSHOT, Direction.RECEIVED, reply.ByteSize()
            )
            self.on_snapshot(reply)
        except _FETCH_ERRORS as error:
            self.failed_fetches += 1
            log_info(
                "snapshot_fetch_failed",
                peer=peers,
                reason=repr(error),
                after_s=self.timers.now() - started_s,
            )
        except Exception:
            log_exception("snapshot_rejected", peer=peers)
        finally:
            self.fetch_times.record(self.timers.now() - started_s)
            self.slots.end()

    async def _serve(self) -> None:
        server = Server([self.service])
        host, port = split_address(self.address)
        await server.start(host, port)
        self.runner.started.set()
        await self.runner.stopping.wait()
        server.close()
        await server.wait_closed()
