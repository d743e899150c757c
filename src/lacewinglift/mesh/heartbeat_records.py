"""Newest heartbeats of the instances of a data centre, merged for their neighbours.

An instance reports counts and events in some heartbeats only, and repeats each of them
for a while. A relay keeps what it has not passed on often enough, and adds it to the
newest heartbeat of the instance, under that heartbeat's sequence number.

Load: hundreds of instances whose callers send requests, of which most report nothing
new in half a second.
"""

from collections.abc import Iterable

from attrs import define, field

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.heartbeat_rounds import HEARTBEAT_INTERVAL_S, round_duration_s

# Each rise of a count and each event is passed on in this many bundles. With two, one
# count in fifty was missing for seconds where one datagram in ten was lost.
PASSED_ON_TIMES = 3
# Loads of targets are passed on no more often than this.
LOADS_INTERVAL_S = 1.0
# Margin that keeps the grid of the bundles from delaying loads.
LOADS_MARGIN_S = 0.1
# An instance without news is passed on this often, in rounds as long as those of the
# heartbeats of its fleet. The margin keeps the grid of the bundles from delaying it.
LIVENESS_MARGIN_S = 0.3
# Interval of the full heartbeats of an instance that are passed on.
FULL_INTERVAL_S = 12.0
# Full heartbeats of an instance that has just joined are passed on for this long.
JOINED_RECENTLY_S = 1.5
# Intervals without a heartbeat after which an instance is not passed on any more.
MAX_MISSED = 2.5
MAX_UINT32 = 2**32 - 1


@define
class _Pending:
    """A count or an event, and how often it is still to be passed on."""

    message: object
    at_s: float
    left: int = PASSED_ON_TIMES


@define(eq=False)
class _Record:
    heartbeat: beats_pb2.Beat
    received_at_s: float
    joined_at_s: float
    full_at_s: float
    usages: dict[str, _Pending] = field(factory=dict)
    resends: dict[str, _Pending] = field(factory=dict)
    evidence: list[_Pending] = field(factory=list)
    rate_limits: dict[str, _Pending] = field(factory=dict)
    loads: list[beats_pb2.TargetLoad] = field(factory=list)
    lost: list[beats_pb2.LostMember] = field(factory=list)
    last_number: int = 0
    urgent: bool = True
    sent_sequence: int = 0
    sent_at_s: float = float("-inf")
    """Time at which the heartbeat that was last passed on had come."""
    loads_sent_at_s: float = float("-inf")

    def has_news(self) -> bool:
        """Return whether there are counts or events to pass on."""
        groups = (self.usages.values(), self.resends.values(), self.evidence)
        pending = [each for group in groups for each in group]
        return any(each.left for each in [*pending, *self.rate_limits.values()])


@define(eq=False)
class HeartbeatRecords:
    """What the instances of one data centre have reported, for a relay to pass on.

    All times are passed in by the caller.
    """

    loads_interval_s: float = LOADS_INTERVAL_S
    """Shortest time between two heartbeats of an instance with its loads."""
    records: dict[str, _Record] = field(factory=dict)

    def clear(self) -> None:
        """Forget everything, when this instance ceases to relay."""
        self.records.clear()

    def refresh(self) -> None:
        """Pass on all instances next, since there is a receiver that missed them."""
        for record in self.records.values():
            record.sent_sequence = 0
            record.sent_at_s = float("-inf")

    def forget_others(self, names: Iterable[str]) -> None:
        """Forget all instances but these."""
        for name in self.records.keys() - set(names):
            del self.records[name]

    def note(self, heartbeat: beats_pb2.Beat, now_s: float, joined: bool) -> bool:
        """Record a heartbeat, and return whether it has news that are urgent.

        Parameters
        ----------
        heartbeat : Beat
            Heartbeat that came from its sender.
        now_s : float
            Time at which it came.
        joined : bool
            Whether it is the first one of its sender.
        """
        record = self.records.get(heartbeat.instance)
        if record is None or record.heartbeat.incarnation != heartbeat.incarnation:
            record = self._add(heartbeat, now_s, joined)
        elif heartbeat.sequence < record.heartbeat.sequence:
            return False
        elif _has_urgent_change(record, heartbeat):
            record.urgent = True
        record.heartbeat = heartbeat
        record.received_at_s = now_s
        _merge_counts(record, heartbeat, now_s)
        _merge_events(record, heartbeat, now_s)
        if not heartbeat.loads_omitted:
            record.loads = list(heartbeat.loads)
        return record.urgent

    def _add(self, heartbeat: beats_pb2.Beat, now_s: float, joined: bool) -> _Record:
        # The times of full heartbeats are spread, so that no bundle has those of all.
        spread_s = (len(self.records) * 7 % 24) / 24 * FULL_INTERVAL_S
        joined_at_s = now_s if joined else float("-inf")
        record = _Record(heartbeat, now_s, joined_at_s, now_s - spread_s)
        self.records[heartbeat.instance] = record
        return record

    def take(self, now_s: float, urgent_only: bool, count: int) -> list["Selected"]:
        """Return the heartbeats to pass on now, and count them as passed on.

        Parameters
        ----------
        now_s : float
            Time at which they are passed on.
        urgent_only : bool
            Whether to take only those with urgent news.
        count : int
            Number of the instances of the fleet.
        """
        liveness_s = round_duration_s(count) - LIVENESS_MARGIN_S
        selected = []
        for record in self.records.values():
            if urgent_only and not record.urgent:
                continue
            if now_s - record.received_at_s > _timeout_s(record):
                # Others must not take a lost instance for one that has joined.
                continue
            if record.urgent or self._is_due(record, now_s, liveness_s):
                loads_due = self._are_loads_due(record, now_s)
                selected.append(_select(record, now_s, liveness_s, loads_due))
        return selected

    def _are_loads_due(self, record: _Record, now_s: float) -> bool:
        since_s = now_s - record.loads_sent_at_s
        return since_s >= self.loads_interval_s - LOADS_MARGIN_S

    def _is_due(self, record: _Record, now_s: float, liveness_s: float) -> bool:
        if record.has_news():
            return True
        if record.heartbeat.sequence == record.sent_sequence:
            return False
        if record.heartbeat.relays_to:
            # Others recognize by each bundle which instances relay.
            return True
        if record.loads and self._are_loads_due(record, now_s):
            return True
        return now_s - record.sent_at_s >= liveness_s


def _timeout_s(record: _Record) -> float:
    interval_s = max(record.heartbeat.interval_ms / 1000, HEARTBEAT_INTERVAL_S)
    return MAX_MISSED * interval_s


@define
class Selected:
    """A heartbeat to pass on."""

    heartbeat: beats_pb2.Beat
    full: bool
    """Whether its description and all its counts are to be added."""
    urgent: bool


def _has_urgent_change(record: _Record, heartbeat: beats_pb2.Beat) -> bool:
    known = record.heartbeat
    return (
        heartbeat.state != known.state
        or heartbeat.configuration_version != known.configuration_version
        or heartbeat.registry_digest != known.registry_digest
        or heartbeat.store_era != known.store_era
        or heartbeat.observer != known.observer
        or heartbeat.evacuation_digest != known.evacuation_digest
        or heartbeat.failing_services != known.failing_services
        or any(each.number > record.last_number for each in heartbeat.evidence)
        or {each.instance for each in heartbeat.lost}
        > {each.instance for each in record.lost}
        or any(
            each.target not in record.rate_limits
            or each.limit_per_s != record.rate_limits[each.target].message.limit_per_s
            for each in heartbeat.rate_limits
        )
    )


def _merge_counts(record: _Record, heartbeat: beats_pb2.Beat, now_s: float) -> None:
    for usage in heartbeat.usages:
        known = record.usages.get(usage.workspace)
        if known is None or usage.admitted > known.message.admitted:
            record.usages[usage.workspace] = _Pending(usage, now_s)
    for count in heartbeat.resends:
        known = record.resends.get(count.service)
        if known is None or _resend_key(count) != _resend_key(known.message):
            record.resends[count.service] = _Pending(count, now_s)


def _resend_key(count: beats_pb2.ResendCount) -> tuple[int, int, float]:
    return count.requests, count.resends, count.slack_used


def _merge_events(record: _Record, heartbeat: beats_pb2.Beat, now_s: float) -> None:
    for event in heartbeat.evidence:
        if event.number > record.last_number:
            record.last_number = event.number
            at_s = now_s - event.age_ms / 1000
            record.evidence.append(_Pending(event, at_s))
    for limit in heartbeat.rate_limits:
        at_s = now_s - limit.age_ms / 1000
        known = record.rate_limits.get(limit.target)
        if known is None or known.message.limit_per_s != limit.limit_per_s:
            record.rate_limits[limit.target] = _Pending(limit, at_s)
        else:
            known.at_s = max(known.at_s, at_s)
    record.lost = list(heartbeat.lost)


def _select(
    record: _Record, now_s: float, liveness_s: float, loads_due: bool
) -> Selected:
    source = record.heartbeat
    heartbeat = copy_state(source, now_s - record.received_at_s)
    interval_s = max(
        source.interval_ms / 1000, liveness_s + LIVENESS_MARGIN_S, HEARTBEAT_INTERVAL_S
    )
    if interval_s > HEARTBEAT_INTERVAL_S:
        heartbeat.interval_ms = int(interval_s * 1000)
    heartbeat.usages.extend(_take(record.usages.values()))
    heartbeat.resends.extend(_take(record.resends.values()))
    for pending in record.evidence:
        event = heartbeat.evidence.add()
        event.CopyFrom(pending.message)
        event.age_ms = int((now_s - pending.at_s) * 1000)
        pending.left -= 1
    record.evidence = [each for each in record.evidence if each.left > 0]
    for pending in record.rate_limits.values():
        if pending.left > 0:
            limit = heartbeat.rate_limits.add()
            limit.CopyFrom(pending.message)
            limit.age_ms = int((now_s - pending.at_s) * 1000)
            pending.left -= 1
    heartbeat.lost.extend(record.lost)
    _add_loads(record, heartbeat, now_s, loads_due)
    full = (
        now_s - record.full_at_s >= FULL_INTERVAL_S
        or now_s - record.joined_at_s <= JOINED_RECENTLY_S
    )
    if full:
        record.full_at_s = now_s
    urgent, record.urgent = record.urgent, False
    record.sent_sequence = source.sequence
    record.sent_at_s = record.received_at_s
    return Selected(heartbeat, full, urgent)


def _add_loads(
    record: _Record, heartbeat: beats_pb2.Beat, now_s: float, due: bool
) -> None:
    # Receivers drop a repetition of a sequence number, with the loads in it.
    repeated = record.sent_sequence == record.heartbeat.sequence
    if repeated or not due:
        heartbeat.loads_omitted = True
        return
    heartbeat.loads.extend(record.loads)
    record.loads_sent_at_s = now_s


def _take(pending: Iterable[_Pending]) -> list[object]:
    taken = [each for each in pending if each.left > 0]
    for each in taken:
        each.left -= 1
    return [each.message for each in taken]


def copy_state(source: beats_pb2.Beat, held_s: float = 0.0) -> beats_pb2.Beat:
    """Return the state in a heartbeat without its counts, events and loads."""
    held_ms = int(held_s * 1000)
    return beats_pb2.Beat(
        instance=source.instance,
        incarnation=source.incarnation,
        sequence=source.sequence,
        state=source.state,
        configuration_version=source.configuration_version,
        registry_digest=source.registry_digest,
        registry_revision=source.registry_revision,
        store_era=source.store_era,
        store_age_ms=min(source.store_age_ms + held_ms, MAX_UINT32),
        observer=source.observer,
        active=source.active,
        history_ms=source.history_ms,
        interval_ms=source.interval_ms,
        relays_to=source.relays_to,
        failing_services=source.failing_services,
        evacuation_digest=source.evacuation_digest,
        evacuation_revision=source.evacuation_revision,
        evacuation_era=source.evacuation_era,
        shedding=[_held_report(each, held_ms) for each in source.shedding],
        held_ms=min(source.held_ms + held_ms, MAX_UINT32),
    )


def _held_report(
    report: beats_pb2.SheddingReport, held_ms: int
) -> beats_pb2.SheddingReport:
    return beats_pb2.SheddingReport(
        target=report.target,
        born_ms=report.born_ms,
        age_ms=min(report.age_ms + held_ms, MAX_UINT32),
    )
