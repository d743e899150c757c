"""Request bodies, streamed from the caller in bounded memory."""

import re
import socket
from collections.abc import Callable, Iterator
from typing import Protocol

from lacewinglift.headers import (
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    BadRequestError,
    RequestHead,
)

MAX_READ_BYTES = 64 * 1024
# A body up to this size is buffered until the response begins, so that the request
# can be retried at another target. 100 requests in progress buffer at most 6.4 MB.
MAX_REPLAY_BYTES = 64 * 1024
MAX_CHUNK_BYTES = 16 * 1024 * 1024
MAX_CHUNK_LINE_BYTES = 256

_CHUNK_SIZE_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,8})[ \t]*(;[\t\x20-\x7e\x80-\xff]*)?\r\n"
)
_TRAILER_LINE = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n")


class CallerGoneError(Exception):
    """The caller closed the connection before the end of its request."""


class Reader(Protocol):
    """Methods of a buffered reader that are used to read bodies."""

    def read(self, size: int) -> bytes:
        """Return `size` bytes, fewer at the end of the stream."""
        ...

    def read1(self, size: int) -> bytes:
        """Return at least one byte with at most one read of the socket."""
        ...

    def readline(self, size: int) -> bytes:
        """Return one line of at most `size` bytes."""
        ...


def iter_fixed_length(reader: Reader, length: int) -> Iterator[bytes]:
    """Yield a body of known length in blocks."""
    while length:
        block = reader.read1(min(length, MAX_READ_BYTES))
        if not block:
            raise CallerGoneError
        length -= len(block)
        yield block


def iter_chunked(reader: Reader) -> Iterator[bytes]:
    """Yield the content of a chunked body; trailers are validated and discarded."""
    while True:
        size = _read_chunk_size(reader)
        if size == 0:
            _discard_trailers(reader)
            return
        yield from iter_fixed_length(reader, size)
        end = reader.read(2)
        if len(end) < 2 and b"\r\n".startswith(end):
            raise CallerGoneError
        if end != b"\r\n":
            raise BadRequestError("a chunk is longer than its stated size")


def _read_chunk_size(reader: Reader) -> int:
    line = reader.readline(MAX_CHUNK_LINE_BYTES)
    match = _CHUNK_SIZE_LINE.fullmatch(line)
    if match is None:
        if len(line) < MAX_CHUNK_LINE_BYTES and not line.endswith(b"\n"):
            raise CallerGoneError
        raise BadRequestError("a chunk size is not a hexadecimal number")
    size = int(match[1], 16)
    if size > MAX_CHUNK_BYTES:
        raise BadRequestError(f"a chunk is over {MAX_CHUNK_BYTES} bytes")
    return size


def _discard_trailers(reader: Reader) -> None:
    remaining = MAX_HEAD_BYTES
    for _ in range(MAX_HEADERS + 1):
        line = reader.readline(remaining)
        if line == b"\r\n":
            return
        if len(line) < remaining and not line.endswith(b"\n"):
            raise CallerGoneError
        if not _TRAILER_LINE.fullmatch(line):
            raise BadRequestError("a trailer is invalid or too long")
        remaining -= len(line)
    raise BadRequestError(f"there are over {MAX_HEADERS} trailers")


def iter_blocks(data: bytes | bytearray) -> Iterator[bytes]:
    """Yield data in blocks of the size of a read."""
    for start in range(0, len(data), MAX_READ_BYTES):
        yield bytes(data[start : start + MAX_READ_BYTES])


class RequestBody:
    """The body of one request.

    A body of up to `MAX_REPLAY_BYTES` is buffered so that it can be sent to more than
    one target.

    Parameters
    ----------
    head : RequestHead
        Head of the request.
    reader : Reader
        Stream of the caller's connection, positioned after the head.
    sock : socket.socket
        Connection to the caller.
    idle_timeout_s : float
        Timeout of each read.
    send_continue : callable
        Sends `100 Continue`; called before the first read if the caller expects it.
    """

    def __init__(
        self,
        head: RequestHead,
        reader: Reader,
        sock: socket.socket,
        idle_timeout_s: float,
        send_continue: Callable[[], None],
    ) -> None:
        self.length = head.content_length
        self.chunked = head.chunked
        self.present = head.has_body
        self.finished = not head.has_body
        self.started = False
        self._continue_pending = head.expects_continue and head.has_body
        self._send_continue = send_continue
        self._socket = sock
        self._idle_timeout_s = idle_timeout_s
        self._replay_buffer = bytearray()
        self._replay_overflowed = False
        self._read_failed = False
        if head.chunked:
            self._content = iter_chunked(reader)
        else:
            self._content = iter_fixed_length(reader, head.content_length or 0)

    @property
    def fits_replay_buffer(self) -> bool:
        """Return whether the body has a stated length that fits the replay buffer."""
        return self.length is not None and self.length <= MAX_REPLAY_BYTES

    @property
    def replayable(self) -> bool:
        """Return whether all data that was read so far is buffered."""
        return not self._replay_overflowed

    @property
    def waiting_for_continue(self) -> bool:
        """Return whether the caller still expects `100 Continue`."""
        return self._continue_pending

    def preload(self, remaining_s: Callable[[], float]) -> None:
        """Read the whole body into the replay buffer within the remaining time.

        Parameters
        ----------
        remaining_s : callable
            Returns the remaining time.
        """
        while not self.finished:
            left_s = remaining_s()
            if left_s <= 0:
                raise BadRequestError("the body did not arrive in time")
            self._read_next(min(left_s, self._idle_timeout_s))

    def iter_content(self) -> Iterator[bytes]:
        """Yield the whole body from its start, in blocks."""
        if self._replay_overflowed:
            raise RuntimeError("the start of the body is no longer buffered")
        yield from iter_blocks(bytes(self._replay_buffer))
        while not self.finished:
            block = self._read_next(self._idle_timeout_s)
            if block:
                yield block

    def discard_replay_buffer(self) -> None:
        """Discard the buffered data; the body cannot be sent again."""
        self._replay_overflowed = self._replay_overflowed or bool(self._replay_buffer)
        self._replay_buffer.clear()

    def _read_next(self, timeout_s: float) -> bytes:
        self.started = True
        if self._read_failed:
            # The generator has ended after the failure, which would look like the end
            # of the body.
            raise CallerGoneError
        self._read_failed = True
        try:
            self._socket.settimeout(timeout_s)
            if self._continue_pending:
                self._continue_pending = False
                self._send_continue()
            block = next(self._content, b"")
        except TimeoutError as error:
            raise BadRequestError("the body did not arrive in time") from error
        except OSError as error:
            raise CallerGoneError from error
        self._read_failed = False
        if not block:
            self.finished = True
        elif not self._replay_overflowed:
            self._add_to_replay_buffer(block)
        return block

    def _add_to_replay_buffer(self, block: bytes) -> None:
        self._replay_buffer += block
        if len(self._replay_buffer) > MAX_REPLAY_BYTES:
            self._replay_overflowed = True
            self._replay_buffer.clear()
