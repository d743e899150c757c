"""Admission control: enforces the fleet-wide request quota of each workspace.

Each instance admits requests from its own share of the quota, and borrows tokens
from other instances when its share has none left.
"""

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

# The borrower may use borrowed tokens for this long after it sent its request.
BORROWER_LOAN_LIFETIME_S = 0.25
# The lender keeps its capacity reduced for longer than the borrower may use the
# tokens. It counts from the arrival of the request, which is later than the
# borrower's start, and the margin covers clocks that run at different rates.
LENDER_LOAN_LIFETIME_S = BORROWER_LOAN_LIFETIME_S + 0.05
# Time limit for borrowing while every lender replies. Lenders without a token reply
# within a few milliseconds, so the request is refused quickly. If a lender does not
# reply, it may still have tokens, and `TOTAL_BORROW_TIMEOUT_S` applies instead.
RESPONSIVE_LENDERS_TIMEOUT_S = 0.03
TOTAL_BORROW_TIMEOUT_S = 0.25
# A lender that had no token is not asked again for this long.
EMPTY_LENDER_BACKOFF_S = 0.05
# A lender that did not reply is asked after all others for this long.
UNRESPONSIVE_LENDER_DEMOTION_S = 1.0
# Limits the tokens that are lost with a lost reply.
MAX_LOAN_TOKENS = 32
DEMAND_TIME_CONSTANT_S = 4.0
MAX_IDLE_DEMAND_PER_S = 0.01
SWEEP_INTERVAL_S = 5.0

OVER_LIMIT = "over_limit"

Borrow = Callable[[Member, str, int], int | None]
"""Requests tokens of a workspace from one member.

Returns the number of tokens lent, or None if the member did not reply. Must return
well within `TOTAL_BORROW_TIMEOUT_S`, so that several members can be asked.
"""


@frozen
class Decision:
    """The result of admission control for one request."""

    admitted: bool
    code: str | None = None
    """Refusal code, None if the request was admitted."""
    retry_after_s: float = 0.0
    wait_s: float = 0.0
    """Time that an admitted request must wait until its token is available."""
    log_fields: Mapping[str, object] = {}
    """Bucket state behind the decision, as fields of a log line."""


@define
class DemandMeter:
    """Exponentially decaying average of events per second."""

    time_constant_s: float
    updated_at_s: float
    average_per_s: float = 0.0

    def record(self, now_s: float, count: float = 1.0) -> None:
        """Add `count` events to the average."""
        self.average_per_s = self.average_at(now_s) + count / self.time_constant_s
        self.updated_at_s = max(self.updated_at_s, now_s)

    def average_at(self, now_s: float) -> float:
        """Return the average at `now_s`."""
        elapsed_s = max(now_s - self.updated_at_s, 0.0)
        return self.average_per_s * math.exp(-elapsed_s / self.time_constant_s)


@define(eq=False)
class _BorrowedTokens:
    """Tokens received from one lender that have not been used."""

    expires_at_s: float
    tokens: int


@define(eq=False)
class _WorkspaceState:
    """Bucket, demand and loans of one workspace at this instance.

    `condition` guards all fields, and is notified when a borrowing attempt ends.
    """

    bucket: TokenBucket
    limits: tuple[int, float, int]
    """Share in parts per million, rate and burst that the bucket was sized for."""
    demand: DemandMeter
    condition: threading.Condition = field(factory=threading.Condition)
    borrowed: list[_BorrowedTokens] = field(factory=list)
    empty_until_s: dict[str, float] = field(factory=dict)
    """Lenders that had no token, which are not asked until the given time."""
    unresponsive_until_s: dict[str, float] = field(factory=dict)
    """Lenders that did not reply, which are asked last until the given time."""
    borrowing: bool = False
    """Whether a request thread is asking lenders for tokens."""
    removed: bool = False
    """Whether `AdmissionController.sweep` has discarded this state."""

    def try_acquire(self, now_s: float) -> bool:
        """Acquire a token, borrowed ones first because they expire.

        The caller holds `condition`.
        """
        self.borrowed = [loan for loan in self.borrowed if loan.expires_at_s > now_s]
        for loan in self.borrowed:
            if loan.tokens:
                loan.tokens -= 1
                return True
        return self.bucket.try_acquire(1)

    def is_idle(self, now_s: float) -> bool:
        """Return whether the state can be discarded and recreated without effect."""
        return (
            not self.borrowing
            and all(loan.expires_at_s <= now_s for loan in self.borrowed)
            and self.demand.average_at(now_s) < MAX_IDLE_DEMAND_PER_S
            and self.bucket.is_full()
        )


def share_of_limit(limit: float, ppm: int) -> Fraction:
    """Return the exact part of a workspace's rate or burst for a share of `ppm`."""
    return Fraction(limit) * ppm / TOTAL_PPM


class AdmissionController:
    """Admits requests from this instance's quota shares and from borrowed tokens.

    Parameters
    ----------
    local_ledger : LocalLedger
        The quota shares of this instance and the other holders.

    timers : Timers
        Clock, and the periodic removal of idle buckets.

    standing_refusal : callable
        Returns None while the instance may serve requests, else a refusal code; see
        `Standing.refusal`.

    borrow : callable
        Requests tokens from another member; see `Borrow`.
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
        """Apply the limits of a configuration and resize the existing buckets."""
        self.workspaces = configuration.workspaces
        for name, state in self._workspace_state_items():
            with state.condition:
                self._refresh_limits(name, state)

    def admit(self, workspace: Workspace) -> Decision:
        """Decide on one request, borrowing a token if the share has none left.

        Blocks for up to `TOTAL_BORROW_TIMEOUT_S`, plus one call of `borrow`.
        """
        refusal = self.standing_refusal()
        if refusal is not None:
            return Decision(False, refusal, 1.0)
        state = self._find_or_add_workspace_state(workspace)
        with state.condition:
            state.demand.record(self.timers.now())
        admitted = self._try_acquire(workspace) or self._borrow_token(workspace, state)
        # Checked again: the standing may have been lost while this thread was
        # borrowing or paused.
        refusal = self.standing_refusal()
        if refusal is not None:
            return Decision(False, refusal, 1.0)
        log_fields = {"tokens": state.bucket.level(), "share_ppm": state.limits[0]}
        if admitted:
            return Decision(True, log_fields=log_fields)
        retry_after_s = self._retry_after_s(workspace, state)
        return Decision(False, OVER_LIMIT, retry_after_s, log_fields=log_fields)

    def lend(self, request: BorrowRequest) -> BorrowReply:
        """Lend tokens to an instance that has too few."""
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
        """Return the request rate of each workspace here, refused requests included."""
        now = self.timers.now()
        return [
            Demand(workspace=name, milli_tokens_per_s=milli)
            for name, state in self._workspace_state_items()
            if (milli := min(int(state.demand.average_at(now) * 1000), 2**32 - 1))
        ]

    def sweep(self) -> None:
        """Remove the state of idle workspaces, whose buckets are full."""
        now = self.timers.now()
        for name, state in self._workspace_state_items():
            with self.lock, state.condition:
                self._refresh_limits(name, state)
                if state.is_idle(now):
                    state.removed = True
                    del self._workspace_states[name]

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the state of each bucket, for the dump that operators read."""
        now = self.timers.now()
        return {
            name: {
                "granted_ppm": state.limits[0],
                "level": round(state.bucket.level(), 3),
                "demand_per_s": round(state.demand.average_at(now), 3),
                "borrowed": sum(
                    loan.tokens for loan in state.borrowed if loan.expires_at_s > now
                ),
            }
            for name, state in self._workspace_state_items()
        }

    def _workspace_state_items(self) -> list[tuple[str, _WorkspaceState]]:
        with self.lock:
            return list(self._workspace_states.items())

    def _refresh_limits(self, name: str, state: _WorkspaceState) -> None:
        """Resize a bucket to the limits of the present configuration."""
        workspace = self.workspaces.get(name)
        if workspace is None:
            workspace = Workspace(name, 0.0, 0)
        limits = (state.limits[0], workspace.rate_per_s, workspace.burst)
        if state.limits != limits:
            _resize(state, limits)

    def _find_or_add_workspace_state(self, workspace: Workspace) -> _WorkspaceState:
        with self.lock:
            state = self._workspace_states.get(workspace.name)
            if state is None:
                # The bucket may start full: `sweep` removes only full buckets, and
                # a raised share creates its bucket immediately, so a missing
                # bucket has been full all along.
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

    def _try_acquire(self, workspace: Workspace) -> bool:
        with self._locked_workspace_state(workspace) as state:
            return state.try_acquire(self.timers.now())

    def _apply_share_changes(self, changes: list[ShareChange]) -> float:
        """Resize the buckets to the shares of a new ledger.

        Returns the time by which no loan exceeds the new shares.
        """
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
        # A raised share must not bring tokens at once. The bucket starts with the
        # tokens of the earlier share, and those of the increase accrue at the rate.
        # Without a configuration, the limits stay 0 until the first request.
        workspace = self.workspaces.get(change.workspace)
        if workspace is None:
            workspace = Workspace(change.workspace, 0.0, 0)
        return self._add_workspace_state(workspace, change.before_ppm, full=True)

    def _borrow_token(self, workspace: Workspace, state: _WorkspaceState) -> bool:
        """Borrow a token from another holder of the quota.

        Only one thread per workspace asks lenders at a time; others wait for it.
        """
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
        """Wait while another thread borrows; return whether a token was acquired.

        The caller holds `condition`.
        """
        while state.borrowing:
            remaining_s = deadline_s - self.timers.now()
            if remaining_s <= 0:
                return False
            state.condition.wait_for(lambda: not state.borrowing, remaining_s)
            if state.try_acquire(self.timers.now()):
                return True
        return False

    def _borrow_from_lenders(
        self, workspace: Workspace, state: _WorkspaceState, deadline_s: float
    ) -> bool:
        """Ask lenders in turn until one gives this request a token.

        Lenders that do not reply are asked again until `deadline_s`. As long as all
        reply, `RESPONSIVE_LENDERS_TIMEOUT_S` limits the time instead.
        """
        responsive_deadline_s = min(
            self.timers.now() + RESPONSIVE_LENDERS_TIMEOUT_S, deadline_s
        )
        unresponsive = False
        while lenders := self._ordered_lenders(workspace.name, state):
            for member in lenders:
                asked_s = self.timers.now()
                if asked_s >= (deadline_s if unresponsive else responsive_deadline_s):
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
        """Record a lender's reply; return whether it gave this request a token."""
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
            return state.try_acquire(now)

    def _ordered_lenders(self, name: str, state: _WorkspaceState) -> list[Member]:
        """Return the lenders that may have a token, unresponsive ones last."""
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
        """Return how many tokens to borrow: the demand of half a loan's lifetime."""
        expected = (
            state.demand.average_at(self.timers.now()) * BORROWER_LOAN_LIFETIME_S / 2
        )
        return max(1, min(int(expected), MAX_LOAN_TOKENS))

    def _lendable_tokens(self, state: _WorkspaceState) -> int:
        """Return how many tokens may be lent: those beyond local demand, or one."""
        local_need_tokens = (
            state.demand.average_at(self.timers.now()) * BORROWER_LOAN_LIFETIME_S
        )
        return max(1, int(state.bucket.level() - local_need_tokens))

    def _retry_after_s(self, workspace: Workspace, state: _WorkspaceState) -> float:
        local_retry_after_s = state.bucket.retry_after_s()
        if math.isfinite(local_retry_after_s):
            return local_retry_after_s
        # The bucket here can never hold a whole token, so return the time in which
        # the whole fleet gets one.
        return 1.0 / workspace.rate_per_s if workspace.rate_per_s > 0 else 1.0


def _unexpired(until_s: dict[str, float], now_s: float) -> dict[str, float]:
    return {name: end_s for name, end_s in until_s.items() if end_s > now_s}


def _resize(state: _WorkspaceState, limits: tuple[int, float, int]) -> None:
    ppm, rate_per_s, burst = limits
    state.limits = limits
    state.bucket.resize(share_of_limit(rate_per_s, ppm), share_of_limit(burst, ppm))


class _LockedWorkspaceState:
    """Context manager that locks a workspace's state and applies its limits."""

    def __init__(self, admission: AdmissionController, workspace: Workspace) -> None:
        self.admission = admission
        self.workspace = workspace

    def __enter__(self) -> _WorkspaceState:
        workspace = self.workspace
        while True:
            state = self.admission._find_or_add_workspace_state(workspace)
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
