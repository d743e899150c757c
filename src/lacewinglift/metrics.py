"""Prometheus metrics of request handling and logging."""

from collections.abc import Iterable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    Metric,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from lacewinglift.logs import LOG_RATE_LIMITER
from lacewinglift.outcomes import OutcomeKind

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class LogLineCollector(Collector):
    """Exports the log line counts of this process."""

    def describe(self) -> Iterable[Metric]:
        """Return nothing: an event is only known after it has been logged."""
        return []

    def collect(self) -> Iterable[Metric]:
        """Return the current counts."""
        lines = CounterMetricFamily(
            "lacewinglift_log_lines",
            "Log lines by event: written, or left out beyond the event's rate.",
            labels=["event", "fate"],
        )
        for event, (written, left_out) in sorted(LOG_RATE_LIMITER.totals().items()):
            lines.add_metric([event, "written"], written)
            lines.add_metric([event, "left_out"], left_out)
        yield lines
        yield CounterMetricFamily(
            "lacewinglift_log_lines_dropped",
            "Log lines dropped because the output took them too slowly.",
            value=LOG_RATE_LIMITER.dropped_count(),
        )


class Metrics:
    """Counters and histograms of one instance.

    Label values are names from the configuration or fixed terms, so their number is
    bounded.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "lacewinglift_requests",
            "Requests by service and status class.",
            ["service", "status"],
            registry=self.registry,
        )
        self.request_latency = Histogram(
            "lacewinglift_request_seconds",
            "Time from the request's head to the end of the answer.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.refusals = Counter(
            "lacewinglift_refusals",
            "Refusals by code and verdict.",
            ["code", "verdict"],
            registry=self.registry,
        )
        self.attempts = Counter(
            "lacewinglift_attempts",
            "Attempts at targets by outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.wait_latency = Histogram(
            "lacewinglift_wait_seconds",
            "Time from the request's head until it may go to a target.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.attempt_latency = Histogram(
            "lacewinglift_attempt_seconds",
            "Time of each attempt until the head of the answer, or its failure.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.target_connections = Counter(
            "lacewinglift_target_connections",
            "Attempts by whether they open a connection or use a kept one.",
            ["service", "use"],
            registry=self.registry,
        )
        self.retries = Counter(
            "lacewinglift_retries",
            "Requests that were sent to another target.",
            ["service"],
            registry=self.registry,
        )
        self.truncated_responses = Counter(
            "lacewinglift_cut_answers",
            "Answers that were cut off for the caller, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.response_bytes = Counter(
            "lacewinglift_response_bytes",
            "Body bytes of targets' responses sent to callers, by service.",
            ["service"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "lacewinglift_requests_in_flight",
            "Requests in progress.",
            registry=self.registry,
        )
        self.caller_connections = Gauge(
            "lacewinglift_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
        self.registry.register(LogLineCollector())

    def record_attempt(self, service: str, kind: OutcomeKind, latency_s: float) -> None:
        """Count an attempt at a target and observe its latency."""
        self.attempts.labels(service, kind.value).inc()
        self.attempt_latency.labels(service).observe(latency_s)

    def record_connection(self, service: str, opened: bool) -> None:
        """Count an attempt by whether it opened or reused a connection."""
        use = "opened" if opened else "kept"
        self.target_connections.labels(service, use).inc()

    def record_retry(self, service: str) -> None:
        """Count a retry of a request."""
        self.retries.labels(service).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
