"""Target side of a request: attempts, verdicts and the streamed answer."""

import http.client
import itertools
import socket
import threading
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from attrs import define, frozen
from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER
from urllib3.util.wait import wait_for_read

from lacewinglift.bodies import MAX_READ_BYTES, CallerGoneError, RequestBody
from lacewinglift.configuration import DEFAULT_ATTEMPTS, Service, Target
from lacewinglift.dialects import OWN_DIALECT, Dialect
from lacewinglift.exchanges import CancelReason, Exchange
from lacewinglift.headers import BadRequestError, Headers, headers_to_caller
from lacewinglift.logs import log_info
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.pools import (
    TargetConnection,
    TargetPool,
    TargetPools,
    TargetResponse,
)
from lacewinglift.refusals import RefusalError, refuse
from lacewinglift.retries import (
    IDEMPOTENT_METHODS,
    RetryBudget,
    may_retry,
)
from lacewinglift.timers import Timers
from lacewinglift.verdicts import Verdict

PEEK_BYTES = 4096
# A wait shorter than this part of the service's timeout says more about the
# caller's deadline than about the target.
TIMEOUT_EVIDENCE_MIN_FRACTION = 0.1
# An answer up to this size that may be asked for again is read to its end before
# it is passed on, so that a cut answer can be replaced by another target's.
MAX_PRELOAD_BYTES = 1024 * 1024
WRONG_TARGET_STATUS = 421
# Time after which a caller comes back when all targets are full: some of their
# requests have ended by then.
NO_TARGET_RETRY_AFTER_S = 0.5


class Attempt(Protocol):
    """A target chosen for one attempt."""

    target: Target
    on_ejected: Callable[[], None] | None

    def log_fields(self) -> Mapping[str, object]:
        """Return what the choice was based on, as fields of a log line."""
        ...

    def mark_response_started(self, latency_s: float) -> None:
        """Report that the head of the answer has arrived."""
        ...

    def finish(self, outcome: Outcome) -> None:
        """Report how the attempt ended."""
        ...


class TargetSelector(Protocol):
    """The part of the target table that the forwarder uses."""

    def acquire(
        self, service_name: str, exclude: set[str], repeatable: bool = False
    ) -> Attempt | None:
        """Return a target whose name is not in `exclude`, or None.

        `repeatable` tells whether the request can go elsewhere if the target fails.
        """
        ...


class RetryBudgetProtocol(Protocol):
    """Limits resends of the requests of one service."""

    def record_request(self) -> None:
        """Count a first attempt."""
        ...

    def try_acquire(self) -> bool:
        """Return whether one more request may be resent now, and count it."""
        ...


class TruncatedResponseError(Exception):
    """An answer ended before its end; the caller must not take it for whole."""


class ExchangeCancelledError(Exception):
    """The exchange was ended from the caller's side; there is no one to answer."""


@frozen
class ForwardRequest:
    """A request as it goes to a target.

    Attributes
    ----------
    method : str
        Method.
    target : str
        Path and query, as the caller sent them.
    headers : list of (str, str)
        Headers that the target may see.
    body : RequestBody
        The caller's body.
    exchange : Exchange
        Lets the request be cancelled.
    """

    method: str
    target: str
    headers: Headers
    body: RequestBody
    exchange: Exchange
    deadline_covers_upload: bool = False
    """Whether the time for the answer also covers the upload of a large body."""
    idempotent: bool | None = None
    """Whether the request may run more than once; None judges by the method."""
    max_attempts: int = DEFAULT_ATTEMPTS
    free_refusals: int = 0
    """Attempts that may end as not run before `max_attempts` is charged."""
    request_id: str | None = None
    """Value that the target echoes in its answer."""
    logged_id: str = "-"
    """Name of the request in logs."""

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        if self.idempotent is None:
            return self.method in IDEMPOTENT_METHODS
        return self.idempotent


@define
class _AttemptFailedError(Exception):
    kind: OutcomeKind
    verdict: Verdict
    message: str
    retry_after_s: float | None = None


class _EarlyResponseError(Exception):
    """The target began to answer before it had the whole body."""


class ForwardedResponse:
    """Answer of a target; the body has not been read yet.

    `close` must be called, whether or not the body was read.
    """

    def __init__(
        self,
        call: "_TargetCall",
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
        self.target_name = call.attempt.target.name
        self.attempts = 1
        self._call = call
        self._response = response
        self._raw = raw
        self._latency_s = latency_s
        self.body_bytes = 0
        self._preloaded: Iterator[bytes] | None = None

    @property
    def is_server_error(self) -> bool:
        """Return whether the target says that it failed."""
        return self.status >= 500

    def preload(self) -> None:
        """Read the body to its end unless it is long; raise AnswerCutError if cut."""
        source = self.iter_content()
        pieces = []
        size = 0
        for piece in source:
            pieces.append(piece)
            size += len(piece)
            if size > MAX_PRELOAD_BYTES:
                break
        self._preloaded = itertools.chain(pieces, source)

    def iter_content(self) -> Iterator[bytes]:
        """Yield the pieces of the body; raise AnswerCutError if it is cut off."""
        if self._preloaded is not None:
            yield from self._preloaded
            return
        if self.has_no_body:
            self._finish_body()
            return
        try:
            while piece := self._response.read1(MAX_READ_BYTES, decode_content=False):
                self.body_bytes += len(piece)
                yield piece
        except TimeoutError as error:
            self._raise_truncated(OutcomeKind.TIMEOUT, error)
        except (HTTPError, http.client.HTTPException, OSError, ValueError) as error:
            timed_out = isinstance(error.__cause__, TimeoutError)
            kind = OutcomeKind.TIMEOUT if timed_out else OutcomeKind.CUT
            self._raise_truncated(kind, error)
        self._finish_body()

    def close(self) -> None:
        """Give the target back; an answer that was not read to its end is ended."""
        self._call.finish(OutcomeKind.CANCELLED, self._latency_s)
        self._call.close()

    def _finish_body(self) -> None:
        close_delimited = self._raw.will_close and self._raw.length is None
        if not (self._raw.complete or close_delimited or self._received_full_length()):
            self._raise_truncated(OutcomeKind.CUT, None)
        if self._call.exchange.cancel_reason is not None:
            self._raise_truncated(OutcomeKind.CANCELLED, None)
        kind = OutcomeKind.ERROR if self.is_server_error else OutcomeKind.SUCCESS
        self._call.finish(kind, self._latency_s, self.body_bytes)
        self._call.release(self._raw, self.upload_finished)

    def _received_full_length(self) -> bool:
        if self._raw.chunked or self._response.length_remaining != 0:
            return False
        self._raw.complete = True
        return True

    def _raise_truncated(self, kind: OutcomeKind, error: Exception | None) -> None:
        if self._call.exchange.cancel_reason is not None:
            kind = OutcomeKind.CANCELLED
        self._call.finish(kind, self._latency_s)
        self._call.close()
        raise TruncatedResponseError(
            f"the answer was cut off ({kind.value})"
        ) from error


def _declared_length(response: HTTPResponse, raw: TargetResponse) -> int | None:
    lengths = response.headers.getlist("content-length")
    if raw.chunked or not lengths:
        return None
    return int(lengths[0])


def _final_response_started(sock: socket.socket) -> bool:
    """Return whether a readable socket holds more than interim (1xx) answers."""
    seen = sock.recv(PEEK_BYTES, socket.MSG_PEEK)
    while seen.startswith((b"HTTP/1.1 1", b"HTTP/1.0 1")):
        head, end, rest = seen.partition(b"\r\n\r\n")
        if not end:
            return len(seen) == PEEK_BYTES
        sock.recv(len(head) + len(end))
        seen = rest
        if not seen:
            return False
    return True


class _TargetCall:
    """One attempt at one target, with its connection."""

    def __init__(
        self,
        forwarder: "Forwarder",
        attempt: Attempt,
        service_name: str,
        exchange: Exchange,
    ) -> None:
        self.forwarder = forwarder
        self.attempt = attempt
        self.service_name = service_name
        self.exchange = exchange
        self.timers = forwarder.timers
        self.started_s = self.timers.now()
        self.finished = False
        self.released = False
        self.pool: TargetPool
        self.connection: TargetConnection
        self.pool, self.connection = forwarder.pools.checkout(attempt.target.address)

    def elapsed_s(self) -> float:
        return self.timers.now() - self.started_s

    def finish(
        self,
        kind: OutcomeKind,
        latency_s: float | None = None,
        answer_bytes: int = 0,
    ) -> None:
        """Report the outcome, once."""
        if self.finished:
            return
        self.finished = True
        latency_s = self.elapsed_s() if latency_s is None else latency_s
        self.attempt.finish(Outcome(kind, latency_s, answer_bytes))
        if self.forwarder.on_attempt is not None:
            self.forwarder.on_attempt(self.service_name, kind, latency_s)

    def close(self) -> None:
        """Close the connection unless it was released."""
        if self.released:
            return
        self.released = True
        self.exchange.detach()
        self.connection.close()

    def release(self, raw: TargetResponse, upload_finished: bool) -> None:
        """Give the connection back for other requests if it can carry them."""
        self.released = True
        self.exchange.detach()
        raw.close()
        if raw.reusable and upload_finished and self.connection.sock is not None:
            self.pool.checkin(self.connection)
        else:
            self.connection.close()


class Forwarder:
    """Sends requests to targets.

    Parameters
    ----------
    target_selector : TargetSelector
        Chooses targets.
    timers : Timers
        Clock.
    on_attempt : callable, default=None
        Told the service, the outcome and the latency of each attempt.
    on_retry : callable, default=None
        Told the service of each resent request.
    on_connection : callable, default=None
        Told the service of each attempt, and whether it opens a connection.
    dialect : Dialect
        Names of the headers that targets understand.
    make_retry_budget : callable, default=None
        Returns the retry budget of a service; None limits this instance alone.
    """

    def __init__(
        self,
        target_selector: TargetSelector,
        timers: Timers,
        on_attempt: Callable[[str, OutcomeKind, float], None] | None = None,
        on_retry: Callable[[str], None] | None = None,
        on_connection: Callable[[str, bool], None] | None = None,
        dialect: Dialect = OWN_DIALECT,
        make_retry_budget: Callable[[str], RetryBudgetProtocol] | None = None,
    ) -> None:
        self.target_selector = target_selector
        self.timers = timers
        self.on_attempt = on_attempt
        self.on_retry = on_retry
        self.on_connection = on_connection
        self.dialect = dialect
        self.make_retry_budget = make_retry_budget or (
            lambda service: RetryBudget(timers)
        )
        self.pools = TargetPools(timers)
        self.retry_budgets: dict[str, RetryBudgetProtocol] = {}
        self._lock = threading.Lock()

    def close(self) -> None:
        """Close idle connections to targets."""
        self.pools.close()

    def forward(
        self,
        request: ForwardRequest,
        service: Service,
        workspace_name: str | None,
        deadline_s: float,
    ) -> ForwardedResponse:
        """Send a request to one target after another until one answers.

        Parameters
        ----------
        request : ForwardRequest
            The request.
        service : Service
            Its service.
        workspace_name : str or None
            Name that the target is told; None on open routes.
        deadline_s : float
            Time of the timer service until which the answer must begin. While the
            body is larger than `bodies.MAX_REPLAY_BYTES`, the time is counted from the
            end of the body.

        Returns
        -------
        Answer
            The answer, to be closed by the caller of this method.

        Raises
        ------
        RefusalError
            If no target answered. The verdict covers all attempts.
        ExchangeCancelledError
            If the exchange was cancelled from the caller's side.
        """
        run = _AttemptLoop(self, request, service, workspace_name, deadline_s)
        return run.run()

    def retry_budget(self, service_name: str) -> RetryBudgetProtocol:
        """Return the retry budget of a service."""
        with self._lock:
            budget = self.retry_budgets.get(service_name)
            if budget is None:
                budget = self.retry_budgets[service_name] = self.make_retry_budget(
                    service_name
                )
            return budget


class _AttemptLoop:
    """All attempts of one request."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: ForwardRequest,
        service: Service,
        workspace_name: str | None,
        deadline_s: float,
    ) -> None:
        self.forwarder = forwarder
        self.timers = forwarder.timers
        self.request = request
        self.exchange = request.exchange
        self.dialect = forwarder.dialect
        self.service = service
        self.workspace_name = workspace_name
        self.deadline_s = deadline_s
        self.worst_verdict = Verdict.NOT_RUN
        self.tried_targets: set[str] = set()
        self.not_run_attempts = 0
        """Attempts that targets refused to run."""
        self.reported_failure: _AttemptFailedError | None = None
        """Failure that a refusal would name."""
        self.call: _TargetCall

    def run(self) -> ForwardedResponse:
        budget = self.forwarder.retry_budget(self.service.name)
        budget.record_request()
        while True:
            attempt = self._next_attempt()
            answer, failure = self._try_target(attempt)
            if failure is None:
                return answer
            self._record_failure(failure)
            reason = self._no_resend_reason(failure, budget)
            self._log_failure(attempt.target.name, failure, reason)
            if reason is None:
                if answer is not None:
                    answer.close()
                continue
            if answer is not None:
                return answer
            raise self._give_up(reason)

    def _next_attempt(self) -> Attempt:
        """Choose a target that was not tried yet; raises RefusalError without one."""
        if self._remaining_s() <= 0:
            self.reported_failure = self.reported_failure or self._deadline_failure()
            raise self._give_up("time")
        last_attempt = self.request.max_attempts - 1
        repeatable = self.request.repeatable and self._counted_attempts() < last_attempt
        selector = self.forwarder.target_selector
        attempt = selector.acquire(self.service.name, self.tried_targets, repeatable)
        if attempt is None:
            raise self._give_up("no_target")
        self.tried_targets.add(attempt.target.name)
        self._log_choice(attempt, repeatable)
        if self.reported_failure is not None and self.forwarder.on_retry is not None:
            self.forwarder.on_retry(self.service.name)
        return attempt

    def _try_target(
        self, attempt: Attempt
    ) -> tuple[ForwardedResponse | None, _AttemptFailedError | None]:
        """Return the answer of a target, and why it should be replaced by another's."""
        try:
            answer = self._call_target(attempt)
            failure = self._response_failure(answer)
        except _AttemptFailedError as error:
            return None, error
        answer.attempts = len(self.tried_targets)
        return answer, failure

    def _record_failure(self, failure: _AttemptFailedError) -> None:
        if (
            self.reported_failure is None
            or self.reported_failure.verdict is Verdict.NOT_RUN
        ):
            # The refusal names the attempt that may have run, if there is one.
            self.reported_failure = failure
        if failure.verdict is Verdict.NOT_RUN:
            self.not_run_attempts += 1

    def _counted_attempts(self) -> int:
        """Return the attempts that count towards the most that are allowed."""
        return len(self.tried_targets) - min(
            self.not_run_attempts, self.request.free_refusals
        )

    def _response_failure(
        self, answer: ForwardedResponse
    ) -> _AttemptFailedError | None:
        """Return why an answer should be replaced by that of another target."""
        if not self.request.idempotent:
            return None
        try:
            answer.preload()
        except TruncatedResponseError as error:
            self.worst_verdict = Verdict.MAY_HAVE_RUN
            raise self._connection_error(error) from error
        self.exchange.deadline_s = None
        if not answer.is_server_error:
            return None
        message = f"a target failed with status {answer.status}"
        return _AttemptFailedError(OutcomeKind.ERROR, Verdict.MAY_HAVE_RUN, message)

    def _no_resend_reason(
        self, failure: _AttemptFailedError, budget: RetryBudgetProtocol
    ) -> str | None:
        """Return why the request is not sent again, or None."""
        if self._remaining_s() <= 0:
            return "time"
        if self._counted_attempts() >= self.request.max_attempts:
            return "attempts"
        replayable = self.request.body.replayable
        if not may_retry(self.request.repeatable, failure.verdict, replayable):
            return "may_have_run"
        return None if budget.try_acquire() else "retry_budget"

    def _log_choice(self, attempt: Attempt, repeatable: bool) -> None:
        log_info(
            "target_chosen",
            id=self.request.logged_id,
            service=self.service.name,
            target=attempt.target.name,
            attempt=len(self.tried_targets),
            repeatable=repeatable,
            left_s=self._remaining_s(),
            **attempt.log_fields(),
        )

    def _log_failure(
        self, target: str, failure: _AttemptFailedError, reason: str | None
    ) -> None:
        log_info(
            "attempt_failed",
            id=self.request.logged_id,
            service=self.service.name,
            target=target,
            outcome=failure.kind.value,
            verdict=failure.verdict.value,
            after_s=self.call.elapsed_s(),
            left_s=self._remaining_s(),
            resent=reason is None,
            why=reason or "-",
        )

    def _give_up(self, reason: str) -> RefusalError:
        """Return the refusal of a request that is not sent again, and log it."""
        error = self._make_refusal(self.reported_failure)
        log_info(
            "request_given_up",
            id=self.request.logged_id,
            service=self.service.name,
            why=reason,
            attempts=len(self.tried_targets),
            code=error.refusal.code,
            verdict=error.refusal.verdict.value,
        )
        return error

    def _deadline_failure(self) -> _AttemptFailedError:
        message = "the deadline passed before a target was chosen"
        return _AttemptFailedError(OutcomeKind.TIMEOUT, Verdict.NOT_RUN, message)

    def _remaining_s(self) -> float:
        return self.deadline_s - self.timers.now()

    def _make_refusal(self, failure: _AttemptFailedError | None) -> RefusalError:
        if failure is None:
            message = f"{self.service.name} has no usable target"
            return refuse("no_target", message, retry_after_s=NO_TARGET_RETRY_AFTER_S)
        if failure.kind in (OutcomeKind.SHED, OutcomeKind.WRONG_TARGET):
            code = "no_target"
        elif failure.kind is OutcomeKind.TIMEOUT:
            code = "target_timeout"
        else:
            code = "target_failed"
        message = f"{self.service.name}: {failure.message}"
        return refuse(code, message, failure.verdict, failure.retry_after_s)

    def _call_target(self, attempt: Attempt) -> ForwardedResponse:
        try:
            self.call = _TargetCall(
                self.forwarder, attempt, self.service.name, self.exchange
            )
        except Exception:
            attempt.finish(Outcome(OutcomeKind.CONNECT_FAILED, 0.0))
            raise
        try:
            self._connect()
            return self._send_and_receive()
        except _AttemptFailedError as failure:
            self._end_attempt(self._reported_kind(failure.kind))
            if failure.verdict is Verdict.MAY_HAVE_RUN:
                self.worst_verdict = failure.verdict
            raise
        except BadRequestError as error:
            self._end_attempt(OutcomeKind.CANCELLED)
            verdict = self._execution_verdict()
            raise refuse("bad_request", str(error), verdict) from error
        except BaseException:
            self._end_attempt(OutcomeKind.CANCELLED)
            raise

    def _reported_kind(self, kind: OutcomeKind) -> OutcomeKind:
        """Return the kind to report for a failed attempt."""
        if self.exchange.abandoned:
            return OutcomeKind.CANCELLED
        least_s = self.service.request_timeout_s * TIMEOUT_EVIDENCE_MIN_FRACTION
        if kind is OutcomeKind.CONNECT_FAILED and self._remaining_s() > 0:
            return kind
        out_of_time = kind in (OutcomeKind.TIMEOUT, OutcomeKind.CONNECT_FAILED)
        if out_of_time and self.call.elapsed_s() < least_s:
            return OutcomeKind.CANCELLED
        return kind

    def _end_attempt(self, kind: OutcomeKind) -> None:
        self.call.finish(kind)
        self.call.close()

    def _execution_verdict(self) -> Verdict:
        if (
            self.worst_verdict is Verdict.MAY_HAVE_RUN
            or self.call.connection.send_started
        ):
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def _connect(self) -> None:
        connection = self.call.connection
        remaining_s = max(self._remaining_s(), 0.001)
        if self.forwarder.on_connection is not None:
            opened = connection.sock is None
            self.forwarder.on_connection(self.service.name, opened)
        if connection.sock is None:
            connection.timeout = min(self.service.connect_timeout_s, remaining_s)
            try:
                connection.connect()
            except (HTTPError, OSError) as error:
                message = "the connection to a target failed"
                raise self._make_failure(OutcomeKind.CONNECT_FAILED, message) from error
        if not self.exchange.attach(connection.sock):
            raise self._connection_error(None)
        if self.request.repeatable:
            # The request need not wait for a target that is known to be faulty.
            self.call.attempt.on_ejected = self.exchange.make_abandon_callback()

    def _send_and_receive(self) -> ForwardedResponse:
        connection = self.call.connection
        sock = connection.sock
        body = self.request.body
        self._set_exchange_deadline(streaming=not body.finished)
        upload_finished = True
        try:
            self._send(connection)
        except _EarlyResponseError:
            upload_finished = False
        except (CallerGoneError, BadRequestError):
            raise
        except TimeoutError as error:
            raise self._connection_error(error) from error
        except (BrokenPipeError, ConnectionResetError):
            # The target may have answered before it closed the connection.
            upload_finished = False
        except (HTTPError, http.client.HTTPException, OSError) as error:
            raise self._connection_error(error) from error
        if self.exchange.cancel_reason is not None:
            raise self._connection_error(None)
        self._set_exchange_deadline(streaming=False)
        response, raw = self._read_head(connection)
        latency_s = self.call.elapsed_s()
        if not self.exchange.mark_response_started():
            raise self._connection_error(None)
        self._raise_if_not_run(response)
        self.call.attempt.mark_response_started(latency_s)
        if not self.request.idempotent:
            self.exchange.deadline_s = None
        if self.exchange.cancel_reason is not None:
            raise self._connection_error(None)
        sock.settimeout(self.service.request_timeout_s)
        if not self.request.idempotent:
            body.discard_replay_buffer()
        return ForwardedResponse(self.call, response, raw, latency_s, upload_finished)

    def _set_exchange_deadline(self, streaming: bool) -> None:
        if self.request.deadline_covers_upload:
            self.exchange.deadline_s = self.deadline_s
            return
        if streaming:
            self.exchange.deadline_s = None
            return
        if self.request.body.started and not self.request.body.replayable:
            # A long upload is bounded piece by piece; the target's time starts
            # when it has the whole body.
            extended_s = self.timers.now() + self.service.request_timeout_s
            self.deadline_s = max(self.deadline_s, extended_s)
        self.exchange.deadline_s = self.deadline_s

    def _send(self, connection: TargetConnection) -> None:
        connection.timeout = max(self._remaining_s(), 0.001)
        body = self.request.body
        connection.request(
            self.request.method,
            self.request.target,
            body=self._upload_content(connection) if body.present else None,
            headers=self._headers(),
            preload_content=False,
            decode_content=False,
        )

    def _headers(self) -> HTTPHeaderDict:
        headers = HTTPHeaderDict()
        for name, value in self.request.headers:
            headers.add(name, value)
        # Keeps urllib3 from adding headers that the caller did not send.
        for name in ("user-agent", "accept-encoding"):
            if name not in headers:
                headers[name] = SKIP_HEADER
        body = self.request.body
        if body.chunked:
            headers["Transfer-Encoding"] = "chunked"
        elif body.length is not None:
            headers["Content-Length"] = str(body.length)
        if self.workspace_name is not None:
            headers[self.dialect.workspace_header] = self.workspace_name
        remaining_ms = max(int(self._remaining_s() * 1000), 0)
        headers[self.dialect.deadline_header] = str(remaining_ms)
        if self.dialect.expected_target_header is not None:
            expected = self.call.attempt.target.name
            headers[self.dialect.expected_target_header] = expected
        return headers

    def _upload_content(self, connection: TargetConnection) -> Iterator[bytes]:
        sock = connection.sock
        for piece in self.request.body.iter_content():
            self.exchange.check_access()
            if self.exchange.cancel_reason is not None:
                raise ConnectionResetError
            if wait_for_read(sock, 0) and _final_response_started(sock):
                raise _EarlyResponseError
            sock.settimeout(self.service.request_timeout_s)
            yield piece

    def _read_head(
        self, connection: TargetConnection
    ) -> tuple[HTTPResponse, TargetResponse]:
        connection.timeout = max(self._remaining_s(), 0.001)
        connection.expected_id_header = None
        if self.dialect.request_id_header and self.request.request_id:
            header = self.dialect.request_id_header
            connection.expected_id_header = (header, self.request.request_id)
        try:
            response = connection.getresponse()
        except (HTTPError, http.client.HTTPException, OSError, ValueError) as error:
            raise self._connection_error(error) from error
        return response, connection.last_response

    def _raise_if_not_run(self, response: HTTPResponse) -> None:
        said = response.headers.get(self.dialect.not_run_header) == "1"
        said = said and response.status >= 400
        wrong_target = (
            response.status == WRONG_TARGET_STATUS
            and self.dialect.expected_target_header is not None
        )
        if wrong_target:
            raise _AttemptFailedError(
                OutcomeKind.WRONG_TARGET,
                Verdict.NOT_RUN,
                "another target answers at this address",
            )
        if not said:
            return
        retry_after = response.headers.get("retry-after", "")
        retry_after_s = float(retry_after) if retry_after.isdigit() else None
        raise _AttemptFailedError(
            OutcomeKind.SHED,
            Verdict.NOT_RUN,
            "the targets refuse more work",
            retry_after_s,
        )

    def _connection_error(self, error: Exception | None) -> Exception:
        """Return what a failure after the connection was opened means."""
        reason = self.exchange.cancel_reason
        if reason not in (None, CancelReason.DEADLINE):
            return self._cancellation_error()
        if self.exchange.abandoned and reason is None:
            message = "a target was ejected before it answered"
            return self._make_failure(OutcomeKind.TIMEOUT, message)
        timed_out = reason is CancelReason.DEADLINE or isinstance(error, TimeoutError)
        if timed_out:
            return self._make_failure(
                OutcomeKind.TIMEOUT, "a target did not answer in time"
            )
        return self._make_failure(OutcomeKind.CUT, "a target broke off the connection")

    def _make_failure(self, kind: OutcomeKind, message: str) -> _AttemptFailedError:
        sent = self.call.connection.send_started
        verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
        return _AttemptFailedError(kind, verdict, message)

    def _cancellation_error(self) -> ExchangeCancelledError:
        return ExchangeCancelledError(self.exchange.cancel_reason.value)
