"""Streams and calls between instances."""

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
# The instance with the larger id waits this long for the other to dial first,
# so that a pair usually has one stream.
SECOND_DIAL_DELAY_S = 2.0

STREAM_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
    asyncio.IncompleteReadError,
)


class PeerHandler(Protocol):
    """What an instance does with calls from other instances."""

    async def fetch_configuration(
        self, request: fleet_pb2.FetchConfigurationRequest
    ) -> fleet_pb2.FetchConfigurationReply:
        """Return the manifest and the segments asked for."""
        ...

    async def fetch_ledger(
        self, request: fleet_pb2.FetchLedgerRequest
    ) -> fleet_pb2.FetchLedgerReply:
        """Return the ledger if it is newer than the caller's."""
        ...

    async def offer_configuration(
        self, request: fleet_pb2.OfferConfigurationRequest
    ) -> fleet_pb2.OfferConfigurationReply:
        """Take in a configuration that was accepted by the store."""
        ...

    async def borrow(self, request: fleet_pb2.BorrowRequest) -> fleet_pb2.BorrowReply:
        """Lend tokens of a workspace."""
        ...

    def status(self) -> fleet_pb2.GetStatusReply:
        """Return what this instance knows of itself and the others."""
        ...

    def dump(self) -> str:
        """Return the state as JSON."""
        ...

    def on_heartbeat(self, heartbeat: fleet_pb2.Heartbeat) -> None:
        """React to a heartbeat that has been taken in."""
        ...


@define(eq=False)
class Link:
    """The stream in use with one peer, and the signal to send."""

    opened_at_s: float
    instance: str = ""
    heartbeat_due: asyncio.Event = field(factory=asyncio.Event)
    closed: bool = False
    last_heartbeat_at_s: float = 0.0
    """When the last heartbeat came in."""
    tasks: list[asyncio.Task] = field(factory=list)

    def close(self) -> None:
        """End the stream; its task finishes soon afterwards."""
        self.closed = True
        for task in self.tasks:
            task.cancel()


class Links:
    """The open streams of this instance."""

    def __init__(self, timers: Timers) -> None:
        self.timers = timers
        self.by_instance: dict[str, Link] = {}
        self.open_links: set[Link] = set()

    def open(self) -> Link:
        """Return a link for a new stream."""
        now = self.timers.now()
        link = Link(opened_at_s=now, last_heartbeat_at_s=now)
        self.open_links.add(link)
        return link

    def register(self, instance: str, link: Link) -> None:
        """Make `link` the stream of a peer; the one before it ends."""
        previous = self.by_instance.get(instance)
        if previous is link:
            return
        if previous is not None:
            previous.close()
        link.instance = instance
        self.by_instance[instance] = link

    def unregister(self, link: Link) -> None:
        """Forget a link whose stream has ended."""
        self.open_links.discard(link)
        if self.by_instance.get(link.instance) is link:
            del self.by_instance[link.instance]

    def trigger_heartbeats(self) -> None:
        """Send a heartbeat on every stream."""
        for link in self.open_links:
            link.heartbeat_due.set()

    def close_silent(self) -> None:
        """End the streams on which nothing came in for too long.

        A connection that something between the ends has forgotten stays open
        and silent. One check for all streams costs less than a deadline for
        each message.
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
    """Send and receive heartbeats on `stream` until one side ends it."""
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
        # Constant fields are repeated until the peer is known by name.
        named = bool(link.instance)
        await stream.send_message(members.build_heartbeat(link.instance, first))
        first = first and not named
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
    """Server side of the protocol between instances."""

    def __init__(self, links: Links, members: Members, handler: PeerHandler) -> None:
        self.links = links
        self.members = members
        self.handler = handler

    async def Exchange(self, stream: Stream) -> None:
        """Exchange heartbeats with the instance that dialled."""
        link = self.links.open()
        try:
            await exchange_heartbeats(
                stream, link, self.links, self.members, self.handler
            )
        except STREAM_ERRORS as error:
            _log_stream_closed(link.instance, error)

    async def FetchConfiguration(self, stream: Stream) -> None:
        """Answer with manifest and segments."""
        await _serve_unary_call(stream, self.handler.fetch_configuration)

    async def FetchLedger(self, stream: Stream) -> None:
        """Answer with the ledger."""
        await _serve_unary_call(stream, self.handler.fetch_ledger)

    async def OfferConfiguration(self, stream: Stream) -> None:
        """Take in an accepted configuration."""
        await _serve_unary_call(stream, self.handler.offer_configuration)

    async def Borrow(self, stream: Stream) -> None:
        """Lend tokens."""
        await _serve_unary_call(stream, self.handler.borrow)

    async def GetStatus(self, stream: Stream) -> None:
        """Answer with the status of this instance and its view of the others."""
        await stream.recv_message()
        await stream.send_message(self.handler.status())

    async def GetDump(self, stream: Stream) -> None:
        """Answer with the state dump."""
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
    """Client side: one channel for each peer address, opened on use."""

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
        """Call `method` at `address`; raises PeerError with the reason."""
        try:
            reply = await asyncio.wait_for(
                getattr(self.stub(address), method)(request), timeout_s
            )
        except STREAM_ERRORS as error:
            self._record_failure(address, error)
            raise PeerError(
                f"call {method} to {address} failed: {error!r}; "
                "check that the instance runs and can be reached"
            ) from error
        self.consecutive_timeouts.pop(address, None)
        return reply

    def _record_failure(self, address: str, error: BaseException) -> None:
        if isinstance(error, asyncio.TimeoutError):
            # One late answer says little; several mean that the connection
            # may be silent for good.
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
    """Keeps one task for each peer address that dials while no stream is open."""

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
        """Start tasks for addresses that are new and end those of lost ones."""
        wanted = set(seeds)
        wanted |= {view.peer_address for view in self._peer_records()}
        wanted -= {"", self.identity.peer_address}
        for address in wanted - set(self.tasks):
            self.tasks[address] = asyncio.create_task(self._keep_connected(address))
        for address in set(self.tasks) - wanted:
            self.tasks.pop(address).cancel()

    async def close(self) -> None:
        """End all tasks."""
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
                    # Otherwise leaving the context waits for the peer to end
                    # the stream, which a silent connection never does.
                    channel.close()
        except STREAM_ERRORS as error:
            _log_stream_closed(link.instance or address, error)
        except Exception:
            log_exception("peer_stream_failed", peer=link.instance or address)
        finally:
            self.links.unregister(link)
            channel.close()


async def serve_peers(service: PeerService, address: str) -> Server:
    """Listen for other instances; raises OSError if the address is in use."""
    host, port = split_address(address)
    server = Server([service])
    await server.start(host, port)
    log_info("peer_listening", address=address)
    return server
