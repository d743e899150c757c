"""Overload control of an instance: the services that it covers, and its lock."""

import threading
from collections.abc import Collection, Iterable

from attrs import frozen
from prometheus_client import Metric
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)

from lacewinglift.configuration import Configuration
from lacewinglift.logs import log_info
from lacewinglift.mesh.retry_budgets import ServiceRetryBudget
from lacewinglift.mesh.target_table import MeshAttempt, MeshTargetTable
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.overload.demands import Demand
from lacewinglift.overload.priorities import find_controlled_services
from lacewinglift.overload.service_control import (
    Decision,
    FleetView,
    Refused,
    ServiceControl,
)
from lacewinglift.overload.wait_queue import Waiter, WaitSpace

# Part of the worker threads that waiting requests may occupy. The others keep refusals
# and requests of other services fast.
WAITING_THREADS_FRACTION = 1 / 6


@frozen
class WaitingCount:
    """Requests of one service and priority, for metrics."""

    service: str
    priority: int
    waiting: int
    waited: int
    waited_s: float
    refused: int


class OverloadControl:
    """Controls the services to which routes of different priority lead.

    Parameters
    ----------
    table : MeshTargetTable
        Targets and their loads.
    worker_threads : int
        Number of worker threads of the instance.
    """

    def __init__(self, table: MeshTargetTable, worker_threads: int) -> None:
        self.table = table
        self.timers = table.timers
        self.fleet = FleetView()
        self.space = WaitSpace(max(1, int(worker_threads * WAITING_THREADS_FRACTION)))
        self.services: dict[str, ServiceControl] = {}
        self.lock = threading.RLock()

    def apply(self, configuration: Configuration) -> None:
        """Control the services for which the configuration calls for it."""
        controlled = find_controlled_services(configuration)
        with self.lock:
            for service in [each for each in self.services if each not in controlled]:
                control = self.services.pop(service)
                for waiter in list(control.queue.waiters):
                    control.queue.end(waiter, "released")
                log_info("overload_control_ended", service=service)
            for service, levels in controlled.items():
                control = self.services.get(service)
                if control is None:
                    control = self.services[service] = ServiceControl(
                        service, levels, self.table, self.fleet, self.space
                    )
                elif control.levels == levels:
                    continue
                control.levels = levels
                log_info(
                    "overload_control_begins",
                    service=service,
                    priorities=",".join(map(str, levels.levels)),
                )

    def controls(self, service: str) -> bool:
        """Return whether the requests of a service are controlled."""
        return service in self.services

    def update_fleet(self, instances: int, reporting_fraction: float) -> None:
        """Record the number of instances and the part whose load is known."""
        self.fleet.instances = max(instances, 1)
        self.fleet.reporting_fraction = reporting_fraction

    def decide(
        self, demand: Demand, exclude: Collection[str], repeatable: bool
    ) -> Decision | None:
        """Return the decision on a request; None if its service is not controlled."""
        with self.lock:
            control = self.services.get(demand.service)
            if control is None:
                return None
            decision = control.decide(demand, exclude, repeatable)
            if isinstance(decision, Refused):
                self._log_refusal(control, demand, decision)
            return decision

    def decide_resend(
        self, demand: Demand, budget: ServiceRetryBudget, may_wait: bool
    ) -> bool | Waiter:
        """Return whether a request may be resent, or its wait for the budget."""
        with self.lock:
            control = self.services.get(demand.service)
            if control is None:
                return budget.try_acquire()
            return control.decide_resend(demand, budget, may_wait)

    # ---- waiting ----

    def search(self, waiter: Waiter) -> None:
        """Grant waiting requests of the same service what there is room for."""
        with self.lock:
            control = self.services.get(waiter.demand.service)
            if control is not None and waiter.is_pending():
                control.search()

    def withdraw(self, waiter: Waiter, reason: str) -> None:
        """End the wait of a request, unless it has ended."""
        with self.lock:
            control = self.services.get(waiter.demand.service)
            if control is not None and waiter.is_pending():
                control.queue.end(waiter, reason)

    def conclude(self, waiter: Waiter) -> MeshAttempt | Refused | bool | None:
        """Return what a request has got at the end of its wait.

        Returns
        -------
        MeshAttempt, Refused, bool or None
            Whether the request may be resent if it waited for that. None if the
            service is no longer controlled.
        """
        with self.lock:
            self._record_wait(waiter)
            if waiter.grant is not None or waiter.needs == "resend":
                return waiter.grant or False
            if waiter.end_reason == "released":
                return None
            return self.refuse(waiter.demand, waiter.end_reason)

    def refuse(self, demand: Demand, reason: str) -> Refused | None:
        """Return the refusal of a request; None if its service is not controlled."""
        with self.lock:
            control = self.services.get(demand.service)
            if control is None:
                return None
            refused = control.refuse(demand, reason)
            self._log_refusal(control, demand, refused)
            return refused

    def _record_wait(self, waiter: Waiter) -> None:
        waited_s = self.timers.now() - waiter.since_s
        log_info(
            "wait_ended",
            id=waiter.demand.logged_id,
            service=waiter.demand.service,
            priority=waiter.demand.priority,
            needs=waiter.needs,
            why=waiter.end_reason,
            waited_s=waited_s,
        )
        control = self.services.get(waiter.demand.service)
        if control is not None:
            level = control.level(waiter.demand)
            control.counts.waited[level] += 1
            control.counts.waited_s[level] += waited_s

    def _log_refusal(
        self, control: ServiceControl, demand: Demand, refused: Refused
    ) -> None:
        capacity = refused.capacity
        log_info(
            "capacity_refused",
            id=demand.logged_id,
            service=demand.service,
            priority=demand.priority,
            why=refused.reason,
            slots=capacity.slots,
            in_flight=capacity.in_flight,
            drain_per_s=capacity.drain_per_s(),
            waiting=len(control.queue.waiters),
            served_part=control.shares.mean(),
            retry_after_s=refused.retry_after_s,
        )

    # ---- news ----

    def record_end(self, attempt: MeshAttempt, outcome: Outcome) -> None:
        """Learn from the end of an attempt, and let a waiting request have its room."""
        control = self.services.get(attempt.state.registered.service)
        if control is None:
            return
        with self.lock:
            if outcome.kind is OutcomeKind.SUCCESS:
                control.record_response(attempt, outcome.latency_s)
            control.search(urgent=True)

    def record_loads(self) -> None:
        """Let the first waiting requests look for room after news of other loads."""
        if not self.space.used:
            return
        with self.lock:
            for control in self.services.values():
                control.queue.wake_first()

    def waiting_counts(self) -> list[WaitingCount]:
        """Return the numbers of requests by service and priority."""
        with self.lock:
            return [
                self._count(control, level)
                for _, control in sorted(self.services.items())
                for level in control.levels.levels
            ]

    def metrics(self) -> Iterable[Metric]:
        """Return the numbers of requests as metrics."""
        labels = ["service", "priority"]
        waiting = GaugeMetricFamily(
            "lacewinglift_requests_waiting",
            "Requests that wait for capacity here.",
            labels=labels,
        )
        waited = SummaryMetricFamily(
            "lacewinglift_capacity_wait_seconds",
            "Waits for capacity that have ended.",
            labels=labels,
        )
        refused = CounterMetricFamily(
            "lacewinglift_capacity_refusals",
            "Requests refused for want of capacity.",
            labels=labels,
        )
        for each in self.waiting_counts():
            values = [each.service, str(each.priority)]
            waiting.add_metric(values, each.waiting)
            waited.add_metric(values, each.waited, each.waited_s)
            refused.add_metric(values, each.refused)
        yield from (waiting, waited, refused)

    def _count(self, control: ServiceControl, level: int) -> WaitingCount:
        waiting = sum(
            control.level(each.demand) == level for each in control.queue.waiters
        )
        counts = control.counts
        return WaitingCount(
            control.service,
            level,
            waiting,
            counts.waited[level],
            counts.waited_s[level],
            counts.refused[level],
        )
