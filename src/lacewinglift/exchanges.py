"""Exchanges (requests in progress) and the monitor that cancels them."""

import contextlib
import enum
import select
import socket
import threading
from collections.abc import Callable, Iterator

from lacewinglift.timers import Subscription, Timers

# The disconnection of a caller must be detected within 100 ms.
CHECK_INTERVAL_S = 0.04
FULL_ACCESS_CHECK_INTERVAL_S = 1.0

_DISCONNECT_EVENTS = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)


class CancelReason(enum.Enum):
    """Reason for the cancellation of an exchange."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    ACCESS_LOST = "access_lost"
    STOPPED = "stopped"


def _is_disconnected(sock: socket.socket) -> bool:
    """Return whether the peer has closed a connection."""
    descriptor = sock.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return any(events & _DISCONNECT_EVENTS for _, events in poll.poll(0))


def _shut_down(sock: socket.socket | None, how: int) -> None:
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.shutdown(how)


class Exchange:
    """A request in progress and the two sockets that its worker thread blocks on.

    `cancel` is called from other threads. It shuts sockets down, which unblocks the
    worker thread; that thread closes them.

    Parameters
    ----------
    timers : Timers
        Clock and scheduler.
    caller_socket : socket.socket
        Connection to the caller.
    access_lost : callable, default=None
        Returns whether the caller may no longer use the service. The argument is
        True for a full check, which includes the standing of the instance and is due
        every `FULL_ACCESS_CHECK_INTERVAL_S`.
    """

    def __init__(
        self,
        timers: Timers,
        caller_socket: socket.socket,
        access_lost: Callable[[bool], bool] | None = None,
    ) -> None:
        self.timers = timers
        self.caller_socket = caller_socket
        self.access_lost = access_lost
        self.deadline_s: float | None = None
        self.cancel_reason: CancelReason | None = None
        self.full_access_check_at_s = timers.now()
        self.on_caller_input: Callable[[], None] | None = None
        """Called while the caller has sent more than this request."""
        self.is_key_revoked: Callable[[], bool] = bool
        """Returns whether the key was withdrawn, for a request that waits here."""
        self.on_cancel: Callable[[], None] | None = None
        """Called when the exchange is cancelled; must not block."""
        self.abandoned = False
        """Whether the current target was abandoned before it responded."""
        self._target_socket: socket.socket | None = None
        self._awaiting_response = False
        """Whether the current target has not begun its response."""
        self._finished = False
        self._lock = threading.Lock()

    def attach(self, target_socket: socket.socket) -> bool:
        """Set the connection to the current target; return False if cancelled."""
        self.check_caller()
        with self._lock:
            if self.cancel_reason is not None:
                return False
            # Duplicated because the worker thread may close its socket at any time;
            # the descriptor could then be reused for another connection.
            self._target_socket = target_socket.dup()
            self.abandoned = False
            self._awaiting_response = True
            return True

    def make_abandon_callback(self) -> Callable[[], None]:
        """Return a function that abandons the current target, but no later one."""
        target = self._target_socket

        def abandon() -> None:
            with self._lock:
                if (
                    not self._awaiting_response
                    or self._target_socket is not target
                    or self.cancel_reason
                ):
                    return
                self.abandoned = True
                _shut_down(target, socket.SHUT_RDWR)

        return abandon

    def mark_response_started(self) -> bool:
        """Record that the response has begun; return False if abandoned before."""
        with self._lock:
            self._awaiting_response = False
            return not self.abandoned

    def detach(self) -> None:
        """Close the duplicate of the target's socket, which `cancel` shuts down."""
        with self._lock:
            self._close_target_socket()

    def _close_target_socket(self) -> None:
        if self._target_socket is not None:
            self._target_socket.close()
            self._target_socket = None

    def cancel(self, reason: CancelReason) -> None:
        """Cancel the exchange unless it is finished or already cancelled."""
        with self._lock:
            if self._finished or self.cancel_reason is not None:
                return
            self.cancel_reason = reason
            if self.on_cancel is not None:
                self.on_cancel()
            _shut_down(self._target_socket, socket.SHUT_RDWR)
            if reason in (CancelReason.ACCESS_LOST, CancelReason.STOPPED):
                # Unblocks a read of the body. The write side stays open: closing it
                # could look like the end of a close-delimited response.
                _shut_down(self.caller_socket, socket.SHUT_RD)

    def finish(self) -> None:
        """Record that the worker thread no longer uses the sockets."""
        with self._lock:
            self._finished = True
            self._close_target_socket()

    def record_caller_input(self) -> None:
        """Report that the caller has sent more than this request."""
        if self.on_caller_input is not None:
            self.on_caller_input()

    def check_caller(self) -> None:
        """Cancel the exchange if the caller has disconnected."""
        if self.cancel_reason is None and _is_disconnected(self.caller_socket):
            self.cancel(CancelReason.CALLER_GONE)

    def check_access(self) -> None:
        """Cancel the exchange if the caller may no longer use the service."""
        if self.access_lost is None or self.cancel_reason is not None:
            return
        now = self.timers.now()
        full = now - self.full_access_check_at_s >= FULL_ACCESS_CHECK_INTERVAL_S
        if full:
            self.full_access_check_at_s = now
        if self.access_lost(full):
            self.cancel(CancelReason.ACCESS_LOST)

    def check_deadline(self) -> None:
        """Cancel the exchange if its deadline has passed."""
        deadline_s = self.deadline_s
        if deadline_s is not None and self.timers.now() >= deadline_s:
            self.cancel(CancelReason.DEADLINE)


class ExchangeMonitor:
    """Periodically checks all exchanges in progress and cancels those that must end.

    An exchange is cancelled if its caller has disconnected or lost access, or if its
    deadline has passed.
    """

    def __init__(self, timers: Timers) -> None:
        self.timers = timers
        self.exchanges: dict[int, Exchange] = {}
        self._lock = threading.Lock()
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Start the periodic checks."""
        self._subscription = self.timers.subscribe(CHECK_INTERVAL_S, self.check)

    def stop(self) -> None:
        """Stop the periodic checks."""
        if self._subscription is not None:
            self._subscription.cancel()

    @contextlib.contextmanager
    def tracking(self, exchange: Exchange) -> Iterator[Exchange]:
        """Include an exchange in the checks until the context is left."""
        with self._lock:
            self.exchanges[id(exchange)] = exchange
        try:
            yield exchange
        finally:
            exchange.finish()
            with self._lock:
                del self.exchanges[id(exchange)]

    def in_progress(self) -> list[Exchange]:
        """Return the exchanges in progress."""
        with self._lock:
            return list(self.exchanges.values())

    def cancel_all(self, reason: CancelReason) -> int:
        """Cancel all exchanges in progress and return their number."""
        exchanges = self.in_progress()
        for exchange in exchanges:
            exchange.cancel(reason)
        return len(exchanges)

    def check(self) -> None:
        """Cancel exchanges with a lost caller, lost access or a passed deadline."""
        exchanges = self.in_progress()
        if not exchanges:
            return
        poll = select.poll()
        by_descriptor = {}
        for exchange in exchanges:
            exchange.check_deadline()
            exchange.check_access()
            descriptor = exchange.caller_socket.fileno()
            if descriptor >= 0:
                by_descriptor[descriptor] = exchange
                poll.register(descriptor, select.POLLRDHUP | select.POLLIN)
        for descriptor, events in poll.poll(0):
            if events & select.POLLIN:
                by_descriptor[descriptor].record_caller_input()
            # POLLRDHUP is also reported if a pipelined request is still unread; a
            # peek at the first unread byte would not show the end of the stream.
            if events & _DISCONNECT_EVENTS:
                by_descriptor[descriptor].cancel(CancelReason.CALLER_GONE)
