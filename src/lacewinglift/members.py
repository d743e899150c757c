"""Membership of a cell: heartbeats, failure detection, and election of the allocator.

An instance that receives no heartbeat of a peer for `SUSPECT_AFTER_S` suspects it and
promises not to echo the heartbeats of that incarnation for `PROMISE_LIFETIME_S`. The
suspected instance thereby loses the echoes that its standing rests on, and an
allocator that sees promises of a majority may fence it.
"""

import threading
from collections import OrderedDict

from attrs import define, field

from lacewinglift.generated import fleet_pb2
from lacewinglift.identity import Identity
from lacewinglift.logs import log_info, log_warning
from lacewinglift.member_views import MemberView, PromiseView
from lacewinglift.rendezvous import rank_candidates
from lacewinglift.timers import Timers

HEARTBEAT_INTERVAL_S = 1.0
SUSPECT_AFTER_S = 4.0
PROMISE_LIFETIME_S = 30.0
# A promise is renewed when less than this remains, so that an allocator that sees an
# unresponsive member always finds promises that last long enough to fence it.
PROMISE_RENEW_BELOW_S = 27.0
STORE_CONTACT_MAX_AGE_S = 4.0
# A tick that is late by more than this means that this process was paused. Heartbeats
# missing from that time are no evidence against the peers.
PAUSE_TOLERANCE_S = 2.0
MAX_SENT_TIMES_PER_PEER = 64
REMOVE_PEER_AFTER_S = 60.0
# Greatest value of a uint32. In the field `store_contact_age_ms` of a heartbeat it
# means that the store has never replied to the sender.
NO_STORE_CONTACT_MS = 2**32 - 1


@define(eq=False)
class PeerRecord:
    """The last state received from one other instance."""

    instance: str
    incarnation: int
    last_heartbeat_at_s: float
    """Local monotonic time from which the peer's silence is measured: when its last
    heartbeat came or, before the first one, when this record was created. Moved forward
    if this process was paused."""
    heartbeat_received: bool = False
    """False while the peer is known only from a ledger."""
    state: fleet_pb2.InstanceState = fleet_pb2.STARTING
    data_centre: str = ""
    caller_address: str = ""
    peer_address: str = ""
    generation: int = 0
    ledger_version: int = 0
    store_contact_at_s: float = float("-inf")
    standing: bool = False
    promises: tuple[PromiseView, ...] = ()
    demands: dict[str, float] = field(factory=dict)
    leaving: frozenset[str] = frozenset()
    sequence: int = 0
    """Last sequence number received."""
    next_sequence: int = 1
    sent_at_s: OrderedDict[int, float] = field(factory=OrderedDict)
    echoed_heartbeat_sent_at_s: float = float("-inf")
    """When the newest heartbeat that the peer has echoed was sent to it."""


class Members:
    """The members of this cell: their last heartbeats, and this instance's promises.

    Parameters
    ----------
    identity : Identity
        This instance.
    timers : Timers
        Clock. The owner calls `tick` once per heartbeat interval.
    """

    def __init__(self, identity: Identity, timers: Timers) -> None:
        self.identity = identity
        self.timers = timers
        self.lock = threading.RLock()
        self.peers: dict[str, PeerRecord] = {}
        self.promised_until_s: dict[tuple[str, int], float] = {}
        self.ledger_incarnations: frozenset[tuple[str, int]] = frozenset()
        self.last_tick_s = timers.now()
        self.generation = 0
        self.ledger_version = 0
        self.store_contact_at_s = float("-inf")
        self.standing = False
        self.leaving_in_platform_list: frozenset[str] = frozenset()
        self.demands: dict[str, float] = {}
        self.target_suspicions: list[fleet_pb2.Suspicion] = []
        self.announced_promises: tuple[PromiseView, ...] = ()
        self.allocator_name: str | None = None

    def receive(self, heartbeat: fleet_pb2.Heartbeat) -> bool:
        """Record a heartbeat.

        Returns
        -------
        bool
            False if the heartbeat was ignored: it comes from this instance, or
            from an incarnation older than the one known.
        """
        if heartbeat.instance == self.identity.instance:
            return False
        now = self.timers.now()
        with self.lock:
            record = self._find_or_add_record(heartbeat, now)
            if record is None:
                return False
            self._update_echo(record, heartbeat)
            self._update_fields(record, heartbeat, now)
        return True

    def build_heartbeat(self, instance: str, first: bool) -> fleet_pb2.Heartbeat:
        """Build the next heartbeat for `instance` and record when it was sent.

        Parameters
        ----------
        instance : str
            Receiver; empty until the peer has sent its name.
        first : bool
            Whether to include the fields that never change, as in the first
            heartbeat of a stream.
        """
        now = self.timers.now()
        with self.lock:
            heartbeat = self._common_heartbeat(now)
            if first:
                self._add_constant_fields(heartbeat)
            record = self.peers.get(instance)
            if record is not None:
                self._add_sequence_and_echo(heartbeat, record, now)
            if instance and instance == self.allocator_name:
                self._add_demands(heartbeat)
        return heartbeat

    def tick(self) -> None:
        """Update suspicions, promises and the allocator; run once per heartbeat."""
        now = self.timers.now()
        with self.lock:
            if now - self.last_tick_s > HEARTBEAT_INTERVAL_S + PAUSE_TOLERANCE_S:
                self._discount_pause(now)
            self.last_tick_s = now
            for record in list(self.peers.values()):
                self._update_suspicion(record, now)
            self._drop_expired_promises(now)
            self.announced_promises = self._current_promises(now)
            self.allocator_name = self._choose_allocator(now)

    def apply_ledger_members(self, members: list[fleet_pb2.Member]) -> None:
        """Record the members that a ledger names, and add those that are unknown."""
        now = self.timers.now()
        with self.lock:
            self.ledger_incarnations = frozenset(
                (member.instance, member.incarnation) for member in members
            )
            for member in members:
                self._apply_ledger_member(member, now)

    def live(self) -> list[MemberView]:
        """Return the members that are live, this instance included."""
        now = self.timers.now()
        with self.lock:
            views = [self._own_view(now)]
            views += [
                self._peer_view(record)
                for record in self.peers.values()
                if self._is_live(record, now)
            ]
        return [view for view in views if view.state == fleet_pb2.LIVE]

    def views(self) -> list[MemberView]:
        """Return this instance, then all peers that have sent a heartbeat."""
        now = self.timers.now()
        with self.lock:
            views = [self._own_view(now)]
            views += [
                self._peer_view(r) for r in self.peers.values() if r.heartbeat_received
            ]
        return views

    def addressable(self) -> list[MemberView]:
        """Return the members that new callers may be sent to."""
        leaving = self.leaving_instances()
        return [view for view in self.live() if view.instance not in leaving]

    def leaving_instances(self) -> frozenset[str]:
        """Return the instances marked as leaving in the platform's list.

        Combines what this instance and its peers have read.
        """
        with self.lock:
            leaving = set(self.leaving_in_platform_list)
            for record in self.peers.values():
                leaving |= record.leaving
        return frozenset(leaving)

    def is_allocator(self) -> bool:
        """Return whether this instance allocates the quota shares now."""
        return self.allocator_name == self.identity.instance

    def store_watchers(self, data_centre: str, count: int) -> list[str]:
        """Return the `count` instances of a data centre that are to watch the store."""
        names = [v.instance for v in self.live() if v.data_centre == data_centre]
        return rank_candidates("store-watch", names)[:count]

    def echo_times(self) -> dict[tuple[str, int], float]:
        """Return when the newest echoed heartbeat was sent, by peer incarnation.

        The times are local monotonic times; the keys are instance and incarnation.
        """
        with self.lock:
            return {
                (record.instance, record.incarnation): record.echoed_heartbeat_sent_at_s
                for record in self.peers.values()
            }

    def highest_versions(self) -> tuple[int, int]:
        """Return the highest generation and the highest ledger version of all peers."""
        with self.lock:
            records = list(self.peers.values())
        generation = max((r.generation for r in records), default=0)
        version = max((r.ledger_version for r in records), default=0)
        return generation, version

    def reset_echoes(self) -> None:
        """Discard all echoes; they were for an earlier incarnation of this instance."""
        with self.lock:
            for record in self.peers.values():
                record.sent_at_s.clear()
                record.echoed_heartbeat_sent_at_s = float("-inf")

    def record_store_contact(self, sent_at_s: float) -> None:
        """Record that the store answered a call sent at `sent_at_s`."""
        with self.lock:
            self.store_contact_at_s = max(self.store_contact_at_s, sent_at_s)

    def _find_or_add_record(
        self, heartbeat: fleet_pb2.Heartbeat, now: float
    ) -> PeerRecord | None:
        record = self.peers.get(heartbeat.instance)
        if record is not None and heartbeat.incarnation < record.incarnation:
            return None
        if record is None:
            record = PeerRecord(heartbeat.instance, heartbeat.incarnation, now)
            self.peers[heartbeat.instance] = record
            log_info(
                "peer_found",
                peer=heartbeat.instance,
                incarnation=heartbeat.incarnation,
            )
            return record
        if heartbeat.incarnation > record.incarnation:
            self._replace_incarnation(record, heartbeat.incarnation)
            self.announced_promises = self._current_promises(now)
        return record

    def _replace_incarnation(self, record: PeerRecord, incarnation: int) -> None:
        record.incarnation = incarnation
        record.sequence = 0
        record.promises = ()
        record.echoed_heartbeat_sent_at_s = float("-inf")
        record.sent_at_s.clear()
        log_info("peer_restarted", peer=record.instance, incarnation=incarnation)

    def _update_echo(self, record: PeerRecord, heartbeat: fleet_pb2.Heartbeat) -> None:
        if heartbeat.echo_incarnation != self.identity.incarnation:
            return
        sent_at_s = record.sent_at_s.get(heartbeat.echo)
        if sent_at_s is None:
            return
        record.echoed_heartbeat_sent_at_s = max(
            record.echoed_heartbeat_sent_at_s, sent_at_s
        )

    def _update_fields(
        self, record: PeerRecord, heartbeat: fleet_pb2.Heartbeat, now: float
    ) -> None:
        if (
            not record.heartbeat_received
            or now - record.last_heartbeat_at_s > SUSPECT_AFTER_S
        ):
            log_info("peer_heard", peer=record.instance)
        record.heartbeat_received = True
        record.last_heartbeat_at_s = now
        record.sequence = max(record.sequence, heartbeat.sequence)
        record.state = heartbeat.state
        record.generation = max(record.generation, heartbeat.generation)
        record.ledger_version = max(record.ledger_version, heartbeat.ledger_version)
        record.standing = heartbeat.standing
        record.leaving = frozenset(heartbeat.leaving)
        if heartbeat.peer_address:
            record.data_centre = heartbeat.data_centre
            record.caller_address = heartbeat.caller_address
            record.peer_address = heartbeat.peer_address
        if heartbeat.store_contact_age_ms != NO_STORE_CONTACT_MS:
            age_s = heartbeat.store_contact_age_ms / 1000
            record.store_contact_at_s = now - age_s
        record.demands = {
            demand.workspace: demand.milli_tokens_per_s / 1000
            for demand in heartbeat.demands
        }
        record.promises = self._promise_views(record, heartbeat)

    def _promise_views(
        self, record: PeerRecord, heartbeat: fleet_pb2.Heartbeat
    ) -> tuple[PromiseView, ...]:
        # The remaining time is counted from when the echoed heartbeat was sent. The
        # peer stated the promise later than that, so the result is never too late,
        # however long the message was delayed.
        if heartbeat.echo_incarnation != self.identity.incarnation:
            return ()
        sent_at_s = record.sent_at_s.get(heartbeat.echo)
        if sent_at_s is None:
            return ()
        return tuple(
            PromiseView(
                promise.instance,
                promise.incarnation,
                sent_at_s + promise.remaining_ms / 1000,
            )
            for promise in heartbeat.promises
        )

    def _common_heartbeat(self, now: float) -> fleet_pb2.Heartbeat:
        age_s = now - self.store_contact_at_s
        age_ms = NO_STORE_CONTACT_MS
        if age_s < NO_STORE_CONTACT_MS / 1000:
            age_ms = int(age_s * 1000)
        return fleet_pb2.Heartbeat(
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            state=self.identity.state,
            generation=self.generation,
            ledger_version=self.ledger_version,
            store_contact_age_ms=age_ms,
            standing=self.standing,
            leaving=sorted(self.leaving_in_platform_list),
            promises=self._promise_messages(now),
            suspicions=self.target_suspicions,
        )

    def _promise_messages(self, now: float) -> list[fleet_pb2.Promise]:
        return [
            fleet_pb2.Promise(
                instance=promise.instance,
                incarnation=promise.incarnation,
                remaining_ms=int((promise.until_s - now) * 1000),
            )
            for promise in self.announced_promises
            if promise.until_s > now
        ]

    def _current_promises(self, now: float) -> tuple[PromiseView, ...]:
        promises = [
            PromiseView(instance, incarnation, until_s)
            for (instance, incarnation), until_s in self.promised_until_s.items()
            if until_s > now
        ]
        # Heartbeats of a superseded incarnation are always ignored, so a promise not to
        # echo it holds without being renewed.
        promises += [
            PromiseView(instance, incarnation, now + PROMISE_LIFETIME_S)
            for instance, incarnation in self.ledger_incarnations
            if self._is_superseded(instance, incarnation)
        ]
        return tuple(promises)

    def _is_superseded(self, instance: str, incarnation: int) -> bool:
        if instance == self.identity.instance:
            return incarnation < self.identity.incarnation
        record = self.peers.get(instance)
        return record is not None and incarnation < record.incarnation

    def _add_constant_fields(self, heartbeat: fleet_pb2.Heartbeat) -> None:
        heartbeat.cell = self.identity.cell
        heartbeat.data_centre = self.identity.data_centre
        heartbeat.caller_address = self.identity.caller_address
        heartbeat.peer_address = self.identity.peer_address

    def _add_sequence_and_echo(
        self, heartbeat: fleet_pb2.Heartbeat, record: PeerRecord, now: float
    ) -> None:
        heartbeat.sequence = record.next_sequence
        record.sent_at_s[record.next_sequence] = now
        record.next_sequence += 1
        while len(record.sent_at_s) > MAX_SENT_TIMES_PER_PEER:
            record.sent_at_s.popitem(last=False)
        if self._promised_no_echo(record.instance, record.incarnation, now):
            return
        heartbeat.echo = record.sequence
        heartbeat.echo_incarnation = record.incarnation

    def _add_demands(self, heartbeat: fleet_pb2.Heartbeat) -> None:
        for workspace, tokens_per_s in self.demands.items():
            heartbeat.demands.add(
                workspace=workspace, milli_tokens_per_s=int(tokens_per_s * 1000)
            )

    def _promised_no_echo(self, instance: str, incarnation: int, now: float) -> bool:
        return self.promised_until_s.get((instance, incarnation), 0.0) > now

    def _discount_pause(self, now: float) -> None:
        log_warning("process_was_paused", silent_s=now - self.last_tick_s)
        for record in self.peers.values():
            record.last_heartbeat_at_s = max(
                record.last_heartbeat_at_s, now - HEARTBEAT_INTERVAL_S
            )

    def _update_suspicion(self, record: PeerRecord, now: float) -> None:
        silent_s = now - record.last_heartbeat_at_s
        if silent_s <= SUSPECT_AFTER_S:
            return
        if silent_s > REMOVE_PEER_AFTER_S and not self._in_ledger(record):
            del self.peers[record.instance]
            return
        key = (record.instance, record.incarnation)
        until_s = self.promised_until_s.get(key, 0.0)
        if until_s - now >= PROMISE_RENEW_BELOW_S:
            return
        if until_s <= now:
            log_warning("peer_suspected", peer=record.instance, silent_s=silent_s)
        self.promised_until_s[key] = now + PROMISE_LIFETIME_S

    def _drop_expired_promises(self, now: float) -> None:
        for key, until_s in list(self.promised_until_s.items()):
            if until_s <= now:
                del self.promised_until_s[key]

    def _in_ledger(self, record: PeerRecord) -> bool:
        return (record.instance, record.incarnation) in self.ledger_incarnations

    def _apply_ledger_member(self, member: fleet_pb2.Member, now: float) -> None:
        if member.instance == self.identity.instance:
            return
        record = self.peers.get(member.instance)
        if record is None:
            record = PeerRecord(member.instance, member.incarnation, now)
            self.peers[member.instance] = record
        if record.heartbeat_received:
            return
        record.data_centre = member.data_centre
        record.caller_address = member.caller_address
        record.peer_address = member.peer_address

    def _is_live(self, record: PeerRecord, now: float) -> bool:
        if (
            not record.heartbeat_received
            or now - record.last_heartbeat_at_s > SUSPECT_AFTER_S
        ):
            return False
        return record.state == fleet_pb2.LIVE

    def _choose_allocator(self, now: float) -> str | None:
        names = []
        if self._can_be_allocator(now):
            names.append(self.identity.instance)
        for record in self.peers.values():
            contact_age_s = now - record.store_contact_at_s
            if (
                self._is_live(record, now)
                and record.standing
                and contact_age_s <= STORE_CONTACT_MAX_AGE_S
            ):
                names.append(record.instance)
        ranked = rank_candidates("allocator", names)
        return ranked[0] if ranked else None

    def _can_be_allocator(self, now: float) -> bool:
        return (
            self.identity.state == fleet_pb2.LIVE
            and self.standing
            and now - self.store_contact_at_s <= STORE_CONTACT_MAX_AGE_S
        )

    def _own_view(self, now: float) -> MemberView:
        return MemberView(
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            state=self.identity.state,
            data_centre=self.identity.data_centre,
            caller_address=self.identity.caller_address,
            peer_address=self.identity.peer_address,
            generation=self.generation,
            ledger_version=self.ledger_version,
            last_heartbeat_at_s=now,
            echoed_heartbeat_sent_at_s=now,
            store_contact_age_s=now - self.store_contact_at_s,
            standing=self.standing,
            promises=self.announced_promises,
            demands=dict(self.demands),
        )

    def _peer_view(self, record: PeerRecord) -> MemberView:
        return MemberView(
            instance=record.instance,
            incarnation=record.incarnation,
            state=record.state,
            data_centre=record.data_centre,
            caller_address=record.caller_address,
            peer_address=record.peer_address,
            generation=record.generation,
            ledger_version=record.ledger_version,
            last_heartbeat_at_s=record.last_heartbeat_at_s,
            echoed_heartbeat_sent_at_s=record.echoed_heartbeat_sent_at_s,
            store_contact_age_s=record.last_heartbeat_at_s - record.store_contact_at_s,
            standing=record.standing,
            promises=record.promises,
            demands=dict(record.demands),
        )
