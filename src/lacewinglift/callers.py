"""Connection of a caller: reads request heads and writes responses."""

import contextlib
import re
import socket
import struct
from collections.abc import Callable, Iterator
from email.utils import formatdate

from attrs import define

from lacewinglift.bodies import CallerGoneError, Reader
from lacewinglift.headers import (
    MAX_HEAD_BYTES,
    BadRequestError,
    Headers,
    RequestHead,
    parse_head,
)
from lacewinglift.timers import Timers

HEAD_TIMEOUT_S = 5.0
# Maximum time without progress while a caller sends or receives a body.
CALLER_IDLE_TIMEOUT_S = 10.0
SEND_POLL_INTERVAL_S = 0.25
# The same while the rest of the response is read ahead. A target's slot should not wait
# longer for a caller than a small part of an ordinary response time.
BLOCKED_POLL_INTERVAL_S = 0.02
COALESCE_MAX_BYTES = 16 * 1024
LINGER_TIMEOUT_S = 1.0
LINGER_MAX_BYTES = 256 * 1024

_BARE_NEWLINE = re.compile(rb"(?<!\r)\n")
_NOT_REASON = re.compile(r"[^\t\x20-\x7e\x80-\xff]")


class HeadReader(Reader):
    """The methods of cheroot's reader that are used to read request heads."""

    def peek(self, size: int) -> bytes:
        """Return the buffered data; read once first if it is under `size` bytes."""
        ...


@define(eq=False)
class CallerStream:
    """Reads request heads from the connection of a caller and sends data to it.

    Attributes
    ----------
    reader : HeadReader
        Reader with a buffer of `MAX_HEAD_BYTES`.
    socket : socket.socket
        Socket of the connection.
    address : str
        IP address of the caller.
    timers : Timers
        Clock.
    reset_on_close : bool
        Whether closing the socket resets the connection.
    """

    reader: HeadReader
    socket: socket.socket
    address: str
    timers: Timers
    reset_on_close: bool = False
    cancelled: Callable[[], bool] = bool
    """Returns whether the response that is being sent must be aborted."""
    while_blocked: Callable[[], bool] | None = None
    """Called while the caller does not take what is sent; returns False at the end."""
    head_started_s: float | None = None
    head_bytes_seen: int = 0
    queued_at_s: float | None = None
    """Time at which the connection was passed to the worker threads."""
    arrived_s: float = 0.0
    """Time at which the last request was read, or noticed while an earlier one ran."""
    next_arrived_s: float | None = None
    """The same of a pipelined request that is not read yet; None if there is none."""

    def poll_head(self) -> RequestHead | None:
        """Read the part of the next request head that has arrived.

        The socket must be readable, unless the reader has buffered data that was not
        examined before.

        Returns
        -------
        RequestHead or None
            The head; None while it is incomplete.

        Raises
        ------
        BadRequestError
            If the head is invalid or does not arrive in time.
        CallerGoneError
            If the caller closes the connection.
        """
        if self.head_started_s is None:
            self.head_started_s = self.timers.now()
        elif self.timers.now() - self.head_started_s > HEAD_TIMEOUT_S:
            raise BadRequestError("the request head did not arrive in time")
        try:
            self.socket.settimeout(HEAD_TIMEOUT_S)
            seen = self.reader.peek(self.head_bytes_seen + 1)
        except OSError as error:
            raise CallerGoneError from error
        if len(seen) <= self.head_bytes_seen:
            raise CallerGoneError
        block = self._extract_head(seen)
        if block is None:
            self.head_bytes_seen = len(seen)
            return None
        self._record_arrival()
        self.head_bytes_seen = 0
        self.head_started_s = None
        head = parse_head(block)
        if len(seen) > len(block) and not head.has_body:
            self.note_input()
        return head

    def _record_arrival(self) -> None:
        if self.next_arrived_s is None:
            self.arrived_s = self.timers.now()
        else:
            self.arrived_s = self.next_arrived_s
        self.next_arrived_s = None

    def note_input(self) -> None:
        """Record that a further request has arrived before this one has ended."""
        if self.next_arrived_s is None:
            self.next_arrived_s = self.timers.now()

    def _extract_head(self, seen: bytes) -> bytes | None:
        # One empty line before a request is allowed, because some callers send it
        # after a body.
        start = 2 if seen.startswith(b"\r\n") else 0
        end = seen.find(b"\r\n\r\n", start)
        head = seen[start:] if end < 0 else seen[start : end + 4]
        if _BARE_NEWLINE.search(head):
            raise BadRequestError("lines of the head must end with CR LF")
        if end >= 0:
            self.reader.read(end + 4)
            return head
        if len(seen) >= MAX_HEAD_BYTES:
            raise BadRequestError(f"the request head is over {MAX_HEAD_BYTES} bytes")
        return None

    def queued_s(self) -> float:
        """Return how long ago the connection was passed to the worker threads."""
        if self.queued_at_s is None:
            return 0.0
        return self.timers.now() - self.queued_at_s

    def send(self, data: bytes) -> None:
        """Send bytes; raise CallerGoneError if the caller does not receive them."""
        left = memoryview(data)
        progress_s = self.timers.now()
        try:
            blocked = self.while_blocked is not None
            self.socket.settimeout(
                BLOCKED_POLL_INTERVAL_S if blocked else SEND_POLL_INTERVAL_S
            )
            while True:
                with contextlib.suppress(TimeoutError):
                    left = left[self.socket.send(left) :]
                    progress_s = self.timers.now()
                if not left:
                    return
                # What can be sent at once is sent. A passed deadline is then found at
                # the next read, and held against the target and not the caller.
                if self.cancelled():
                    raise CallerGoneError
                if self.timers.now() - progress_s > CALLER_IDLE_TIMEOUT_S:
                    raise CallerGoneError
                if self.while_blocked is not None and not self.while_blocked():
                    self.while_blocked = None
                    self.socket.settimeout(SEND_POLL_INTERVAL_S)
        except OSError as error:
            raise CallerGoneError from error

    def send_continue(self) -> None:
        """Send `100 Continue` to a caller that waits before it sends the body."""
        self.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def linger(self) -> None:
        """Read and discard what the caller still sends, up to a time and size limit.

        Closing the socket with unread data would reset the connection, and the caller
        could lose the response.
        """
        deadline_s = self.timers.now() + LINGER_TIMEOUT_S
        remaining = LINGER_MAX_BYTES
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            while remaining > 0:
                self.socket.settimeout(max(deadline_s - self.timers.now(), 0.001))
                data = self.socket.recv(65536)
                if not data:
                    return
                remaining -= len(data)

    def enable_reset_on_close(self) -> None:
        """Make closing the socket reset the connection."""
        self.reset_on_close = True
        with contextlib.suppress(OSError):
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )


class ResponseWriter:
    """Writes one response to a caller.

    Parameters
    ----------
    stream : CallerStream
        Connection to the caller.
    head : RequestHead
        Head of the request; None if it was invalid.
    keep_alive : bool
        Whether the connection may be reused after the response.
    """

    def __init__(
        self, stream: CallerStream, head: RequestHead | None, keep_alive: bool
    ) -> None:
        self.stream = stream
        self.head_only = head is not None and head.method == "HEAD"
        self.http_1_1 = head is None or head.http_1_1
        self.keep_alive = keep_alive
        self.started = False
        self.chunked = False
        self.close_delimited = False

    def write(
        self,
        status: int,
        reason: str,
        headers: Headers,
        length: int | None,
        chunks: Iterator[bytes],
    ) -> None:
        """Write a complete response, streaming its body from `chunks`."""
        bodiless = self.head_only or status in (204, 304)
        framing = self._framing(status, length, bodiless)
        block = _format_head(status, reason, [*headers, *framing])
        if length is not None and length <= COALESCE_MAX_BYTES and not bodiless:
            # Sends the head and the start of the body in one TCP segment.
            block += next(chunks, b"")
        self.started = True
        self.stream.send(block)
        for chunk in chunks:
            if bodiless:
                continue
            if self.chunked:
                chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
            self.stream.send(chunk)
        if self.chunked:
            self.stream.send(b"0\r\n\r\n")

    def abort(self) -> None:
        """Abort a started response so that the caller sees it is incomplete."""
        if self.close_delimited:
            self.stream.enable_reset_on_close()

    def _framing(self, status: int, length: int | None, bodiless: bool) -> Headers:
        framing = []
        if length is not None and status != 204:
            framing.append(("Content-Length", str(length)))
        elif not bodiless and self.http_1_1:
            self.chunked = True
            framing.append(("Transfer-Encoding", "chunked"))
        elif not bodiless:
            self.close_delimited = True
            self.keep_alive = False
        if not self.keep_alive:
            framing.append(("Connection", "close"))
        elif not self.http_1_1:
            framing.append(("Connection", "keep-alive"))
        return framing


def _format_head(status: int, reason: str, headers: Headers) -> bytes:
    lines = [f"HTTP/1.1 {status} {_NOT_REASON.sub('', reason)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if not any(name.lower() == "date" for name, _ in headers):
        lines.append(f"Date: {formatdate(usegmt=True)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
