"""Decides when a silent holder's share may be given to others."""

from collections.abc import Iterable, Sequence

from attrs import define, field

from lacewinglift.generated.fleet_pb2 import Ledger, Roster
from lacewinglift.ledger import member_id
from lacewinglift.member_views import MemberId, MemberView
from lacewinglift.members import SUSPECT_AFTER_S

# An echo supports standing for 4 s, as does an answer of the store; the rest covers
# clocks that run at different rates and the delivery of messages.
FENCE_WAIT_S = 6.0
# Enough for the write, the wait and the write of the release, with repetitions.
PROMISE_LEFT_S = 20.0


def is_majority(names: Iterable[str], roster: Iterable[str]) -> bool:
    """Return whether `names` contain a strict majority of a roster."""
    members = set(roster)
    return 2 * len(members & set(names)) > len(members)


def _in_all(names: Iterable[str], rosters: Sequence[Roster]) -> bool:
    counted = set(names)
    return all(is_majority(counted, roster.instances) for roster in rosters)


@define
class _Watch:
    """The wait for one fence."""

    started_s: float
    promises: dict[MemberId, float]
    """Until when each counted promise is known to hold."""
    known_s: float | None = None
    """When a majority was first seen to promise and to have applied the fence."""


@define
class Fencing:
    """What one allocator has observed of holders; a new allocator starts anew."""

    applied: dict[MemberId, int] = field(factory=dict)
    """Newest version that each incarnation is known to have applied."""
    watches: dict[MemberId, _Watch] = field(factory=dict)
    written_s: dict[int, float] = field(factory=dict)

    def note_written(self, version: int, now_s: float) -> None:
        """Record when the store acknowledged a version of this allocator."""
        self.written_s[version] = now_s
        for old in sorted(self.written_s)[:-100]:
            del self.written_s[old]

    def observe(
        self, ledger: Ledger, views: Sequence[MemberView], now_s: float
    ) -> None:
        """Take in the newest views and move the waits on."""
        members = {member_id(member) for member in ledger.members}
        self._note_applied(members, views)
        fenced = [member for member in ledger.members if member.fenced_in_version]
        kept = {member_id(member) for member in fenced}
        for identity in self.watches.keys() - kept:
            del self.watches[identity]
        for member in fenced:
            self._observe_fence(
                member_id(member), member.fenced_in_version, ledger, views, now_s
            )

    def fenceable(
        self, ledger: Ledger, views: Sequence[MemberView], now_s: float
    ) -> list[MemberId]:
        """Return the unfenced members against whom enough promises are in force."""
        result = []
        for member in ledger.members:
            identity = member_id(member)
            if member.fenced_in_version:
                continue
            promisers = _promises_against(identity, views, now_s, PROMISE_LEFT_S)
            names = [promiser.instance for promiser in promisers]
            if _in_all(names, self.rosters_of(ledger, identity)):
                result.append(identity)
        return result

    def releasable(
        self, ledger: Ledger, views: Sequence[MemberView], now_s: float
    ) -> list[MemberId]:
        """Return the fenced members that can no longer be using their shares."""
        return [
            identity
            for identity, watch in self.watches.items()
            if now_s - watch.started_s >= FENCE_WAIT_S
            and self._is_confirmed(watch, self.rosters_of(ledger, identity), views)
        ]

    def rosters_of(self, ledger: Ledger, identity: MemberId) -> list[Roster]:
        """Return the rosters that a holder may still be using."""
        return _rosters_from(ledger, self.applied.get(identity, 0))

    def rosters_in_use(self, ledger: Ledger) -> list[Roster]:
        """Return the rosters that some member may still be using."""
        versions = [self.applied.get(member_id(member), 0) for member in ledger.members]
        return _rosters_from(ledger, min(versions, default=ledger.version))

    def _note_applied(
        self, members: set[MemberId], views: Sequence[MemberView]
    ) -> None:
        for view in views:
            identity = MemberId(view.instance, view.incarnation)
            if view.ledger_version > self.applied.get(identity, 0):
                self.applied[identity] = view.ledger_version
        for identity in self.applied.keys() - members:
            del self.applied[identity]

    def _observe_fence(
        self,
        identity: MemberId,
        version: int,
        ledger: Ledger,
        views: Sequence[MemberView],
        now_s: float,
    ) -> None:
        watch = self.watches.get(identity)
        if watch is None:
            started_s = self.written_s.get(version, now_s)
            promises = _promises_against(identity, views, now_s, PROMISE_LEFT_S)
            watch = self.watches[identity] = _Watch(started_s, promises)
        watch.promises = _still_in_force(watch.promises, identity, views, now_s)
        rosters = self.rosters_of(ledger, identity)
        if not _in_all([promiser.instance for promiser in watch.promises], rosters):
            # An echo may have been sent between two promises, so the wait begins
            # again with those that are in force now.
            promises = _promises_against(identity, views, now_s, PROMISE_LEFT_S)
            watch = self.watches[identity] = _Watch(now_s, promises)
        informed = _informed(watch, version, views)
        if not _in_all(informed, rosters):
            watch.known_s = None
        elif watch.known_s is None:
            watch.known_s = now_s

    def _is_confirmed(
        self, watch: _Watch, rosters: Sequence[Roster], views: Sequence[MemberView]
    ) -> bool:
        """Return whether the counted members were all alive at one moment.

        A member that has restarted since its last heartbeat has lost its promise,
        so each must have echoed something that was sent after all were known.
        """
        if watch.known_s is None:
            return False
        confirmed = [
            view.instance
            for view in views
            if MemberId(view.instance, view.incarnation) in watch.promises
            and view.echoed_heartbeat_sent_at_s >= watch.known_s
        ]
        return _in_all(confirmed, rosters)


def _rosters_from(ledger: Ledger, version: int) -> list[Roster]:
    """Return the roster in force at `version` and all later ones."""
    rosters = list(ledger.rosters)
    while len(rosters) > 1 and rosters[1].version <= version:
        rosters.pop(0)
    return rosters


def _promises_against(
    identity: MemberId, views: Sequence[MemberView], now_s: float, left_s: float
) -> dict[MemberId, float]:
    """Return who promises not to echo `identity`, and until when.

    A newer incarnation of the same instance does not count, since the holder counts
    itself for its own quorum.
    """
    return {
        MemberId(view.instance, view.incarnation): promise.until_s
        for view in views
        for promise in view.promises
        if view.instance != identity.instance
        and now_s - view.last_heartbeat_at_s <= SUSPECT_AFTER_S
        and promise.instance == identity.instance
        and promise.incarnation == identity.incarnation
        and promise.until_s >= now_s + left_s
    }


def _still_in_force(
    promises: dict[MemberId, float],
    identity: MemberId,
    views: Sequence[MemberView],
    now_s: float,
) -> dict[MemberId, float]:
    """Return the counted promises that have been in force all the time."""
    renewed: dict[MemberId, float] = {}
    for view in views:
        promiser = MemberId(view.instance, view.incarnation)
        if promises.get(promiser, 0.0) <= now_s:
            continue
        until_s = promises[promiser]
        for promise in view.promises:
            if (promise.instance, promise.incarnation) == (
                identity.instance,
                identity.incarnation,
            ):
                until_s = max(until_s, promise.until_s)
        renewed[promiser] = until_s
    return renewed


def _informed(watch: _Watch, version: int, views: Sequence[MemberView]) -> list[str]:
    return [
        view.instance
        for view in views
        if MemberId(view.instance, view.incarnation) in watch.promises
        and view.ledger_version >= version
    ]
