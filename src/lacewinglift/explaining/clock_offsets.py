"""Estimates clock offsets of instances from the times they log for the same event."""

import statistics
from collections import defaultdict

from lacewinglift.explaining.log_lines import LogLine

# The instances log the same event within this time of each other.
MAX_EVENT_SPREAD_S = 0.2
# Field with the name of the instance that first detected the event, by event.
_SOURCE_FIELDS = {"target_doubted": "by", "target_trusted": "source"}

_Event = tuple[str, str]
_Pair = tuple[str, str]


def estimate_offsets(lines: list[LogLine], reference: str) -> dict[str, float]:
    """Return by how many seconds each clock is ahead of the reference's.

    Parameters
    ----------
    lines : list of LogLine
        Lines of all instances.
    reference : str
        Instance whose clock is the reference.

    Returns
    -------
    offsets : dict of str to float
        Offsets by instance, without instances that no shared event connects to
        the reference.
    """
    offsets = {reference: 0.0}
    pair_offsets = _pairwise_offsets(lines)
    queue = [reference]
    while queue:
        known = queue.pop(0)
        for (first, second), ahead_s in pair_offsets.items():
            if first == known and second not in offsets:
                offsets[second] = offsets[known] + ahead_s
                queue.append(second)
    return offsets


def _pairwise_offsets(lines: list[LogLine]) -> dict[_Pair, float]:
    """Return by how many seconds the second clock of each pair is ahead."""
    offsets: dict[_Pair, float] = {}
    for (source, other), differences in _time_differences(lines).items():
        ahead_s = _densest_cluster_median(differences)
        offsets[source, other] = ahead_s
        offsets.setdefault((other, source), -ahead_s)
    return offsets


def _time_differences(lines: list[LogLine]) -> dict[_Pair, list[float]]:
    """Return the time differences of all pairs of lines that may be the same event."""
    source_times: dict[tuple[str, _Event], list[float]] = defaultdict(list)
    received: list[tuple[str, str, _Event, float]] = []
    for line in lines:
        field_name = _SOURCE_FIELDS.get(line.event)
        if field_name is None:
            continue
        source = line.fields.get(field_name, "")
        event = (line.event, line.fields.get("target", ""))
        if source == line.instance:
            source_times[source, event].append(line.time_s)
        else:
            received.append((source, line.instance, event, line.time_s))
    differences: dict[_Pair, list[float]] = defaultdict(list)
    for source, other, event, received_at_s in received:
        for source_at_s in source_times[source, event]:
            differences[source, other].append(received_at_s - source_at_s)
    return {pair: values for pair, values in differences.items() if values}


def _densest_cluster_median(values: list[float]) -> float:
    """Return the median of the largest group of values within `MAX_EVENT_SPREAD_S`.

    A target may be doubted repeatedly, and lines of different doubts may be paired.
    Only the differences between two lines of the same doubt are close together.
    """
    ordered = sorted(values)
    best: list[float] = []
    for index, first in enumerate(ordered):
        cluster = [
            value for value in ordered[index:] if value - first <= MAX_EVENT_SPREAD_S
        ]
        if len(cluster) > len(best):
            best = cluster
    return statistics.median(best)
