"""Client of the store, a key-value service that speaks a subset of etcd v3."""

import asyncio
import random
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

from attrs import define, field, frozen
from grpclib.client import Channel, Stream
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lacewinglift.errors import StoreRefusedError, StoreUnavailableError
from lacewinglift.generated.etcd_grpc import KVStub, WatchStub
from lacewinglift.generated.etcd_pb2 import (
    Compare,
    Event,
    KeyValue,
    PutRequest,
    RangeRequest,
    RangeResponse,
    RequestOp,
    TxnRequest,
    TxnResponse,
    WatchCreateRequest,
    WatchProgressRequest,
    WatchRequest,
    WatchResponse,
)
from lacewinglift.logs import log_info, log_warning
from lacewinglift.timers import Timers

CALL_TIMEOUT_S = 1.0
PROGRESS_REQUEST_INTERVAL_S = 1.0
WATCH_TIMEOUT_S = 3.0
REOPEN_MIN_DELAY_S = 0.1
# An outage may last hours. At this rate the watchers of a fleet do not exhaust the
# call rate limit of a store that is just recovering.
REOPEN_MAX_DELAY_S = 2.0

# Statuses with which the store states that it did not carry out the call. All others
# may also result from a lost connection or a deadline after a write took effect.
_REFUSAL_STATUSES = frozenset(
    {
        Status.ALREADY_EXISTS,
        Status.FAILED_PRECONDITION,
        Status.INVALID_ARGUMENT,
        Status.NOT_FOUND,
        Status.OUT_OF_RANGE,
        Status.PERMISSION_DENIED,
        Status.RESOURCE_EXHAUSTED,
        Status.UNAUTHENTICATED,
        Status.UNIMPLEMENTED,
    }
)

_Reply = TypeVar("_Reply")


@frozen
class Entry:
    """One value in the store and the revision that wrote it."""

    key: str
    value: bytes
    revision: int
    deleted: bool = False
    """Whether the key was deleted; only a watch yields such entries."""


@define
class StoreCallCounts:
    """Numbers of calls and failures by kind, for metrics."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    unavailable: int = 0
    refused: int = 0


class Store:
    """Client of the store; all methods must be called on one asyncio loop.

    Parameters
    ----------
    address : str
        Host and port of the store, `host:port`.
    timers : Timers
        Clock of `last_contact_at_s`.
    timeout_s : float, default=1.0
        Deadline of each call, including the time to connect.
    """

    def __init__(
        self, address: str, timers: Timers, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self.address = address
        self.timers = timers
        self.timeout_s = timeout_s
        self.call_counts = StoreCallCounts()
        self.last_contact_at_s: float | None = None
        """When the newest call or progress request that was answered was sent."""
        self._channel: Channel | None = None
        self._watches: set[Watch] = set()

    async def get(self, key: str) -> Entry | None:
        """Return the current entry of `key`, or None if the key is absent."""
        reply = await self._range(RangeRequest(key=key.encode()))
        return _entry(reply.kvs[0]) if reply.kvs else None

    async def list_prefix(self, prefix: str) -> list[Entry]:
        """Return all entries whose key starts with `prefix`, ordered by key."""
        start = prefix.encode()
        request = RangeRequest(key=start, range_end=_prefix_end(start))
        reply = await self._range(request)
        return [_entry(kv) for kv in reply.kvs]

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> int | None:
        """Write `value` if the revision of `key` is still `expected_revision`.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            New value, at most 1 MB (the store refuses larger ones).
        expected_revision : int
            Revision of the entry to replace; 0 if the key must be absent.

        Returns
        -------
        int or None
            Revision of the new entry, or None if the revision did not match.

        Raises
        ------
        StoreUnavailableError
            No reply came; the write may have taken effect.
        StoreRefusedError
            The store replied that it did not write.
        """
        request = _swap_request(key.encode(), value, expected_revision)

        async def call(channel: Channel) -> TxnResponse:
            return await KVStub(channel).Txn(request, timeout=self.timeout_s)

        self.call_counts.writes += 1
        reply = await self._call(call, f"write of {key}")
        return reply.header.revision if reply.succeeded else None

    def watch(self, key: str, from_revision: int = 0) -> "Watch":
        """Return an iterator over the current and all later entries of `key`.

        Entries of revisions below `from_revision` are skipped. The iterator
        continues across outages of the store. Call its `aclose` when it is no
        longer needed.
        """
        watch = Watch(self, key, from_revision)
        self._watches.add(watch)
        return watch

    def close(self) -> None:
        """Close all connections; the iterators of watches end."""
        for watch in list(self._watches):
            watch.stop()
        self._close_channel(self._channel)

    def open_channel(self) -> Channel:
        """Return a new channel to the store; it connects on the first call."""
        host, _, port = self.address.rpartition(":")
        return Channel(host.strip("[]"), int(port))

    def record_contact(self, sent_at_s: float) -> None:
        """Record that a call or request sent at `sent_at_s` was answered."""
        if self.last_contact_at_s is None or sent_at_s > self.last_contact_at_s:
            self.last_contact_at_s = sent_at_s

    async def read(self, request: RangeRequest, channel: Channel) -> RangeResponse:
        """Make one Range call on `channel`, and count it."""
        self.call_counts.reads += 1
        return await KVStub(channel).Range(request, timeout=self.timeout_s)

    def count_failure(self, error: BaseException) -> None:
        """Count a failed call as refused or unavailable."""
        if _is_refusal(error):
            self.call_counts.refused += 1
        else:
            self.call_counts.unavailable += 1

    def remove_watch(self, watch: "Watch") -> None:
        """Remove a watch that has ended."""
        self._watches.discard(watch)

    async def _range(self, request: RangeRequest) -> RangeResponse:
        async def call(channel: Channel) -> RangeResponse:
            return await self.read(request, channel)

        return await self._call(call, f"read of {request.key.decode()}")

    async def _call(
        self, call: Callable[[Channel], Awaitable[_Reply]], purpose: str
    ) -> _Reply:
        if self._channel is None:
            self._channel = self.open_channel()
        channel = self._channel
        sent_at_s = self.timers.now()
        try:
            async with asyncio.timeout(self.timeout_s):
                reply = await call(channel)
        except _CALL_FAILURES as error:
            self._close_after_failure(channel, error)
            raise self._failure(error, purpose) from error
        self.record_contact(sent_at_s)
        return reply

    def _failure(
        self, error: BaseException, purpose: str
    ) -> StoreRefusedError | StoreUnavailableError:
        self.count_failure(error)
        if _is_refusal(error):
            return StoreRefusedError(
                f"the store at {self.address} refused the {purpose}: {error}"
            )
        return StoreUnavailableError(
            f"no answer from the store at {self.address} to the {purpose} within"
            f" {self.timeout_s:g} s ({_describe(error)}); check that it is running"
            " and reachable"
        )

    def _close_after_failure(self, channel: Channel, error: BaseException) -> None:
        # A connection on which a call timed out may be dead although new ones work.
        if not _is_refusal(error):
            self._close_channel(channel)

    def _close_channel(self, channel: Channel | None) -> None:
        if channel is None:
            return
        if self._channel is channel:
            self._channel = None
        channel.close()


class Watch:
    """Iterator over the entries of one key; reopens the watch after a failure.

    It uses its own connection, so that a slow call does not interrupt it.

    Attributes
    ----------
    confirmed_at_s : float or None
        The store confirmed, in reply to a request sent at this local monotonic
        time, that all earlier changes had been delivered. It is set only after the
        consumer has taken the preceding entries from the iterator.
    reopen_count : int
        How often the watch was reopened after a failure.
    """

    def __init__(self, store: Store, key: str, from_revision: int) -> None:
        self.store = store
        self.key = key
        self.from_revision = from_revision
        self.confirmed_at_s: float | None = None
        self.reopen_count = 0
        self._next_revision = 0
        """First revision not received yet; 0 if the current value must be read."""
        self._yielded_revision = 0
        self._failures = 0
        self._channel: Channel | None = None
        self._stopped = False
        self._entries = self._run()

    def __aiter__(self) -> "Watch":
        return self

    async def __anext__(self) -> Entry:
        return await anext(self._entries)

    def stop(self) -> None:
        """Close the connection; the iteration ends soon after."""
        self._stopped = True
        if self._channel is not None:
            self._channel.close()

    async def aclose(self) -> None:
        """End the watch; no task may be waiting for an entry."""
        self.stop()
        await self._entries.aclose()
        self.store.remove_watch(self)

    async def _run(self) -> AsyncIterator[Entry]:
        try:
            while not self._stopped:
                self._channel = self.store.open_channel()
                try:
                    async for entry in self._read_and_watch(self._channel):
                        yield entry
                except _CALL_FAILURES as error:
                    self._record_failure(error)
                finally:
                    self._channel.close()
                if not self._stopped:
                    await asyncio.sleep(self._reopen_delay_s())
        finally:
            self.store.remove_watch(self)

    def _reopen_delay_s(self) -> float:
        delay_s = REOPEN_MIN_DELAY_S * 2 ** min(self._failures, 8)
        return min(delay_s, REOPEN_MAX_DELAY_S) * random.uniform(0.5, 1.0)

    def _record_failure(self, error: BaseException) -> None:
        if self._stopped:
            return
        self._failures += 1
        self.reopen_count += 1
        self.store.count_failure(error)
        if self._failures == 1:
            log_warning("watch_interrupted", key=self.key, error=_describe(error))

    async def _read_and_watch(self, channel: Channel) -> AsyncIterator[Entry]:
        if self._next_revision == 0:
            for entry in await self._read_current(channel):
                yield entry
        self.store.call_counts.watches += 1
        async with WatchStub(channel).Watch.open() as stream:
            async with asyncio.timeout(self.store.timeout_s):
                await stream.send_message(self._create_request())
            connection = _WatchConnection(self.store.timers, stream)
            try:
                while True:
                    response = await connection.next_response()
                    if self._must_reread(response):
                        self._next_revision = 0
                        return
                    for entry in self._apply_response(response):
                        yield entry
                    if connection.confirmed_at_s is not None:
                        self._confirm(connection.confirmed_at_s)
            finally:
                connection.cancel()

    async def _read_current(self, channel: Channel) -> list[Entry]:
        sent_at_s = self.store.timers.now()
        request = RangeRequest(key=self.key.encode())
        async with asyncio.timeout(self.store.timeout_s):
            reply = await self.store.read(request, channel)
        self.store.record_contact(sent_at_s)
        self._next_revision = reply.header.revision + 1
        if not reply.kvs:
            self.confirmed_at_s = sent_at_s
            return []
        entry = _entry(reply.kvs[0])
        if entry.revision < self.from_revision:
            return []
        if entry.revision == self._yielded_revision:
            return []
        self._yielded_revision = entry.revision
        return [entry]

    def _create_request(self) -> WatchRequest:
        return WatchRequest(
            create_request=WatchCreateRequest(
                key=self.key.encode(), start_revision=self._next_revision
            )
        )

    def _must_reread(self, response: WatchResponse) -> bool:
        """Return whether changes may be missing, so that the value must be read."""
        if response.canceled:
            log_info(
                "watch_cancelled",
                key=self.key,
                reason=response.cancel_reason,
                compacted=response.compact_revision,
            )
            return True
        # A lower revision means that the store was restored from an older state. It
        # will assign the revisions that this watch has received to other changes.
        return response.header.revision < self._next_revision - 1

    def _apply_response(self, response: WatchResponse) -> list[Entry]:
        if self._failures:
            log_info("watch_restored", key=self.key, failures=self._failures)
            self._failures = 0
        entries = []
        for event in response.events:
            revision = event.kv.mod_revision
            if revision < self._next_revision:
                continue
            self._next_revision = revision + 1
            if revision >= self.from_revision:
                self._yielded_revision = revision
                entries.append(_event_entry(event))
        return entries

    def _confirm(self, sent_at_s: float) -> None:
        self.confirmed_at_s = sent_at_s
        self.store.record_contact(sent_at_s)


@define(eq=False)
class _WatchConnection:
    """One open watch stream: requests progress, and detects a dead connection."""

    timers: Timers
    stream: Stream[WatchRequest, WatchResponse]
    confirmed_at_s: float | None = None
    progress_requested_at_s: deque[float] = field(factory=deque)
    """When each unanswered progress request was sent, oldest first."""
    receive_task: "asyncio.Task[WatchResponse | None] | None" = None
    next_progress_request_at_s: float = field(init=False)
    last_response_at_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.next_progress_request_at_s = (
            self.timers.now() + PROGRESS_REQUEST_INTERVAL_S
        )
        self.last_response_at_s = self.timers.now()

    def cancel(self) -> None:
        """Cancel the pending read."""
        if self.receive_task is not None:
            self.receive_task.cancel()

    async def next_response(self) -> WatchResponse:
        """Return the next response; raises if the watch must be reopened."""
        # The time that the consumer spent between two calls must not count as silence
        # of the store, so leave enough time for one more progress request.
        self.last_response_at_s = max(
            self.last_response_at_s,
            self.timers.now() - WATCH_TIMEOUT_S + PROGRESS_REQUEST_INTERVAL_S,
        )
        while True:
            if self.receive_task is None:
                self.receive_task = asyncio.ensure_future(self.stream.recv_message())
            due_s = min(
                self.next_progress_request_at_s,
                self.last_response_at_s + WATCH_TIMEOUT_S,
            )
            timeout_s = max(due_s - self.timers.now(), 0.0)
            done, _ = await asyncio.wait({self.receive_task}, timeout=timeout_s)
            if done:
                return self._received()
            await self._request_progress()

    def _received(self) -> WatchResponse:
        receive_task, self.receive_task = self.receive_task, None
        response = receive_task.result()
        if response is None:
            raise StreamTerminatedError("the store closed the watch stream")
        self.last_response_at_s = self.timers.now()
        if _is_progress(response) and self.progress_requested_at_s:
            # A response does not say which request it answers. With the oldest one,
            # the confirmation never appears more recent than it is.
            self.confirmed_at_s = self.progress_requested_at_s.popleft()
        return response

    async def _request_progress(self) -> None:
        now = self.timers.now()
        if now - self.last_response_at_s >= WATCH_TIMEOUT_S:
            raise StreamTerminatedError(
                f"no response on the watch stream for {WATCH_TIMEOUT_S:g} s"
            )
        if now < self.next_progress_request_at_s:
            return
        if (
            len(self.progress_requested_at_s)
            > WATCH_TIMEOUT_S / PROGRESS_REQUEST_INTERVAL_S
        ):
            raise StreamTerminatedError("the store does not answer progress requests")
        self.next_progress_request_at_s = now + PROGRESS_REQUEST_INTERVAL_S
        self.progress_requested_at_s.append(now)
        request = WatchRequest(progress_request=WatchProgressRequest())
        async with asyncio.timeout(WATCH_TIMEOUT_S):
            await self.stream.send_message(request)


_CALL_FAILURES = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
    OSError,
)


def _is_refusal(error: BaseException) -> bool:
    return isinstance(error, GRPCError) and error.status in _REFUSAL_STATUSES


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__


def _is_progress(response: WatchResponse) -> bool:
    return not (response.events or response.created or response.canceled)


def _entry(kv: KeyValue) -> Entry:
    return Entry(kv.key.decode(), kv.value, kv.mod_revision)


def _event_entry(event: Event) -> Entry:
    if event.type == Event.DELETE:
        return Entry(event.kv.key.decode(), b"", event.kv.mod_revision, deleted=True)
    return _entry(event.kv)


def _prefix_end(prefix: bytes) -> bytes:
    """Return the end of the range of all keys that start with `prefix`."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        return b"\x00"
    return stripped[:-1] + bytes([stripped[-1] + 1])


def _swap_request(key: bytes, value: bytes, expected_revision: int) -> TxnRequest:
    return TxnRequest(
        compare=[
            Compare(
                result=Compare.EQUAL,
                target=Compare.MOD,
                key=key,
                mod_revision=expected_revision,
            )
        ],
        success=[RequestOp(request_put=PutRequest(key=key, value=value))],
    )
