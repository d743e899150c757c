"""State of the other instances, from their heartbeats."""

import threading
from collections.abc import Callable, Iterable

from attrs import define, field

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_info, log_warning
from lacewinglift.rendezvous import rank_candidates
from lacewinglift.socket_addresses import split_address
from lacewinglift.timers import Timers

# An instance without a heartbeat for this long counts as unreachable: callers are not
# sent to it and it is not chosen as observer.
MEMBER_TIMEOUT_S = 2.5
# An instance counts as active for this long after it reported that it is.
ACTIVE_TIMEOUT_S = 3.0
# An unreachable instance may still admit requests, so its fraction of the quotas stays
# reserved for this long.
REMOVE_MEMBER_AFTER_S = 20.0
# A delayed datagram of an ended incarnation arrives no later than this after the last
# one that was received.
MAX_DATAGRAM_DELAY_S = 0.5
# An address is dropped when no instance and no store entry has named it for this long.
PEER_ADDRESS_TTL_S = 60.0
# An observer counts as connected to the store for this long after the store answered.
STORE_CONTACT_MAX_AGE_S = 6.0


class PeerAddresses:
    """Heartbeat addresses at which other instances may be reached.

    Parameters
    ----------
    timers : Timers
        Clock.
    seeds : iterable of str
        Addresses that never expire.
    own_address : str
        Address of this instance, which is excluded.
    """

    def __init__(self, timers: Timers, seeds: Iterable[str], own_address: str) -> None:
        self.timers = timers
        self.own_address = own_address
        self.seeds = {seed for seed in seeds if _is_address(seed)}
        self.last_named_at_s: dict[str, float] = {}
        self.lock = threading.Lock()

    def add(self, addresses: Iterable[str]) -> None:
        """Add or refresh addresses that an instance or the store has named."""
        now = self.timers.now()
        with self.lock:
            for address in addresses:
                if address in self.last_named_at_s or _is_address(address):
                    self.last_named_at_s[address] = now

    def expire(self) -> None:
        """Remove the addresses that were not refreshed within their TTL."""
        oldest_s = self.timers.now() - PEER_ADDRESS_TTL_S
        with self.lock:
            self.last_named_at_s = {
                address: named_at_s
                for address, named_at_s in self.last_named_at_s.items()
                if named_at_s >= oldest_s
            }

    def known(self) -> set[str]:
        """Return all addresses."""
        with self.lock:
            return (self.seeds | self.last_named_at_s.keys()) - {self.own_address}


def _is_address(address: str) -> bool:
    try:
        split_address(address)
    except ValueError:
        log_warning("peer_address_invalid", address=address)
        return False
    return True


@define(eq=False)
class Member:
    """One incarnation of another instance."""

    heartbeat: beats_pb2.Beat
    description: beats_pb2.Description
    last_heartbeat_at_s: float
    last_active_at_s: float = float("-inf")
    """Last time at which the instance reported a share of the callers' requests."""
    last_evidence_number: int = 0
    """Number of the last event of this incarnation that was applied."""

    @property
    def name(self) -> str:
        """Return the name of the instance."""
        return self.heartbeat.instance

    def is_reachable(self, now_s: float) -> bool:
        """Return whether a heartbeat was received within the timeout."""
        return now_s - self.last_heartbeat_at_s <= MEMBER_TIMEOUT_S


@define(eq=False)
class MemberTable:
    """Other instances from which heartbeats were received."""

    own_name: str
    timers: Timers
    members: dict[str, Member] = field(factory=dict)
    on_join: Callable[[str], None] = lambda address: None
    """Called with the heartbeat address of an instance or incarnation that joined."""
    lock: threading.RLock = field(factory=threading.RLock)

    def receive(self, heartbeat: beats_pb2.Beat) -> Member | None:
        """Process a heartbeat and return its sender.

        Returns None if the heartbeat is outdated, if it is from this instance, or if
        it carries no description and this incarnation of its sender is unknown.
        """
        if heartbeat.instance == self.own_name:
            return None
        with self.lock:
            member = self.members.get(heartbeat.instance)
            now = self.timers.now()
            if member is not None and not _is_newer(heartbeat, member, now):
                return None
            if member is None or member.heartbeat.incarnation != heartbeat.incarnation:
                if not heartbeat.HasField("description"):
                    return None
                member = Member(heartbeat, heartbeat.description, now)
                self.members[heartbeat.instance] = member
                log_info(
                    "member_joined",
                    member=heartbeat.instance,
                    incarnation=heartbeat.incarnation,
                )
                self.on_join(member.description.beat_address)
            if member.heartbeat.state != heartbeat.state:
                state = beats_pb2.ServingState.Name(heartbeat.state)
                log_info("member_state", member=heartbeat.instance, state=state)
            member.heartbeat = heartbeat
            member.last_heartbeat_at_s = now
            if heartbeat.active:
                member.last_active_at_s = now
            return member

    def remove_unreachable(self) -> None:
        """Remove unreachable instances, sooner if they were stopping.

        Others are kept for `REMOVE_MEMBER_AFTER_S`.
        """
        with self.lock:
            now = self.timers.now()
            for name, member in list(self.members.items()):
                silent_s = now - member.last_heartbeat_at_s
                leaving = member.heartbeat.state == beats_pb2.DRAINING
                if silent_s > (MEMBER_TIMEOUT_S if leaving else REMOVE_MEMBER_AFTER_S):
                    del self.members[name]
                    log_info("member_forgotten", member=name, silent_s=silent_s)

    def known(self) -> list[Member]:
        """Return all members that were not removed."""
        with self.lock:
            return list(self.members.values())

    def reachable(self) -> list[Member]:
        """Return the members with a heartbeat within the timeout."""
        now = self.timers.now()
        return [member for member in self.known() if member.is_reachable(now)]

    def active(self) -> list[Member]:
        """Return the members that recently had a share of the callers' requests."""
        now = self.timers.now()
        return [m for m in self.known() if now - m.last_active_at_s <= ACTIVE_TIMEOUT_S]

    def reachable_fraction(self, expected: int = 0) -> float:
        """Return the reachable fraction of the fleet, this instance included.

        Parameters
        ----------
        expected : int, default=0
            Number of other instances that are known by their address; some may not
            have been heard yet.
        """
        now = self.timers.now()
        known = self.known()
        reachable = sum(member.is_reachable(now) for member in known)
        return (reachable + 1) / (max(len(known), expected) + 1)


def _is_newer(heartbeat: beats_pb2.Beat, known: Member, now_s: float) -> bool:
    if heartbeat.incarnation == known.heartbeat.incarnation:
        return heartbeat.sequence > known.heartbeat.sequence
    if heartbeat.incarnation > known.heartbeat.incarnation:
        return True
    # Incarnations are wall-clock times. After the clock was set back, a restarted
    # instance has a lower one; this is accepted once delayed heartbeats of the old
    # incarnation can no longer arrive.
    return now_s - known.last_heartbeat_at_s > MAX_DATAGRAM_DELAY_S


def select_across_data_centres(
    key: str, names: list[str], data_centre_of: Callable[[str], str], count: int
) -> list[str]:
    """Return the highest ranked names, taken in turn from the data centres.

    Parameters
    ----------
    key : str
        Key of the rendezvous ranking.
    names : list of str
        Candidates.
    data_centre_of : callable
        Returns the data centre of a name.
    count : int
        Number of names to return, or all if there are fewer.
    """
    by_data_centre: dict[str, list[str]] = {}
    for name in rank_candidates(key, names):
        by_data_centre.setdefault(data_centre_of(name), []).append(name)
    chosen: list[str] = []
    queues = [by_data_centre[key] for key in sorted(by_data_centre)]
    while queues and len(chosen) < count:
        for queue in queues:
            if len(chosen) < count:
                chosen.append(queue.pop(0))
        queues = [queue for queue in queues if queue]
    return chosen
