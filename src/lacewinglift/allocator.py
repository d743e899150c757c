"""Decides the next ledger of a cell: joins, moves of shares, fences."""

from collections.abc import Sequence

from attrs import define, evolve, field

from lacewinglift._division import (
    FREE_PPM,
    Holding,
    Quota,
    is_short,
    is_worth_moving,
    next_holdings,
    target_shares,
)
from lacewinglift._fencing import Fencing
from lacewinglift.configuration import Configuration
from lacewinglift.generated import fleet_pb2
from lacewinglift.generated.fleet_pb2 import (
    Ledger,
    Member,
    Roster,
    Share,
    WorkspaceShares,
)
from lacewinglift.homes import home_instances
from lacewinglift.ledger import WHOLE_PPM, member_id
from lacewinglift.logs import log_info
from lacewinglift.member_views import MemberId, MemberView
from lacewinglift.members import SUSPECT_AFTER_S
from lacewinglift.rendezvous import rank_candidates

WRITE_INTERVAL_S = 1.0

Holdings = dict[MemberId, Holding]


@define
class _Draft:
    """The next ledger while it is being made."""

    version: int
    members: dict[MemberId, Member]
    workspaces: dict[str, Holdings]
    rosters: list[Roster]

    @classmethod
    def after(cls, ledger: Ledger, rosters: Sequence[Roster]) -> "_Draft":
        members = {}
        for member in ledger.members:
            copy = Member()
            copy.CopyFrom(member)
            members[member_id(member)] = copy
        identities = list(members)
        workspaces = {
            entry.workspace: {
                identities[share.member]: Holding(share.granted_ppm, share.reserved_ppm)
                for share in entry.shares
            }
            for entry in ledger.workspaces
        }
        return cls(ledger.version + 1, members, workspaces, list(rosters))

    def active(self) -> dict[str, MemberId]:
        """Return the incarnation of each instance that is not fenced."""
        return {
            identity.instance: identity
            for identity, member in self.members.items()
            if not member.fenced_in_version
        }

    def holds_anything(self, identity: MemberId) -> bool:
        return any(identity in holdings for holdings in self.workspaces.values())

    def fence(self, identity: MemberId) -> None:
        self.members[identity].fenced_in_version = self.version
        for holdings in self.workspaces.values():
            if identity in holdings:
                holdings[identity].granted_ppm = 0

    def remove(self, identity: MemberId) -> None:
        del self.members[identity]
        for holdings in self.workspaces.values():
            holdings.pop(identity, None)

    def finish(self) -> Ledger:
        names = sorted({identity.instance for identity in self.members})
        if not self.rosters or list(self.rosters[-1].instances) != names:
            self.rosters.append(Roster(version=self.version, instances=names))
        ordered = sorted(self.members, key=lambda i: (i.instance, i.incarnation))
        index = {identity: number for number, identity in enumerate(ordered)}
        return Ledger(
            version=self.version,
            members=[self.members[identity] for identity in ordered],
            workspaces=[
                _workspace_shares(name, self.workspaces[name], index)
                for name in sorted(self.workspaces)
                if self.workspaces[name]
            ],
            rosters=self.rosters,
        )


def _workspace_shares(
    name: str, holdings: Holdings, index: dict[MemberId, int]
) -> WorkspaceShares:
    shares = [
        Share(
            member=index[identity],
            granted_ppm=holding.granted_ppm,
            reserved_ppm=holding.reserved_ppm,
        )
        for identity, holding in holdings.items()
    ]
    shares.sort(key=lambda share: share.member)
    return WorkspaceShares(workspace=name, shares=shares)


@define
class _Situation:
    """What the next version depends on."""

    ledger: Ledger
    live: dict[MemberId, MemberView]
    """Members that are heard and live, by the incarnation heard."""
    views: Sequence[MemberView]
    configuration: Configuration
    now_s: float

    def settled(self) -> set[MemberId]:
        """Return the incarnations that have applied the present ledger."""
        return {
            MemberId(view.instance, view.incarnation)
            for view in self.views
            if view.ledger_version >= self.ledger.version
        }


@define(eq=False)
class Allocator:
    """Plans the next ledger of one cell.

    Any member may plan at any time, since the store accepts only the successor of
    the version that the plan was made from. One instance of this class must see
    every call, because it measures waits from what it has seen itself.

    Parameters
    ----------
    cell : str, default="main"
        The cell whose ledger this is; workspaces of other cells are left out.
    """

    cell: str = "main"
    fencing: Fencing = field(factory=Fencing)
    last_write_s: float | None = None
    _homes: dict[str, tuple[str, ...]] = field(factory=dict, alias="homes")
    _homes_of: object = field(default=None, alias="homes_of")

    def note_written(self, version: int, now_s: float) -> None:
        """Record that the store has acknowledged a version planned here.

        To be called also when the reply was lost and reading back shows that the
        write took effect, with the time of the answer.
        """
        self.last_write_s = now_s
        self.fencing.note_written(version, now_s)

    def plan(
        self,
        ledger: Ledger | None,
        views: Sequence[MemberView],
        configuration: Configuration,
        now_s: float,
    ) -> Ledger | None:
        """Return the ledger to write next, or None if nothing is to change.

        Parameters
        ----------
        ledger : Ledger or None
            The record in the store, None where there is none. A version that was
            not seen in the store, such as one whose write failed, must not be used.

        views : sequence of MemberView
            What is known of each member, the own entry included.

        configuration : Configuration
            The configuration in force.

        now_s : float
            Local monotonic time.
        """
        present = ledger if ledger is not None else Ledger()
        if any(view.ledger_version > present.version for view in views):
            return None  # the record read is old, or the store has lost it
        self.fencing.observe(present, views, now_s)
        if self.last_write_s is not None and (
            now_s - self.last_write_s < WRITE_INTERVAL_S
        ):
            return None
        live = {
            MemberId(view.instance, view.incarnation): view
            for view in views
            if view.state == fleet_pb2.LIVE
            and now_s - view.last_heartbeat_at_s <= SUSPECT_AFTER_S
        }
        situation = _Situation(present, live, views, configuration, now_s)
        return self._next_ledger(situation)

    def _next_ledger(self, situation: _Situation) -> Ledger | None:
        rosters = self.fencing.rosters_in_use(situation.ledger)
        draft = _Draft.after(situation.ledger, rosters)
        changed = self._change_members(draft, situation)
        changed |= self._change_shares(draft, situation)
        if not changed or not draft.members:
            return None
        return draft.finish()

    def _change_members(self, draft: _Draft, situation: _Situation) -> bool:
        before = len(draft.members)
        changed = self._release_fenced(draft, situation)
        changed |= self._fence(draft, situation)
        changed |= _retire(draft, situation)
        changed |= _join(draft, situation)
        return changed or len(draft.members) != before

    def _release_fenced(self, draft: _Draft, situation: _Situation) -> bool:
        released = self.fencing.releasable(
            situation.ledger, situation.views, situation.now_s
        )
        for identity in released:
            log_info("share_released", member=identity.instance)
            draft.remove(identity)
        return bool(released)

    def _fence(self, draft: _Draft, situation: _Situation) -> bool:
        fenced = self.fencing.fenceable(
            situation.ledger, situation.views, situation.now_s
        )
        for identity in fenced:
            log_info("member_fenced", member=identity.instance)
            draft.fence(identity)
        return bool(fenced)

    def _change_shares(self, draft: _Draft, situation: _Situation) -> bool:
        parties = _Parties.of(draft, situation)
        self._forget_old_homes(parties.live, situation.configuration)
        known = self._workspaces_of_cell(situation.configuration)
        demands = _demands_by_workspace(parties.live)
        changed = False
        for name in sorted(known | draft.workspaces.keys()):
            quota = None
            if name in known:
                workspace = situation.configuration.workspaces[name]
                quota = Quota(
                    workspace.rate_per_s,
                    workspace.burst,
                    self._homes_for(name, parties.live, situation.configuration),
                    demands.get(name, {}),
                )
            holdings = draft.workspaces.get(name, {})
            after = _next_division(quota, holdings, parties)
            if after != holdings:
                draft.workspaces[name] = after
                changed = True
        return changed

    def _workspaces_of_cell(self, configuration: Configuration) -> set[str]:
        cells = configuration.fleet.cells
        if len(cells) < 2:
            return set(configuration.workspaces)
        return {
            name
            for name in configuration.workspaces
            if rank_candidates(name, cells)[0] == self.cell
        }

    def _forget_old_homes(
        self, live: dict[MemberId, MemberView], configuration: Configuration
    ) -> None:
        key = (
            frozenset((view.instance, view.data_centre) for view in live.values()),
            configuration.fleet.homes_per_data_centre,
        )
        if key != self._homes_of:
            self._homes_of = key
            self._homes.clear()

    def _homes_for(
        self,
        name: str,
        live: dict[MemberId, MemberView],
        configuration: Configuration,
    ) -> tuple[str, ...]:
        homes = self._homes.get(name)
        if homes is None:
            centres = {view.instance: view.data_centre for view in live.values()}
            per_centre = configuration.fleet.homes_per_data_centre
            homes = tuple(home_instances(name, centres, per_centre))
            self._homes[name] = homes
        return homes


@define
class _Parties:
    """The members of a draft by what may be done to their shares."""

    active: dict[str, MemberId]
    live: dict[MemberId, MemberView]
    leaving: set[MemberId]
    settled: set[MemberId]

    @classmethod
    def of(cls, draft: _Draft, situation: _Situation) -> "_Parties":
        active = draft.active()
        present = set(active.values())
        live = {
            identity: view
            for identity, view in situation.live.items()
            if identity in present
        }
        # What the fence of this version takes away, its holder has not applied.
        newly_fenced = {
            identity
            for identity, member in draft.members.items()
            if member.fenced_in_version == draft.version
        }
        settled = situation.settled() - newly_fenced
        return cls(active, live, _leaving(situation) & present, settled)

    def stuck_ppm(self, holdings: Holdings) -> int:
        """Return what silent and fenced members keep reserved."""
        return sum(
            holding.reserved_ppm
            for identity, holding in holdings.items()
            if identity not in self.live and identity not in self.leaving
        )

    def granted_by_name(self, holdings: Holdings) -> dict[str, int]:
        """Return what each live member is granted."""
        return {
            identity.instance: holding.granted_ppm
            for identity, holding in holdings.items()
            if identity in self.live
        }

    def has_loose_parts(self, holdings: Holdings) -> bool:
        """Return whether something can be given to others, or is to be taken."""
        free = WHOLE_PPM
        for identity, holding in holdings.items():
            settled = identity in self.settled
            free -= holding.granted_ppm if settled else holding.reserved_ppm
            if identity in self.leaving and holding.granted_ppm:
                return True
            if settled and not holding.granted_ppm:
                return True
        return free >= FREE_PPM


def _demands_by_workspace(
    live: dict[MemberId, MemberView],
) -> dict[str, dict[str, float]]:
    demands: dict[str, dict[str, float]] = {}
    for view in live.values():
        for workspace, per_s in view.demands.items():
            demands.setdefault(workspace, {})[view.instance] = per_s
    return demands


def _retire(draft: _Draft, situation: _Situation) -> bool:
    """Remove members that are leaving or replaced and hold nothing any more."""
    newest = {view.instance: view.incarnation for view in situation.views}
    leaving = _leaving(situation)
    gone = [
        identity
        for identity in draft.members
        if (
            identity in leaving
            or newest.get(identity.instance, 0) > identity.incarnation
        )
        and not draft.holds_anything(identity)
    ]
    for identity in gone:
        draft.remove(identity)
    return bool(gone)


def _leaving(situation: _Situation) -> set[MemberId]:
    return {
        MemberId(view.instance, view.incarnation)
        for view in situation.views
        if view.state == fleet_pb2.LEAVING
    }


def _join(draft: _Draft, situation: _Situation) -> bool:
    """Add live members that are not in the ledger.

    An incarnation that was once removed learns so from the present version, and
    takes a new one. One that has not applied the present version may still be
    using a share that it was given before.
    """
    settled = situation.settled()
    joined = False
    for identity, view in sorted(
        situation.live.items(), key=lambda item: item[0].instance
    ):
        if identity in draft.members or identity not in settled:
            continue
        others = [i for i in draft.members if i.instance == identity.instance]
        if any(other.incarnation > identity.incarnation for other in others):
            continue
        if any(not draft.members[other].fenced_in_version for other in others):
            continue
        draft.members[identity] = Member(
            instance=view.instance,
            incarnation=view.incarnation,
            data_centre=view.data_centre,
            caller_address=view.caller_address,
            peer_address=view.peer_address,
        )
        joined = True
    return joined


def _next_division(
    quota: Quota | None,
    holdings: Holdings,
    parties: _Parties,
) -> Holdings:
    """Return the holdings of one workspace in the next version.

    Members that are silent or fenced keep what they have. Those that are leaving
    lose their share, as do all if there is no quota any more.
    """
    targets: dict[MemberId, int] = {}
    lowered: set[MemberId] = set()
    leaving = parties.leaving
    if quota is None:
        leaving = leaving | parties.live.keys()
    else:
        quota = evolve(quota, whole_ppm=WHOLE_PPM - parties.stuck_ppm(holdings))
        granted = parties.granted_by_name(holdings)
        short = is_short(quota, granted)
        if not short and not parties.has_loose_parts(holdings):
            return holdings
        parts = target_shares(quota)
        targets = {parties.active[name]: part for name, part in parts.items()}
        if short and is_worth_moving(quota, granted, parts):
            lowered = set(parties.live)
    return next_holdings(holdings, targets, parties.settled, lowered, leaving)
