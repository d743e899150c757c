"""Response of a target while its body is streamed to the caller."""

import http.client
import itertools
from collections.abc import Iterator
from typing import Protocol

from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from lacewinglift.bodies import MAX_READ_BYTES, iter_blocks
from lacewinglift.exchanges import CancelReason, Exchange
from lacewinglift.headers import headers_to_caller
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
        self._preloaded: Iterator[bytes] | None = None

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
        has no time to read the whole body before it sends the first byte.

        Raises
        ------
        TruncatedResponseError
            If the body is truncated.
        """
        source = self.iter_content()
        # One buffer: an object for each block would take many times the memory of a
        # body in chunks of a few bytes.
        held = bytearray()
        for block in source:
            held += block
            if len(held) > MAX_PRELOAD_BYTES or self._call.in_haste():
                break
        self._preloaded = itertools.chain(iter_blocks(held), source)

    def iter_content(self) -> Iterator[bytes]:
        """Yield the body in blocks; raise TruncatedResponseError if it is truncated."""
        if self._preloaded is not None:
            yield from self._preloaded
            return
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

    def _finish_body(self) -> None:
        close_delimited = self._raw.will_close and self._raw.length is None
        if not (self._raw.complete or close_delimited or self._received_full_length()):
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
