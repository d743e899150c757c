"""Measurements of the request half, for Prometheus."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

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


class Metrics:
    """Counters and histograms of one instance.

    Labels are names from the configuration, so their number is bounded.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "lacewinglift_requests",
            "Requests by service and status class.",
            ["service", "status"],
            registry=self.registry,
        )
        self.latency = Histogram(
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
        self.retries = Counter(
            "lacewinglift_retries",
            "Requests that were sent to another target.",
            ["service"],
            registry=self.registry,
        )
        self.cut = Counter(
            "lacewinglift_cut_answers",
            "Answers that were cut off for the caller, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "lacewinglift_requests_in_flight",
            "Requests in progress.",
            registry=self.registry,
        )
        self.connections = Gauge(
            "lacewinglift_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )

    def note_attempt(self, service: str, kind: OutcomeKind) -> None:
        """Count one attempt at a target."""
        self.attempts.labels(service, kind.value).inc()

    def note_retry(self, service: str) -> None:
        """Count one resent request."""
        self.retries.labels(service).inc()

    def render(self) -> bytes:
        """Return all values in the text format of Prometheus."""
        return generate_latest(self.registry)
