"""Sends requests to targets, retries them and streams the response."""

import threading
import time
from collections.abc import Callable

from lacewinglift.attempt_loop import AttemptLoop
from lacewinglift.attempts import RetryBudgetProtocol, TargetSelector
from lacewinglift.configuration import Service
from lacewinglift.dialects import DEFAULT_DIALECT, Dialect
from lacewinglift.forward_requests import ForwardRequest
from lacewinglift.forwarded_response import ForwardedResponse
from lacewinglift.hedging.hedger import Hedger
from lacewinglift.held_bytes import HeldBytes
from lacewinglift.outcomes import OutcomeKind
from lacewinglift.overload.control import OverloadControl
from lacewinglift.pools import TargetPools
from lacewinglift.response_pacing import ResponsePacer
from lacewinglift.retries import RetryBudget
from lacewinglift.timers import Timers


class Forwarder:
    """Sends requests to targets and retries them within a retry budget.

    Parameters
    ----------
    target_selector : TargetSelector
        Selects targets.
    timers : Timers
        Clock and scheduler.
    on_attempt : callable, default=None
        Called at the end of each attempt with service, outcome and latency.
    on_retry : callable, default=None
        Called for each retry with the service.
    on_connection : callable, default=None
        Called for each attempt with the service and whether a connection is opened.
    dialect : Dialect
        Names of the headers that the targets use.
    make_retry_budget : callable, default=None
        Returns the retry budget of a service. By default, each service has a budget
        that counts the requests of this instance alone.
    pacer : ResponsePacer, default=None
        Limits the rate of long responses; no limit by default.
    overload : OverloadControl, default=None
        Holds or refuses requests of services with priorities; none by default.
    hedger : Hedger, default=None
        Decides on hedged requests; there are none by default.
    """

    def __init__(
        self,
        target_selector: TargetSelector,
        timers: Timers,
        on_attempt: Callable[[str, OutcomeKind, float], None] | None = None,
        on_retry: Callable[[str], None] | None = None,
        on_connection: Callable[[str, bool], None] | None = None,
        dialect: Dialect = DEFAULT_DIALECT,
        make_retry_budget: Callable[[str], RetryBudgetProtocol] | None = None,
        pacer: ResponsePacer | None = None,
        overload: OverloadControl | None = None,
        hedger: Hedger | None = None,
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
        self.hedger = hedger
        self.pacer = pacer or ResponsePacer(timers)
        self.overload = overload
        self.held_bytes = HeldBytes()
        self.reads_ahead: Callable[[], bool] = bool
        """Returns whether responses are read while their callers do not read."""
        self.pools = TargetPools(timers)
        self.no_target_wait_s: Callable[[str], float | None] = lambda service: None
        """Returns when a service without a usable target takes a request again."""
        self.targets_outside: Callable[[str, frozenset[str]], set[str]] = (
            lambda service, regions: set()
        )
        """Returns the targets of a service that are in none of some regions."""
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
        """Send a request to a target, and retry it at others if an attempt fails.

        Parameters
        ----------
        request : ForwardRequest
            Request to be sent.
        service : Service
            Service of the request.
        workspace_name : str or None
            Workspace that is passed to the target; None on open routes.
        deadline_s : float
            Time, by `timers`, at which the response must have begun. For a body
            larger than `bodies.MAX_REPLAY_BYTES`, the time is counted from the end
            of the body unless `request.deadline_covers_upload` is set.

        Returns
        -------
        ForwardedResponse
            The response, which must be closed by the caller of this method.

        Raises
        ------
        RefusalError
            If no target responded. The verdict covers all attempts.
        ExchangeCancelledError
            If the exchange was cancelled.
        """
        attempts = AttemptLoop(self, request, service, workspace_name, deadline_s)
        return attempts.run()

    def pace_response(self, size: int, received: int) -> None:
        """Wait until a further block of a response may be read."""
        wait_s = self.pacer.reserve(size, received)
        if wait_s > 0:
            time.sleep(wait_s)

    def retry_budget(self, service_name: str) -> RetryBudgetProtocol:
        """Return the retry budget of a service."""
        with self._lock:
            budget = self.retry_budgets.get(service_name)
            if budget is None:
                budget = self.retry_budgets[service_name] = self.make_retry_budget(
                    service_name
                )
            return budget
