"""gRPC between instances: heartbeat streams, unary calls, and dialling."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import define, field
from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from lacewinglift.errors import PeerError
from lacewinglift.generated import fleet_pb2
from lacewinglift.generated.fleet_grpc import PeerBase, PeerStub
from lacewinglift.identity import Identity
from lacewinglift.logs import log_exception, log_info
from lacewinglift.members import SUSPECT_AFTER_S, Members
from lacewinglift.socket_addresses import split_address
from lacewinglift.timers import Timers

CALL_TIMEOUT_S = 1.0
DIAL_INTERVAL_S = 1.0
TIMEOUTS_BEFORE_RECONNECT = 3
# Of a pair, the instance whose name sorts later waits this long for the other one to
# dial, so that the pair usually has a single stream.
SECOND_DIAL_DELAY_S = 2.0

STREAM_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
    asyncio.IncompleteReadError,
)


class PeerHandler(Protocol):
    """Handles the calls and heartbeats of other instances."""

    async def fetch_configuration(
        self, request: fleet_pb2.FetchConfigurationRequest
    ) -> fleet_pb2.FetchConfigurationReply:
        """Return the manifest and the requested segments."""
        ...

    async def fetch_ledger(
        self, request: fleet_pb2.FetchLedgerRequest
    ) -> fleet_pb2.FetchLedgerReply:
        """Return the ledger if it is newer than the caller's version."""
        ...

    async def offer_configuration(
        self, request: fleet_pb2.OfferConfigurationRequest
    ) -> fleet_pb2.OfferConfigurationReply:
        """Apply a configuration that the store has accepted."""
        ...

    async def borrow(self, request: fleet_pb2.BorrowRequest) -> fleet_pb2.BorrowReply:
        """Lend tokens of a workspace's quota."""
        ...

    def status(self) -> fleet_pb2.GetStatusReply:
        """Return the status of this instance and of its peers."""
        ...

    def dump(self) -> str:
        """Return the state of this instance as JSON."""
        ...

    def on_heartbeat(self, heartbeat: fleet_pb2.Heartbeat) -> None:
        """Act on a heartbeat that `Members` has recorded."""
        ...


@define(eq=False)
class Link:
    """A heartbeat stream with one peer, and the event that triggers a heartbeat."""

    opened_at_s: float
    instance: str = ""
    """Name of the peer; empty until its first heartbeat."""
    heartbeat_due: asyncio.Event = field(factory=asyncio.Event)
    closed: bool = False
    last_heartbeat_at_s: float = 0.0
    """Local monotonic time of the last heartbeat received, or of opening."""
    tasks: list[asyncio.Task] = field(factory=list)

    def close(self) -> None:
        """Cancel the tasks of the stream; they end soon afterwards."""
        self.closed = True
        for task in self.tasks:
            task.cancel()


class Links:
    """The open heartbeat streams of this instance, and the one in use per peer."""

    def __init__(self, timers: Timers) -> None:
        self.timers = timers
        self.by_instance: dict[str, Link] = {}
        self.open_links: set[Link] = set()

    def open(self) -> Link:
        """Add and return the link of a new stream."""
        now = self.timers.now()
        link = Link(opened_at_s=now, last_heartbeat_at_s=now)
        self.open_links.add(link)
        return link

    def register(self, instance: str, link: Link) -> None:
        """Make `link` the stream in use with a peer, and close the previous one."""
        previous = self.by_instance.get(instance)
        if previous is link:
            return
        if previous is not None:
            previous.close()
        link.instance = instance
        self.by_instance[instance] = link

    def unregister(self, link: Link) -> None:
        """Remove a link whose stream has ended."""
        self.open_links.discard(link)
        if self.by_instance.get(link.instance) is link:
            del self.by_instance[link.instance]

    def trigger_heartbeats(self) -> None:
        """Make the sender of each stream send a heartbeat now."""
        for link in self.open_links:
            link.heartbeat_due.set()

    def close_silent(self) -> None:
        """Close the streams on which no heartbeat came for `SUSPECT_AFTER_S`.

        A connection whose state a device on the path, such as a NAT gateway, has
        dropped stays open and delivers nothing. One check of all streams costs less
        than a deadline for each message.
        """
        oldest_s = self.timers.now() - SUSPECT_AFTER_S
        for link in list(self.open_links):
            if link.last_heartbeat_at_s < oldest_s:
                link.close()


async def exchange_heartbeats(
    stream: Stream | ClientStream,
    link: Link,
    links: Links,
    members: Members,
    handler: PeerHandler,
) -> None:
    """Send and receive heartbeats on `stream` until either side ends it."""
    link.tasks = [
        asyncio.create_task(_send_heartbeats(stream, link, members)),
        asyncio.create_task(_receive_heartbeats(stream, link, links, members, handler)),
    ]
    try:
        done, _ = await asyncio.wait(link.tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if not task.cancelled():
                task.result()
    finally:
        links.unregister(link)
        link.close()
        await asyncio.gather(*link.tasks, return_exceptions=True)


async def _send_heartbeats(
    stream: Stream | ClientStream, link: Link, members: Members
) -> None:
    first = True
    while not link.closed:
        link.heartbeat_due.clear()
        # The constant fields are repeated until the peer has sent its name.
        name_known = bool(link.instance)
        await stream.send_message(members.build_heartbeat(link.instance, first))
        first = first and not name_known
        await link.heartbeat_due.wait()


async def _receive_heartbeats(
    stream: Stream | ClientStream,
    link: Link,
    links: Links,
    members: Members,
    handler: PeerHandler,
) -> None:
    while not link.closed:
        heartbeat = await stream.recv_message()
        if heartbeat is None or not members.receive(heartbeat):
            return
        link.last_heartbeat_at_s = links.timers.now()
        first = not link.instance
        links.register(heartbeat.instance, link)
        if first:
            link.heartbeat_due.set()
        handler.on_heartbeat(heartbeat)


class PeerService(PeerBase):
    """gRPC server for calls of other instances; passes them to a `PeerHandler`."""

    def __init__(self, links: Links, members: Members, handler: PeerHandler) -> None:
        self.links = links
        self.members = members
        self.handler = handler

    async def Exchange(self, stream: Stream) -> None:
        """Exchange heartbeats with the instance that opened the stream."""
        link = self.links.open()
        try:
            await exchange_heartbeats(
                stream, link, self.links, self.members, self.handler
            )
        except STREAM_ERRORS as error:
            _log_stream_closed(link.instance, error)

    async def FetchConfiguration(self, stream: Stream) -> None:
        """Reply with the manifest and the requested segments."""
        await _serve_unary_call(stream, self.handler.fetch_configuration)

    async def FetchLedger(self, stream: Stream) -> None:
        """Reply with the ledger if it is newer than the caller's."""
        await _serve_unary_call(stream, self.handler.fetch_ledger)

    async def OfferConfiguration(self, stream: Stream) -> None:
        """Apply a configuration that the store has accepted."""
        await _serve_unary_call(stream, self.handler.offer_configuration)

    async def Borrow(self, stream: Stream) -> None:
        """Lend tokens of a workspace's quota."""
        await _serve_unary_call(stream, self.handler.borrow)

    async def GetStatus(self, stream: Stream) -> None:
        """Reply with the status of this instance and of its peers."""
        await stream.recv_message()
        await stream.send_message(self.handler.status())

    async def GetDump(self, stream: Stream) -> None:
        """Reply with the state of this instance as JSON."""
        await stream.recv_message()
        await stream.send_message(fleet_pb2.GetDumpReply(json=self.handler.dump()))


async def _serve_unary_call(
    stream: Stream, call: Callable[[object], Awaitable[object]]
) -> None:
    request = await stream.recv_message()
    if request is None:
        return
    await stream.send_message(await call(request))


def _log_stream_closed(peer: str, error: BaseException) -> None:
    log_info("peer_stream_closed", peer=peer or "unknown", reason=type(error).__name__)


class PeerClient:
    """gRPC client of other instances: one channel per address, opened on first use."""

    def __init__(self) -> None:
        self.channels: dict[str, Channel] = {}
        self.consecutive_timeouts: dict[str, int] = {}

    def stub(self, address: str) -> PeerStub:
        """Return a stub for the instance at `address`."""
        channel = self.channels.get(address)
        if channel is None:
            host, port = split_address(address)
            channel = Channel(host, port)
            self.channels[address] = channel
        return PeerStub(channel)

    async def call(
        self, address: str, method: str, request: object, timeout_s: float
    ) -> object:
        """Call `method` of the instance at `address`.

        Raises
        ------
        PeerError
            The call failed or timed out.
        """
        try:
            reply = await asyncio.wait_for(
                getattr(self.stub(address), method)(request), timeout_s
            )
        except STREAM_ERRORS as error:
            self._record_failure(address, error)
            raise PeerError(
                f"call {method} to {address} failed: {error!r}; "
                "check that the instance is running and reachable"
            ) from error
        self.consecutive_timeouts.pop(address, None)
        return reply

    def _record_failure(self, address: str, error: BaseException) -> None:
        if isinstance(error, asyncio.TimeoutError):
            # One timeout may be a slow reply. Several in a row mean that the connection
            # may be dead, so it is replaced.
            self.consecutive_timeouts[address] = (
                self.consecutive_timeouts.get(address, 0) + 1
            )
            if self.consecutive_timeouts[address] < TIMEOUTS_BEFORE_RECONNECT:
                return
        self.consecutive_timeouts.pop(address, None)
        self.close_channel(address)

    def close_channel(self, address: str) -> None:
        """Close the channel to `address`; the next call opens a new one."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in list(self.channels):
            self.close_channel(address)


class Dialer:
    """Keeps a heartbeat stream open to each peer address.

    The addresses are the seeds and those of the known peers. Each has a task, which
    dials while there is no stream with the instance at this address.
    """

    def __init__(
        self,
        identity: Identity,
        members: Members,
        links: Links,
        handler: PeerHandler,
    ) -> None:
        self.identity = identity
        self.members = members
        self.links = links
        self.handler = handler
        self.tasks: dict[str, asyncio.Task] = {}

    def update(self, seeds: list[str]) -> None:
        """Start a task for each new address, and cancel those of removed addresses."""
        wanted = set(seeds)
        wanted |= {view.peer_address for view in self._peer_records()}
        wanted -= {"", self.identity.peer_address}
        for address in wanted - set(self.tasks):
            self.tasks[address] = asyncio.create_task(self._keep_connected(address))
        for address in set(self.tasks) - wanted:
            self.tasks.pop(address).cancel()

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self.tasks.values())
        self.tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _peer_records(self) -> list:
        with self.members.lock:
            return list(self.members.peers.values())

    def _instance_at(self, address: str) -> str:
        for record in self._peer_records():
            if record.peer_address == address:
                return record.instance
        return ""

    async def _keep_connected(self, address: str) -> None:
        while True:
            instance = self._instance_at(address)
            if instance and instance in self.links.by_instance:
                await asyncio.sleep(DIAL_INTERVAL_S)
                continue
            if instance and instance < self.identity.instance:
                await asyncio.sleep(SECOND_DIAL_DELAY_S)
                if instance in self.links.by_instance:
                    continue
            await self._dial(address)
            await asyncio.sleep(DIAL_INTERVAL_S)

    async def _dial(self, address: str) -> None:
        host, port = split_address(address)
        channel = Channel(host, port)
        link = self.links.open()
        try:
            async with PeerStub(channel).Exchange.open() as stream:
                try:
                    await asyncio.wait_for(stream.send_request(), CALL_TIMEOUT_S)
                    await exchange_heartbeats(
                        stream, link, self.links, self.members, self.handler
                    )
                finally:
                    # Without this, leaving the context waits for the peer to end the
                    # stream, which never happens on a dead connection.
                    channel.close()
        except STREAM_ERRORS as error:
            _log_stream_closed(link.instance or address, error)
        except Exception:
            log_exception("peer_stream_failed", peer=link.instance or address)
        finally:
            self.links.unregister(link)
            channel.close()


async def serve_peers(service: PeerService, address: str) -> Server:
    """Start the gRPC server at `address`; raises OSError if it is in use."""
    host, port = split_address(address)
    server = Server([service])
    await server.start(host, port)
    log_info("peer_listening", address=address)
    return server
