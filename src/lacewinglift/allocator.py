"""Plans the next ledger of a cell: its members, their shares, and fences."""

from collections.abc import Sequence

from attrs import define, evolve, field

from lacewinglift._division import (
    MIN_REDISTRIBUTED_PPM,
    Holding,
    Quota,
    has_shortage,
    is_move_worthwhile,
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
from lacewinglift.ledger import TOTAL_PPM, member_id
from lacewinglift.logs import log_info
from lacewinglift.member_views import MemberId, MemberView
from lacewinglift.members import SUSPECT_AFTER_S
from lacewinglift.rendezvous import rank_candidates

MIN_WRITE_INTERVAL_S = 1.0

Holdings = dict[MemberId, Holding]


@define
class _LedgerDraft:
    """The next ledger while it is being planned."""

    version: int
    members: dict[MemberId, Member]
    workspaces: dict[str, Holdings]
    rosters: list[Roster]

    @classmethod
    def from_ledger(cls, ledger: Ledger, rosters: Sequence[Roster]) -> "_LedgerDraft":
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

    def active_incarnations(self) -> dict[str, MemberId]:
        """Return the unfenced incarnation of each instance that has one."""
        return {
            identity.instance: identity
            for identity, member in self.members.items()
            if not member.fenced_in_version
        }

    def has_shares(self, identity: MemberId) -> bool:
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

    def build(self) -> Ledger:
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
class _PlanInputs:
    """Everything that the next version depends on."""

    ledger: Ledger
    live: dict[MemberId, MemberView]
    """Live members with a recent heartbeat, by the incarnation that sent it."""
    views: Sequence[MemberView]
    configuration: Configuration
    now_s: float

    def up_to_date_members(self) -> set[MemberId]:
        """Return the incarnations that report the present ledger as applied."""
        return {
            MemberId(view.instance, view.incarnation)
            for view in self.views
            if view.ledger_version >= self.ledger.version
        }


@define(eq=False)
class Allocator:
    """Plans the next ledger of one cell.

    Any member may plan at any time, since the store accepts only the successor of
    the version that the plan was based on. A process must use one object for all
    its calls, because the object measures waits from what it has observed itself.

    Parameters
    ----------
    cell : str, default="main"
        Cell that the ledger belongs to; workspaces of other cells are left out.
    """

    cell: str = "main"
    fencing: Fencing = field(factory=Fencing)
    last_written_at_s: float | None = None
    _homes: dict[str, tuple[str, ...]] = field(factory=dict, alias="homes")
    _homes_cache_key: object = field(default=None, alias="homes_of")

    def record_written(self, version: int, now_s: float) -> None:
        """Record that the store has acknowledged a version planned here.

        If the reply was lost and reading the record back shows that the write took
        effect, pass the time of the reply to that read. Without this call, the wait
        for a fence starts later, at the next call of `plan`.
        """
        self.last_written_at_s = now_s
        self.fencing.record_written(version, now_s)

    def plan(
        self,
        ledger: Ledger | None,
        views: Sequence[MemberView],
        configuration: Configuration,
        now_s: float,
    ) -> Ledger | None:
        """Return the ledger to write next, or None if nothing needs to change.

        Parameters
        ----------
        ledger : Ledger or None
            The record in the store, None if there is none. It must have been read
            from the store or acknowledged by it; a version whose write failed must
            not be passed.

        views : sequence of MemberView
            What is known of each member, this instance included.

        configuration : Configuration
            The configuration in force.

        now_s : float
            Local monotonic time.
        """
        present = ledger if ledger is not None else Ledger()
        if any(view.ledger_version > present.version for view in views):
            # The record is outdated, or the store has lost newer versions.
            return None
        self.fencing.observe(present, views, now_s)
        if self.last_written_at_s is not None and (
            now_s - self.last_written_at_s < MIN_WRITE_INTERVAL_S
        ):
            return None
        live = {
            MemberId(view.instance, view.incarnation): view
            for view in views
            if view.state == fleet_pb2.LIVE
            and now_s - view.last_heartbeat_at_s <= SUSPECT_AFTER_S
        }
        inputs = _PlanInputs(present, live, views, configuration, now_s)
        return self._next_ledger(inputs)

    def _next_ledger(self, inputs: _PlanInputs) -> Ledger | None:
        rosters = self.fencing.rosters_in_use(inputs.ledger)
        draft = _LedgerDraft.from_ledger(inputs.ledger, rosters)
        changed = self._change_members(draft, inputs)
        changed |= self._change_shares(draft, inputs)
        if not changed or not draft.members:
            return None
        return draft.build()

    def _change_members(self, draft: _LedgerDraft, inputs: _PlanInputs) -> bool:
        before = len(draft.members)
        changed = self._release_fenced(draft, inputs)
        changed |= self._fence(draft, inputs)
        changed |= _remove_departed(draft, inputs)
        changed |= _add_joining_members(draft, inputs)
        return changed or len(draft.members) != before

    def _release_fenced(self, draft: _LedgerDraft, inputs: _PlanInputs) -> bool:
        released = self.fencing.releasable(inputs.ledger, inputs.views, inputs.now_s)
        for identity in released:
            log_info("share_released", member=identity.instance)
            draft.remove(identity)
        return bool(released)

    def _fence(self, draft: _LedgerDraft, inputs: _PlanInputs) -> bool:
        fenced = self.fencing.fenceable(inputs.ledger, inputs.views, inputs.now_s)
        for identity in fenced:
            log_info("member_fenced", member=identity.instance)
            draft.fence(identity)
        return bool(fenced)

    def _change_shares(self, draft: _LedgerDraft, inputs: _PlanInputs) -> bool:
        groups = _MemberGroups.of(draft, inputs)
        self._invalidate_homes_cache(groups.live, inputs.configuration)
        configured = self._workspaces_of_cell(inputs.configuration)
        demands = _demands_by_workspace(groups.live)
        changed = False
        for name in sorted(configured | draft.workspaces.keys()):
            quota = None
            if name in configured:
                workspace = inputs.configuration.workspaces[name]
                quota = Quota(
                    workspace.rate_per_s,
                    workspace.burst,
                    self._cached_homes(name, groups.live, inputs.configuration),
                    demands.get(name, {}),
                )
            holdings = draft.workspaces.get(name, {})
            new_holdings = _next_workspace_holdings(quota, holdings, groups)
            if new_holdings != holdings:
                draft.workspaces[name] = new_holdings
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

    def _invalidate_homes_cache(
        self, live: dict[MemberId, MemberView], configuration: Configuration
    ) -> None:
        key = (
            frozenset((view.instance, view.data_centre) for view in live.values()),
            configuration.fleet.homes_per_data_centre,
        )
        if key != self._homes_cache_key:
            self._homes_cache_key = key
            self._homes.clear()

    def _cached_homes(
        self,
        name: str,
        live: dict[MemberId, MemberView],
        configuration: Configuration,
    ) -> tuple[str, ...]:
        homes = self._homes.get(name)
        if homes is None:
            data_centres = {view.instance: view.data_centre for view in live.values()}
            per_data_centre = configuration.fleet.homes_per_data_centre
            homes = tuple(home_instances(name, data_centres, per_data_centre))
            self._homes[name] = homes
        return homes


@define
class _MemberGroups:
    """The members of a draft, grouped by how their shares may change."""

    active_incarnations: dict[str, MemberId]
    live: dict[MemberId, MemberView]
    leaving: set[MemberId]
    up_to_date: set[MemberId]

    @classmethod
    def of(cls, draft: _LedgerDraft, inputs: _PlanInputs) -> "_MemberGroups":
        active_incarnations = draft.active_incarnations()
        active = set(active_incarnations.values())
        live = {
            identity: view
            for identity, view in inputs.live.items()
            if identity in active
        }
        # A holder fenced by this draft has not applied the loss of its share.
        newly_fenced = {
            identity
            for identity, member in draft.members.items()
            if member.fenced_in_version == draft.version
        }
        up_to_date = inputs.up_to_date_members() - newly_fenced
        return cls(active_incarnations, live, _leaving(inputs) & active, up_to_date)

    def unavailable_ppm(self, holdings: Holdings) -> int:
        """Return the quota that stays reserved for silent and fenced members."""
        return sum(
            holding.reserved_ppm
            for identity, holding in holdings.items()
            if identity not in self.live and identity not in self.leaving
        )

    def granted_by_instance(self, holdings: Holdings) -> dict[str, int]:
        """Return the share granted to each live member, by instance."""
        return {
            identity.instance: holding.granted_ppm
            for identity, holding in holdings.items()
            if identity in self.live
        }

    def has_movable_quota(self, holdings: Holdings) -> bool:
        """Return whether quota can be granted to others, or must be withdrawn."""
        free = TOTAL_PPM
        for identity, holding in holdings.items():
            up_to_date = identity in self.up_to_date
            free -= holding.granted_ppm if up_to_date else holding.reserved_ppm
            if identity in self.leaving and holding.granted_ppm:
                return True
            if up_to_date and not holding.granted_ppm:
                return True
        return free >= MIN_REDISTRIBUTED_PPM


def _demands_by_workspace(
    live: dict[MemberId, MemberView],
) -> dict[str, dict[str, float]]:
    demands: dict[str, dict[str, float]] = {}
    for view in live.values():
        for workspace, per_s in view.demands.items():
            demands.setdefault(workspace, {})[view.instance] = per_s
    return demands


def _remove_departed(draft: _LedgerDraft, inputs: _PlanInputs) -> bool:
    """Remove members that are leaving or replaced and hold no share."""
    newest = {view.instance: view.incarnation for view in inputs.views}
    leaving = _leaving(inputs)
    departed = [
        identity
        for identity in draft.members
        if (
            identity in leaving
            or newest.get(identity.instance, 0) > identity.incarnation
        )
        and not draft.has_shares(identity)
    ]
    for identity in departed:
        draft.remove(identity)
    return bool(departed)


def _leaving(inputs: _PlanInputs) -> set[MemberId]:
    return {
        MemberId(view.instance, view.incarnation)
        for view in inputs.views
        if view.state == fleet_pb2.LEAVING
    }


def _add_joining_members(draft: _LedgerDraft, inputs: _PlanInputs) -> bool:
    """Add live members that are not in the ledger.

    Only an incarnation that has applied the present version is added. Any other may
    still be using a share from before its removal. Once it applies the present
    version, it finds itself removed and renews its incarnation.
    """
    up_to_date = inputs.up_to_date_members()
    joined = False
    for identity, view in sorted(
        inputs.live.items(), key=lambda item: item[0].instance
    ):
        if identity in draft.members or identity not in up_to_date:
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


def _next_workspace_holdings(
    quota: Quota | None,
    holdings: Holdings,
    groups: _MemberGroups,
) -> Holdings:
    """Return the holdings of one workspace in the next version.

    Silent and fenced members keep what is reserved for them. Members that are
    leaving lose their share, and so do all if the workspace has no quota any more.
    """
    targets: dict[MemberId, int] = {}
    to_lower: set[MemberId] = set()
    leaving = groups.leaving
    if quota is None:
        leaving = leaving | groups.live.keys()
    else:
        quota = evolve(
            quota, available_ppm=TOTAL_PPM - groups.unavailable_ppm(holdings)
        )
        granted = groups.granted_by_instance(holdings)
        shortage = has_shortage(quota, granted)
        if not shortage and not groups.has_movable_quota(holdings):
            return holdings
        target_ppm = target_shares(quota)
        targets = {
            groups.active_incarnations[name]: ppm for name, ppm in target_ppm.items()
        }
        if shortage and is_move_worthwhile(quota, granted, target_ppm):
            to_lower = set(groups.live)
    return next_holdings(holdings, targets, groups.up_to_date, to_lower, leaving)
