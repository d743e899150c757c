"""Connection pools for targets, and a strict parser for their responses."""

import http.client
import io
import re
import socket
import threading
from http import HTTPStatus
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.util.wait import wait_for_read

from lacewinglift.socket_addresses import split_address
from lacewinglift.timers import Timers

# Idle time after which a connection is not reused if the target states no
# Keep-Alive timeout. An idle connection can be dropped without notice, and a new
# connection costs less than a lost request.
DEFAULT_KEEP_ALIVE_S = 1.0
# Fraction of the target's Keep-Alive timeout within which a connection is reused.
# The margin avoids requests that are sent while the target closes the connection.
KEEP_ALIVE_FRACTION = 0.7
# TCP keepalive: the kernel sends the first probe after the idle time and further ones
# at the interval.
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
# Time without an acknowledgement, of data or of a probe, after which the kernel closes
# a connection to a target.
TARGET_UNACKNOWLEDGED_S = 3
# A late response to an earlier request is discarded if its body is not larger than
# this; otherwise the attempt fails.
MAX_MISMATCHED_BODY_BYTES = 256 * 1024
# Late responses that are discarded before the attempt fails.
MAX_MISMATCHED_RESPONSES = 16
PRUNE_INTERVAL_S = 1.0
POOL_IDLE_TIMEOUT_S = 60.0
MAX_IDLE_CONNECTIONS_PER_TARGET = 16
MAX_INTERIM_RESPONSES = 16
MAX_TRAILERS = 100
MAX_RESPONSE_HEAD_BYTES = 64 * 1024
# Limit for a line with a chunk size and for a trailer.
MAX_LINE_BYTES = 16 * 1024

_STATUS_LINE = re.compile(rb"(HTTP/1\.[0-9]) +([1-5][0-9]{2})(?: +([^\r\n]*))?\r?\n")
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_LINE_FOLD = re.compile(r"\r\n[ \t]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
_KEEP_ALIVE_TIMEOUT = re.compile(r"(?:^|[,;\s])timeout=([0-9]{1,5})")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(;[^\r\n]*)?\r?\n")


def socket_options(unacknowledged_s: int) -> list[tuple[int, int, int]]:
    """Return options for connections that close if their peer does not acknowledge.

    Parameters
    ----------
    unacknowledged_s : int
        Seconds after which the kernel closes a connection, idle or not, whose peer
        has disappeared or is unreachable.
    """
    probes = (unacknowledged_s - TCP_KEEPALIVE_IDLE_S) // TCP_KEEPALIVE_INTERVAL_S
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_s * 1000),
    ]


class InvalidResponseError(http.client.HTTPException):
    """A target sent data that is not a single valid HTTP/1.1 response."""


class _HeadReader:
    """Reads complete lines and enforces the limit on the size of a head."""

    def __init__(self, stream: io.BufferedReader) -> None:
        self.stream = stream
        self.remaining_bytes = MAX_RESPONSE_HEAD_BYTES

    def readline(self, size: int) -> bytes:
        line = self.stream.readline(min(size, self.remaining_bytes))
        if not line.endswith(b"\n"):
            raise InvalidResponseError("the head is incomplete or too long")
        self.remaining_bytes -= len(line)
        return line

    def peek(self, size: int) -> bytes:
        return self.stream.peek(size)

    def close(self) -> None:
        self.stream.close()


class TargetResponse(http.client.HTTPResponse):
    """Response of a target, parsed more strictly than by http.client.

    http.client accepts status 103 as a final response, reads "0200" as status 200,
    passes on statuses above 599, accepts the first half of a chunk size such as "0400"
    as the last chunk if the connection ends there, accepts a truncated head as a
    complete one, and drops headers that follow an invalid line. In each of these cases
    a wrong or incomplete response would be forwarded as a complete one.
    """

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.socket = sock
        self.complete = False
        self.has_trailing_bytes = False
        self.was_reset = False
        """Whether the target has reset the connection. The socket raises that error
        once; reads after it end as if the connection had been closed."""
        self.expected_id_header: tuple[str, str] | None = None
        """Name and expected value of the header that identifies the request."""

    @property
    def reusable(self) -> bool:
        """Return whether the connection can carry another request."""
        return self.complete and not self.has_trailing_bytes and not self.will_close

    @property
    def ended_by_close(self) -> bool:
        """Return whether the end of the connection is the end of the body."""
        return self.will_close and self.length is None and not self.was_reset

    def begin(self) -> None:
        """Read the head of the response; discard responses to earlier requests."""
        if self.headers is not None:
            return
        self._read_head()
        discarded = 0
        while self._is_mismatched():
            if discarded == MAX_MISMATCHED_RESPONSES:
                raise InvalidResponseError("too many responses to other requests")
            self._discard_mismatched()
            discarded += 1
            self._read_head()
        if self.length == 0:
            self.complete = True

    def _read_head(self) -> None:
        stream = self.fp
        reader = self.fp = _HeadReader(stream)
        try:
            super().begin()
        finally:
            # `fp` is None if a failure has closed the connection.
            if self.fp is reader:
                self.fp = stream
        self._validate_head()

    def _is_mismatched(self) -> bool:
        """Return whether this is a late response to an earlier request."""
        if self.expected_id_header is None:
            return False
        name, value = self.expected_id_header
        return self.headers.get(name, value) != value

    def _discard_mismatched(self) -> None:
        if self.fp is None or self.will_close or self.length is None:
            raise InvalidResponseError(
                "a response to another request cannot be discarded"
            )
        if self.length > MAX_MISMATCHED_BODY_BYTES:
            raise InvalidResponseError("a response to another request is too long")
        if len(self.fp.read(self.length)) < self.length:
            raise InvalidResponseError("a response to another request is truncated")
        self.headers = self.msg = None
        self.status = self.reason = self.version = http.client._UNKNOWN
        self.chunked = self.chunk_left = self.length = http.client._UNKNOWN
        self.will_close = http.client._UNKNOWN

    def keep_alive_s(self) -> float:
        """Return the longest idle time after which the connection may be reused."""
        match = _KEEP_ALIVE_TIMEOUT.search(self.headers.get("keep-alive", ""))
        if match is None:
            return DEFAULT_KEEP_ALIVE_S
        return float(match[1]) * KEEP_ALIVE_FRACTION

    def _read_status(self) -> tuple[str, int, str]:
        for _ in range(MAX_INTERIM_RESPONSES):
            version, status, reason = self._read_status_line()
            if status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise InvalidResponseError(f"unexpected status {status}")
            if status >= HTTPStatus.OK:
                return version, status, reason
            http.client.parse_headers(self.fp)
        raise InvalidResponseError("too many interim responses")

    def _read_status_line(self) -> tuple[str, int, str]:
        line = self.fp.readline(MAX_LINE_BYTES)
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise InvalidResponseError("invalid status line")
        version, status, reason = match.groups(default=b"")
        return version.decode(), int(status), reason.decode("iso-8859-1")

    def _validate_head(self) -> None:
        message = self.msg
        if message.defects or message.get_payload():
            raise InvalidResponseError("invalid header line")
        for name, value in message.items():
            if not _HEADER_NAME.fullmatch(name) or _CONTROL_CHARACTER.search(
                _LINE_FOLD.sub(" ", value)
            ):
                raise InvalidResponseError("invalid header")
        lengths = message.get_all("content-length", [])
        codings = message.get_all("transfer-encoding", [])
        if codings and (lengths or not self.chunked or len(codings) > 1):
            raise InvalidResponseError("ambiguous framing")
        if len(lengths) > 1 or not all(
            _CONTENT_LENGTH.fullmatch(each) for each in lengths
        ):
            raise InvalidResponseError("invalid Content-Length")

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(MAX_LINE_BYTES)
        match = _CHUNK_SIZE.fullmatch(line)
        if match is None:
            self._close_conn()
            raise ValueError("incomplete or invalid chunk size")
        return int(match[1], 16)

    def _read_and_discard_trailer(self) -> None:
        for _ in range(MAX_TRAILERS):
            line = self.fp.readline(MAX_LINE_BYTES)
            if line in (b"\r\n", b"\n"):
                self.complete = True
                return
            if not line.endswith(b"\n"):
                raise http.client.IncompleteRead(b"")
        raise InvalidResponseError("too many trailers")

    def _close_conn(self) -> None:
        if self.fp is not None and not self.has_trailing_bytes:
            self.has_trailing_bytes = self._detect_trailing_bytes()
        super()._close_conn()

    def _detect_trailing_bytes(self) -> bool:
        # Trailing bytes would be read as the response to the next request.
        try:
            self.socket.settimeout(0)
            return bool(self.fp.peek(1))
        except (OSError, ValueError):
            return True


class TargetConnection(HTTPConnection):
    """Connection that records whether any byte of a request may have been sent."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.reuse_until_s = 0.0
        self.send_started = False
        self.was_reset = False
        """Whether the target has reset the connection before its response was read."""
        self.expected_id_header: tuple[str, str] | None = None
        self.last_response: TargetResponse | None = None
        self.response_class = self._create_response

    def _create_response(
        self, sock: socket.socket, *args: Any, **kwargs: Any
    ) -> TargetResponse:
        self.last_response = TargetResponse(sock, *args, **kwargs)
        self.last_response.expected_id_header = self.expected_id_header
        self.last_response.was_reset = self.was_reset
        return self.last_response

    def has_unread_data(self) -> bool:
        """Return whether there is unread data or the peer has closed the connection."""
        return self.sock is not None and wait_for_read(self.sock, 0)

    def send(self, data: Any) -> None:
        """Send data to the target."""
        self.send_started = True
        super().send(data)


class TargetPool(HTTPConnectionPool):
    """Connections to one target; connections that are idle for too long are closed."""

    ConnectionCls = TargetConnection

    def __init__(self, host: str, port: int, timers: Timers) -> None:
        super().__init__(
            host,
            port,
            maxsize=MAX_IDLE_CONNECTIONS_PER_TARGET,
            block=False,
            retries=False,
            socket_options=socket_options(TARGET_UNACKNOWLEDGED_S),
        )
        self.timers = timers
        self.last_used_at_s = timers.now()

    def checkout(self) -> TargetConnection:
        """Return a connection; it is open only if it can still be reused."""
        self.last_used_at_s = self.timers.now()
        connection = self._get_conn()
        if self._is_expired(connection) or connection.has_unread_data():
            connection.close()
        connection.send_started = False
        connection.was_reset = False
        return connection

    def checkin(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after its response was read to the end."""
        response = connection.last_response
        reuse_s = DEFAULT_KEEP_ALIVE_S if response is None else response.keep_alive_s()
        connection.reuse_until_s = self.timers.now() + reuse_s
        if self.pool is None or self.pool.full():
            connection.close()
            return
        self._put_conn(connection)

    def has_idle(self) -> bool:
        """Return whether the pool has an idle connection that can be reused."""
        if self.pool is None:
            return False
        with self.pool.mutex:
            return any(
                each is not None and not self._is_expired(each)
                for each in self.pool.queue
            )

    def prune(self) -> None:
        """Close connections that were idle for too long or have unread data."""
        if self.pool is None:
            return
        with self.pool.mutex:
            connections = [each for each in self.pool.queue if each is not None]
            expired = [
                each
                for each in connections
                if self._is_expired(each) or each.has_unread_data()
            ]
            if not expired:
                return
            self.pool.queue[:] = [
                None if each in expired else each for each in self.pool.queue
            ]
        for connection in expired:
            connection.close()

    def _is_expired(self, connection: TargetConnection) -> bool:
        return self.timers.now() > connection.reuse_until_s


class TargetPools:
    """Connection pools by target address."""

    def __init__(self, timers: Timers) -> None:
        self.timers = timers
        self.pools: dict[str, TargetPool] = {}
        self._lock = threading.Lock()
        self._subscription = timers.subscribe(PRUNE_INTERVAL_S, self.prune)

    def checkout(self, address: str) -> tuple[TargetPool, TargetConnection]:
        """Return the pool of an address and a connection from it."""
        with self._lock:
            pool = self.pools.get(address)
            if pool is None:
                pool = TargetPool(*split_address(address), self.timers)
                self.pools[address] = pool
            return pool, pool.checkout()

    def has_idle(self, address: str) -> bool:
        """Return whether the pool of an address has an idle connection."""
        with self._lock:
            pool = self.pools.get(address)
            return pool is not None and pool.has_idle()

    def prune(self) -> None:
        """Close expired connections and remove pools that are no longer used."""
        with self._lock:
            now = self.timers.now()
            for address, pool in list(self.pools.items()):
                pool.prune()
                if now - pool.last_used_at_s > POOL_IDLE_TIMEOUT_S:
                    del self.pools[address]
                    pool.close()

    def close(self) -> None:
        """Close all idle connections."""
        self._subscription.cancel()
        with self._lock:
            for pool in self.pools.values():
                pool.close()
            self.pools.clear()
