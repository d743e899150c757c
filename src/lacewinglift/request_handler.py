"""Request handling: admission, forwarding to a target, and the response."""

import contextlib
import http
import ipaddress
import time
import urllib.parse
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Protocol

from attrs import define, field

from lacewinglift.access import (
    Access,
    AccessCheck,
    Distribution,
    Standing,
    authorize,
    check_standing,
    find_workspace,
)
from lacewinglift.addresses import ADDRESSES_PATH, AddressBook
from lacewinglift.bodies import CallerGoneError, RequestBody
from lacewinglift.callers import CALLER_IDLE_TIMEOUT_S, CallerStream, ResponseWriter
from lacewinglift.concurrency import ConcurrencyLimiter
from lacewinglift.configuration import Configuration, Workspace
from lacewinglift.dialects import DEFAULT_DIALECT, Dialect
from lacewinglift.exchanges import CancelReason, Exchange, ExchangeMonitor
from lacewinglift.forward_requests import ExchangeCancelledError, ForwardRequest
from lacewinglift.forwarded_response import ForwardedResponse, TruncatedResponseError
from lacewinglift.forwarder import Forwarder
from lacewinglift.headers import (
    BadRequestError,
    Headers,
    RequestHead,
    headers_to_target,
)
from lacewinglift.logs import log_exception, log_info
from lacewinglift.metrics import Metrics
from lacewinglift.overload.priorities import effective_priority
from lacewinglift.refusals import Refusal, RefusalError, refuse
from lacewinglift.shutdown import Shutdown
from lacewinglift.timers import Timers
from lacewinglift.verdicts import Verdict

METRICS_PATH = "/metrics"
RESERVED_PATH_PREFIX = "/.lacewinglift/"
# Time limit for reading the rest of a small body, so that the connection can be kept
# after a refusal.
BODY_DRAIN_TIMEOUT_S = 1.0
# Time that a request waits for the first configuration of a starting instance. A
# refused caller would retry later than that, and the wait is short enough to detect
# the disconnection of the caller in time.
CONFIGURATION_WAIT_S = 0.4

_ADMISSION_REFUSAL_MESSAGES = {
    "over_limit": "exceeds its rate limit; wait before the next request",
    "isolated": "cannot be admitted here; use another address",
}


class Decision(Protocol):
    """Admission decision on one request."""

    admitted: bool
    code: str | None
    retry_after_s: float | None
    wait_s: float
    log_fields: Mapping[str, object]


class Admission(Protocol):
    """Admits requests within the quota of their workspace."""

    def admit(self, workspace: Workspace) -> Decision:
        """Decide whether one more request of a workspace may run now."""
        ...


@define(eq=False)
class RequestComponents:
    """Components that the request handler uses."""

    timers: Timers
    distribution: Distribution
    standing: Standing
    admission: Admission
    forwarder: Forwarder
    address_book: AddressBook
    shutdown: Shutdown
    concurrency_limiter: ConcurrencyLimiter
    exchange_monitor: ExchangeMonitor
    operator_networks: Iterable[str] = ("127.0.0.0/8", "::1/128")
    metrics: Metrics = field(factory=Metrics)
    dialect: Dialect = DEFAULT_DIALECT
    cancel_on_access_loss: bool = True
    """Whether a request in progress is cancelled when its key is withdrawn."""
    wait_for_configuration: Callable[[float], object] | None = None
    """Waits for the first configuration; the argument is the timeout in seconds."""


class RequestHandler:
    """Handles requests, one at a time in each worker thread."""

    def __init__(self, components: RequestComponents) -> None:
        self.components = components
        self.operator_networks = [
            ipaddress.ip_network(network) for network in components.operator_networks
        ]

    def refuse_invalid_head(self, stream: CallerStream, error: BadRequestError) -> None:
        """Refuse a request with an invalid head; the connection cannot be reused."""
        writer = ResponseWriter(stream, None, keep_alive=False)
        refusal = refuse("bad_request", str(error)).refusal
        with contextlib.suppress(CallerGoneError):
            self._write_refusal(writer, refusal)
            stream.linger()

    def handle(self, stream: CallerStream, head: RequestHead) -> bool:
        """Handle one request; return whether the connection can be reused."""
        task = _RequestTask(self, stream, head)
        with self.components.metrics.in_flight.track_inprogress():
            return task.run()

    def is_operator(self, address: str) -> bool:
        """Return whether an address is in a network that may read the metrics."""
        try:
            parsed = ipaddress.ip_address(address)
        except ValueError:
            return False
        mapped = getattr(parsed, "ipv4_mapped", None)
        return any((mapped or parsed) in network for network in self.operator_networks)

    def _write_refusal(self, writer: ResponseWriter, refusal: Refusal) -> None:
        self.components.metrics.refusals.labels(
            refusal.code, refusal.verdict.value
        ).inc()
        dialect = self.components.dialect
        status, headers = refusal.status(dialect), refusal.headers(dialect)
        _write_response(writer, status, headers, refusal.body())


def _write_response(
    writer: ResponseWriter, status: int, headers: Headers, body: bytes
) -> None:
    reason = http.HTTPStatus(status).phrase
    writer.write(status, reason, headers, len(body), iter([body]))


class _RequestTask:
    """Handles one request."""

    def __init__(
        self, handler: RequestHandler, stream: CallerStream, head: RequestHead
    ) -> None:
        self.handler = handler
        self.components = handler.components
        self.stream = stream
        self.head = head
        self.body = RequestBody(
            head,
            stream.reader,
            stream.socket,
            CALLER_IDLE_TIMEOUT_S,
            stream.send_continue,
        )
        self.writer = self._new_writer()
        self.started_s = self.components.timers.now()
        self.queued_s = stream.queued_s()
        """Time for which the connection waited for a worker thread."""
        id_header = self.components.dialect.logged_id_header()
        self.logged_id = head.value(id_header) or "-"
        self.received_bytes = 0
        """Size of the response body that a target has sent."""
        self.service_name = "-"
        self.admission_log_fields: Mapping[str, object] = {}

    def _new_writer(self) -> ResponseWriter:
        keep_alive = (
            self.head.keep_alive and not self.components.shutdown.closes_connections()
        )
        return ResponseWriter(self.stream, self.head, keep_alive)

    def run(self) -> bool:
        try:
            self._dispatch()
        except RefusalError as error:
            return self._send_refusal(error.refusal)
        except BadRequestError as error:
            return self._send_refusal(refuse("bad_request", str(error)).refusal)
        except TruncatedResponseError as error:
            self._record_cut("target", error)
            verdict = Verdict.MAY_HAVE_RUN
            return self._send_refusal(
                refuse("target_failed", str(error), verdict).refusal
            )
        except (CallerGoneError, ExchangeCancelledError) as error:
            self._record_cut("caller", error)
            self.writer.abort()
            return False
        except Exception:
            log_exception("request_failed", id=self.logged_id, path=self.head.path)
            self.writer.keep_alive = False
            message = "internal error of this instance; its log has the details"
            verdict = Verdict.MAY_HAVE_RUN
            return self._send_refusal(refuse("target_failed", message, verdict).refusal)
        return self._end_connection()

    def _record_cut(self, reason: str, error: Exception) -> None:
        self.components.metrics.truncated_responses.labels(reason).inc()
        log_info(
            "request_cut",
            id=self.logged_id,
            service=self.service_name,
            by=reason,
            reason=str(error) or type(error).__name__,
            after_s=self._elapsed_s(),
            bytes=self.received_bytes,
        )

    def _elapsed_s(self) -> float:
        return self.components.timers.now() - self.started_s

    def _end_connection(self) -> bool:
        if self.body.finished and self.writer.keep_alive:
            return True
        if not self.body.finished or self.head.keep_alive:
            # The caller may still send the body, or further requests.
            self.stream.linger()
        return False

    def _send_refusal(self, refusal: Refusal) -> bool:
        self._log_refusal(refusal)
        if self.writer.started:
            # Part of another response was already sent.
            self.writer.abort()
            return False
        try:
            if not self._drain_body():
                self.writer.keep_alive = False
            self.handler._write_refusal(self.writer, refusal)
        except CallerGoneError:
            return False
        return self._end_connection()

    def _log_refusal(self, refusal: Refusal) -> None:
        log_info(
            "request_refused",
            id=self.logged_id,
            path=self.head.path,
            code=refusal.code,
            status=refusal.status(self.components.dialect),
            verdict=refusal.verdict.value,
            retry_after_s=refusal.retry_after_s or 0.0,
            after_s=self._elapsed_s(),
            generation=self._generation(),
            why=refusal.message,
            **self.admission_log_fields,
        )

    def _generation(self) -> int:
        configuration = self.components.distribution.current()
        return 0 if configuration is None else configuration.generation

    def _drain_body(self) -> bool:
        """Read the rest of a small body; return whether it was read to its end."""
        body = self.body
        if body.finished:
            return True
        if not body.fits_replay_buffer or body.waiting_for_continue:
            return False
        deadline_s = self.components.timers.now() + BODY_DRAIN_TIMEOUT_S
        try:
            body.preload(lambda: deadline_s - self.components.timers.now())
        except (BadRequestError, CallerGoneError):
            return False
        return True

    def _dispatch(self) -> None:
        if self.components.shutdown.stopped():
            raise refuse("stopping", "this instance has stopped; use another address")
        path = self.head.path
        serves_builtin_paths = self.components.dialect.serves_builtin_paths
        if (
            serves_builtin_paths
            and path == METRICS_PATH
            and self.handler.is_operator(self.stream.address)
        ):
            self._write_metrics()
            return
        if self.components.wait_for_configuration is not None:
            self.components.wait_for_configuration(CONFIGURATION_WAIT_S)
        configuration = self.components.distribution.current()
        if configuration is None:
            message = "this instance has no configuration yet; use another address"
            raise refuse("starting", message, retry_after_s=1)
        if serves_builtin_paths and path == ADDRESSES_PATH:
            self._write_addresses(configuration)
            return
        if serves_builtin_paths and (
            path == METRICS_PATH or path.startswith(RESERVED_PATH_PREFIX)
        ):
            raise refuse("no_route", f"no route leads to {path}")
        self._admit_and_forward(authorize(configuration, self.head))

    def _write_metrics(self) -> None:
        headers = [("Content-Type", "text/plain; version=0.0.4; charset=utf-8")]
        _write_response(self.writer, 200, headers, self.components.metrics.render())

    def _write_addresses(self, configuration: Configuration) -> None:
        workspace = find_workspace(configuration, self.head)
        query = urllib.parse.parse_qs(self.head.target.partition("?")[2])
        data_centre = query.get("data_centre", [None])[0]
        name = None if workspace is None else workspace.name
        body = self.components.address_book.build_response(
            configuration, name, data_centre
        )
        headers = [
            ("Content-Type", "application/json"),
            ("Cache-Control", "no-store"),
        ]
        _write_response(self.writer, 200, headers, body)

    def _admit_and_forward(self, access: Access) -> None:
        started_s = self.components.timers.now()
        status = "refused"
        self.service_name = access.service.name
        # A pipelined request has waited for the responses to those before it.
        deadline_s = self.stream.arrived_s + self._timeout_s(access)
        try:
            self._refuse_if_late_in_stop(deadline_s)
            if access.workspace is not None:
                check_standing(self.components.standing)
                self._admit(access.workspace)
            self._log_admission(access)
            waited = self.components.metrics.wait_latency.labels(access.service.name)
            waited.observe(self._elapsed_s())
            with (
                self.components.concurrency_limiter.request_slot(
                    access.service, access.workspace
                ),
                self._monitored_exchange(access) as exchange,
            ):
                status = self._forward_to_target(access, exchange, deadline_s)
        finally:
            name = access.service.name
            self.components.metrics.requests.labels(name, status).inc()
            elapsed_s = self.components.timers.now() - started_s
            self.components.metrics.request_latency.labels(name).observe(elapsed_s)

    def _timeout_s(self, access: Access) -> float:
        timeout_s = access.route.timeout_s or access.service.request_timeout_s
        caller_timeout_s = self._caller_timeout_s()
        return (
            timeout_s if caller_timeout_s is None else min(timeout_s, caller_timeout_s)
        )

    def _caller_timeout_s(self) -> float | None:
        return self.head.timeout_s(self.components.dialect.timeout_header)

    def _refuse_if_late_in_stop(self, deadline_s: float) -> None:
        """Refuse a request that the end of a shutdown could cut."""
        if self.components.shutdown.accepts(deadline_s - self.components.timers.now()):
            return
        message = "this instance is about to stop; use another address"
        raise refuse("stopping", message, retry_after_s=0.0)

    def _admit(self, workspace: Workspace) -> None:
        decision = self.components.admission.admit(workspace)
        self.admission_log_fields = {"workspace": workspace.name, **decision.log_fields}
        if decision.admitted:
            if decision.wait_s > 0:
                time.sleep(decision.wait_s)
            return
        code = decision.code or "over_limit"
        why = _ADMISSION_REFUSAL_MESSAGES.get(code, "cannot be admitted now")
        message = f"{workspace.name} {why}"
        raise refuse(code, message, retry_after_s=decision.retry_after_s or None)

    def _log_admission(self, access: Access) -> None:
        log_info(
            "request_admitted",
            id=self.logged_id,
            service=access.service.name,
            generation=self._generation(),
            queued_s=self.queued_s,
            **self.admission_log_fields,
        )

    @contextlib.contextmanager
    def _monitored_exchange(self, access: Access) -> Iterator[Exchange]:
        check = AccessCheck(
            access, self.components.distribution, self.components.standing, self.head
        )
        lost = check.is_access_lost if self.components.cancel_on_access_loss else None
        exchange = Exchange(self.components.timers, self.stream.socket, lost)
        exchange.is_key_revoked = lambda: check.is_access_lost(full=False)
        if not self.head.has_body:
            exchange.on_caller_input = self.stream.note_input
        self.stream.cancelled = lambda: exchange.cancel_reason is not None
        try:
            with self.components.exchange_monitor.tracking(exchange):
                yield exchange
        finally:
            self.stream.cancelled = bool  # bool() returns False.

    def _forward_to_target(
        self, access: Access, exchange: Exchange, deadline_s: float
    ) -> str:
        dialect = self.components.dialect
        route = access.route
        now = self.components.timers.now
        if self.body.fits_replay_buffer and now() < deadline_s:
            self.body.preload(lambda: deadline_s - now())
            # The stop may have gone on while the body arrived.
            self._refuse_if_late_in_stop(deadline_s)
        request = ForwardRequest(
            self.head.method,
            self.head.target,
            headers_to_target(self.head.headers, dialect.reserved_headers()),
            self.body,
            exchange,
            deadline_covers_upload=self._caller_timeout_s() is not None,
            idempotent=route.idempotent,
            max_attempts=route.max_attempts,
            deadline_covers_body=route.timeout_covers_body,
            free_refusals=route.free_refusals,
            request_id=self.head.value(dialect.request_id_header or ""),
            logged_id=self.logged_id,
            allowed_regions=access.allowed_regions(),
            route=f"{route.host or ''}{route.prefix}",
            priority=effective_priority(route, access.workspace),
            objective_s=route.objective_s,
            arrived_s=self.stream.arrived_s,
            in_haste=self.components.shutdown.in_progress,
        )
        name = None if access.workspace is None else access.workspace.name
        response = self.components.forwarder.forward(
            request, access.service, name, deadline_s
        )
        try:
            self.writer = self._new_writer()
            if not self.body.finished:
                self.writer.keep_alive = False
            if self.components.forwarder.reads_ahead():
                self.stream.while_blocked = response.read_ahead
            self.writer.write(
                response.status,
                response.reason,
                response.headers,
                response.content_length,
                self._access_checked_content(response.iter_content(), exchange),
            )
        finally:
            self.stream.while_blocked = None
            self.received_bytes = response.body_bytes
            response.close()
        self._log_request_end(response, name)
        return f"{response.status // 100}xx"

    def _log_request_end(
        self, response: ForwardedResponse, workspace_name: str | None
    ) -> None:
        sent_bytes = self.components.metrics.response_bytes.labels(self.service_name)
        sent_bytes.inc(response.body_bytes)
        log_info(
            "request_ended",
            id=self.logged_id,
            service=self.service_name,
            workspace=workspace_name or "-",
            target=response.target_name,
            status=response.status,
            attempts=response.attempts,
            hedge=response.hedge or "-",
            after_s=self._elapsed_s(),
            bytes=response.body_bytes,
        )

    def _access_checked_content(
        self, blocks: Iterator[bytes], exchange: Exchange
    ) -> Iterator[bytes]:
        for block in blocks:
            exchange.check_access()
            # A passed deadline ends the response at its next block.
            if exchange.cancel_reason not in (None, CancelReason.DEADLINE):
                raise ExchangeCancelledError(exchange.cancel_reason.value)
            yield block
