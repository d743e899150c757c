"""Decides which instances watch the store: one in each data centre, by rank.

There is no vote. Each instance ranks those of its data centre by what it has heard of
them, so that two may watch for a moment, but never nobody for long.
"""

from collections.abc import Callable

from attrs import define

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.members import STORE_CONTACT_MAX_AGE_S, Member, MemberTable
from lacewinglift.rendezvous import rank_candidates
from lacewinglift.timers import Timers

# Interval of the heartbeats of an observer to its data centre.
OBSERVER_HEARTBEAT_INTERVAL_S = 0.4
# Time without a heartbeat of any observer that reaches the store after which other
# instances take over, whatever their rank. One lost datagram is borne. A change has to
# be in force everywhere within 2 s, also if all observers are lost just before it.
OBSERVER_TIMEOUT_S = 0.9
# Further delay for each candidate of a better rank, and its bound. Those may be lost as
# well, which shows only by their member timeout.
RANK_DELAY_S = 0.05
MAX_RANK_DELAY_S = 0.3
# Time after its start for which an instance waits for heartbeats of others before it
# may become an observer.
INITIAL_LISTEN_S = 1.0


@define(eq=False)
class ObserverElection:
    """Decides whether this instance watches the store.

    Attributes
    ----------
    members : MemberTable
        The other instances.
    data_centre : str
        Data centre of this instance.
    timers : Timers
        Clock.
    is_leaving : callable
        Returns whether this instance stops.
    """

    members: MemberTable
    data_centre: str
    timers: Timers
    is_leaving: Callable[[], bool] = lambda: False
    started_at_s: float = 0.0
    last_observer_at_s: float = 0.0
    """Time of the last heartbeat of an observer that reaches the store."""

    def start(self) -> None:
        """Begin to listen for observers."""
        self.started_at_s = self.timers.now()
        self.last_observer_at_s = self.started_at_s + INITIAL_LISTEN_S

    def should_watch(self, watches: bool, reaches_store: bool) -> bool:
        """Return whether this instance should watch the store.

        Parameters
        ----------
        watches : bool
            Whether it watches now.
        reaches_store : bool
            Whether its calls to the store succeed.
        """
        now = self.timers.now()
        if now - self.started_at_s < INITIAL_LISTEN_S:
            return False
        reachable = self.members.reachable()
        self._note_observers(reachable)
        ranking = self._ranking(reachable)
        rank = ranking.index(self.members.own_name)
        if rank == 0:
            return True
        fresh = {
            member.name
            for member in reachable
            if _observes(member) and member.silent_s(now) <= OBSERVER_TIMEOUT_S
        }
        if fresh.intersection(ranking[:rank]):
            return False
        if watches and reaches_store:
            return True
        if fresh.intersection(ranking[rank:]):
            return False
        rank_delay_s = min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S)
        return now - self.last_observer_at_s >= OBSERVER_TIMEOUT_S + rank_delay_s

    def is_first_observer(self) -> bool:
        """Return whether no observer that reaches the store has a lower name."""
        names = [m.name for m in self.members.reachable() if _observes(m)]
        return all(self.members.own_name < name for name in names)

    def _note_observers(self, reachable: list[Member]) -> None:
        # A relay may have held the heartbeat of an observer that is lost by now.
        heard_at_s = [
            m.last_heartbeat_at_s - m.heartbeat.held_ms / 1000
            for m in reachable
            if _observes(m)
        ]
        self.last_observer_at_s = max(self.last_observer_at_s, *heard_at_s, 0.0)

    def _ranking(self, reachable: list[Member]) -> list[str]:
        """Return the candidates of this data centre, the best one first.

        Instances that stop come last: another one takes over before they end.
        """
        leaving = {self.members.own_name: self.is_leaving()}
        for member in reachable:
            if member.description.data_centre != self.data_centre:
                continue
            if not member.heartbeat.observer or _reaches_store(member):
                leaving[member.name] = member.heartbeat.state == beats_pb2.DRAINING
        return sorted(rank_candidates("observer", leaving), key=leaving.__getitem__)


def _observes(member: Member) -> bool:
    return member.heartbeat.observer and _reaches_store(member)


def _reaches_store(member: Member) -> bool:
    return member.heartbeat.store_age_ms <= STORE_CONTACT_MAX_AGE_S * 1000
