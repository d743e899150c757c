"""Relays heartbeats between data centres: decides what is sent to whom, and when.

An ordinary instance sends its heartbeats to its own data centre only. The relays there
pass on what is new in bundles to the relays of the other data centres, which pass them
on inside theirs.

Load: hundreds of instances in several data centres, with surges of callers, periods of
failing targets, and starts of the whole fleet at once.
"""

import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from attrs import define, field, frozen

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_info, log_warning
from lacewinglift.mesh.fan_out import FanOut
from lacewinglift.mesh.heartbeat_bundles import BundleError, pack, unpack
from lacewinglift.mesh.heartbeat_records import HeartbeatRecords, copy_state
from lacewinglift.mesh.members import Member, MemberTable
from lacewinglift.mesh.relay_election import (
    RELAY_HEARTBEAT_INTERVAL_S,
    RELAYS_PER_PAIR,
    RelayElection,
)
from lacewinglift.timers import Timers

# Interval of the bundles between two data centres.
BUNDLE_INTERVAL_S = 0.5
# Shortest interval of the heartbeats with details to the relays.
DETAILS_INTERVAL_S = 0.25
# Loads of targets that are passed on in the own data centre.
NEAR_LOADS_INTERVAL_S = 0.5
# Urgent news wait this long for more, and are with the other relays within 20 ms.
URGENT_DELAY_S = 0.01
# Urgent bundles that may follow each other at once, and their rate afterwards. Each
# goes to all instances of the other data centre, so that many failing targets would
# fill the link of a relay there. Later news wait for 0.1 s at most.
URGENT_BURST = 5.0
URGENT_PER_S = 10.0
# Delay of the answer to instances that have joined, so that one serves several.
WELCOME_DELAY_S = 0.1
# A new relay passes on members in full that it has not known for longer: others may
# know less, as when the fleet starts.
YOUNG_MEMBER_S = 5.0
# Addresses of unknown instances that get one heartbeat.
MAX_UNKNOWN_ADDRESSES = 6


@frozen
class OutgoingDatagram:
    """A datagram and the addresses to send it to."""

    heartbeat: beats_pb2.Beat
    addresses: Sequence[str]


class RelayingInstance(Protocol):
    """The instance on whose behalf heartbeats are relayed."""

    def build_beacon(self) -> beats_pb2.Beat:
        """Return a heartbeat with the state of the instance only."""
        ...

    def build_own_heartbeat(self) -> beats_pb2.Beat:
        """Return a heartbeat with the recent counts and events of the instance."""
        ...

    def build_welcome(self, peers: Sequence[str]) -> beats_pb2.Beat:
        """Return a heartbeat to instances that have just joined."""
        ...

    def add_counts(self, heartbeat: beats_pb2.Beat) -> None:
        """Add the description and all known counts of the sender to a heartbeat."""
        ...

    def apply_heartbeat(self, heartbeat: beats_pb2.Beat, relayed: bool) -> None:
        """Process a heartbeat."""
        ...


@define(eq=False)
class _UrgentBudget:
    level: float = URGENT_BURST
    refilled_at_s: float = 0.0

    def available_at_s(self, now_s: float) -> float:
        gained = (now_s - self.refilled_at_s) * URGENT_PER_S
        self.level = min(self.level + gained, URGENT_BURST)
        self.refilled_at_s = now_s
        return now_s + max(1.0 - self.level, 0.0) / URGENT_PER_S

    def spend(self) -> None:
        self.level -= 1.0


@define(eq=False)
class Relaying:
    """Relays heartbeats if the fleet is large and this instance is chosen.

    Attributes
    ----------
    members : MemberTable
        The other instances.
    election : RelayElection
        Decides which instances relay.
    instance : RelayingInstance
        This instance.
    address : str
        Heartbeat address of this instance.
    timers : Timers
        Clock.
    schedule : callable
        Called with the delay after which `build` is to be called.
    """

    members: MemberTable
    election: RelayElection
    instance: RelayingInstance
    address: str
    timers: Timers
    schedule: Callable[[float], None]
    records: HeartbeatRecords = field(factory=HeartbeatRecords)
    """What is passed on to the other data centres."""
    near_records: HeartbeatRecords = field(
        factory=lambda: HeartbeatRecords(NEAR_LOADS_INTERVAL_S)
    )
    """What is passed on in the own data centre."""
    fan_out: FanOut = field(factory=FanOut)
    outbox: list[OutgoingDatagram] = field(factory=list)
    """Received bundles to pass on at once."""
    newcomers: dict[str, Member] = field(factory=dict)
    """Instances of the own data centre that need to hear of all others."""
    introduced: dict[str, Member] = field(factory=dict)
    """Instances to make known to the relays of their data centre."""
    next_bundle_at_s: float = 0.0
    next_beacon_at_s: float = 0.0
    urgent_at_s: float = float("inf")
    welcome_at_s: float = float("inf")
    urgent_budget: _UrgentBudget = field(factory=_UrgentBudget)
    relays_to: list[str] = field(factory=list)
    """Data centres to which this instance relays, its own one included."""
    receivers: set[str] = field(factory=set)
    """Addresses that the last bundle went to."""
    was_on: bool = False
    lock: threading.RLock = field(factory=threading.RLock)

    def is_on(self) -> bool:
        """Return whether heartbeats of this fleet are relayed."""
        return self.election.is_on()

    # ---- recipients of the own heartbeats ----

    def direct(self, members: Sequence[Member]) -> list[Member]:
        """Return those of some members that get heartbeats of this instance itself."""
        if not self.is_on():
            return list(members)
        own = self.election.data_centre
        return [
            member
            for member in members
            if member.description.data_centre == own
            or self.election.sends_directly_to(member.description.data_centre)
        ]

    def sends_details(self) -> bool:
        """Return whether the own data centre gets all details from this instance."""
        return self.election.sends_directly_to(self.election.data_centre)

    def for_details(self, members: Sequence[Member]) -> list[Member]:
        """Return those of some members that get details directly, and the relays."""
        sends_to = self.election.sends_directly_to
        chosen = {
            member.name: member
            for member in members
            if sends_to(member.description.data_centre)
        }
        chosen.update((member.name, member) for member in self.election.own_relays())
        return list(chosen.values())

    def direct_addresses(self, known: set[str]) -> set[str]:
        """Return those of all known addresses that get periodic heartbeats."""
        if not self.is_on():
            return known
        members = self.members.known()
        direct = {m.description.beat_address for m in self.direct(members)}
        unknown = known - {m.description.beat_address for m in members}
        return direct | set(sorted(unknown)[:MAX_UNKNOWN_ADDRESSES])

    # ---- received heartbeats ----

    def note(self, member: Member, heartbeat: beats_pb2.Beat, joined: bool) -> None:
        """Record a heartbeat that came from its sender."""
        near = member.description.data_centre == self.election.data_centre
        if near and self.relays_to:
            self._note(heartbeat, joined)

    def note_own(self, heartbeat: beats_pb2.Beat) -> None:
        """Record a heartbeat of this instance."""
        if self.relays_to:
            self._note(heartbeat, joined=False)

    def _note(self, heartbeat: beats_pb2.Beat, joined: bool) -> None:
        now = self.timers.now()
        with self.lock:
            # Evidence goes to the own data centre directly.
            self.near_records.note(heartbeat, now, joined=False)
            if not self.records.note(heartbeat, now, joined):
                return
            due_s = max(now + URGENT_DELAY_S, self.urgent_budget.available_at_s(now))
            self.urgent_at_s = min(self.urgent_at_s, due_s)
        self.schedule(self.urgent_at_s - now)

    def greet(self, member: Member, relayed: bool) -> bool:
        """Answer an instance that has joined; return False if relays are off.

        Parameters
        ----------
        member : Member
            The instance that has joined.
        relayed : bool
            Whether its heartbeat came through another instance.
        """
        if not self.is_on():
            return relayed
        welcomes = self._welcomes(member)
        if relayed and not welcomes:
            return True
        with self.lock:
            waiting = self.newcomers if welcomes else self.introduced
            waiting[member.name] = member
            due_s = self.timers.now() + WELCOME_DELAY_S
            self.welcome_at_s = min(self.welcome_at_s, due_s)
        self.schedule(WELCOME_DELAY_S)
        return True

    def _welcomes(self, member: Member) -> bool:
        """Return whether this instance tells a newcomer about all others."""
        own = self.election.data_centre
        if member.description.data_centre != own or own not in self.relays_to:
            return False
        return self.election.position(own) < RELAYS_PER_PAIR

    def greet_all(self, addresses: Sequence[str]) -> bool:
        """Answer instances that joined before the fleet was known to be large."""
        self.update()
        if not self.is_on():
            return False
        for member in self.members.known():
            if member.description.beat_address in addresses:
                self.greet(member, relayed=False)
        return True

    def receive_bundle(self, bundle: beats_pb2.HeartbeatBundle) -> None:
        """Process the heartbeats in a bundle, and pass it on if that is due here."""
        try:
            heartbeats = unpack(bundle)
        except BundleError as error:
            log_warning("bundle_invalid", member=bundle.sender, reason=error)
            return
        for heartbeat in heartbeats:
            self.instance.apply_heartbeat(heartbeat, relayed=True)
        self.update()
        if bundle.kind == beats_pb2.INTRODUCTION:
            self._note_introduced(heartbeats)
            return
        with self.lock:
            if bundle.kind == beats_pb2.WITHIN_DATA_CENTRE:
                self.fan_out.record_passed(heartbeats)
            elif self.is_on() and bundle.data_centre != self.election.data_centre:
                self._pass_on(bundle, heartbeats)

    def _note_introduced(self, heartbeats: Iterable[beats_pb2.Beat]) -> None:
        known = {member.name: member for member in self.members.known()}
        for heartbeat in heartbeats:
            member = known.get(heartbeat.instance)
            if member is not None:
                self.note(member, heartbeat, joined=True)

    def _pass_on(
        self, bundle: beats_pb2.HeartbeatBundle, heartbeats: list[beats_pb2.Beat]
    ) -> None:
        now = self.timers.now()
        if self.election.position(bundle.data_centre) > 0:
            self.schedule(self.fan_out.hold(bundle, heartbeats, now) - now)
            return
        self.fan_out.record_passed(heartbeats)
        datagram = beats_pb2.Beat(bundle=bundle)
        datagram.bundle.kind = beats_pb2.WITHIN_DATA_CENTRE
        self.outbox.append(OutgoingDatagram(datagram, self._near_addresses()))
        self.schedule(0.0)

    def _near_addresses(self) -> list[str]:
        return [
            member.description.beat_address
            for member in self.members.known()
            if member.description.data_centre == self.election.data_centre
        ]

    # ---- what is due ----

    def update(self) -> None:
        """Begin to relay when the fleet has become large enough."""
        if not self.was_on:
            self.election.count_again()
        if self.is_on() != self.was_on:
            self.was_on = self.is_on()
            log_info("relays_used", on=self.was_on, members=len(self.members.known()))
            self.schedule(0.0)

    def build(self) -> list[OutgoingDatagram]:
        """Return what is due now, and schedule the next call."""
        with self.lock:
            return self._build()

    def _build(self) -> list[OutgoingDatagram]:
        now = self.timers.now()
        outgoing, self.outbox = self.outbox, []
        if not self.is_on():
            self._set_relays_to([])
            return outgoing
        self._set_relays_to(self.election.update())
        for bundle, heartbeats in self.fan_out.take_due(now):
            passed = self._bundle(beats_pb2.WITHIN_DATA_CENTRE, bundle.urgent)
            passed.data_centre = bundle.data_centre
            outgoing += self._pack(passed, heartbeats, self._near_addresses())
        if now >= self.welcome_at_s:
            self.welcome_at_s = float("inf")
            outgoing += self._build_welcomes()
        if self.relays_to:
            outgoing += self._build_relayed(now)
        self._schedule_next(now)
        return outgoing

    def _set_relays_to(self, data_centres: list[str]) -> None:
        if data_centres == self.relays_to:
            return
        log_info("relay_duty", to=",".join(data_centres) or "-")
        if not self.relays_to:
            self._start_relaying()
        self.relays_to = list(data_centres)
        if not data_centres:
            self.records.clear()
            self.near_records.clear()

    def _start_relaying(self) -> None:
        now = self.timers.now()
        self.next_bundle_at_s = self.next_beacon_at_s = now
        for member in self.members.reachable():
            if member.description.data_centre == self.election.data_centre:
                joined = now - member.joined_at_s <= YOUNG_MEMBER_S
                received_s = member.last_heartbeat_at_s
                self.records.note(member.heartbeat, received_s, joined)
                self.near_records.note(member.heartbeat, received_s, joined=False)
                if joined:
                    self.newcomers[member.name] = member
        self.welcome_at_s = now

    def _schedule_next(self, now_s: float) -> None:
        due_s = [
            self.welcome_at_s,
            self.fan_out.next_due_s(),
            now_s + RELAY_HEARTBEAT_INTERVAL_S,
        ]
        if self.relays_to:
            due_s += [self.next_bundle_at_s, self.next_beacon_at_s, self.urgent_at_s]
        self.schedule(max(min(due_s) - now_s, 0.0))

    def _build_relayed(self, now_s: float) -> list[OutgoingDatagram]:
        outgoing = []
        if now_s >= self.next_beacon_at_s:
            self.next_beacon_at_s = now_s + RELAY_HEARTBEAT_INTERVAL_S
            beacon = self.instance.build_beacon()
            outgoing.append(OutgoingDatagram(beacon, self._near_addresses()))
        routine = now_s >= self.next_bundle_at_s
        if routine:
            self.next_bundle_at_s = now_s + BUNDLE_INTERVAL_S
            self._forget_lost()
            own = self.instance.build_own_heartbeat()
            self.records.note(own, now_s, joined=False)
            self.near_records.note(own, now_s, joined=False)
            outgoing += self._build_near_bundles(now_s)
        elif now_s < self.urgent_at_s:
            return outgoing
        else:
            self.urgent_budget.spend()
        self.urgent_at_s = float("inf")
        return outgoing + self._build_bundles(now_s, urgent_only=not routine)

    def _forget_lost(self) -> None:
        known = {member.name for member in self.members.known()}
        self.records.forget_others(known | {self.members.own_name})
        self.near_records.forget_others(known | {self.members.own_name})
        self.fan_out.forget_others(known)

    def _build_bundles(self, now_s: float, urgent_only: bool) -> list[OutgoingDatagram]:
        near = len(self._near_addresses())
        addresses: list[str] = []
        for other in self.relays_to:
            if other != self.election.data_centre:
                addresses += self.election.receivers(other)
        if not self.receivers.issuperset(addresses):
            self.records.refresh()
        self.receivers = set(addresses)
        selected = self.records.take(now_s, urgent_only, near)
        for each in selected:
            if each.full:
                self.instance.add_counts(each.heartbeat)
        urgent = urgent_only or any(each.urgent for each in selected)
        bundle = self._bundle(beats_pb2.BETWEEN_DATA_CENTRES, urgent)
        return self._pack(bundle, [each.heartbeat for each in selected], addresses)

    def _build_near_bundles(self, now_s: float) -> list[OutgoingDatagram]:
        """Return the details of the own data centre, if this relay is its first."""
        own = self.election.data_centre
        if own not in self.relays_to or self.election.position(own) > 0:
            return []
        near = self._near_addresses()
        selected = self.near_records.take(now_s, False, len(near))
        bundle = self._bundle(beats_pb2.WITHIN_DATA_CENTRE)
        return self._pack(bundle, [each.heartbeat for each in selected], near)

    def _bundle(self, kind: int, urgent: bool = False) -> beats_pb2.HeartbeatBundle:
        return beats_pb2.HeartbeatBundle(
            sender=self.members.own_name,
            data_centre=self.election.data_centre,
            beat_address=self.address,
            kind=kind,
            urgent=urgent,
        )

    def _pack(
        self,
        bundle: beats_pb2.HeartbeatBundle,
        heartbeats: Sequence[beats_pb2.Beat],
        addresses: Sequence[str],
    ) -> list[OutgoingDatagram]:
        if not addresses:
            return []
        return [OutgoingDatagram(each, addresses) for each in pack(bundle, heartbeats)]

    # ---- instances that have joined ----

    def _build_welcomes(self) -> list[OutgoingDatagram]:
        newcomers = [m for m in self.newcomers.values() if self._welcomes(m)]
        self.newcomers = {}
        introduced, self.introduced = list(self.introduced.values()), {}
        outgoing = []
        by_data_centre: dict[str, list[Member]] = {}
        for member in introduced:
            by_data_centre.setdefault(member.description.data_centre, []).append(member)
        for data_centre, members in by_data_centre.items():
            relays = self._relays_of(data_centre)
            # The first instances of a data centre have no relay to learn from.
            newcomers += [member for member in members if member in relays]
            outgoing += self._introduce(members, relays)
        if newcomers:
            everyone = [self.instance.build_welcome([]), *self._known_in_full()]
            addresses = [member.description.beat_address for member in newcomers]
            bundle = self._bundle(beats_pb2.WITHIN_DATA_CENTRE)
            outgoing += self._pack(bundle, everyone, addresses)
        return outgoing

    def _introduce(
        self, members: list[Member], relays: list[Member]
    ) -> list[OutgoingDatagram]:
        addresses = [relay.description.beat_address for relay in relays]
        heartbeats = [self._in_full(member) for member in members]
        bundle = self._bundle(beats_pb2.INTRODUCTION)
        welcome = self.instance.build_welcome(addresses)
        return [
            *self._pack(bundle, heartbeats, addresses),
            OutgoingDatagram(welcome, [m.description.beat_address for m in members]),
        ]

    def _relays_of(self, data_centre: str) -> list[Member]:
        others = {*self.election.others(), self.election.data_centre} - {data_centre}
        chosen = {}
        for other in sorted(others):
            for relay in self.election.first_relays_of(data_centre, other):
                chosen[relay.name] = relay
        return list(chosen.values())

    def _known_in_full(self) -> list[beats_pb2.Beat]:
        return [self._in_full(member) for member in self.members.reachable()]

    def _in_full(self, member: Member) -> beats_pb2.Beat:
        held_s = member.silent_s(self.timers.now())
        heartbeat = copy_state(member.heartbeat, held_s)
        heartbeat.loads_omitted = True
        self.instance.add_counts(heartbeat)
        return heartbeat
