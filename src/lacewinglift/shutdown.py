"""Graceful shutdown: the states and the order of the steps."""

import enum
import threading
from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from lacewinglift.logs import log_info, log_warning
from lacewinglift.timers import Timers

POLL_INTERVAL_S = 0.05
# Part of the stop bound that must be left for a request that may last longer than what
# is left. Its caller is better served by another instance, where it cannot be cut.
MIN_FRACTION_LEFT = 0.75


class ShutdownState(enum.Enum):
    """Phase of the shutdown."""

    SERVING = "serving"
    LEAVING = "leaving"
    """The instance is no longer in address lists, but still serves requests."""
    DRAINING = "finishing"
    """Each response closes its connection; no new connections are accepted."""
    STOPPED = "stopped"


class Drainable(Protocol):
    """Server for callers, which is drained before the process ends."""

    def stop_accepting(self) -> None:
        """Refuse new connections; those accepted before are still served."""
        ...

    def open_connections(self) -> int:
        """Return the number of open connections of callers."""
        ...

    def cancel_requests(self) -> int:
        """Cancel all requests in progress and return their number."""
        ...

    def stop(self) -> None:
        """Close the remaining connections and stop the server."""
        ...


@frozen
class StopReport:
    """Result of a shutdown."""

    cut_requests: int
    open_connections: int
    """Connections of callers that were still open when the shutdown ended."""


class Shutdown:
    """Runs the steps of a graceful shutdown and holds its state.

    Parameters
    ----------
    timers : Timers
        Clock.
    address_lifetime_s : callable
        Returns the time for which callers may use an address list.
    on_leaving : callable
        Called at the start, to announce to the members that this instance leaves.
    stop_bound_s : float
        Maximum duration of the shutdown in seconds.
    close_while_leaving : bool, default=False
        Whether responses close their connections from the start of the shutdown.
    """

    def __init__(
        self,
        timers: Timers,
        address_lifetime_s: Callable[[], float],
        on_leaving: Callable[[], None],
        stop_bound_s: float,
        close_while_leaving: bool = False,
    ) -> None:
        self.timers = timers
        self.address_lifetime_s = address_lifetime_s
        self.on_leaving = on_leaving
        self.stop_bound_s = stop_bound_s
        self.close_while_leaving = close_while_leaving
        self.state = ShutdownState.SERVING
        self.deadline_s: float | None = None
        """Time at which requests in progress are cut; None before the shutdown."""
        self._forced = threading.Event()

    def in_progress(self) -> bool:
        """Return whether the shutdown has begun."""
        return self.state is not ShutdownState.SERVING

    def closes_connections(self) -> bool:
        """Return whether responses close their connections."""
        if self.state is ShutdownState.LEAVING:
            return self.close_while_leaving
        return self.state in (ShutdownState.DRAINING, ShutdownState.STOPPED)

    def stopped(self) -> bool:
        """Return whether requests are refused."""
        return self.state is ShutdownState.STOPPED

    def accepts(self, duration_s: float) -> bool:
        """Return whether a request can be taken that lasts up to `duration_s`."""
        if self.state is ShutdownState.STOPPED:
            return False
        if self.state is not ShutdownState.DRAINING or self.deadline_s is None:
            return True
        left_s = self.deadline_s - self.timers.now()
        return left_s >= min(duration_s, MIN_FRACTION_LEFT * self.stop_bound_s)

    def force_stop(self) -> None:
        """End a running shutdown immediately; called on a second signal."""
        self._forced.set()

    def run(self, frontend: Drainable) -> StopReport:
        """Shut down gracefully; cancel what is left at the deadline or when forced."""
        deadline_s = self.deadline_s = self.timers.now() + self.stop_bound_s
        log_info("stop_begins", bound_s=self.stop_bound_s)
        self.state = ShutdownState.LEAVING
        self.on_leaving()
        leave_until_s = self.timers.now() + self.address_lifetime_s()
        self._wait(lambda: self.timers.now() >= leave_until_s, deadline_s)
        self.state = ShutdownState.DRAINING
        frontend.stop_accepting()
        done = self._wait(lambda: frontend.open_connections() == 0, deadline_s)
        self.state = ShutdownState.STOPPED
        report = StopReport(0, 0)
        if not done:
            connections = frontend.open_connections()
            report = StopReport(frontend.cancel_requests(), connections)
            log_warning(
                "stop_cut",
                requests=report.cut_requests,
                connections=report.open_connections,
            )
        frontend.stop()
        log_info("stop_ends", cut_requests=report.cut_requests)
        return report

    def _wait(self, done: Callable[[], bool], deadline_s: float) -> bool:
        while not done():
            if self.timers.now() >= deadline_s or self._forced.wait(POLL_INTERVAL_S):
                return done()
        return True
