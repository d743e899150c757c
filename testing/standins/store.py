"""Stand-in for the platform's key-value service: a subset of the etcd v3 server.

Run it, with the list of instances, as a process with
`python -m testing.standins.store`; it prints one JSON line with its addresses.
"""

import argparse
import asyncio
import bisect
import json
import signal
import threading
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from attrs import define, field
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from lacewinglift.generated import etcd_grpc
from lacewinglift.generated.etcd_pb2 import (
    Compare,
    DeleteRangeRequest,
    DeleteRangeResponse,
    Event,
    KeyValue,
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseKeepAliveRequest,
    LeaseKeepAliveResponse,
    LeaseRevokeRequest,
    LeaseRevokeResponse,
    PutRequest,
    PutResponse,
    RangeRequest,
    RangeResponse,
    RequestOp,
    ResponseHeader,
    ResponseOp,
    TxnRequest,
    TxnResponse,
    WatchCreateRequest,
    WatchRequest,
    WatchResponse,
)
from testing.standins.control import ControlServer
from testing.standins.instances_list import LIST_LAG_S, InstancesList
from testing.standins.tcp_relay import LoopThread, Relay

MAX_VALUE_BYTES = 1_000_000
MAX_WRITES_PER_S = 400
MAX_READS_PER_S = 2_000

_EVERY_KEY = b"\x00"


@define(eq=False)
class KeySpace:
    """Keys, their history and their leases; not thread-safe."""

    now: Callable[[], float]
    revision: int = 1
    entries: dict[bytes, KeyValue] = field(factory=dict)
    history: list[tuple[int, Event]] = field(factory=list)
    compacted_revision: int = 0
    leases: dict[int, tuple[int, float]] = field(factory=dict)
    """Time to live and time of expiry, in seconds, by lease id."""

    def header(self) -> ResponseHeader:
        """Return a response header with the current revision."""
        return ResponseHeader(cluster_id=1, member_id=1, revision=self.revision)

    def select(self, key: bytes, range_end: bytes) -> list[KeyValue]:
        """Return the entries in a range, ordered by key."""
        if not range_end:
            found = self.entries.get(key)
            return [found] if found is not None else []
        names = sorted(name for name in self.entries if _in_range(name, key, range_end))
        return [self.entries[name] for name in names]

    def put(self, request: PutRequest, revision: int) -> PutResponse:
        """Write one entry as part of `revision`."""
        if request.lease and request.lease not in self.leases:
            raise GRPCError(Status.NOT_FOUND, "etcdserver: requested lease not found")
        before = self.entries.get(request.key)
        kv = KeyValue(
            key=request.key,
            value=request.value,
            create_revision=before.create_revision if before else revision,
            mod_revision=revision,
            version=before.version + 1 if before else 1,
            lease=request.lease,
        )
        self.entries[request.key] = kv
        self.history.append((revision, Event(type=Event.PUT, kv=kv)))
        return PutResponse(prev_kv=before if request.prev_kv else None)

    def delete(self, request: DeleteRangeRequest, revision: int) -> DeleteRangeResponse:
        """Delete the entries in a range as part of `revision`."""
        removed = self.select(request.key, request.range_end)
        for kv in removed:
            del self.entries[kv.key]
            tombstone = KeyValue(key=kv.key, mod_revision=revision)
            self.history.append((revision, Event(type=Event.DELETE, kv=tombstone)))
        return DeleteRangeResponse(
            deleted=len(removed), prev_kvs=removed if request.prev_kv else []
        )

    def read(self, request: RangeRequest) -> RangeResponse:
        """Return the response to a Range request, without a header."""
        found = self.select(request.key, request.range_end)
        response = RangeResponse(count=len(found))
        if request.count_only:
            return response
        if request.limit and len(found) > request.limit:
            response.more = True
            found = found[: request.limit]
        for kv in found:
            copy = response.kvs.add()
            copy.CopyFrom(kv)
            if request.keys_only:
                copy.ClearField("value")
        return response

    def transact(self, request: TxnRequest) -> TxnResponse:
        """Evaluate the comparisons of a transaction and apply one of its branches."""
        succeeded = all(self._evaluate_compare(compare) for compare in request.compare)
        operations = request.success if succeeded else request.failure
        for operation in operations:
            check_value(operation.request_put.value)
        revision = self.revision + 1
        responses = [self._apply(operation, revision) for operation in operations]
        if self.history and self.history[-1][0] == revision:
            self.revision = revision
        return TxnResponse(
            header=self.header(), succeeded=succeeded, responses=responses
        )

    def events_since(self, create: WatchCreateRequest, revision: int) -> list[Event]:
        """Return the events of a watched range from `revision` on."""
        start = bisect.bisect_left(self.history, revision, key=lambda item: item[0])
        return [
            event
            for _, event in self.history[start:]
            if _in_watch(event.kv.key, create)
        ]

    def compact(self) -> None:
        """Discard the history, as the platform does from time to time."""
        self.history.clear()
        self.compacted_revision = self.revision

    def expire_leases(self) -> bool:
        """Revoke expired leases; return whether there were any."""
        expired = [id for id, (_, until) in self.leases.items() if until <= self.now()]
        for lease in expired:
            self.revoke(lease)
        return bool(expired)

    def revoke(self, lease: int) -> None:
        """End a lease and delete its entries."""
        if self.leases.pop(lease, None) is None:
            raise GRPCError(Status.NOT_FOUND, "etcdserver: requested lease not found")
        names = [name for name, kv in self.entries.items() if kv.lease == lease]
        for name in names:
            self.delete(DeleteRangeRequest(key=name), self.revision + 1)
        if names:
            self.revision += 1

    def _apply(self, operation: RequestOp, revision: int) -> ResponseOp:
        kind = operation.WhichOneof("request")
        if kind == "request_put":
            return ResponseOp(response_put=self.put(operation.request_put, revision))
        if kind == "request_delete_range":
            deleted = self.delete(operation.request_delete_range, revision)
            return ResponseOp(response_delete_range=deleted)
        return ResponseOp(response_range=self.read(operation.request_range))

    def _evaluate_compare(self, compare: Compare) -> bool:
        kv = self.entries.get(compare.key, KeyValue())
        actual, expected = {
            Compare.VERSION: (kv.version, compare.version),
            Compare.CREATE: (kv.create_revision, compare.create_revision),
            Compare.MOD: (kv.mod_revision, compare.mod_revision),
            Compare.VALUE: (kv.value, compare.value),
            Compare.LEASE: (kv.lease, compare.lease),
        }[compare.target]
        return {
            Compare.EQUAL: actual == expected,
            Compare.GREATER: actual > expected,
            Compare.LESS: actual < expected,
            Compare.NOT_EQUAL: actual != expected,
        }[compare.result]


def check_value(value: bytes) -> None:
    """Raise GRPCError if a value exceeds `MAX_VALUE_BYTES`."""
    if len(value) > MAX_VALUE_BYTES:
        raise GRPCError(
            Status.INVALID_ARGUMENT, "etcdserver: request is too large (over 1 MB)"
        )


def _in_range(name: bytes, key: bytes, range_end: bytes) -> bool:
    return name >= key and (range_end == _EVERY_KEY or name < range_end)


def _in_watch(name: bytes, create: WatchCreateRequest) -> bool:
    if not create.range_end:
        return name == create.key
    return _in_range(name, create.key, create.range_end)


@define(eq=False)
class CallCounter:
    """Counts calls per second, and refuses those above the platform's rate limits."""

    now: Callable[[], float]
    enforced: bool = True
    reads: dict[int, int] = field(factory=lambda: defaultdict(int))
    writes: dict[int, int] = field(factory=lambda: defaultdict(int))
    watches: int = 0
    """Number of watches opened. Opening one also counts as one read."""
    refused: int = 0

    def count_read(self) -> None:
        """Count a read; raises GRPCError above the limit."""
        self._count(self.reads, MAX_READS_PER_S)

    def count_write(self) -> None:
        """Count a write; raises GRPCError above the limit."""
        self._count(self.writes, MAX_WRITES_PER_S)

    def totals(self) -> dict[str, Any]:
        """Return the counts, for the control port."""
        return {
            "reads": sum(self.reads.values()),
            "writes": sum(self.writes.values()),
            "watches": self.watches,
            "refused": self.refused,
            "most_reads_per_s": max(self.reads.values(), default=0),
            "most_writes_per_s": max(self.writes.values(), default=0),
        }

    def _count(self, counts: dict[int, int], limit: int) -> None:
        second = int(self.now())
        counts[second] += 1
        if self.enforced and counts[second] > limit:
            self.refused += 1
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "etcdserver: too many requests")


@define(eq=False)
class Faults:
    """Faults that the request handlers simulate."""

    delay_s: float = 0.0
    replies_to_drop: int = 0

    def should_drop_reply(self) -> bool:
        """Return whether to drop the reply to the current write, and count it."""
        if self.replies_to_drop <= 0:
            return False
        self.replies_to_drop -= 1
        return True


@define(eq=False)
class _ServiceState:
    """State that the gRPC handlers share."""

    keys: KeySpace
    counter: CallCounter
    faults: Faults
    watches: "set[_WatchStream]" = field(factory=set)

    def wake_watches(self) -> None:
        for watch in self.watches:
            watch.wake.set()

    async def serve_unary(self, stream: Stream, apply: Callable[[Any], Any]) -> None:
        """Receive the request of a unary call, apply it and reply."""
        request = await stream.recv_message()
        # Half of the delay comes after the request has been applied, so that a deadline
        # may expire before or after the call took effect.
        await asyncio.sleep(self.faults.delay_s / 2)
        before = self.keys.revision
        response = apply(request)
        self.wake_watches()
        if self.keys.revision != before and self.faults.should_drop_reply():
            await asyncio.Event().wait()
        await asyncio.sleep(self.faults.delay_s / 2)
        await stream.send_message(response)


class _KV(etcd_grpc.KVBase):
    def __init__(self, service: _ServiceState) -> None:
        self.service = service

    async def Range(self, stream: Stream) -> None:
        await self.service.serve_unary(stream, self._range)

    async def Put(self, stream: Stream) -> None:
        await self.service.serve_unary(stream, self._put)

    async def DeleteRange(self, stream: Stream) -> None:
        await self.service.serve_unary(stream, self._delete)

    async def Txn(self, stream: Stream) -> None:
        await self.service.serve_unary(stream, self._transact)

    def _range(self, request: RangeRequest) -> RangeResponse:
        self.service.counter.count_read()
        response = self.service.keys.read(request)
        response.header.CopyFrom(self.service.keys.header())
        return response

    def _put(self, request: PutRequest) -> PutResponse:
        operation = RequestOp(request_put=request)
        return self._transact_one(operation).response_put

    def _delete(self, request: DeleteRangeRequest) -> DeleteRangeResponse:
        operation = RequestOp(request_delete_range=request)
        return self._transact_one(operation).response_delete_range

    def _transact_one(self, operation: RequestOp) -> ResponseOp:
        response = self._transact(TxnRequest(success=[operation]))
        single = response.responses[0]
        getattr(single, single.WhichOneof("response")).header.CopyFrom(response.header)
        return single

    def _transact(self, request: TxnRequest) -> TxnResponse:
        operations = [*request.success, *request.failure]
        if all(operation.HasField("request_range") for operation in operations):
            self.service.counter.count_read()
        else:
            self.service.counter.count_write()
        return self.service.keys.transact(request)


@define(eq=False)
class _WatchStream:
    """One watch stream, which may carry several watches.

    The receiver records requests, and a sender task serves them.
    """

    service: _ServiceState
    stream: Stream
    wake: asyncio.Event = field(factory=asyncio.Event)
    """Set after a request or a change of any key."""
    create_requests: list[WatchRequest] = field(factory=list)
    """Requests that the sender has not served yet."""
    progress_requests: int = 0
    watched: dict[int, tuple[WatchCreateRequest, int]] = field(factory=dict)
    """Request and first revision not sent yet, by watch id."""

    async def run(self) -> None:
        sender = asyncio.ensure_future(self._send_all())
        try:
            await self._receive_all()
        finally:
            sender.cancel()

    async def _receive_all(self) -> None:
        while True:
            request = await self.stream.recv_message()
            if request is None:
                return
            if request.HasField("create_request"):
                self.service.counter.count_read()
                self.service.counter.watches += 1
                self.create_requests.append(request)
            elif request.HasField("cancel_request"):
                self.watched.pop(request.cancel_request.watch_id, None)
            else:
                self.progress_requests += 1
            self.wake.set()

    async def _send_all(self) -> None:
        while True:
            await self.wake.wait()
            self.wake.clear()
            await asyncio.sleep(self.service.faults.delay_s)
            while self.create_requests:
                await self._create(self.create_requests.pop(0).create_request)
            for watch_id in list(self.watched):
                await self._send_events(watch_id)
            while self.progress_requests:
                self.progress_requests -= 1
                await self._send(WatchResponse(watch_id=-1))

    async def _create(self, request: WatchCreateRequest) -> None:
        keys = self.service.keys
        watch_id = request.watch_id or len(self.watched)
        start = request.start_revision or keys.revision + 1
        if start <= keys.compacted_revision:
            await self._send(WatchResponse(watch_id=watch_id, created=True))
            await self._send(
                WatchResponse(
                    watch_id=watch_id,
                    canceled=True,
                    compact_revision=keys.compacted_revision,
                    cancel_reason="required revision has been compacted",
                )
            )
            return
        self.watched[watch_id] = (request, start)
        await self._send(WatchResponse(watch_id=watch_id, created=True))

    async def _send_events(self, watch_id: int) -> None:
        keys = self.service.keys
        request, start = self.watched[watch_id]
        events = keys.events_since(request, start)
        self.watched[watch_id] = (request, max(start, keys.revision + 1))
        if events:
            await self._send(WatchResponse(watch_id=watch_id, events=events))

    async def _send(self, response: WatchResponse) -> None:
        response.header.CopyFrom(self.service.keys.header())
        await self.stream.send_message(response)


class _Watch(etcd_grpc.WatchBase):
    def __init__(self, service: _ServiceState) -> None:
        self.service = service

    async def Watch(self, stream: Stream) -> None:
        watch = _WatchStream(self.service, stream)
        self.service.watches.add(watch)
        try:
            await watch.run()
        finally:
            self.service.watches.discard(watch)


class _Lease(etcd_grpc.LeaseBase):
    def __init__(self, service: _ServiceState) -> None:
        self.service = service
        self.last_id = 1000

    async def LeaseGrant(self, stream: Stream) -> None:
        await self.service.serve_unary(stream, self._grant)

    async def LeaseRevoke(self, stream: Stream) -> None:
        await self.service.serve_unary(stream, self._revoke)

    async def LeaseKeepAlive(self, stream: Stream) -> None:
        async for request in stream:
            self.service.counter.count_write()
            await stream.send_message(self._keep_alive(request))

    def _grant(self, request: LeaseGrantRequest) -> LeaseGrantResponse:
        self.service.counter.count_write()
        self.last_id += 1
        lease = request.ID or self.last_id
        keys = self.service.keys
        keys.leases[lease] = (request.TTL, keys.now() + request.TTL)
        return LeaseGrantResponse(header=keys.header(), ID=lease, TTL=request.TTL)

    def _revoke(self, request: LeaseRevokeRequest) -> LeaseRevokeResponse:
        self.service.counter.count_write()
        self.service.keys.revoke(request.ID)
        return LeaseRevokeResponse(header=self.service.keys.header())

    def _keep_alive(self, request: LeaseKeepAliveRequest) -> LeaseKeepAliveResponse:
        keys = self.service.keys
        known = keys.leases.get(request.ID)
        ttl = known[0] if known else 0
        if known:
            keys.leases[request.ID] = (ttl, keys.now() + ttl)
        return LeaseKeepAliveResponse(header=keys.header(), ID=request.ID, TTL=ttl)


class StoreStandIn:
    """The key-value service on its own thread, with faults.

    Parameters
    ----------
    port : int, default=0
        Port for callers; 0 chooses a free one.
    enforce_limits : bool, default=True
        Whether to refuse calls above the platform's rate limits.
    """

    def __init__(self, port: int = 0, enforce_limits: bool = True) -> None:
        self.thread = LoopThread("store-stand-in")
        now = self.thread.loop.time
        self.service = _ServiceState(
            KeySpace(now), CallCounter(now, enforce_limits), Faults()
        )
        self.thread.run(self._start(port))

    @property
    def address(self) -> str:
        """Return the ``host:port`` for callers."""
        return self.relay.address

    def outage(self) -> None:
        """Abort all connections and refuse new ones; the data is kept."""
        self.thread.run(self.relay.refuse())

    def freeze(self) -> None:
        """Accept connections but never reply, on open connections too."""
        self._call_on_loop(self.relay.freeze)

    def silence(self) -> None:
        """Never reply again on the open connections; new ones work."""
        self._call_on_loop(self.relay.silence)

    def slow(self, delay_ms: float) -> None:
        """Delay each reply by `delay_ms`."""
        self.service.faults.delay_s = delay_ms / 1000

    def lose_replies(self, count: int) -> None:
        """Apply the next `count` writes without replying."""
        self.service.faults.replies_to_drop = count

    def restore(self) -> None:
        """End all faults; connections that `freeze` or `silence` hit stay dead."""
        self.service.faults.delay_s = 0.0
        self.service.faults.replies_to_drop = 0
        self._call_on_loop(self.relay.thaw)
        if self.relay.server is None:
            self.thread.run(self.relay.start())

    def compact(self) -> None:
        """Discard the history of changes."""
        self._call_on_loop(self.service.keys.compact)

    def calls(self) -> dict[str, Any]:
        """Return the numbers of calls and of open watches."""
        return self._call_on_loop(self._calls)

    def put(self, key: str, value: bytes) -> int:
        """Write an entry as another client would; return the revision."""
        return self._call_on_loop(lambda: self._put(key, value))

    def delete(self, key: str) -> None:
        """Delete an entry as another client would."""
        operation = RequestOp(request_delete_range=DeleteRangeRequest(key=key.encode()))
        self._call_on_loop(lambda: self._write(operation))

    def values(self, prefix: str = "") -> dict[str, bytes]:
        """Return the values of all keys that start with `prefix`."""
        entries = self._call_on_loop(lambda: dict(self.service.keys.entries))
        return {
            name.decode(): kv.value
            for name, kv in entries.items()
            if name.startswith(prefix.encode())
        }

    def commands(self) -> dict[str, Callable[..., Any]]:
        """Return the commands of the control port."""
        return {
            "outage": self.outage,
            "freeze": self.freeze,
            "silence": self.silence,
            "slow": self.slow,
            "lose_replies": self.lose_replies,
            "restore": self.restore,
            "compact": self.compact,
            "calls": self.calls,
        }

    def close(self) -> None:
        """Stop the service and its thread."""
        self.thread.run(self._close())
        self.thread.stop()

    async def _start(self, port: int) -> None:
        service = self.service
        self.server = Server([_KV(service), _Watch(service), _Lease(service)])
        await self.server.start("127.0.0.1", 0)
        # grpclib has no public API for the port that was chosen.
        inner = self.server._server.sockets[0].getsockname()
        self.relay = Relay(inner[0], inner[1])
        await self.relay.start(port)
        self.expiry = asyncio.ensure_future(self._expire_leases())

    async def _close(self) -> None:
        self.expiry.cancel()
        await self.relay.refuse()
        self.server.close()
        await self.server.wait_closed()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            if self.service.keys.expire_leases():
                self.service.wake_watches()

    def _calls(self) -> dict[str, Any]:
        waiting = sum(len(watch.watched) for watch in self.service.watches)
        return {**self.service.counter.totals(), "waiting_watches": waiting}

    def _put(self, key: str, value: bytes) -> int:
        check_value(value)
        request = PutRequest(key=key.encode(), value=value)
        return self._write(RequestOp(request_put=request))

    def _write(self, operation: RequestOp) -> int:
        response = self.service.keys.transact(TxnRequest(success=[operation]))
        self.service.wake_watches()
        return response.header.revision

    def _call_on_loop(self, function: Callable[[], Any]) -> Any:
        async def call() -> Any:
            return function()

        return self.thread.run(call())


def wait_for_signal() -> None:
    """Return after SIGTERM or SIGINT."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()


def main() -> None:
    """Run the stand-in until it is signalled."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--no-limits", action="store_true")
    parser.add_argument("--list-lag-s", type=float, default=LIST_LAG_S)
    options = parser.parse_args()
    store = StoreStandIn(options.port, not options.no_limits)
    instances = InstancesList(store, options.list_lag_s)
    commands = {**store.commands(), **instances.commands()}
    control = ControlServer(commands, options.control_port)
    ready = {"address": store.address, "control": control.address}
    print(json.dumps(ready), flush=True)
    wait_for_signal()
    control.close()
    instances.close()
    store.close()


if __name__ == "__main__":
    main()
