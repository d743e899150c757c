"""Counts of the messages that instances exchange with each other."""

import enum
from collections import Counter
from collections.abc import Iterable

from attrs import define, field
from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, SummaryMetricFamily

from lacewinglift.timers import Durations


class MessageKind(enum.Enum):
    """Kind of message between instances."""

    HEARTBEAT = "heartbeat"
    SNAPSHOT = "snapshot"
    BUNDLE_BETWEEN = "bundle_between"
    """Heartbeats of several instances to another data centre."""
    BUNDLE_WITHIN = "bundle_within"
    """Heartbeats of several instances to the own data centre."""


class Direction(enum.Enum):
    """Direction of a message, seen from this instance."""

    SENT = "sent"
    RECEIVED = "received"


@define(eq=False)
class MeshTraffic:
    """Messages and their payload bytes, by kind and direction.

    Each pair of kind and direction is counted by one thread only, so the counts need
    no lock.
    """

    messages: Counter[tuple[MessageKind, Direction]] = field(factory=Counter)
    payload_bytes: Counter[tuple[MessageKind, Direction]] = field(factory=Counter)
    report_intervals: Durations = field(factory=Durations)
    """Times between the reports of an instance that serves callers."""

    def record(self, kind: MessageKind, direction: Direction, size: int) -> None:
        """Count one message of `size` bytes."""
        self.messages[kind, direction] += 1
        self.payload_bytes[kind, direction] += size

    def collect(self) -> Iterable[Metric]:
        """Return the counts as metrics."""
        yield _counter_family(
            "lacewinglift_mesh_messages",
            "Messages between instances by kind and direction.",
            self.messages,
        )
        yield _counter_family(
            "lacewinglift_mesh_bytes",
            "Payload bytes of messages between instances by kind and direction.",
            self.payload_bytes,
        )
        yield SummaryMetricFamily(
            "lacewinglift_mesh_report_interval_seconds",
            "Time between two reports of what an instance that serves callers uses.",
            count_value=self.report_intervals.count,
            sum_value=self.report_intervals.total_s,
        )


def _counter_family(
    name: str, text: str, counts: Counter[tuple[MessageKind, Direction]]
) -> Metric:
    family = CounterMetricFamily(name, text, labels=["kind", "direction"])
    for kind in MessageKind:
        for direction in Direction:
            labels = [kind.value, direction.value]
            family.add_metric(labels, counts[kind, direction])
    return family
