"""Builds the timeline of one request from the logs of all instances."""

from collections import Counter

from attrs import define, field, frozen

from lacewinglift.explaining.clock_offsets import estimate_offsets
from lacewinglift.explaining.log_lines import LogLine, LogSet

# Related events are searched from this long before the request began to this long after
# it ended.
RELEVANT_BEFORE_S = 10.0
RELEVANT_AFTER_S = 0.5
FINAL_EVENTS = frozenset({"request_ended", "request_refused", "request_cut"})
# Events of an instance that may affect any of its requests.
INSTANCE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "instance_ready",
        "instance_started",
        "instance_stopped",
        "process_was_paused",
        "standing_gained",
        "standing_lost",
        "stop_begins",
        "stop_cut",
        "store_lost",
        "store_regained",
    }
)
TARGET_EVENTS = frozenset(
    {
        "target_doubted",
        "target_ejected",
        "target_failed",
        "target_returned",
        "target_trusted",
    }
)


@frozen
class TimelineEntry:
    """One log line in the timeline of a request."""

    at_s: float
    """Seconds since the first line of the request, on that instance's clock."""
    line: LogLine
    own: bool
    """Whether the line carries the id of the request."""


@define(eq=False)
class RequestTimeline:
    """Log lines about one request, and gaps in the logs.

    Attributes
    ----------
    request_id : str
        Id of the request.
    entries : list of TimelineEntry
        Lines of the request and related lines, in order of time.
    missing : list of str
        Descriptions of what is missing in the logs.
    restarted : bool
        Whether the instance was restarted before it logged the end of the request.
    """

    request_id: str
    entries: list[TimelineEntry] = field(factory=list)
    missing: list[str] = field(factory=list)
    restarted: bool = False

    def own_lines(self, event: str | None = None) -> list[LogLine]:
        """Return the lines of the request, optionally only those of one event."""
        return [
            entry.line
            for entry in self.entries
            if entry.own and event in (None, entry.line.event)
        ]

    def last_line(self, event: str) -> LogLine | None:
        """Return the last line of the request with `event`, or None."""
        lines = self.own_lines(event)
        return lines[-1] if lines else None

    def related_entries(self, event: str, instance: str) -> list[TimelineEntry]:
        """Return the entries of one event that `instance` logged."""
        return [
            entry
            for entry in self.entries
            if entry.line.event == event and entry.line.instance == instance
        ]

    @property
    def instance(self) -> str:
        """Return the instance that received the request, or "-" if unknown."""
        lines = self.own_lines()
        return lines[0].instance if lines else "-"


def build_timeline(logs: LogSet, request_id: str) -> RequestTimeline:
    """Build the timeline of a request.

    Parameters
    ----------
    logs : LogSet
        Lines of all instances whose logs are available.
    request_id : str
        Id of the request; each attempt of a caller has its own.
    """
    own = [line for line in logs.lines if line.fields.get("id") == request_id]
    timeline = RequestTimeline(request_id)
    if not own:
        timeline.missing.append(f"no line names the request {request_id}")
        timeline.missing += _describe_unreadable_lines(logs)
        return timeline
    own.sort(key=lambda line: line.time_s)
    # If an id occurs at several instances, times refer to the clock of the first one.
    reference = own[0].instance
    offsets = estimate_offsets(logs.lines, reference)
    timeline.entries = _build_entries(logs, request_id, own, offsets)
    if own[-1].event not in FINAL_EVENTS:
        timeline.restarted = _restarted_after(logs, own[-1])
    timeline.missing = _find_gaps(logs, timeline, own, offsets)
    return timeline


def _build_entries(
    logs: LogSet, request_id: str, own: list[LogLine], offsets: dict[str, float]
) -> list[TimelineEntry]:
    begin_s = own[0].time_s
    end_s = own[-1].time_s
    instances = {line.instance for line in own}
    targets = _chosen_targets(own)
    entries = []
    for line in logs.lines:
        at_s = line.time_s - offsets.get(line.instance, 0.0)
        is_own = line.fields.get("id") == request_id
        near = begin_s - RELEVANT_BEFORE_S <= at_s <= end_s + RELEVANT_AFTER_S
        if is_own or (near and _is_relevant(line, instances, targets)):
            entries.append(TimelineEntry(at_s - begin_s, line, is_own))
    return sorted(entries, key=lambda entry: entry.at_s)


def _chosen_targets(own: list[LogLine]) -> set[str]:
    return {line.fields["target"] for line in own if "target" in line.fields}


def _instances_reporting_on(logs: LogSet, targets: set[str]) -> set[str]:
    """Return the instances that logged an event of one of the targets."""
    return {
        line.instance
        for line in logs.lines
        if line.event in TARGET_EVENTS and line.fields.get("target") in targets
    }


def _is_relevant(line: LogLine, instances: set[str], targets: set[str]) -> bool:
    if line.event in INSTANCE_EVENTS:
        return line.instance in instances
    if line.event not in TARGET_EVENTS or line.fields.get("target") not in targets:
        return False
    # Of the other instances, only the one that detected the event is relevant.
    source = line.fields.get("by") or line.fields.get("source") or line.instance
    return line.instance in instances or source == line.instance


def _find_gaps(
    logs: LogSet,
    timeline: RequestTimeline,
    own: list[LogLine],
    offsets: dict[str, float],
) -> list[str]:
    gaps = []
    if own[-1].event not in FINAL_EVENTS:
        gaps.append(_describe_missing_end(timeline, own[-1]))
    if own[0].event not in ("request_admitted", "request_refused"):
        gaps.append("no line shows how the request was admitted")
    targets = _chosen_targets(own)
    for name in sorted(_instances_reporting_on(logs, targets) - offsets.keys()):
        gaps.append(f"the clock offset of {name} is unknown; its times may be wrong")
    return gaps + _describe_left_out_lines(logs, own) + _describe_unreadable_lines(logs)


def _restarted_after(logs: LogSet, last: LogLine) -> bool:
    return any(
        line.event == "instance_started"
        and line.instance == last.instance
        and line.time_s > last.time_s
        for line in logs.lines
    )


def _describe_missing_end(timeline: RequestTimeline, last: LogLine) -> str:
    if timeline.restarted:
        return f"{last.instance} was restarted before the request ended"
    return f"no line of {last.instance} shows how the request ended"


def _describe_left_out_lines(logs: LogSet, own: list[LogLine]) -> list[str]:
    """Describe the lines that rate limits or full queues kept out of the logs."""
    instances = {line.instance for line in own}
    counts: Counter[str] = Counter()
    for line in logs.lines:
        near = own[0].time_s - 1.0 <= line.time_s <= own[-1].time_s + 2.0
        if not near or line.instance not in instances:
            continue
        if line.event == "log_lines_left_out":
            counts[line.fields.get("of", "?")] += int(line.number("count"))
        elif line.event == "log_lines_dropped":
            counts["any event"] += int(line.number("count"))
    return [
        f"{count} lines of {event} were left out around that time"
        for event, count in sorted(counts.items())
    ]


def _describe_unreadable_lines(logs: LogSet) -> list[str]:
    return [
        f"{name}: {count} lines are truncated or unreadable"
        for name, count in sorted(logs.unreadable.items())
    ]
