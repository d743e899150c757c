"""Sends one request to one target after another, until one of them serves it."""

import http.client
import math
from collections.abc import Callable, Iterator
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, TypeVar

from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER
from urllib3.util.wait import wait_for_read

from lacewinglift.attempt_calls import (
    AttemptCall,
    AttemptFailedError,
    EarlyResponseError,
    final_response_started,
    parse_number,
)
from lacewinglift.attempts import Attempt, RetryBudgetProtocol
from lacewinglift.bodies import CallerGoneError
from lacewinglift.configuration import Service
from lacewinglift.exchanges import CancelReason
from lacewinglift.forward_requests import ExchangeCancelledError, ForwardRequest
from lacewinglift.forwarded_response import ForwardedResponse, TruncatedResponseError
from lacewinglift.headers import BadRequestError
from lacewinglift.hedging.race import HedgeRace
from lacewinglift.logs import log_info, log_warning
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.overload.gate import OverloadGate
from lacewinglift.pools import TargetConnection, TargetResponse
from lacewinglift.refusals import RefusalError, refuse
from lacewinglift.retries import may_retry
from lacewinglift.verdicts import Verdict

if TYPE_CHECKING:
    from lacewinglift.forwarder import Forwarder

Result = TypeVar("Result")

WRONG_TARGET_STATUS = 421  # Misdirected Request
# Retry-After of the refusal when no target is usable. If all targets are at their
# limits, some of their requests will have ended by then.
NO_TARGET_RETRY_AFTER_S = 0.5
# The response of the first target is not read while a connection for a hedge is opened.
HEDGE_CONNECT_TIMEOUT_S = 0.1


class AttemptLoop:
    """Sends one request to one target after another.

    The loop ends when an attempt succeeds or the request may not be retried.
    """

    def __init__(
        self,
        forwarder: "Forwarder",
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
        """Number of failed attempts with the verdict `not_run`."""
        self.reported_failure: AttemptFailedError | None = None
        """Failure that the refusal reports if the request is given up."""
        self.call: AttemptCall
        self.budget = forwarder.retry_budget(service.name)
        self.gate = OverloadGate.for_request(
            forwarder.overload, request, service, workspace_name, deadline_s
        )
        self.retry_reserved = False
        """Whether the budget has granted the retry after an abandoned attempt."""
        self.target_selector = forwarder.target_selector
        self.logged_id = request.logged_id
        self.race: HedgeRace | None = None
        if forwarder.hedger is not None and forwarder.hedger.enabled:
            self.race = HedgeRace(forwarder.hedger, self, service.name)

    def run(self) -> ForwardedResponse:
        """Return the response, or raise RefusalError or ExchangeCancelledError."""
        if self.race is None:
            return self._run()
        self.forwarder.hedger.record_request(self.service.name)
        answered = cancelled = False
        try:
            response = self._run()
            answered = True
        except ExchangeCancelledError:
            cancelled = True
            raise
        finally:
            self.race.finish(answered, cancelled)
        response.hedge = self.race.result
        return response

    def _run(self) -> ForwardedResponse:
        budget = self.budget
        budget.record_request()
        while True:
            attempt = self._next_attempt()
            response, failure = self._try_target(partial(self._call_target, attempt))
            while failure is not None and self._take_other(failure, response):
                response, failure = self._try_target(self._resume_call)
            attempt = self.call.attempt
            if failure is None:
                return response
            self._record_failure(failure)
            reason = self._no_retry_reason(failure)
            self._log_failure(attempt.target.name, failure, reason, budget)
            if reason is None:
                if response is not None:
                    response.close()
                continue
            if response is not None:
                return response
            raise self._give_up(reason)

    def _next_attempt(self) -> Attempt:
        """Select a target that was not tried yet, or raise RefusalError."""
        # The caller may have left while the request waited for its turn.
        self.exchange.check_caller()
        if self.exchange.cancel_reason is CancelReason.CALLER_GONE:
            raise self._cancellation_error()
        if self._remaining_s() <= 0:
            self.reported_failure = self.reported_failure or self._deadline_failure()
            raise self._give_up("time")
        last_attempt = self.request.max_attempts - 1
        repeatable = self.request.repeatable and self._counted_attempts() < last_attempt
        attempt = self._acquire(repeatable)
        if attempt is None:
            raise self._give_up("no_target")
        self.tried_targets.add(attempt.target.name)
        self._log_choice(attempt, repeatable)
        if self.reported_failure is not None and self.forwarder.on_retry is not None:
            self.forwarder.on_retry(self.service.name)
        return attempt

    def _excluded(self) -> set[str]:
        """Return the targets that may not get the request, or not again."""
        regions = self.request.allowed_regions
        if regions is None:
            return self.tried_targets
        outside = self.forwarder.targets_outside(self.service.name, regions)
        return self.tried_targets | outside

    def _acquire(self, repeatable: bool) -> Attempt | None:
        """Return an attempt; wait for it if the service is under overload control."""
        excluded = self._excluded()
        if self.gate is not None:
            attempt = self.gate.acquire(excluded, repeatable)
            if attempt is not None:
                return attempt
            if self.gate.refusal is not None:
                raise self._give_up("no_capacity")
        selector = self.forwarder.target_selector
        return selector.acquire(self.service.name, excluded, repeatable)

    def _acquire_resend(self, verdict: Verdict) -> bool:
        if self.gate is None:
            return self.budget.try_acquire()
        return self.gate.acquire_resend(self.budget, verdict is Verdict.NOT_RUN)

    def _try_target(
        self, call_target: Callable[[], ForwardedResponse]
    ) -> tuple[ForwardedResponse | None, AttemptFailedError | None]:
        """Return the response of a target, and the failure that calls for a retry."""
        try:
            response = call_target()
            failure = self._response_failure(response)
        except AttemptFailedError as error:
            return None, error
        response.attempts = len(self.tried_targets)
        return response, failure

    def _record_failure(self, failure: AttemptFailedError) -> None:
        if (
            self.reported_failure is None
            or self.reported_failure.verdict is Verdict.NOT_RUN
        ):
            # The refusal must report an attempt that may have run, if there is one.
            self.reported_failure = failure
        if failure.verdict is Verdict.NOT_RUN:
            self.not_run_attempts += 1

    def _counted_attempts(self) -> int:
        """Return the number of attempts that count towards `max_attempts`."""
        return len(self.tried_targets) - min(
            self.not_run_attempts, self.request.free_refusals
        )

    def _has_further_attempt(self) -> bool:
        """Return whether the request may go to another target after this one."""
        attempts_left = self._counted_attempts() < self.request.max_attempts
        return self.request.repeatable and attempts_left

    def _response_failure(
        self, response: ForwardedResponse
    ) -> AttemptFailedError | None:
        """Return the failure if the request should be retried despite a response."""
        if not self.request.idempotent:
            return None
        try:
            response.preload()
        except TruncatedResponseError as error:
            self.worst_verdict = Verdict.MAY_HAVE_RUN
            raise self._connection_error(error) from error
        if response.unfinished:
            self.exchange.deadline_s = self._body_deadline_s()
        if not response.is_server_error:
            return None
        message = f"a target failed with status {response.status}"
        return AttemptFailedError(OutcomeKind.ERROR, Verdict.MAY_HAVE_RUN, message)

    def _no_retry_reason(self, failure: AttemptFailedError) -> str | None:
        """Return the reason not to retry the request; None if it is to be retried."""
        if self._remaining_s() <= 0:
            return "time"
        if self._counted_attempts() >= self.request.max_attempts:
            return "attempts"
        replayable = self.request.body.replayable
        if not may_retry(self.request.repeatable, failure.verdict, replayable):
            return "may_have_run"
        if self.retry_reserved:
            self.retry_reserved = False
            return None
        return None if self._acquire_resend(failure.verdict) else "retry_budget"

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
        self,
        target: str,
        failure: AttemptFailedError,
        reason: str | None,
        budget: RetryBudgetProtocol,
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
            **budget.log_fields(),
        )

    def _give_up(self, reason: str) -> RefusalError:
        """Log that the request is not retried, and return its refusal."""
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

    def _deadline_failure(self) -> AttemptFailedError:
        message = "the deadline passed before a target was selected"
        return AttemptFailedError(OutcomeKind.TIMEOUT, Verdict.NOT_RUN, message)

    def _remaining_s(self) -> float:
        return self.deadline_s - self.timers.now()

    def _make_refusal(self, failure: AttemptFailedError | None) -> RefusalError:
        refusal = None if self.gate is None else self.gate.refusal
        not_run = failure is None or failure.verdict is Verdict.NOT_RUN
        if refusal is not None and not_run:
            return refusal
        if failure is None:
            message = f"{self.service.name} has no usable target"
            wait_s = self.forwarder.no_target_wait_s(self.service.name)
            retry_after_s = NO_TARGET_RETRY_AFTER_S if wait_s is None else wait_s
            return refuse("no_target", message, retry_after_s=retry_after_s)
        if failure.kind in (OutcomeKind.SHED, OutcomeKind.WRONG_TARGET):
            code = "no_target"
        elif failure.kind is OutcomeKind.TIMEOUT:
            code = "target_timeout"
        else:
            code = "target_failed"
        message = f"{self.service.name}: {failure.message}"
        return refuse(code, message, failure.verdict, failure.retry_after_s)

    def _call_target(self, attempt: Attempt) -> ForwardedResponse:
        self._open_call(attempt)

        def send_and_receive() -> ForwardedResponse:
            self._connect()
            return self._send_and_receive()

        return self._finish_on_failure(send_and_receive)

    def _open_call(self, attempt: Attempt) -> None:
        try:
            self.call = AttemptCall(self.forwarder, attempt, self.service, self.request)
        except Exception:
            attempt.finish(Outcome(OutcomeKind.CONNECT_FAILED, 0.0))
            raise

    def _finish_on_failure(self, step: Callable[[], Result]) -> Result:
        """Do a part of an attempt; record the attempt's end if it fails."""
        try:
            return step()
        except AttemptFailedError as failure:
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

    # ---- hedges ----

    def may_hedge(self) -> bool:
        """Return whether the request may be sent to one more target meanwhile."""
        body = self.request.body
        return (
            self.request.idempotent is True
            and body.finished
            and (not body.started or body.replayable)
            and self._has_further_attempt()
            and self.exchange.cancel_reason is None
        )

    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        return self._remaining_s()

    def open_call(self, attempt: Attempt) -> AttemptCall:
        """Send the request to a second target; raises AttemptFailedError."""
        self._open_call(attempt)
        # The exchange keeps the connection to the first target, which ends when the
        # exchange is cancelled; the second one is closed then.
        self.call.attached = False

        def send() -> AttemptCall:
            self._open_connection(HEDGE_CONNECT_TIMEOUT_S)
            try:
                self._send(self.call.connection)
            except EarlyResponseError as error:
                message = "the target responded to a hedge before it was sent"
                raise self._make_failure(OutcomeKind.CANCELLED, message) from error
            except (HTTPError, http.client.HTTPException, OSError) as error:
                raise self._connection_error(error) from error
            return self.call

        return self._finish_on_failure(send)

    def _take_other(
        self, failure: AttemptFailedError, response: ForwardedResponse | None
    ) -> bool:
        """Go on with the other target of a hedge; return whether there is one."""
        if self.race is None:
            return False
        self.race.record_failure()
        if self.race.other is None:
            return False
        failed_target = self.call.target_name
        self._record_failure(failure)
        self._log_failure(failed_target, failure, "other_target", self.budget)
        if response is not None:
            response.close()
        return self.race.take_other()

    def _resume_call(self) -> ForwardedResponse:
        """Receive the response of a target that the request was sent to before."""
        return self._finish_on_failure(self._receive)

    def _attach(self) -> None:
        """Let the exchange use the connection of the current attempt."""
        if self.call.attached:
            return
        self.call.attached = True
        self._set_exchange_deadline(streaming=False)
        if not self.exchange.attach(self.call.connection.sock):
            raise self._connection_error(None)

    def _reported_kind(self, kind: OutcomeKind) -> OutcomeKind:
        """Return the outcome to record; CANCELLED if it is no evidence of a fault."""
        if self.exchange.abandoned:
            return OutcomeKind.CANCELLED
        if kind is OutcomeKind.CONNECT_FAILED and self._remaining_s() > 0:
            return kind
        out_of_time = kind in (OutcomeKind.TIMEOUT, OutcomeKind.CONNECT_FAILED)
        if out_of_time and self.call.timeout_kind() is OutcomeKind.CANCELLED:
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
        self._open_connection()
        if not self.exchange.attach(self.call.connection.sock):
            raise self._connection_error(None)
        if self._has_further_attempt():
            # The request is retried as soon as its target is ejected; it need not wait
            # for a target that is known to be faulty.
            self.call.attempt.on_ejected = self._make_ejection_callback()

    def _open_connection(self, max_timeout_s: float = math.inf) -> None:
        connection = self.call.connection
        remaining_s = max(self._remaining_s(), 0.001)
        if self.forwarder.on_connection is not None:
            opened = connection.sock is None
            self.forwarder.on_connection(self.service.name, opened)
        if connection.sock is None:
            connection.timeout = min(
                self.service.connect_timeout_s, remaining_s, max_timeout_s
            )
            try:
                connection.connect()
            except (HTTPError, OSError) as error:
                message = "the connection to a target failed"
                raise self._make_failure(OutcomeKind.CONNECT_FAILED, message) from error

    def _make_ejection_callback(self) -> Callable[[], None]:
        """Return a function that abandons the attempt if the request can be retried."""
        abandon = self.exchange.make_abandon_callback()

        def abandon_for_retry() -> None:
            # Without a retry, the caller would get an error in place of a response.
            if not self.request.body.replayable:
                return
            if self.retry_reserved or self.budget.try_acquire():
                self.retry_reserved = True
                abandon()

        return abandon_for_retry

    def _send_and_receive(self) -> ForwardedResponse:
        connection = self.call.connection
        body = self.request.body
        self._set_exchange_deadline(streaming=not body.finished)
        upload_finished = True
        try:
            self._send(connection)
        except EarlyResponseError:
            upload_finished = False
        except (CallerGoneError, BadRequestError):
            raise
        except TimeoutError as error:
            raise self._connection_error(error) from error
        except (BrokenPipeError, ConnectionResetError):
            # The target may have sent a response before it closed the connection.
            upload_finished = False
            connection.was_reset = True
        except (HTTPError, http.client.HTTPException, OSError) as error:
            raise self._connection_error(error) from error
        if self.exchange.cancel_reason is not None:
            raise self._connection_error(None)
        self._set_exchange_deadline(streaming=False)
        if self.race is not None and upload_finished:
            self.race.await_response()
        return self._receive(upload_finished)

    def _receive(self, upload_finished: bool = True) -> ForwardedResponse:
        self._attach()
        body = self.request.body
        connection = self.call.connection
        # The response takes over a connection that ends with it.
        sock = connection.sock
        response, raw = self._read_head(connection)
        latency_s = self.call.elapsed_s()
        if not self.exchange.mark_response_started():
            raise self._connection_error(None)
        self._record_statements(response)
        self._raise_if_not_run(response)
        self.call.attempt.mark_response_started(latency_s)
        self._record_latency(response, latency_s)
        if not self.request.idempotent:
            self.exchange.deadline_s = self._body_deadline_s()
        if self.exchange.cancel_reason is not None:
            raise self._connection_error(None)
        sock.settimeout(self.service.request_timeout_s)
        if not self.request.idempotent:
            body.discard_replay_buffer()
        return ForwardedResponse(self.call, response, raw, latency_s, upload_finished)

    def _record_latency(self, response: HTTPResponse, latency_s: float) -> None:
        """Record the latency of an attempt that another one could be hedged by."""
        if self.race is not None and self.request.idempotent and response.status < 500:
            self.race.hedger.record_latency(self.service.name, latency_s)

    def _body_deadline_s(self) -> float | None:
        return self.deadline_s if self.request.deadline_covers_body else None

    def _set_exchange_deadline(self, streaming: bool) -> None:
        if self.request.deadline_covers_upload:
            self.exchange.deadline_s = self.deadline_s
            return
        if streaming:
            self.exchange.deadline_s = None
            return
        if self.request.body.started and not self.request.body.replayable:
            # Each read and write of a large upload has a timeout of its own; the
            # target's time starts when it has received the whole body.
            extended_s = self.timers.now() + self.service.request_timeout_s
            self.deadline_s = max(self.deadline_s, extended_s)
        self.exchange.deadline_s = self.deadline_s

    def _send(self, connection: TargetConnection) -> None:
        connection.timeout = max(self._remaining_s(), 0.001)
        body = self.request.body
        connection.request(
            self.request.method,
            self.request.request_target,
            body=self._upload_content(connection) if body.present else None,
            headers=self._headers(),
            preload_content=False,
            decode_content=False,
        )

    def _headers(self) -> HTTPHeaderDict:
        headers = HTTPHeaderDict()
        for name, value in self.request.headers:
            headers.add(name, value)
        # Prevents urllib3 from adding headers that the caller did not send.
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
        for block in self.request.body.iter_content():
            self.exchange.check_access()
            if self.exchange.cancel_reason is not None:
                raise ConnectionResetError
            if wait_for_read(sock, 0) and final_response_started(sock):
                raise EarlyResponseError
            sock.settimeout(self.service.request_timeout_s)
            yield block

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

    def _record_statements(self, response: HTTPResponse) -> None:
        """Record what the target states about itself, whatever the response is."""
        if response.status == WRONG_TARGET_STATUS:
            return
        self._record_rate_limit(response)
        header = self.dialect.leaving_header
        if header is not None and response.headers.get(header) == "1":
            self.call.attempt.record_leaving()
        pause_s = parse_number(response.headers.get("retry-after", ""))
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE and pause_s is not None:
            self.call.attempt.record_pause(pause_s)

    def _record_rate_limit(self, response: HTTPResponse) -> None:
        header = self.dialect.rate_limit_header
        if header is None:
            return
        text = response.headers.get(header)
        limit_per_s = None if text is None else parse_number(text)
        if text is not None and limit_per_s is None:
            target = self.call.attempt.target.name
            log_warning("rate_limit_unreadable", target=target, value=text)
            return
        self.call.attempt.record_rate_limit(limit_per_s, response.status < 400)

    def _raise_if_not_run(self, response: HTTPResponse) -> None:
        marked_not_run = response.headers.get(self.dialect.not_run_header) == "1"
        marked_not_run = marked_not_run and response.status >= 400
        wrong_target = (
            response.status == WRONG_TARGET_STATUS
            and self.dialect.expected_target_header is not None
        )
        if (wrong_target or marked_not_run) and self._may_be_earlier(response):
            message = "a refusal that names no request came on a reused connection"
            raise AttemptFailedError(OutcomeKind.CUT, Verdict.MAY_HAVE_RUN, message)
        if wrong_target:
            raise AttemptFailedError(
                OutcomeKind.WRONG_TARGET,
                Verdict.NOT_RUN,
                "another target responded at this address",
            )
        if not marked_not_run:
            return
        retry_after_s = parse_number(response.headers.get("retry-after", ""))
        raise AttemptFailedError(
            OutcomeKind.SHED,
            Verdict.NOT_RUN,
            "a target refused to run the request",
            retry_after_s,
        )

    def _may_be_earlier(self, response: HTTPResponse) -> bool:
        """Return whether a response may be a repetition of one to an earlier request.

        A response with the ID of another request has been discarded before.
        """
        header = self.dialect.request_id_header
        if header is None or self.request.request_id is None:
            return False
        return self.call.reused and header not in response.headers

    def _connection_error(self, error: Exception | None) -> Exception:
        """Return the exception for a failure after the connection was opened."""
        reason = self.exchange.cancel_reason
        if reason not in (None, CancelReason.DEADLINE):
            return self._cancellation_error()
        if self.exchange.abandoned and reason is None:
            message = "a target was ejected before it responded"
            return self._make_failure(OutcomeKind.TIMEOUT, message)
        timed_out = reason is CancelReason.DEADLINE or isinstance(error, TimeoutError)
        if timed_out:
            return self._make_failure(
                OutcomeKind.TIMEOUT, "a target did not respond in time"
            )
        return self._make_failure(
            OutcomeKind.CUT,
            "a target closed the connection or sent an invalid response",
        )

    def _make_failure(self, kind: OutcomeKind, message: str) -> AttemptFailedError:
        sent = self.call.connection.send_started
        verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
        return AttemptFailedError(kind, verdict, message)

    def _cancellation_error(self) -> ExchangeCancelledError:
        return ExchangeCancelledError(self.exchange.cancel_reason.value)
