"""Requests in progress, and the watch that cancels them from outside."""

import contextlib
import enum
import select
import socket
import threading
from collections.abc import Callable, Iterator

from lacewinglift.timers import Subscription, Timers

# A caller's disconnection is to be noticed within 100 ms.
CHECK_INTERVAL_S = 0.04
ACCESS_CHECK_INTERVAL_S = 1.0

_DISCONNECT_EVENTS = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)


class CancelReason(enum.Enum):
    """Why an exchange is ended from outside."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    ACCESS_LOST = "access_lost"
    STOPPED = "stopped"


def _shut_down(sock: socket.socket | None, how: int) -> None:
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.shutdown(how)


class Exchange:
    """One request in progress, with the two sockets that it blocks on.

    `cancel` is called from other threads. It shuts sockets down, which wakes the
    worker thread, and leaves their closing to that thread.

    Parameters
    ----------
    timers : Timers
        Clock.
    caller_socket : socket.socket
        Connection to the caller.
    access_lost : callable, default=None
        Tells whether the caller may no longer use the service.
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
        self.access_checked_at_s = timers.now()
        self.abandoned = False
        """Whether the present target was given up before it answered."""
        self._target_socket: socket.socket | None = None
        self._awaiting_response = False
        """Whether the present target has not begun its answer."""
        self._finished = False
        self._lock = threading.Lock()

    def attach(self, target_socket: socket.socket) -> bool:
        """Note the connection to a target; return False if already cancelled."""
        with self._lock:
            if self.cancel_reason is not None:
                return False
            # A descriptor of its own: the worker thread may close `target` at any
            # time, and its number may then belong to another connection.
            self._target_socket = target_socket.dup()
            self.abandoned = False
            self._awaiting_response = True
            return True

    def make_abandon_callback(self) -> Callable[[], None]:
        """Return a function that gives up the present target, and no later one."""
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
        """Keep the target, whose answer has begun; return False if given up."""
        with self._lock:
            self._awaiting_response = False
            return not self.abandoned

    def detach(self) -> None:
        """Forget the connection to the target."""
        with self._lock:
            self._close_target_socket()

    def _close_target_socket(self) -> None:
        if self._target_socket is not None:
            self._target_socket.close()
            self._target_socket = None

    def cancel(self, reason: CancelReason) -> None:
        """End the exchange unless it has ended."""
        with self._lock:
            if self._finished or self.cancel_reason is not None:
                return
            self.cancel_reason = reason
            _shut_down(self._target_socket, socket.SHUT_RDWR)
            if reason in (CancelReason.ACCESS_LOST, CancelReason.STOPPED):
                # Wakes a read of the body. The write side stays open: its end
                # could look like the end of a close-delimited answer.
                _shut_down(self.caller_socket, socket.SHUT_RD)

    def finish(self) -> None:
        """Note that the worker thread is done with both sockets."""
        with self._lock:
            self._finished = True
            self._close_target_socket()

    def check_access(self) -> None:
        """Cancel the exchange if the caller may no longer use the service."""
        if self.access_lost is None or self.cancel_reason is not None:
            return
        now = self.timers.now()
        full = now - self.access_checked_at_s >= ACCESS_CHECK_INTERVAL_S
        if full:
            self.access_checked_at_s = now
        if self.access_lost(full):
            self.cancel(CancelReason.ACCESS_LOST)

    def check_deadline(self) -> None:
        """Cancel the exchange if its deadline has passed."""
        deadline_s = self.deadline_s
        if deadline_s is not None and self.timers.now() >= deadline_s:
            self.cancel(CancelReason.DEADLINE)


class ExchangeMonitor:
    """Checks all exchanges in progress on the timer service."""

    def __init__(self, timers: Timers) -> None:
        self.timers = timers
        self.exchanges: dict[int, Exchange] = {}
        self._lock = threading.Lock()
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Start the checks."""
        self._subscription = self.timers.subscribe(CHECK_INTERVAL_S, self.check)

    def stop(self) -> None:
        """End the checks."""
        if self._subscription is not None:
            self._subscription.cancel()

    @contextlib.contextmanager
    def tracking(self, exchange: Exchange) -> Iterator[Exchange]:
        """Check an exchange until the context ends."""
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
        """Cancel exchanges whose caller, access or time is gone."""
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
                poll.register(descriptor, select.POLLRDHUP)
        for descriptor, events in poll.poll(0):
            # POLLRDHUP also shows the end of the stream behind a pipelined
            # request, which a look at the first unread byte would not.
            if events & _DISCONNECT_EVENTS:
                by_descriptor[descriptor].cancel(CancelReason.CALLER_GONE)
