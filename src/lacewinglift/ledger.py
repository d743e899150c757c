"""The division of each workspace's quota, and what it gives this instance."""

import threading
from collections.abc import Callable, Iterable

from attrs import field, frozen

from lacewinglift.errors import LedgerError
from lacewinglift.generated.fleet_pb2 import Ledger, Member, WorkspaceShares
from lacewinglift.identity import Identity
from lacewinglift.logs import log_info, log_warning
from lacewinglift.member_views import MemberId
from lacewinglift.timers import Timers

WHOLE_PPM = 1_000_000


@frozen
class ShareChange:
    """A change of this instance's share of one workspace."""

    workspace: str
    before_ppm: int
    after_ppm: int


Listener = Callable[[list[ShareChange]], float]
"""Applies changes and returns the local time at which the earlier division has
stopped having an effect here."""


def member_id(member: Member) -> MemberId:
    """Return the identity of a ledger's member."""
    return MemberId(member.instance, member.incarnation)


def check_ledger(ledger: Ledger) -> None:
    """Raise `LedgerError` if a ledger breaks a rule of the division."""
    _check_members(ledger.members)
    for entry in ledger.workspaces:
        _check_shares(entry, ledger.members)
    _check_rosters(ledger)


def _fail(message: str) -> None:
    raise LedgerError(f"{message}; restore the ledger record of this cell")


def _check_members(members: Iterable[Member]) -> None:
    seen: set[MemberId] = set()
    active: set[str] = set()
    for member in members:
        if member_id(member) in seen:
            _fail(f"member {member.instance} is named twice")
        seen.add(member_id(member))
        if member.fenced_in_version:
            continue
        if member.instance in active:
            _fail(f"two incarnations of {member.instance} are not fenced")
        active.add(member.instance)


def _check_shares(entry: WorkspaceShares, members: list[Member]) -> None:
    seen: set[int] = set()
    for share in entry.shares:
        if share.member >= len(members) or share.member in seen:
            _fail(f"workspace {entry.workspace} has a share of an invalid member")
        seen.add(share.member)
        if share.granted_ppm > share.reserved_ppm:
            _fail(f"workspace {entry.workspace} grants more than it reserves")
        if share.granted_ppm and members[share.member].fenced_in_version:
            _fail(f"workspace {entry.workspace} grants to a fenced member")
    if sum(share.reserved_ppm for share in entry.shares) > WHOLE_PPM:
        _fail(f"workspace {entry.workspace} reserves more than the whole")


def _check_rosters(ledger: Ledger) -> None:
    versions = [roster.version for roster in ledger.rosters]
    if not versions or versions != sorted(set(versions)):
        _fail("the rosters are missing or out of order")
    if versions[-1] > ledger.version:
        _fail("a roster is newer than the ledger")
    names = {member.instance for member in ledger.members}
    if names != set(ledger.rosters[-1].instances):
        _fail("the newest roster differs from the members")


@frozen
class _Snapshot:
    """One ledger as one identity sees it; replaced as a whole."""

    identity: MemberId
    ledger: Ledger = field(factory=Ledger)
    own: dict[str, int] = field(factory=dict)
    holders: dict[str, list[Member]] = field(factory=dict)
    listed: bool = False
    """Whether the identity was named, and not fenced, in this or an earlier one."""
    fenced: bool = False


def _take_snapshot(identity: MemberId, ledger: Ledger, listed: bool) -> _Snapshot:
    own: dict[str, int] = {}
    holders: dict[str, list[Member]] = {}
    for entry in ledger.workspaces:
        for share in entry.shares:
            member = ledger.members[share.member]
            if not share.granted_ppm or member.fenced_in_version:
                continue
            if member_id(member) == identity:
                own[entry.workspace] = share.granted_ppm
            else:
                holders.setdefault(entry.workspace, []).append(member)
    named = [m for m in ledger.members if member_id(m) == identity]
    active = any(not member.fenced_in_version for member in named)
    # An incarnation that was named earlier and is missing now was removed, and its
    # share may have been given to others.
    fenced = not active and (listed or bool(named))
    return _Snapshot(identity, ledger, own, holders, listed or active, fenced)


class LedgerHolder:
    """The newest ledger known here, and this instance's part in it.

    Parameters
    ----------
    identity : Identity
        This instance; its owner renews the incarnation when it was fenced.

    timers : Timers
        Clock, for the time at which an earlier division ends.
    """

    def __init__(self, identity: Identity, timers: Timers) -> None:
        self.identity = identity
        self.timers = timers
        self.lock = threading.Lock()
        self.listeners: list[Listener] = []
        self._snapshot = _Snapshot(self._own_id())
        self._reported = 0
        self._settling: list[tuple[float, int]] = []

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with the changes of each ledger, before it is reported."""
        self.listeners.append(listener)

    def apply(self, ledger: Ledger) -> bool:
        """Put a ledger in force here if it is newer than the present one.

        Raises
        ------
        LedgerError
            If the ledger breaks a rule; the present one stays in force.
        """
        with self.lock:
            if ledger.version <= self._snapshot.ledger.version:
                return False
            check_ledger(ledger)
            own, before = self._own_id(), self._snapshot
            listed = before.listed and own == before.identity
            self._change(_take_snapshot(own, ledger, listed))
            log_info("ledger_applied", version=ledger.version)
            if self._snapshot.fenced and not before.fenced:
                log_warning("fenced", incarnation=own.incarnation)
            return True

    def ledger(self) -> Ledger:
        """Return the newest ledger known here, of version 0 if there is none."""
        return self._snapshot.ledger

    def version(self) -> int:
        """Return the newest version whose division alone has effect here.

        This is the version for heartbeats. It lags behind `ledger` while loans
        made under an earlier division may still be used.
        """
        with self.lock:
            now = self.timers.now()
            while self._settling and self._settling[0][0] <= now:
                self._reported = self._settling.pop(0)[1]
            return self._reported

    def is_fenced(self) -> bool:
        """Return whether this incarnation has lost its place in the ledger.

        The owner then renews the incarnation.
        """
        snapshot = self._snapshot
        return snapshot.fenced and snapshot.identity == self._own_id()

    def granted_ppm(self, workspace: str) -> int:
        """Return this instance's share in parts per million.

        A renewed incarnation has none until the next ledger.
        """
        return self._snapshot.own.get(workspace, 0)

    def lenders(self, workspace: str) -> list[Member]:
        """Return the other members that hold a share."""
        return self._snapshot.holders.get(workspace, [])

    def _own_id(self) -> MemberId:
        return MemberId(self.identity.instance, self.identity.incarnation)

    def _change(self, after: _Snapshot) -> None:
        before, self._snapshot = self._snapshot, after
        changes = [
            ShareChange(name, before.own.get(name, 0), after.own.get(name, 0))
            for name in sorted(before.own.keys() | after.own.keys())
            if before.own.get(name, 0) != after.own.get(name, 0)
        ]
        settled = self.timers.now()
        for listener in self.listeners:
            settled = max(settled, listener(changes))
        if self._settling:
            settled = max(settled, self._settling[-1][0])
        self._settling.append((settled, after.ledger.version))
