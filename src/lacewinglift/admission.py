"""Decides whether a workspace's request is within its fleet-wide quota."""

import math
import threading
from collections.abc import Callable, Mapping
from fractions import Fraction

from attrs import define, field, frozen

from lacewinglift.buckets import TokenBucket
from lacewinglift.configuration import Configuration, Workspace
from lacewinglift.generated.fleet_pb2 import (
    BorrowReply,
    BorrowRequest,
    Demand,
    Member,
)
from lacewinglift.ledger import TOTAL_PPM, LocalLedger, ShareChange
from lacewinglift.timers import Timers

BORROWER_LOAN_LIFETIME_S = 0.25
# The lender counts from later than the borrower, who counts from asking; the rest
# covers clocks that run at different rates.
LENDER_LOAN_LIFETIME_S = BORROWER_LOAN_LIFETIME_S + 0.05
# Lenders that have no token answer within a few milliseconds, and the request is
# refused soon; a lender that does not answer says nothing about the quota.
RESPONSIVE_LENDERS_TIMEOUT_S = 0.03
TOTAL_BORROW_TIMEOUT_S = 0.25
EMPTY_LENDER_BACKOFF_S = 0.05
UNRESPONSIVE_LENDER_DEMOTION_S = 1.0
MAX_LOAN_TOKENS = 32  # a lost reply loses no more than this
DEMAND_TIME_CONSTANT_S = 4.0
MAX_IDLE_DEMAND_PER_S = 0.01
SWEEP_INTERVAL_S = 5.0

OVER_LIMIT = "over_limit"

Borrow = Callable[[Member, str, int], int | None]
"""Asks one member for tokens of a workspace and returns how many it lent, or None
if it did not answer; blocks for a part of `TOTAL_BORROW_TIMEOUT_S` at most."""


@frozen
class Decision:
    """Whether a request may go on, and why not."""

    admitted: bool
    code: str | None = None
    """Refusal code."""
    retry_after_s: float = 0.0
    wait_s: float = 0.0
    """Time after which an admitted request may go on: its token is on its way."""
    log_fields: Mapping[str, object] = {}
    """What the decision was based on, as fields of a log line."""


@define
class DemandMeter:
    """Decaying average of events per second."""

    time_constant_s: float
    updated_at_s: float
    average_per_s: float = 0.0

    def record(self, now_s: float, count: float = 1.0) -> None:
        """Count events."""
        self.average_per_s = self.average_at(now_s) + count / self.time_constant_s
        self.updated_at_s = max(self.updated_at_s, now_s)

    def average_at(self, now_s: float) -> float:
        """Return the average at `now_s`."""
        elapsed_s = max(now_s - self.updated_at_s, 0.0)
        return self.average_per_s * math.exp(-elapsed_s / self.time_constant_s)


@define(eq=False)
class _BorrowedTokens:
    expires_s: float
    tokens: int


@define(eq=False)
class _WorkspaceState:
    """What one workspace uses at this instance."""

    bucket: TokenBucket
    limits: tuple[int, float, int]
    """Share in parts per million, rate and burst that the bucket has."""
    demand: DemandMeter
    condition: threading.Condition = field(factory=threading.Condition)
    borrowed: list[_BorrowedTokens] = field(factory=list)
    empty_until_s: dict[str, float] = field(factory=dict)
    unresponsive_until_s: dict[str, float] = field(factory=dict)
    """Lenders that did not answer; they are asked after the others."""
    borrowing: bool = False
    removed: bool = False

    def acquire(self, now_s: float) -> bool:
        """Take a token, first of those that expire; the caller holds `condition`."""
        self.borrowed = [loan for loan in self.borrowed if loan.expires_s > now_s]
        for loan in self.borrowed:
            if loan.tokens:
                loan.tokens -= 1
                return True
        return self.bucket.try_acquire(1)

    def is_idle(self, now_s: float) -> bool:
        """Return whether a later bucket would be the same as this one."""
        return (
            not self.borrowing
            and all(loan.expires_s <= now_s for loan in self.borrowed)
            and self.demand.average_at(now_s) < MAX_IDLE_DEMAND_PER_S
            and self.bucket.is_full()
        )


def share_of_limit(limit: float, ppm: int) -> Fraction:
    """Return the exact part of a workspace's limit that a share gives."""
    return Fraction(limit) * ppm / TOTAL_PPM


class AdmissionController:
    """Admits requests from this instance's shares and from loans.

    Parameters
    ----------
    local_ledger : LocalLedger
        The division of quotas.

    timers : Timers
        Clock, and the sweep of unused buckets.

    standing_refusal : callable
        Returns None while the instance may serve, else a refusal code.

    borrow : callable
        Asks a member for tokens; see `Borrow`.
    """

    def __init__(
        self,
        local_ledger: LocalLedger,
        timers: Timers,
        standing_refusal: Callable[[], str | None],
        borrow: Borrow,
    ) -> None:
        self.local_ledger = local_ledger
        self.timers = timers
        self.standing_refusal = standing_refusal
        self.borrow = borrow
        self.lock = threading.Lock()
        self.workspaces: dict[str, Workspace] = {}
        self._workspace_states: dict[str, _WorkspaceState] = {}
        local_ledger.subscribe(self._apply_share_changes)
        timers.subscribe(SWEEP_INTERVAL_S, self.sweep)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take the limits of a configuration; used buckets are resized at once."""
        self.workspaces = configuration.workspaces
        for name, state in self._workspace_state_items():
            with state.condition:
                self._refresh_limits(name, state)

    def admit(self, workspace: Workspace) -> Decision:
        """Decide on one request; blocks at most while it borrows a token."""
        refusal = self.standing_refusal()
        if refusal is not None:
            return Decision(False, refusal, 1.0)
        state = self._workspace_state(workspace)
        with state.condition:
            state.demand.record(self.timers.now())
        admitted = self._acquire(workspace) or self._borrow_token(workspace, state)
        # Standing may have ended while this thread borrowed or was paused.
        refusal = self.standing_refusal()
        if refusal is not None:
            return Decision(False, refusal, 1.0)
        log_fields = {"tokens": state.bucket.level(), "share_ppm": state.limits[0]}
        if admitted:
            return Decision(True, log_fields=log_fields)
        retry_after_s = self._retry_after_s(workspace, state)
        return Decision(False, OVER_LIMIT, retry_after_s, log_fields=log_fields)

    def lend(self, request: BorrowRequest) -> BorrowReply:
        """Answer a peer that has too few tokens."""
        workspace = self.workspaces.get(request.workspace)
        if workspace is None or self.standing_refusal() is not None:
            return BorrowReply()
        with self._locked_workspace_state(workspace) as state:
            lendable = self._lendable_tokens(state)
            tokens = state.bucket.lend(
                min(request.tokens, lendable), LENDER_LOAN_LIFETIME_S
            )
            retry_after_s = state.bucket.retry_after_s()
        if self.standing_refusal() is not None:
            return BorrowReply()
        reply = BorrowReply(tokens=tokens)
        if not tokens and math.isfinite(retry_after_s):
            reply.retry_after_ms = min(math.ceil(retry_after_s * 1000), 2**31)
        return reply

    def demands(self) -> list[Demand]:
        """Return what each workspace asks for here, refused requests included."""
        now = self.timers.now()
        return [
            Demand(workspace=name, milli_tokens_per_s=milli)
            for name, state in self._workspace_state_items()
            if (milli := min(int(state.demand.average_at(now) * 1000), 2**32 - 1))
        ]

    def sweep(self) -> None:
        """Drop the buckets that are full and unused."""
        now = self.timers.now()
        for name, state in self._workspace_state_items():
            with self.lock, state.condition:
                self._refresh_limits(name, state)
                if state.is_idle(now):
                    state.removed = True
                    del self._workspace_states[name]

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the state of each bucket in memory, for operators."""
        now = self.timers.now()
        return {
            name: {
                "granted_ppm": state.limits[0],
                "level": round(state.bucket.level(), 3),
                "demand_per_s": round(state.demand.average_at(now), 3),
                "borrowed": sum(
                    loan.tokens for loan in state.borrowed if loan.expires_s > now
                ),
            }
            for name, state in self._workspace_state_items()
        }

    def _workspace_state_items(self) -> list[tuple[str, _WorkspaceState]]:
        with self.lock:
            return list(self._workspace_states.items())

    def _refresh_limits(self, name: str, state: _WorkspaceState) -> None:
        """Apply a changed configuration to a bucket that no request has used."""
        workspace = self.workspaces.get(name)
        if workspace is None:
            workspace = Workspace(name, 0.0, 0)
        limits = (state.limits[0], workspace.rate_per_s, workspace.burst)
        if state.limits != limits:
            _resize(state, limits)

    def _workspace_state(self, workspace: Workspace) -> _WorkspaceState:
        with self.lock:
            state = self._workspace_states.get(workspace.name)
            if state is None:
                # Only a bucket that was full is dropped, and a raised share makes
                # one at once, so that one made here was full all the time.
                ppm = self.local_ledger.granted_ppm(workspace.name)
                state = self._add_workspace_state(workspace, ppm, full=True)
            return state

    def _add_workspace_state(
        self, workspace: Workspace, ppm: int, full: bool
    ) -> _WorkspaceState:
        limits = (ppm, workspace.rate_per_s, workspace.burst)
        bucket = TokenBucket(
            self.timers,
            share_of_limit(workspace.rate_per_s, ppm),
            share_of_limit(workspace.burst, ppm),
            full,
        )
        state = _WorkspaceState(
            bucket, limits, DemandMeter(DEMAND_TIME_CONSTANT_S, self.timers.now())
        )
        self._workspace_states[workspace.name] = state
        return state

    def _locked_workspace_state(self, workspace: Workspace) -> "_LockedWorkspaceState":
        return _LockedWorkspaceState(self, workspace)

    def _acquire(self, workspace: Workspace) -> bool:
        with self._locked_workspace_state(workspace) as state:
            return state.acquire(self.timers.now())

    def _apply_share_changes(self, changes: list[ShareChange]) -> float:
        """Bring the buckets to the shares of a new ledger."""
        effective_at_s = self.timers.now()
        for change in changes:
            with self.lock:
                state = self._workspace_state_to_resize(change)
                if state is None:
                    continue
                with state.condition:
                    _, rate_per_s, burst = state.limits
                    _resize(state, (change.after_ppm, rate_per_s, burst))
                    effective_at_s = max(
                        effective_at_s, state.bucket.excess_loans_expire_at_s()
                    )
        return effective_at_s

    def _workspace_state_to_resize(self, change: ShareChange) -> _WorkspaceState | None:
        state = self._workspace_states.get(change.workspace)
        if state is not None or change.after_ppm < change.before_ppm:
            return state
        # Tokens of the added part must flow in first. Without a configuration the
        # bucket has no limits until a request brings them.
        workspace = self.workspaces.get(change.workspace)
        if workspace is None:
            workspace = Workspace(change.workspace, 0.0, 0)
        return self._add_workspace_state(workspace, change.before_ppm, full=True)

    def _borrow_token(self, workspace: Workspace, state: _WorkspaceState) -> bool:
        """Get a token from another holder, as the only one or after waiting."""
        started_s = self.timers.now()
        with state.condition:
            if self._wait_for_loan(state, started_s + TOTAL_BORROW_TIMEOUT_S):
                return True
            if state.borrowing:
                return False
            state.borrowing = True
        try:
            return self._borrow_from_lenders(
                workspace, state, started_s + TOTAL_BORROW_TIMEOUT_S
            )
        finally:
            with state.condition:
                state.borrowing = False
                state.condition.notify_all()

    def _wait_for_loan(self, state: _WorkspaceState, deadline_s: float) -> bool:
        """Wait while others borrow; return whether their loan had a token to spare.

        The caller holds `condition`.
        """
        while state.borrowing:
            left_s = deadline_s - self.timers.now()
            if left_s <= 0:
                return False
            state.condition.wait_for(lambda: not state.borrowing, left_s)
            if state.acquire(self.timers.now()):
                return True
        return False

    def _borrow_from_lenders(
        self, workspace: Workspace, state: _WorkspaceState, deadline_s: float
    ) -> bool:
        """Ask each lender once, and those that did not answer until the deadline."""
        responsive_until_s = min(
            self.timers.now() + RESPONSIVE_LENDERS_TIMEOUT_S, deadline_s
        )
        unresponsive = False
        while lenders := self._ordered_lenders(workspace.name, state):
            for member in lenders:
                asked_s = self.timers.now()
                if asked_s >= (deadline_s if unresponsive else responsive_until_s):
                    return False
                tokens = self.borrow(
                    member, workspace.name, self._requested_tokens(state)
                )
                unresponsive = unresponsive or tokens is None
                if self._process_loan_reply(state, member, asked_s, tokens):
                    return True
        return False

    def _process_loan_reply(
        self, state: _WorkspaceState, member: Member, asked_s: float, tokens: int | None
    ) -> bool:
        """Take in a lender's reply; return whether it brought this request a token."""
        with state.condition:
            now = self.timers.now()
            if tokens is None:
                state.unresponsive_until_s[member.instance] = (
                    now + UNRESPONSIVE_LENDER_DEMOTION_S
                )
                return False
            state.unresponsive_until_s.pop(member.instance, None)
            if not tokens:
                state.empty_until_s[member.instance] = now + EMPTY_LENDER_BACKOFF_S
                return False
            state.borrowed.append(
                _BorrowedTokens(asked_s + BORROWER_LOAN_LIFETIME_S, tokens)
            )
            return state.acquire(now)

    def _ordered_lenders(self, name: str, state: _WorkspaceState) -> list[Member]:
        """Return the lenders that may have a token, silent ones last."""
        now = self.timers.now()
        with state.condition:
            state.empty_until_s = _unexpired(state.empty_until_s, now)
            state.unresponsive_until_s = _unexpired(state.unresponsive_until_s, now)
            lenders = [
                member
                for member in self.local_ledger.lenders(name)
                if member.instance not in state.empty_until_s
            ]
            return sorted(
                lenders, key=lambda m: m.instance in state.unresponsive_until_s
            )

    def _requested_tokens(self, state: _WorkspaceState) -> int:
        """Return how many tokens will be used within half a loan's lifetime."""
        expected = (
            state.demand.average_at(self.timers.now()) * BORROWER_LOAN_LIFETIME_S / 2
        )
        return max(1, min(int(expected), MAX_LOAN_TOKENS))

    def _lendable_tokens(self, state: _WorkspaceState) -> int:
        """Return what may be lent: one token, or what local demand leaves."""
        own_need = state.demand.average_at(self.timers.now()) * BORROWER_LOAN_LIFETIME_S
        return max(1, int(state.bucket.level() - own_need))

    def _retry_after_s(self, workspace: Workspace, state: _WorkspaceState) -> float:
        own_s = state.bucket.retry_after_s()
        if math.isfinite(own_s):
            return own_s
        # Without a whole token here, the next one of the whole fleet is the best.
        return 1.0 / workspace.rate_per_s if workspace.rate_per_s > 0 else 1.0


def _unexpired(until_s: dict[str, float], now_s: float) -> dict[str, float]:
    return {name: end_s for name, end_s in until_s.items() if end_s > now_s}


def _resize(state: _WorkspaceState, limits: tuple[int, float, int]) -> None:
    ppm, rate_per_s, burst = limits
    state.limits = limits
    state.bucket.resize(share_of_limit(rate_per_s, ppm), share_of_limit(burst, ppm))


class _LockedWorkspaceState:
    """Holds the lock of a workspace's usage, with the limits in force."""

    def __init__(self, admission: AdmissionController, workspace: Workspace) -> None:
        self.admission = admission
        self.workspace = workspace

    def __enter__(self) -> _WorkspaceState:
        workspace = self.workspace
        while True:
            state = self.admission._workspace_state(workspace)
            state.condition.acquire()
            if not state.removed:
                break
            state.condition.release()
        self.state = state
        limits = (state.limits[0], workspace.rate_per_s, workspace.burst)
        if state.limits != limits:
            _resize(state, limits)
        return state

    def __exit__(self, *exception: object) -> None:
        self.state.condition.release()
