"""Increases of the counts that other instances report in their heartbeats."""

from attrs import define, field

from lacewinglift.generated import beats_pb2

# A count is repeated in heartbeats for this long, since datagrams can be lost.
COUNT_REPEAT_S = 2.0


@define(eq=False)
class _PeerCounts:
    """Last counts that one incarnation of another instance reported, by name."""

    incarnation: int
    has_baseline: bool = False
    """Whether a heartbeat with all counts above zero was received."""
    counts: dict[str, int] = field(factory=dict)

    def update(self, name: str, count: int) -> int:
        """Store a reported count and return its increase since the last report."""
        # The first heartbeat that is processed reports all counts above zero, so a name
        # that appears only later started at zero.
        before = self.counts.get(name, 0 if self.has_baseline else count)
        self.counts[name] = count
        return max(count - before, 0)


@define(eq=False)
class PeerCounters:
    """Last cumulative counts of other instances, to derive increases from."""

    peers: dict[str, _PeerCounts] = field(factory=dict)

    def counts_of(self, heartbeat: beats_pb2.Beat) -> _PeerCounts:
        """Return the last counts of the sender of a heartbeat."""
        known = self.peers.get(heartbeat.instance)
        if known is None or known.incarnation != heartbeat.incarnation:
            known = self.peers[heartbeat.instance] = _PeerCounts(heartbeat.incarnation)
            return known
        known.has_baseline = True
        return known
