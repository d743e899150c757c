"""Passes the attempts of one request through the overload control."""

from collections.abc import Collection
from typing import Optional

from attrs import define

from lacewinglift.attempts import Attempt
from lacewinglift.configuration import Service
from lacewinglift.exchanges import CancelReason
from lacewinglift.forward_requests import ExchangeCancelledError, ForwardRequest
from lacewinglift.mesh.retry_budgets import ServiceRetryBudget
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.overload.control import OverloadControl
from lacewinglift.overload.demands import Demand
from lacewinglift.overload.service_control import Refused
from lacewinglift.overload.wait_queue import Waiter
from lacewinglift.overload.waiting import wait_for_grant
from lacewinglift.refusals import RefusalError, refuse


@define(eq=False)
class OverloadGate:
    """Gets the attempts of one request of a controlled service."""

    control: OverloadControl
    request: ForwardRequest
    demand: Demand
    refusal: RefusalError | None = None
    """Refusal of a request that has not run, once it is decided."""

    @classmethod
    def for_request(
        cls,
        control: OverloadControl | None,
        request: ForwardRequest,
        service: Service,
        workspace_name: str | None,
        deadline_s: float,
    ) -> Optional["OverloadGate"]:
        """Return the gate of a request; None if its service is not controlled."""
        if control is None or not control.controls(service.name):
            return None
        demand = Demand(
            service.name,
            request.route,
            request.priority,
            request.arrived_s,
            deadline_s,
            request.objective_s,
            workspace_name,
            request.request_id,
            request.logged_id,
        )
        return cls(control, request, demand)

    def acquire(self, exclude: Collection[str], repeatable: bool) -> Attempt | None:
        """Return an attempt, which the request may have waited for.

        Returns
        -------
        Attempt or None
            None if `refusal` is set or the service is no longer controlled.

        Raises
        ------
        ExchangeCancelledError
            If the exchange was cancelled.
        """
        # The control keeps the set while the request waits.
        decision = self.control.decide(self.demand, frozenset(exclude), repeatable)
        if isinstance(decision, Waiter):
            decision = self._wait(decision)
        if isinstance(decision, Refused):
            self._refuse(decision)
        return None if self.refusal is not None else decision

    def acquire_resend(self, budget: ServiceRetryBudget, may_wait: bool) -> bool:
        """Return whether the request may be resent; it may wait for the budget."""
        decision = self.control.decide_resend(self.demand, budget, may_wait)
        if isinstance(decision, Waiter):
            decision = bool(self._wait(decision))
        if not decision and may_wait and self.refusal is None:
            self._refuse(self.control.refuse(self.demand, "retry_budget"))
        return decision

    def _refuse(self, decision: Refused | None) -> None:
        if decision is None:
            return
        message = f"{self.demand.service} has no capacity for it: {decision.reason}"
        self.refusal = refuse(
            "overloaded", message, retry_after_s=decision.retry_after_s
        )

    def _wait(self, waiter: Waiter) -> object:
        exchange = self.request.exchange
        wait_for_grant(self.control, waiter, exchange, self.request.in_haste)
        cancelled = exchange.cancel_reason
        if cancelled not in (None, CancelReason.DEADLINE):
            if waiter.needs == "target" and waiter.grant is not None:
                waiter.grant.finish(Outcome(OutcomeKind.CANCELLED, 0.0))
            raise ExchangeCancelledError(cancelled.value)
        if waiter.end_reason == "revoked":
            self.refusal = refuse("key_unknown", "the key was withdrawn")
            return None
        if waiter.end_reason == "stopping":
            message = "this instance is about to stop; use another address"
            self.refusal = refuse("stopping", message, retry_after_s=0.0)
            return None
        return self.control.conclude(waiter)
