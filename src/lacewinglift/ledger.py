"""The local copy of the ledger, which divides workspace quotas among instances."""

import threading
from collections.abc import Callable, Iterable

from attrs import field, frozen

from lacewinglift.errors import LedgerError
from lacewinglift.generated.fleet_pb2 import Ledger, Member, WorkspaceShares
from lacewinglift.identity import Identity
from lacewinglift.logs import log_info, log_warning
from lacewinglift.member_views import MemberId
from lacewinglift.timers import Timers

TOTAL_PPM = 1_000_000


@frozen
class ShareChange:
    """A change of this instance's share of one workspace."""

    workspace: str
    before_ppm: int
    after_ppm: int


ShareChangeListener = Callable[[list[ShareChange]], float]
"""Applies changes of this instance's shares.

Returns the local time from which the earlier shares have no effect here any more.
"""


def member_id(member: Member) -> MemberId:
    """Return the instance and incarnation of a ledger's member."""
    return MemberId(member.instance, member.incarnation)


def check_ledger(ledger: Ledger) -> None:
    """Raise `LedgerError` if a ledger is inconsistent or exceeds a quota."""
    _check_members(ledger.members)
    for entry in ledger.workspaces:
        _check_shares(entry, ledger.members)
    _check_rosters(ledger)


def _raise_ledger_error(message: str) -> None:
    raise LedgerError(f"{message}; restore the ledger record of this cell")


def _check_members(members: Iterable[Member]) -> None:
    seen: set[MemberId] = set()
    active: set[str] = set()
    for member in members:
        if member_id(member) in seen:
            _raise_ledger_error(f"member {member.instance} is listed twice")
        seen.add(member_id(member))
        if member.fenced_in_version:
            continue
        if member.instance in active:
            _raise_ledger_error(f"two incarnations of {member.instance} are not fenced")
        active.add(member.instance)


def _check_shares(entry: WorkspaceShares, members: list[Member]) -> None:
    seen: set[int] = set()
    for share in entry.shares:
        if share.member >= len(members) or share.member in seen:
            _raise_ledger_error(
                f"workspace {entry.workspace} lists an unknown or repeated member"
            )
        seen.add(share.member)
        if share.granted_ppm > share.reserved_ppm:
            _raise_ledger_error(
                f"a share of workspace {entry.workspace} grants more than it reserves"
            )
        if share.granted_ppm and members[share.member].fenced_in_version:
            _raise_ledger_error(
                f"workspace {entry.workspace} grants a share to a fenced member"
            )
    if sum(share.reserved_ppm for share in entry.shares) > TOTAL_PPM:
        _raise_ledger_error(f"workspace {entry.workspace} reserves more than its quota")


def _check_rosters(ledger: Ledger) -> None:
    versions = [roster.version for roster in ledger.rosters]
    if not versions or versions != sorted(set(versions)):
        _raise_ledger_error("the rosters are missing or not in order of version")
    if versions[-1] > ledger.version:
        _raise_ledger_error("a roster is newer than the ledger")
    names = {member.instance for member in ledger.members}
    if names != set(ledger.rosters[-1].instances):
        _raise_ledger_error("the newest roster differs from the list of members")


@frozen
class _LedgerSnapshot:
    """One ledger from the point of view of one incarnation; never modified."""

    identity: MemberId
    ledger: Ledger = field(factory=Ledger)
    own_ppm: dict[str, int] = field(factory=dict)
    """Share of this incarnation, by workspace."""
    other_holders: dict[str, list[Member]] = field(factory=dict)
    """Other members with a share, by workspace."""
    ever_active: bool = False
    """Whether this or an earlier ledger lists the incarnation as not fenced."""
    fenced: bool = False


def _make_snapshot(
    identity: MemberId, ledger: Ledger, ever_active: bool
) -> _LedgerSnapshot:
    own_ppm: dict[str, int] = {}
    other_holders: dict[str, list[Member]] = {}
    for entry in ledger.workspaces:
        for share in entry.shares:
            member = ledger.members[share.member]
            if not share.granted_ppm or member.fenced_in_version:
                continue
            if member_id(member) == identity:
                own_ppm[entry.workspace] = share.granted_ppm
            else:
                other_holders.setdefault(entry.workspace, []).append(member)
    listed = [m for m in ledger.members if member_id(m) == identity]
    active = any(not member.fenced_in_version for member in listed)
    # An incarnation that an earlier ledger listed and this one does not was removed,
    # and its share may have been given to others.
    fenced = not active and (ever_active or bool(listed))
    return _LedgerSnapshot(
        identity, ledger, own_ppm, other_holders, ever_active or active, fenced
    )


class LocalLedger:
    """The newest ledger known to this instance, and the instance's shares in it.

    Parameters
    ----------
    identity : Identity
        This instance; the owner of the identity renews the incarnation after it
        has been fenced.

    timers : Timers
        Clock, for the time at which earlier shares have no effect any more.
    """

    def __init__(self, identity: Identity, timers: Timers) -> None:
        self.identity = identity
        self.timers = timers
        self.lock = threading.Lock()
        self.listeners: list[ShareChangeListener] = []
        self._snapshot = _LedgerSnapshot(self._own_id())
        self._effective_version = 0
        # Versions that are not fully in effect yet, as (effective_at_s, version).
        self._pending_versions: list[tuple[float, int]] = []

    def subscribe(self, listener: ShareChangeListener) -> None:
        """Call `listener` with the changes of each ledger that is applied.

        It is called before `effective_version` returns the version of that ledger.
        """
        self.listeners.append(listener)

    def apply(self, ledger: Ledger) -> bool:
        """Apply a ledger if it is newer than the present one; return whether it was.

        Raises
        ------
        LedgerError
            If the ledger is invalid; the present one stays in force.
        """
        with self.lock:
            if ledger.version <= self._snapshot.ledger.version:
                return False
            check_ledger(ledger)
            identity, before = self._own_id(), self._snapshot
            ever_active = before.ever_active and identity == before.identity
            self._replace_snapshot(_make_snapshot(identity, ledger, ever_active))
            log_info("ledger_applied", version=ledger.version)
            if self._snapshot.fenced and not before.fenced:
                log_warning("fenced", incarnation=identity.incarnation)
            return True

    def ledger(self) -> Ledger:
        """Return the newest ledger known here; it has version 0 if there is none."""
        return self._snapshot.ledger

    def effective_version(self) -> int:
        """Return the newest version that has fully replaced all earlier ones here.

        This is the version to report in heartbeats. It lags behind `ledger` while
        loans made under an earlier ledger may still be used.
        """
        with self.lock:
            now = self.timers.now()
            while self._pending_versions and self._pending_versions[0][0] <= now:
                self._effective_version = self._pending_versions.pop(0)[1]
            return self._effective_version

    def is_fenced(self) -> bool:
        """Return whether this incarnation was fenced or removed from the ledger.

        The owner of the identity must then renew the incarnation.
        """
        snapshot = self._snapshot
        return snapshot.fenced and snapshot.identity == self._own_id()

    def granted_ppm(self, workspace: str) -> int:
        """Return this instance's share in parts per million.

        A renewed incarnation has no share until a ledger grants it one.
        """
        return self._snapshot.own_ppm.get(workspace, 0)

    def lenders(self, workspace: str) -> list[Member]:
        """Return the other members that hold a share of a workspace's quota."""
        return self._snapshot.other_holders.get(workspace, [])

    def _own_id(self) -> MemberId:
        return MemberId(self.identity.instance, self.identity.incarnation)

    def _replace_snapshot(self, after: _LedgerSnapshot) -> None:
        before, self._snapshot = self._snapshot, after
        changes = [
            ShareChange(name, before.own_ppm.get(name, 0), after.own_ppm.get(name, 0))
            for name in sorted(before.own_ppm.keys() | after.own_ppm.keys())
            if before.own_ppm.get(name, 0) != after.own_ppm.get(name, 0)
        ]
        effective_at_s = self.timers.now()
        for listener in self.listeners:
            effective_at_s = max(effective_at_s, listener(changes))
        if self._pending_versions:
            effective_at_s = max(effective_at_s, self._pending_versions[-1][0])
        self._pending_versions.append((effective_at_s, after.ledger.version))
