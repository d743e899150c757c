"""Decides when the share of a silent holder may be granted to others.

A silent holder is first fenced in the ledger, once a majority has promised not to
echo its heartbeats. Its share is released when the holder must have lost its
standing, since it can no longer get echoes from a majority.
"""

from collections.abc import Iterable, Sequence

from attrs import define, field

from lacewinglift.generated.fleet_pb2 import Ledger, Roster
from lacewinglift.ledger import member_id
from lacewinglift.member_views import MemberId, MemberView
from lacewinglift.members import SUSPECT_AFTER_S

# Minimum time from a fence to the release of the share. An echo or a reply of the
# store gives an instance standing for 4 s; the rest covers clocks that run at
# different rates and the delivery of messages.
FENCE_WAIT_S = 6.0
# A promise counts only if it holds for at least this much longer, which is enough
# to write the fence, wait, and write the release, with retries.
MIN_PROMISE_REMAINING_S = 20.0


def is_majority(names: Iterable[str], roster: Iterable[str]) -> bool:
    """Return whether `names` contains a strict majority of a roster."""
    members = set(roster)
    return 2 * len(members & set(names)) > len(members)


def _is_majority_of_each(names: Iterable[str], rosters: Sequence[Roster]) -> bool:
    counted = set(names)
    return all(is_majority(counted, roster.instances) for roster in rosters)


@define
class _PendingFence:
    """A fence whose share has not been released."""

    started_at_s: float
    promises: dict[MemberId, float]
    """Local time until which each promise certainly holds, by promising member."""
    majority_applied_at_s: float | None = None
    """Since when a majority is known to have promised and applied the fence."""


@define
class Fencing:
    """Progress of fences as observed by one allocator.

    It is kept in memory only, so a new allocator starts all waits again.
    """

    applied_versions: dict[MemberId, int] = field(factory=dict)
    """Newest ledger version that each incarnation is known to have applied."""
    pending_fences: dict[MemberId, _PendingFence] = field(factory=dict)
    written_at_s: dict[int, float] = field(factory=dict)
    """Local time at which the store acknowledged each version written here."""

    def record_written(self, version: int, now_s: float) -> None:
        """Record when the store acknowledged a version written by this allocator."""
        self.written_at_s[version] = now_s
        for old in sorted(self.written_at_s)[:-100]:
            del self.written_at_s[old]

    def observe(
        self, ledger: Ledger, views: Sequence[MemberView], now_s: float
    ) -> None:
        """Update the applied versions and the pending fences from the newest views."""
        members = {member_id(member) for member in ledger.members}
        self._record_applied_versions(members, views)
        fenced = [member for member in ledger.members if member.fenced_in_version]
        kept = {member_id(member) for member in fenced}
        for identity in self.pending_fences.keys() - kept:
            del self.pending_fences[identity]
        for member in fenced:
            self._observe_fence(
                member_id(member), member.fenced_in_version, ledger, views, now_s
            )

    def fenceable(
        self, ledger: Ledger, views: Sequence[MemberView], now_s: float
    ) -> list[MemberId]:
        """Return the unfenced members that a majority promises not to echo."""
        result = []
        for member in ledger.members:
            identity = member_id(member)
            if member.fenced_in_version:
                continue
            promisers = _promises_not_to_echo(
                identity, views, now_s, MIN_PROMISE_REMAINING_S
            )
            names = [promiser.instance for promiser in promisers]
            if _is_majority_of_each(names, self.rosters_known_to(ledger, identity)):
                result.append(identity)
        return result

    def releasable(
        self, ledger: Ledger, views: Sequence[MemberView], now_s: float
    ) -> list[MemberId]:
        """Return the fenced members that can no longer use their shares."""
        return [
            identity
            for identity, fence in self.pending_fences.items()
            if now_s - fence.started_at_s >= FENCE_WAIT_S
            and self._is_confirmed(
                fence, self.rosters_known_to(ledger, identity), views
            )
        ]

    def rosters_known_to(self, ledger: Ledger, identity: MemberId) -> list[Roster]:
        """Return the rosters that one holder may use to count its majority."""
        return _rosters_since(ledger, self.applied_versions.get(identity, 0))

    def rosters_in_use(self, ledger: Ledger) -> list[Roster]:
        """Return the rosters that any member may use to count its majority."""
        versions = [
            self.applied_versions.get(member_id(member), 0) for member in ledger.members
        ]
        return _rosters_since(ledger, min(versions, default=ledger.version))

    def _record_applied_versions(
        self, members: set[MemberId], views: Sequence[MemberView]
    ) -> None:
        for view in views:
            identity = MemberId(view.instance, view.incarnation)
            if view.ledger_version > self.applied_versions.get(identity, 0):
                self.applied_versions[identity] = view.ledger_version
        for identity in self.applied_versions.keys() - members:
            del self.applied_versions[identity]

    def _observe_fence(
        self,
        identity: MemberId,
        version: int,
        ledger: Ledger,
        views: Sequence[MemberView],
        now_s: float,
    ) -> None:
        fence = self.pending_fences.get(identity)
        if fence is None:
            started_at_s = self.written_at_s.get(version, now_s)
            promises = _promises_not_to_echo(
                identity, views, now_s, MIN_PROMISE_REMAINING_S
            )
            fence = self.pending_fences[identity] = _PendingFence(
                started_at_s, promises
            )
        fence.promises = _unexpired_promises(fence.promises, identity, views, now_s)
        rosters = self.rosters_known_to(ledger, identity)
        if not _is_majority_of_each(
            [promiser.instance for promiser in fence.promises], rosters
        ):
            # A promise has expired. The member may have sent an echo before it
            # promised again, so the wait restarts with the present promises.
            promises = _promises_not_to_echo(
                identity, views, now_s, MIN_PROMISE_REMAINING_S
            )
            fence = self.pending_fences[identity] = _PendingFence(now_s, promises)
        promisers_that_applied = _promisers_that_applied(fence, version, views)
        if not _is_majority_of_each(promisers_that_applied, rosters):
            fence.majority_applied_at_s = None
        elif fence.majority_applied_at_s is None:
            fence.majority_applied_at_s = now_s

    def _is_confirmed(
        self,
        fence: _PendingFence,
        rosters: Sequence[Roster],
        views: Sequence[MemberView],
    ) -> bool:
        """Return whether the promises of a majority were in force at the same time.

        A member that has restarted since its last heartbeat has lost its promise.
        So a promise counts only if its member has echoed a heartbeat that was sent
        after the majority was known.
        """
        if fence.majority_applied_at_s is None:
            return False
        confirmed = [
            view.instance
            for view in views
            if MemberId(view.instance, view.incarnation) in fence.promises
            and view.echoed_heartbeat_sent_at_s >= fence.majority_applied_at_s
        ]
        return _is_majority_of_each(confirmed, rosters)


def _rosters_since(ledger: Ledger, version: int) -> list[Roster]:
    """Return the roster in force at `version` and all later ones."""
    rosters = list(ledger.rosters)
    while len(rosters) > 1 and rosters[1].version <= version:
        rosters.pop(0)
    return rosters


def _promises_not_to_echo(
    identity: MemberId,
    views: Sequence[MemberView],
    now_s: float,
    min_remaining_s: float,
) -> dict[MemberId, float]:
    """Return the members that promise not to echo `identity`, and until when.

    A newer incarnation of the same instance is left out, since a holder counts
    itself towards its own quorum.
    """
    return {
        MemberId(view.instance, view.incarnation): promise.until_s
        for view in views
        for promise in view.promises
        if view.instance != identity.instance
        and now_s - view.last_heartbeat_at_s <= SUSPECT_AFTER_S
        and promise.instance == identity.instance
        and promise.incarnation == identity.incarnation
        and promise.until_s >= now_s + min_remaining_s
    }


def _unexpired_promises(
    promises: dict[MemberId, float],
    identity: MemberId,
    views: Sequence[MemberView],
    now_s: float,
) -> dict[MemberId, float]:
    """Return the promises that have been in force without a gap.

    Promises that were renewed get their new end.
    """
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


def _promisers_that_applied(
    fence: _PendingFence, version: int, views: Sequence[MemberView]
) -> list[str]:
    return [
        view.instance
        for view in views
        if MemberId(view.instance, view.incarnation) in fence.promises
        and view.ledger_version >= version
    ]
