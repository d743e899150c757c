"""Response of a target while its body is streamed to the caller."""

import contextlib
import http.client
from collections.abc import Iterator
from typing import Protocol

from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse
from urllib3.util.wait import wait_for_read

from lacewinglift.bodies import MAX_READ_BYTES
from lacewinglift.exchanges import CancelReason, Exchange
from lacewinglift.headers import headers_to_caller
from lacewinglift.held_bytes import MAX_HELD_PER_RESPONSE, HeldBytes
from lacewinglift.outcomes import OutcomeKind
from lacewinglift.pools import TargetResponse

# The response to a request on a route that is declared idempotent is read completely
# before it is forwarded if it is not larger than this, so that the request can be
# retried at another target if the response is truncated.
MAX_PRELOAD_BYTES = 1024 * 1024


class TruncatedResponseError(Exception):
    """A response was truncated; the caller must not receive it as complete."""


class TargetCall(Protocol):
    """The attempt that a response belongs to."""

    exchange: Exchange
    finished: bool
    target_name: str
    held_bytes: HeldBytes
    """Bytes of responses that the instance holds."""

    def in_haste(self) -> bool:
        """Return whether the response must be passed on as it arrives."""
        ...

    def timeout_kind(self) -> OutcomeKind:
        """Return the outcome of a timeout; CANCELLED if it is no evidence."""
        ...

    def pace_response(self, size: int, received: int) -> None:
        """Wait until a further block of the response may be read."""
        ...

    def finish(
        self,
        kind: OutcomeKind,
        latency_s: float | None = None,
        response_bytes: int = 0,
    ) -> None:
        """Record the outcome of the attempt; later calls have no effect."""
        ...

    def close(self) -> None:
        """Close the connection unless it was released."""
        ...

    def release(self, raw: TargetResponse, upload_finished: bool) -> None:
        """Return the connection to its pool, or close it if it cannot be reused."""
        ...


class ForwardedResponse:
    """Response of a target, whose body is streamed.

    `close` must be called, whether or not the body was read.
    """

    def __init__(
        self,
        call: TargetCall,
        response: HTTPResponse,
        raw: TargetResponse,
        latency_s: float,
        upload_finished: bool,
    ) -> None:
        self.status = response.status
        self.reason = response.reason or ""
        self.headers = headers_to_caller(response.headers.iteritems())
        self.content_length = _declared_length(response, raw)
        self.has_no_body = raw.length == 0
        self.upload_finished = upload_finished
        self.target_name = call.target_name
        self.attempts = 1
        self.hedge: str | None = None
        """What became of the hedge of the request; None if there was none."""
        self._call = call
        self._response = response
        self._raw = raw
        self._latency_s = latency_s
        self.body_bytes = 0
        self._held = bytearray()
        """Bytes that the target has sent and the caller has not been sent."""
        self._source = self._read_content()
        self._source_ended = False
        self._failure: TruncatedResponseError | None = None
        """Failure after the bytes that are held."""

    @property
    def unfinished(self) -> bool:
        """Return whether the target has not yet sent the whole response."""
        return not self._call.finished

    @property
    def is_server_error(self) -> bool:
        """Return whether the status is a server error (5xx)."""
        return self.status >= 500

    def preload(self) -> None:
        """Read the body to its end unless it is larger than `MAX_PRELOAD_BYTES`.

        An instance that stops reads no more than the first block: on a slow link, it
        has no time to read the whole body before it sends the first byte. Nor does one
        that holds as many bytes of responses as it may.

        Raises
        ------
        TruncatedResponseError
            If the body is truncated.
        """
        try:
            while self._hold_next():
                if len(self._held) > MAX_PRELOAD_BYTES or self._call.in_haste():
                    break
        except BaseException:
            self._discard()
            raise

    def read_ahead(self) -> bool:
        """Read what has arrived of a body that fits, while the caller does not read.

        Its target is then not kept waiting for the caller. A failure is raised when
        the caller has got what came before it.

        Returns
        -------
        bool
            Whether the target may send more.
        """
        if self._source_ended:
            return False
        try:
            while self._fits() and self._has_arrived():
                if not self._hold_next():
                    break
        except TruncatedResponseError as error:
            self._source_ended = True
            self._failure = error
        if self._source_ended and self._held and self._failure is None:
            self._call.held_bytes.count_early_release()
        return not self._source_ended

    def _fits(self) -> bool:
        """Return whether the rest of the body may fit the bound of one response."""
        if self.content_length is None:
            return True
        left = self.content_length - self.body_bytes
        return len(self._held) + left <= MAX_HELD_PER_RESPONSE

    def _has_arrived(self) -> bool:
        """Return whether the target has sent more, or has ended its response."""
        stream = self._raw.fp
        if stream is None or self._raw.length == 0:
            return True
        sock = self._raw.socket
        timeout_s = sock.gettimeout()
        try:
            sock.settimeout(0)
            return bool(stream.peek(1)) or wait_for_read(sock, 0)
        except ConnectionResetError:
            self._raw.was_reset = True
            return True
        except (OSError, ValueError):
            return True
        finally:
            with contextlib.suppress(OSError):
                sock.settimeout(timeout_s)

    def _hold_next(self) -> bool:
        """Read and hold a block; return whether there was one that could be held."""
        held_bytes = self._call.held_bytes
        if not held_bytes.try_hold(MAX_READ_BYTES, len(self._held)):
            return False
        block = b""
        try:
            block = next(self._source, b"")
        finally:
            held_bytes.release(MAX_READ_BYTES - len(block))
        # One buffer: an object for each block would take many times the memory of a
        # body in chunks of a few bytes.
        self._held += block
        self._source_ended = not block
        return bool(block)

    def iter_content(self) -> Iterator[bytes]:
        """Yield the body in blocks; raise TruncatedResponseError if it is truncated."""
        while True:
            while self._held:
                block = bytes(self._held[:MAX_READ_BYTES])
                del self._held[: len(block)]
                self._call.held_bytes.release(len(block))
                yield block
            if self._failure is not None:
                raise self._failure
            block = next(self._source, b"")
            if not block:
                self._source_ended = True
                return
            yield block

    def _read_content(self) -> Iterator[bytes]:
        if self.has_no_body:
            self._finish_body()
            return
        try:
            while block := self._response.read1(MAX_READ_BYTES, decode_content=False):
                self.body_bytes += len(block)
                # A socket that is shut down still receives what its peer sends.
                if self._call.exchange.cancel_reason is CancelReason.DEADLINE:
                    raise TimeoutError("the deadline passed within the body")
                yield block
                self._call.pace_response(len(block), self.body_bytes)
        except TimeoutError as error:
            self._raise_truncated(OutcomeKind.TIMEOUT, error)
        except (HTTPError, http.client.HTTPException, OSError, ValueError) as error:
            timed_out = isinstance(error.__cause__, TimeoutError)
            kind = OutcomeKind.TIMEOUT if timed_out else OutcomeKind.CUT
            self._raise_truncated(kind, error)
        self._finish_body()

    def close(self) -> None:
        """Finish the attempt; a response that was not read to its end is cancelled."""
        self._call.finish(OutcomeKind.CANCELLED, self._latency_s)
        self._call.close()
        self._discard()

    def _discard(self) -> None:
        """Return the memory, and end the generator, which refers to this response.

        The socket would otherwise stay open until the cycle is collected.
        """
        self._call.held_bytes.release(len(self._held))
        self._held.clear()
        self._source.close()

    def _finish_body(self) -> None:
        if not (
            self._raw.complete
            or self._raw.ended_by_close
            or self._received_full_length()
        ):
            self._raise_truncated(OutcomeKind.CUT, None)
        if self._call.exchange.cancel_reason is not None:
            self._raise_truncated(OutcomeKind.CANCELLED, None)
        # The caller may take its time to read the rest.
        self._call.exchange.deadline_s = None
        kind = OutcomeKind.ERROR if self.is_server_error else OutcomeKind.SUCCESS
        self._call.finish(kind, self._latency_s, self.body_bytes)
        self._call.release(self._raw, self.upload_finished)

    def _received_full_length(self) -> bool:
        if self._raw.chunked or self._response.length_remaining != 0:
            return False
        self._raw.complete = True
        return True

    def _raise_truncated(self, kind: OutcomeKind, error: Exception | None) -> None:
        reason = self._call.exchange.cancel_reason
        if reason is CancelReason.DEADLINE:
            kind = self._call.timeout_kind()
        elif reason is not None:
            kind = OutcomeKind.CANCELLED
        self._call.finish(kind, self._latency_s)
        self._call.close()
        raise TruncatedResponseError(
            f"the response was truncated ({kind.value})"
        ) from error


def _declared_length(response: HTTPResponse, raw: TargetResponse) -> int | None:
    lengths = response.headers.getlist("content-length")
    if raw.chunked or not lengths:
        return None
    return int(lengths[0])
