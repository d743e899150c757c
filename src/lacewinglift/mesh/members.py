"""Other instances, as their datagrams describe them."""

import threading
from collections.abc import Callable, Iterable

from attrs import define, field

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_info, log_warning
from lacewinglift.rendezvous import rank_candidates
from lacewinglift.socket_addresses import split_address
from lacewinglift.timers import Timers

# An instance that was silent for this long is given no callers and no duties.
MEMBER_TIMEOUT_S = 2.5
# An instance counts as active for this long after its last request.
ACTIVE_TIMEOUT_S = 3.0
# A silent instance may still admit requests; its part of the quotas stays reserved
# for this long.
FORGET_AFTER_S = 20.0
# A datagram of an ended incarnation cannot arrive later than this after its last one.
MAX_DATAGRAM_DELAY_S = 0.5
# An address that no instance and no entry of the store names for this long is dropped.
PEER_ADDRESS_TTL_S = 60.0
# An answer of the store counts as contact for this long.
STORE_CONTACT_MAX_AGE_S = 6.0


class PeerAddresses:
    """Beat addresses at which other instances may be found.

    Parameters
    ----------
    timers : Timers
        Clock.
    seeds : iterable of str
        Addresses that are kept for good.
    own_address : str
        Address of this instance, which is left out.
    """

    def __init__(self, timers: Timers, seeds: Iterable[str], own_address: str) -> None:
        self.timers = timers
        self.own_address = own_address
        self.seeds = {seed for seed in seeds if _is_address(seed)}
        self.last_named_s: dict[str, float] = {}
        self.lock = threading.Lock()

    def add(self, addresses: Iterable[str]) -> None:
        """Learn addresses that an instance or the store has named."""
        now = self.timers.now()
        with self.lock:
            for address in addresses:
                if address in self.last_named_s or _is_address(address):
                    self.last_named_s[address] = now

    def expire(self) -> None:
        """Drop the addresses that nobody has named lately."""
        oldest_s = self.timers.now() - PEER_ADDRESS_TTL_S
        with self.lock:
            self.last_named_s = {
                address: at_s
                for address, at_s in self.last_named_s.items()
                if at_s >= oldest_s
            }

    def known(self) -> set[str]:
        """Return all addresses."""
        with self.lock:
            return (self.seeds | self.last_named_s.keys()) - {self.own_address}


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
    last_heartbeat_s: float
    last_active_s: float = float("-inf")
    """Last time at which the instance told of requests in progress."""
    last_evidence_number: int = 0
    """Number of the last event of this incarnation that was taken in."""

    @property
    def name(self) -> str:
        """Return the name of the instance."""
        return self.heartbeat.instance

    def is_reachable(self, now_s: float) -> bool:
        """Return whether the instance was heard lately."""
        return now_s - self.last_heartbeat_s <= MEMBER_TIMEOUT_S


@define(eq=False)
class MemberTable:
    """All instances that were heard, without this one."""

    own_name: str
    timers: Timers
    members: dict[str, Member] = field(factory=dict)
    on_join: Callable[[], None] = lambda: None
    """Told of each instance, or incarnation of one, that is heard first."""
    lock: threading.RLock = field(factory=threading.RLock)

    def receive(self, heartbeat: beats_pb2.Beat) -> Member | None:
        """Take in a datagram.

        Returns None if it is older than what is known, or if it is from an
        instance that has not described itself.
        """
        if heartbeat.instance == self.own_name:
            return None
        with self.lock:
            known = self.members.get(heartbeat.instance)
            now = self.timers.now()
            if known is not None and not _is_newer(heartbeat, known, now):
                return None
            if known is None or known.heartbeat.incarnation != heartbeat.incarnation:
                if not heartbeat.HasField("description"):
                    return None
                known = Member(heartbeat, heartbeat.description, now)
                self.members[heartbeat.instance] = known
                log_info(
                    "member_joined",
                    member=heartbeat.instance,
                    incarnation=heartbeat.incarnation,
                )
                self.on_join()
            if known.heartbeat.state != heartbeat.state:
                state = beats_pb2.ServingState.Name(heartbeat.state)
                log_info("member_state", member=heartbeat.instance, state=state)
            known.heartbeat = heartbeat
            known.last_heartbeat_s = now
            if heartbeat.loads:
                known.last_active_s = now
            return known

    def forget_unreachable(self) -> None:
        """Drop instances that left or have been silent for long."""
        with self.lock:
            now = self.timers.now()
            for name, member in list(self.members.items()):
                silent_s = now - member.last_heartbeat_s
                leaving = member.heartbeat.state == beats_pb2.DRAINING
                if silent_s > (MEMBER_TIMEOUT_S if leaving else FORGET_AFTER_S):
                    del self.members[name]
                    log_info("member_forgotten", member=name, silent_s=silent_s)

    def known(self) -> list[Member]:
        """Return all members that are not forgotten."""
        with self.lock:
            return list(self.members.values())

    def reachable(self) -> list[Member]:
        """Return the members that were heard lately."""
        now = self.timers.now()
        return [member for member in self.known() if member.is_reachable(now)]

    def active(self) -> list[Member]:
        """Return the members that had requests in progress lately."""
        now = self.timers.now()
        return [m for m in self.known() if now - m.last_active_s <= ACTIVE_TIMEOUT_S]

    def reachable_fraction(self) -> float:
        """Return the part of the fleet that this instance hears, with itself."""
        now = self.timers.now()
        known = self.known()
        reachable = sum(member.is_reachable(now) for member in known)
        return (reachable + 1) / (len(known) + 1)


def _is_newer(heartbeat: beats_pb2.Beat, known: Member, now_s: float) -> bool:
    if heartbeat.incarnation == known.heartbeat.incarnation:
        return heartbeat.sequence > known.heartbeat.sequence
    if heartbeat.incarnation > known.heartbeat.incarnation:
        return True
    # The time of day, from which incarnations come, may have been set back.
    return now_s - known.last_heartbeat_s > MAX_DATAGRAM_DELAY_S


def select_across_data_centres(
    key: str, names: list[str], data_centre_of: Callable[[str], str], count: int
) -> list[str]:
    """Return `count` names by rank for a key, evenly from the data centres.

    Parameters
    ----------
    key : str
        What the names are ranked for.
    names : list of str
        Candidates.
    data_centre_of : callable
        Returns the data centre of a name.
    count : int
        Number of names to return; fewer where there are not so many.
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
