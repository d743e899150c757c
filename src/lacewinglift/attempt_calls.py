"""An attempt at a target: its connection, its failures and its end."""

import math
import socket
from collections.abc import Callable
from typing import Protocol

from attrs import define

from lacewinglift.attempts import Attempt
from lacewinglift.configuration import Service
from lacewinglift.forward_requests import ForwardRequest
from lacewinglift.held_bytes import HeldBytes
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.pools import (
    TargetConnection,
    TargetPool,
    TargetPools,
    TargetResponse,
)
from lacewinglift.timers import Timers
from lacewinglift.verdicts import Verdict

# An unfinished head of an interim response that fills this many bytes counts as the
# start of a final response.
PEEK_BYTES = 4096
# A timeout after less than this fraction of the service's timeout is not evidence
# against the target: it results from a short deadline of the caller.
TIMEOUT_EVIDENCE_MIN_FRACTION = 0.1


@define
class AttemptFailedError(Exception):
    """An attempt failed; the verdict says whether the request may have run."""

    kind: OutcomeKind
    verdict: Verdict
    message: str
    retry_after_s: float | None = None


class EarlyResponseError(Exception):
    """The target began its response before it had received the whole body."""


def parse_number(text: str) -> float | None:
    """Return a finite number that is not negative; None if it cannot be read."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def final_response_started(sock: socket.socket) -> bool:
    """Return whether a readable socket holds more than interim (1xx) responses."""
    unread = sock.recv(PEEK_BYTES, socket.MSG_PEEK)
    while unread.startswith((b"HTTP/1.1 1", b"HTTP/1.0 1")):
        head, end, rest = unread.partition(b"\r\n\r\n")
        if not end:
            return len(unread) == PEEK_BYTES
        sock.recv(len(head) + len(end))
        unread = rest
        if not unread:
            return False
    return True


class AttemptContext(Protocol):
    """The parts of the forwarder that an attempt uses."""

    timers: Timers
    pools: TargetPools
    on_attempt: Callable[[str, OutcomeKind, float], None] | None
    held_bytes: HeldBytes

    def pace_response(self, size: int, received: int) -> None:
        """Wait until a further block of a response may be read."""
        ...


class AttemptCall:
    """An attempt at a target and the connection that it uses."""

    def __init__(
        self,
        forwarder: "AttemptContext",
        attempt: Attempt,
        service: Service,
        request: ForwardRequest,
    ) -> None:
        self.forwarder = forwarder
        self.attempt = attempt
        self.service = service
        self.exchange = request.exchange
        self.in_haste = request.in_haste
        self.timers = forwarder.timers
        self.started_s = self.timers.now()
        self.finished = False
        self.released = False
        self.attached = True
        """Whether the exchange may use the connection of this attempt."""
        self.pool: TargetPool
        self.connection: TargetConnection
        self.pool, self.connection = forwarder.pools.checkout(attempt.target.address)
        self.reused = self.connection.sock is not None
        """Whether the connection has carried an earlier request."""

    @property
    def target_name(self) -> str:
        """Return the name of the target."""
        return self.attempt.target.name

    @property
    def held_bytes(self) -> HeldBytes:
        """Return the count of the bytes of responses that the instance holds."""
        return self.forwarder.held_bytes

    def pace_response(self, size: int, received: int) -> None:
        """Wait until a further block of the response may be read."""
        if not self.in_haste():
            self.forwarder.pace_response(size, received)

    def elapsed_s(self) -> float:
        """Return the time since the start of the attempt."""
        return self.timers.now() - self.started_s

    def timeout_kind(self) -> OutcomeKind:
        """Return the outcome of a timeout; CANCELLED if it is no evidence."""
        min_timeout_s = self.service.request_timeout_s * TIMEOUT_EVIDENCE_MIN_FRACTION
        short = self.elapsed_s() < min_timeout_s
        return OutcomeKind.CANCELLED if short else OutcomeKind.TIMEOUT

    def finish(
        self,
        kind: OutcomeKind,
        latency_s: float | None = None,
        response_bytes: int = 0,
    ) -> None:
        """Record the outcome of the attempt; later calls have no effect."""
        if self.finished:
            return
        self.finished = True
        latency_s = self.elapsed_s() if latency_s is None else latency_s
        self.attempt.finish(Outcome(kind, latency_s, response_bytes, self.reused))
        if self.forwarder.on_attempt is not None:
            self.forwarder.on_attempt(self.service.name, kind, latency_s)

    def close(self) -> None:
        """Close the connection unless it was released."""
        if self.released:
            return
        self.released = True
        self._detach()
        self.connection.close()

    def park(self) -> None:
        """Leave the exchange to another attempt of the same request."""
        self._detach()

    def _detach(self) -> None:
        if self.attached:
            self.attached = False
            self.exchange.detach()

    def release(self, raw: TargetResponse, upload_finished: bool) -> None:
        """Return the connection to its pool, or close it if it cannot be reused."""
        self.released = True
        self._detach()
        raw.close()
        if raw.reusable and upload_finished and self.connection.sock is not None:
            self.pool.checkin(self.connection)
        else:
            self.connection.close()
