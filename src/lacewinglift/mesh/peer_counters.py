"""Increases of the counts that other instances report in their heartbeats."""

from attrs import define, field

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.fleet_history import MAX_HISTORY_MS
from lacewinglift.mesh.members import DIRECT_MEMBER_TIMEOUT_S

# A count is repeated in heartbeats for this long, since datagrams can be lost.
COUNT_REPEAT_S = 2.0


@define(eq=False)
class _PeerCounts:
    """Last counts that one incarnation of another instance reported, by name."""

    incarnation: int
    has_baseline: bool = False
    """Whether a count that was not reported before is known to have been zero."""
    counts: dict[str, int] = field(factory=dict)
    heard_at_s: float = float("inf")
    """Time of its last heartbeat; infinite before the first one."""
    returned_until_s: float = float("-inf")
    """Time until which its counts may have risen while it was not reachable."""
    caught_up: set[str] = field(factory=set)
    """Counts that it has reported since it is reachable again."""

    def record_heartbeat(self, now_s: float) -> None:
        """Record a heartbeat; after a silence, counts may have risen in it."""
        is_back = now_s - self.heard_at_s > DIRECT_MEMBER_TIMEOUT_S
        if is_back or now_s > self.returned_until_s:
            self.caught_up.clear()
        if is_back:
            self.returned_until_s = now_s + COUNT_REPEAT_S
        self.heard_at_s = now_s

    def is_first_after_silence(self, name: str) -> bool:
        """Return whether a count is reported for the first time after a silence."""
        if self.heard_at_s > self.returned_until_s or name in self.caught_up:
            return False
        self.caught_up.add(name)
        return True

    def update(self, name: str, count: int) -> int:
        """Store a reported count and return its increase since the last report.

        A lower count than before comes late, through a relay.
        """
        before = self.counts.get(name, 0 if self.has_baseline else count)
        self.counts[name] = max(count, before)
        return max(count - before, 0)


@define(eq=False)
class PeerCounters:
    """Last cumulative counts of other instances, to derive increases from."""

    peers: dict[str, _PeerCounts] = field(factory=dict)

    def counts_of(
        self, heartbeat: beats_pb2.Beat, own_history_s: float = 0.0
    ) -> _PeerCounts:
        """Return the last counts of the sender of a heartbeat.

        Parameters
        ----------
        heartbeat : Beat
            Heartbeat of another instance.
        own_history_s : float, default=0.0
            Time for which this instance has counted. A sender that has counted for
            less time started at zero within it.
        """
        known = self.peers.get(heartbeat.instance)
        if known is None or known.incarnation != heartbeat.incarnation:
            known = _PeerCounts(
                heartbeat.incarnation, _started_within(heartbeat, own_history_s)
            )
            self.peers[heartbeat.instance] = known
            return known
        # The first heartbeat that is processed reports all counts above zero.
        known.has_baseline = True
        return known

    def known_counts(self, instance: str, incarnation: int) -> dict[str, int]:
        """Return the last counts that an incarnation of an instance reported."""
        known = self.peers.get(instance)
        if known is None or known.incarnation != incarnation:
            return {}
        return dict(known.counts)


def _started_within(heartbeat: beats_pb2.Beat, duration_s: float) -> bool:
    """Return whether the sender of a heartbeat has started within the last seconds."""
    # The maximum stands for a sender that started with the fleet, however long ago.
    limit_ms = min(duration_s * 1000, MAX_HISTORY_MS)
    return 0 < heartbeat.history_ms < limit_ms
