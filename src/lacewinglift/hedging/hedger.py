"""Decides when a late request is sent to a second target, and whether it may be.

Load: targets that are slow for a moment each, slowdowns of a service or data centre,
and services whose targets are full. Hedges are the first thing given up.
"""

import math
import threading
from collections import Counter
from collections.abc import Callable, Iterable

from attrs import define, field

from lacewinglift.attempts import Attempt, RetryBudgetProtocol, TargetSelector
from lacewinglift.errors import SettingsError
from lacewinglift.generated import beats_pb2
from lacewinglift.hedging.latencies import LatencyReport, ServiceLatencies
from lacewinglift.hedging.limits import HedgeAllowance
from lacewinglift.hedging.slowness import LateRequests
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.timers import Timers

MAX_LIMIT_PERCENT = 20.0
# The quantile leaves as many requests late as may be hedged, within these bounds. With
# fewer late ones, the delay would be as long as the worst response.
MIN_QUANTILE_PERCENT = 90.0
MAX_QUANTILE_PERCENT = 99.0
# The quantile is computed this often, since it takes as long as many requests.
QUANTILE_INTERVAL_S = 0.5
# Shortest delay: within it, the response is likely to be on its way.
MIN_DELAY_S = 0.01
# A hedge is of use only if a response of ordinary duration fits in the time left. The
# delay stands for that duration, since it is longer than most responses.
MIN_LEFT_DELAYS = 1.0
# An instance that was asked to report its latencies names this many services.
MAX_REPORTED_SERVICES = 16


def parse_limit_percent(text: str) -> float:
    """Return a limit in per cent; raises SettingsError if it is not valid."""
    try:
        percent = float(text)
    except ValueError:
        percent = math.nan
    if not 0 < percent <= MAX_LIMIT_PERCENT:
        raise SettingsError(
            f"hedge_limit_percent is {text!r}; it must be a number above 0 and at most "
            f"{MAX_LIMIT_PERCENT:g}"
        )
    return percent


@define(eq=False)
class _ServiceHedges:
    timers: Timers
    allowance: HedgeAllowance = field(factory=HedgeAllowance)
    latencies: ServiceLatencies = field(init=False)
    late: LateRequests = field(init=False)
    quantile_s: float | None = None
    next_quantile_at_s: float = -math.inf

    def __attrs_post_init__(self) -> None:
        self.latencies = ServiceLatencies(self.timers)
        self.late = LateRequests(self.timers)


class Hedger:
    """Hedges of all services at one instance.

    Parameters
    ----------
    timers : Timers
        Clock.
    limit_percent : float or None
        Hedges of a service in per cent of its requests; None turns hedging off.
    crowded_targets : callable
        Returns the names of the targets of a service that have no capacity for
        hedges, given the data centres to avoid; None if the service has none.
    """

    def __init__(
        self,
        timers: Timers,
        limit_percent: float | None = None,
        crowded_targets: Callable[[str, set[str]], set[str] | None] = (
            lambda service, data_centres: set()
        ),
    ) -> None:
        self.timers = timers
        self.limit_percent = limit_percent
        self.crowded_targets = crowded_targets
        self.services: dict[str, _ServiceHedges] = {}
        self.counts: Counter[tuple[str, str]] = Counter()
        """Hedges by service and what became of them; those withheld by the reason."""
        self.lock = threading.Lock()

    @property
    def enabled(self) -> bool:
        """Return whether requests may be hedged."""
        return self.limit_percent is not None

    def record_request(self, service: str) -> None:
        """Count a request of any kind, which earns a part of a hedge."""
        limit_percent = self.limit_percent
        if limit_percent is not None:
            with self.lock:
                self._service(service).allowance.record_request(limit_percent)

    def record_sent(self, service: str, data_centre: str) -> None:
        """Count a request that may be hedged when it is sent to its first target."""
        with self.lock:
            self._service(service).late.record_request(data_centre)

    def record_latency(self, service: str, latency_s: float) -> None:
        """Add the latency of an attempt, or the time for which it has waited in vain.

        Without the latter, hedging would remove the longest latencies from the
        quantile that it depends on.
        """
        if self.enabled:
            with self.lock:
                self._service(service).latencies.own.record(latency_s)

    def delay_s(self, service: str) -> float | None:
        """Return the time after which a request is late; None if it is not known."""
        if not self.enabled:
            return None
        with self.lock:
            hedges = self._service(service)
            now = self.timers.now()
            if now >= hedges.next_quantile_at_s:
                hedges.next_quantile_at_s = now + QUANTILE_INTERVAL_S
                percent = self._quantile_percent()
                hedges.quantile_s = hedges.latencies.quantile_s(percent)
            quantile_s = hedges.quantile_s
        return None if quantile_s is None else max(quantile_s, MIN_DELAY_S)

    def acquire(
        self,
        service: str,
        first: Attempt,
        left_s: float,
        delay_s: float,
        budget: RetryBudgetProtocol,
        selector: TargetSelector,
        tried_targets: Iterable[str],
    ) -> tuple[Attempt | None, str]:
        """Return an attempt at a second target, or the reason why there is none.

        Parameters
        ----------
        service : str
            Service of the request.
        first : Attempt
            Attempt that is late.
        left_s : float
            Time until the deadline of the request.
        delay_s : float
            Time after which the request counted as late.
        budget : RetryBudgetProtocol
            Retry budget of the service, of which the hedge is a part.
        selector : TargetSelector
            Selects the target.
        tried_targets : iterable of str
            Targets that the request was sent to.
        """
        attempt, reason = self._acquire(
            service, first, left_s, delay_s, budget, selector, set(tried_targets)
        )
        self.count(service, "sent" if attempt is not None else f"withheld_{reason}")
        return attempt, reason

    def _acquire(
        self,
        service: str,
        first: Attempt,
        left_s: float,
        delay_s: float,
        budget: RetryBudgetProtocol,
        selector: TargetSelector,
        tried_targets: set[str],
    ) -> tuple[Attempt | None, str]:
        with self.lock:
            hedges = self._service(service)
            hedges.late.record_late(first.target.data_centre)
            if not self.enabled:
                return None, "off"
            if left_s < MIN_LEFT_DELAYS * delay_s:
                return None, "time"
            if hedges.late.is_service_slow():
                return None, "service_slow"
            if not hedges.allowance.may_hedge():
                return None, "limit"
            slow = hedges.late.slow_data_centres()
        crowded = self.crowded_targets(service, slow)
        if crowded is None:
            return None, "full"
        attempt = selector.acquire(service, tried_targets | crowded, False)
        if attempt is None:
            return None, "no_target"
        reason = self._take(hedges, budget)
        if reason:
            attempt.finish(Outcome(OutcomeKind.CANCELLED, 0.0))
            return None, reason
        return attempt, ""

    def _take(self, hedges: _ServiceHedges, budget: RetryBudgetProtocol) -> str:
        """Use a hedge and a resend; return the reason if one of them is not left."""
        with self.lock:
            if not hedges.allowance.may_hedge():
                return "limit"
            if not budget.try_acquire():
                return "retry_budget"
            hedges.allowance.take()
            return ""

    def count(self, service: str, result: str) -> None:
        """Count what became of a hedge."""
        with self.lock:
            self.counts[service, result] += 1

    # ---- other instances ----

    def reports(self) -> list[beats_pb2.LatencyReport]:
        """Return the latencies of this instance, to send to the others."""
        if not self.enabled:
            return []
        percent = self._quantile_percent()
        with self.lock:
            known = [
                (hedges.latencies.own.count(), name, hedges)
                for name, hedges in self.services.items()
            ]
            busiest = sorted(known, key=lambda each: -each[0])[:MAX_REPORTED_SERVICES]
            return [
                beats_pb2.LatencyReport(
                    service=name,
                    quantile_ms=int(hedges.latencies.own.quantile_s(percent) * 1000),
                    samples=count,
                )
                for count, name, hedges in busiest
                if count
            ]

    def record_peer_reports(self, heartbeat: beats_pb2.Beat) -> None:
        """Apply the latencies that another instance reports."""
        if not self.enabled:
            return
        now = self.timers.now()
        with self.lock:
            for each in heartbeat.latencies:
                report = LatencyReport(each.quantile_ms / 1000, each.samples, now)
                reports = self._service(each.service).latencies.reports
                reports[heartbeat.instance] = report

    def _quantile_percent(self) -> float:
        percent = 100.0 - (self.limit_percent or 0.0)
        return min(max(percent, MIN_QUANTILE_PERCENT), MAX_QUANTILE_PERCENT)

    def _service(self, name: str) -> _ServiceHedges:
        hedges = self.services.get(name)
        if hedges is None:
            hedges = self.services[name] = _ServiceHedges(self.timers)
        return hedges
