"""State of the other instances, from their heartbeats."""

import threading
from collections.abc import Callable, Iterable

from attrs import define, field

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_info, log_warning
from lacewinglift.mesh.heartbeat_rounds import HEARTBEAT_INTERVAL_S
from lacewinglift.mesh.isolation import HeartbeatGaps
from lacewinglift.mesh.report_lease import SHARING_TIMEOUT_S
from lacewinglift.rendezvous import rank_candidates
from lacewinglift.socket_addresses import split_address
from lacewinglift.timers import Timers

# An instance without a heartbeat for this long counts as unreachable: callers are not
# sent to it and it is not chosen as observer.
MEMBER_TIMEOUT_S = 2.5
# Timeout of members that send to all others in each interval, as far as limits of the
# fleet are concerned. A late heartbeat costs their part of the limits for a moment.
DIRECT_MEMBER_TIMEOUT_S = 1.3
# Time by which a heartbeat may come later than in the stated interval.
TURN_SLACK_S = 0.6
# Longest interval between heartbeats that a sender may state.
MAX_STATED_INTERVAL_S = 30.0
# A lost instance is reported to the others for this long.
LOSS_REPORT_S = 12.0
# Bound of the lost instances that one heartbeat names.
MAX_REPORTED_LOSSES = 64
# Number of instances that must report a loss; one alone may have lost its own path.
LOSS_REPORTERS_MIN = 2
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
    joined_at_s: float = float("-inf")
    last_active_at_s: float = float("-inf")
    """Last time at which the instance reported a share of the callers' requests."""
    details_sequence: int = 0
    """Sequence number of the last heartbeat whose counts or loads were applied."""
    reported_at_s: float | None = None
    """Time of the last heartbeat whose counts were applied; None before the first."""
    last_evidence_number: int = 0
    """Number of the last event of this incarnation that was applied."""
    loss_reporters: set[str] = field(factory=set)
    """Instances that have lost it since its last heartbeat was received."""

    @property
    def name(self) -> str:
        """Return the name of the instance."""
        return self.heartbeat.instance

    def interval_s(self) -> float:
        """Return the time until the next heartbeat that the sender stated."""
        stated_s = min(self.heartbeat.interval_ms / 1000, MAX_STATED_INTERVAL_S)
        return max(stated_s, HEARTBEAT_INTERVAL_S)

    def turn_timeout_s(self) -> float:
        """Return the timeout if the sender sends in turns; 0 if it sends to all."""
        interval_s = self.interval_s()
        return interval_s + TURN_SLACK_S if interval_s > HEARTBEAT_INTERVAL_S else 0.0

    def silent_s(self, now_s: float) -> float:
        """Return the time since the last heartbeat."""
        return now_s - self.last_heartbeat_at_s

    def is_reported_lost(self) -> bool:
        """Return whether several others have lost the instance."""
        return len(self.loss_reporters) >= LOSS_REPORTERS_MIN


@define(eq=False)
class MemberTable:
    """Other instances from which heartbeats were received."""

    own_name: str
    timers: Timers
    members: dict[str, Member] = field(factory=dict)
    own_active_since_s: float | None = None
    """Time since which this instance serves callers; None if it does not."""
    own_active_until_s: float = float("-inf")
    """Last time at which this instance served callers."""
    gaps: HeartbeatGaps = field(factory=HeartbeatGaps)
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
                member = Member(heartbeat, heartbeat.description, now, now)
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
            self.gaps.record(now)
            member.loss_reporters.clear()
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
                silent_s = member.silent_s(now)
                timeout_s = self._timeout_s(member)
                leaving = member.heartbeat.state == beats_pb2.DRAINING
                if silent_s > (
                    timeout_s if leaving else max(REMOVE_MEMBER_AFTER_S, timeout_s)
                ):
                    del self.members[name]
                    log_info("member_forgotten", member=name, silent_s=silent_s)

    def find(self, name: str) -> Member | None:
        """Return the member of a name, if it is known."""
        with self.lock:
            return self.members.get(name)

    def known(self) -> list[Member]:
        """Return all members that were not removed."""
        with self.lock:
            return list(self.members.values())

    def reachable(self) -> list[Member]:
        """Return the members that are not silent for longer than they stated."""
        now = self.timers.now()
        return [member for member in self.known() if self._is_reachable(member, now)]

    def _is_reachable(self, member: Member, now_s: float) -> bool:
        silent_s = member.silent_s(now_s)
        if member.is_reported_lost() and silent_s > MEMBER_TIMEOUT_S:
            return False
        return silent_s <= self._timeout_s(member)

    def _timeout_s(self, member: Member) -> float:
        if self.hears_active_often() and member.heartbeat.active:
            return MEMBER_TIMEOUT_S
        return MEMBER_TIMEOUT_S * member.interval_s() / HEARTBEAT_INTERVAL_S

    def record_own_activity(self, active: bool) -> None:
        """Record whether this instance serves callers now."""
        now = self.timers.now()
        if not active:
            self.own_active_since_s = None
            return
        self.own_active_until_s = now
        if self.own_active_since_s is None:
            self.own_active_since_s = now

    def hears_active_often(self) -> bool:
        """Return whether the active instances send this one each of their heartbeats.

        They know only after some time that this instance has become active.
        """
        since_s = self.own_active_since_s
        return since_s is not None and self.timers.now() - since_s >= ACTIVE_TIMEOUT_S

    def sends_to_active_often(self) -> bool:
        """Return whether the active instances rely on frequent heartbeats of this one.

        They do until they have heard that it is not active any more.
        """
        return self.timers.now() - self.own_active_until_s <= ACTIVE_TIMEOUT_S

    def lost_active(self) -> list[beats_pb2.LostMember]:
        """Return the active instances that this one has lost, to tell the others.

        Only active instances hear each other often enough to be the first to know.
        """
        if not self.hears_active_often():
            return []
        now = self.timers.now()
        lost = [
            member
            for member in self.known()
            if member.heartbeat.active
            and MEMBER_TIMEOUT_S < member.silent_s(now) <= LOSS_REPORT_S
        ]
        return [
            beats_pb2.LostMember(
                instance=member.name, incarnation=member.heartbeat.incarnation
            )
            for member in lost[:MAX_REPORTED_LOSSES]
        ]

    def record_losses(self, heartbeat: beats_pb2.Beat) -> None:
        """Record which instances the sender of a heartbeat has lost."""
        with self.lock:
            for lost in heartbeat.lost:
                member = self.members.get(lost.instance)
                if (
                    member is not None
                    and member.heartbeat.incarnation == lost.incarnation
                ):
                    member.loss_reporters.add(heartbeat.instance)

    def active(self) -> list[Member]:
        """Return the members that recently had a share of the callers' requests."""
        now = self.timers.now()
        return [m for m in self.known() if now - m.last_active_at_s <= ACTIVE_TIMEOUT_S]

    def sharing_limits(self) -> list[Member]:
        """Return the members to which use of limits has to be reported soon."""
        now = self.timers.now()
        return [
            member
            for member in self.known()
            if member.heartbeat.shares_limits
            and member.silent_s(now) <= SHARING_TIMEOUT_S
        ]

    def reachable_fraction(
        self, expected: int = 0, timeout_s: float = MEMBER_TIMEOUT_S
    ) -> float:
        """Return the reachable fraction of the fleet, this instance included.

        Parameters
        ----------
        expected : int, default=0
            Number of other instances that are known by their address; some may not
            have been heard yet.
        timeout_s : float, default=MEMBER_TIMEOUT_S
            Silence after which a member is not reachable, at least.
        """
        now = self.timers.now()
        known = self.known()
        # Others send rarely to an instance that has just ceased to serve callers.
        if self.hears_active_often() and self.gaps.is_isolated(now):
            return 1 / (max(len(known), expected) + 1)
        # An instance that is cut off must notice it before the longer timeouts of
        # instances that send rarely.
        heard = sum(
            each.silent_s(now) <= max(timeout_s, each.turn_timeout_s())
            for each in known
        )
        return (heard + 1) / (max(len(known), expected) + 1)


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
