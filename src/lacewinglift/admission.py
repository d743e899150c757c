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
from lacewinglift.ledger import WHOLE_PPM, LedgerHolder, ShareChange
from lacewinglift.timers import Timers

LOAN_LIFETIME_S = 0.25
# The lender counts from later than the borrower, who counts from asking; the rest
# covers clocks that run at different rates.
LOAN_HOLD_S = LOAN_LIFETIME_S + 0.05
# Lenders that have no token answer within a few milliseconds, and the request is
# refused soon; a lender that does not answer says nothing about the quota.
ASK_BOUND_S = 0.03
BORROW_BOUND_S = 0.25
EMPTY_LENDER_S = 0.05
SILENT_LENDER_S = 1.0
BORROW_BATCH_TOKENS = 32  # a lost reply loses no more than this
DEMAND_AVERAGE_S = 4.0
IDLE_DEMAND_PER_S = 0.01
SWEEP_INTERVAL_S = 5.0

OVER_LIMIT = "over_limit"

Borrow = Callable[[Member, str, int], int | None]
"""Asks one member for tokens of a workspace and returns how many it lent, or None
if it did not answer; blocks for a part of `BORROW_BOUND_S` at most."""


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

    average_s: float
    at_s: float
    per_s: float = 0.0

    def note(self, now_s: float, count: float = 1.0) -> None:
        """Count events."""
        self.per_s = self.rate(now_s) + count / self.average_s
        self.at_s = max(self.at_s, now_s)

    def rate(self, now_s: float) -> float:
        """Return the average at `now_s`."""
        elapsed_s = max(now_s - self.at_s, 0.0)
        return self.per_s * math.exp(-elapsed_s / self.average_s)


@define(eq=False)
class _Borrowed:
    expires_s: float
    tokens: int


@define(eq=False)
class _Usage:
    """What one workspace uses at this instance."""

    bucket: TokenBucket
    limits: tuple[int, float, int]
    """Share in parts per million, rate and burst that the bucket has."""
    demand: DemandMeter
    changed: threading.Condition = field(factory=threading.Condition)
    borrowed: list[_Borrowed] = field(factory=list)
    empty_until_s: dict[str, float] = field(factory=dict)
    silent_until_s: dict[str, float] = field(factory=dict)
    """Lenders that did not answer; they are asked after the others."""
    borrowing: bool = False
    dropped: bool = False

    def take(self, now_s: float) -> bool:
        """Take a token, first of those that expire; the caller holds `changed`."""
        self.borrowed = [loan for loan in self.borrowed if loan.expires_s > now_s]
        for loan in self.borrowed:
            if loan.tokens:
                loan.tokens -= 1
                return True
        return self.bucket.take(1)

    def is_idle(self, now_s: float) -> bool:
        """Return whether a later bucket would be the same as this one."""
        return (
            not self.borrowing
            and all(loan.expires_s <= now_s for loan in self.borrowed)
            and self.demand.rate(now_s) < IDLE_DEMAND_PER_S
            and self.bucket.is_full()
        )


def share_of(limit: float, ppm: int) -> Fraction:
    """Return the exact part of a workspace's limit that a share gives."""
    return Fraction(limit) * ppm / WHOLE_PPM


class Admission:
    """Admits requests from this instance's shares and from loans.

    Parameters
    ----------
    holder : LedgerHolder
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
        holder: LedgerHolder,
        timers: Timers,
        standing_refusal: Callable[[], str | None],
        borrow: Borrow,
    ) -> None:
        self.holder = holder
        self.timers = timers
        self.standing_refusal = standing_refusal
        self.borrow = borrow
        self.lock = threading.Lock()
        self.workspaces: dict[str, Workspace] = {}
        self._usages: dict[str, _Usage] = {}
        holder.subscribe(self._apply_changes)
        timers.subscribe(SWEEP_INTERVAL_S, self.sweep)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take the limits of a configuration; used buckets are resized at once."""
        self.workspaces = configuration.workspaces
        for name, usage in self._entries():
            with usage.changed:
                self._refresh_limits(name, usage)

    def admit(self, workspace: Workspace) -> Decision:
        """Decide on one request; blocks at most while it borrows a token."""
        refusal = self.standing_refusal()
        if refusal is not None:
            return Decision(False, refusal, 1.0)
        usage = self._usage(workspace)
        with usage.changed:
            usage.demand.note(self.timers.now())
        admitted = self._take(workspace) or self._borrow_one(workspace, usage)
        # Standing may have ended while this thread borrowed or was paused.
        refusal = self.standing_refusal()
        if refusal is not None:
            return Decision(False, refusal, 1.0)
        log_fields = {"tokens": usage.bucket.level(), "share_ppm": usage.limits[0]}
        if admitted:
            return Decision(True, log_fields=log_fields)
        retry_after_s = self._retry_after_s(workspace, usage)
        return Decision(False, OVER_LIMIT, retry_after_s, log_fields=log_fields)

    def lend(self, request: BorrowRequest) -> BorrowReply:
        """Answer a peer that has too few tokens."""
        workspace = self.workspaces.get(request.workspace)
        if workspace is None or self.standing_refusal() is not None:
            return BorrowReply()
        with self._locked_usage(workspace) as usage:
            spare = self._spare_tokens(usage)
            tokens = usage.bucket.lend(min(request.tokens, spare), LOAN_HOLD_S)
            retry_after_s = usage.bucket.retry_after_s()
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
            for name, usage in self._entries()
            if (milli := min(int(usage.demand.rate(now) * 1000), 2**32 - 1))
        ]

    def sweep(self) -> None:
        """Drop the buckets that are full and unused."""
        now = self.timers.now()
        for name, usage in self._entries():
            with self.lock, usage.changed:
                self._refresh_limits(name, usage)
                if usage.is_idle(now):
                    usage.dropped = True
                    del self._usages[name]

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the state of each bucket in memory, for operators."""
        now = self.timers.now()
        return {
            name: {
                "granted_ppm": usage.limits[0],
                "level": round(usage.bucket.level(), 3),
                "demand_per_s": round(usage.demand.rate(now), 3),
                "borrowed": sum(
                    loan.tokens for loan in usage.borrowed if loan.expires_s > now
                ),
            }
            for name, usage in self._entries()
        }

    def _entries(self) -> list[tuple[str, _Usage]]:
        with self.lock:
            return list(self._usages.items())

    def _refresh_limits(self, name: str, usage: _Usage) -> None:
        """Apply a changed configuration to a bucket that no request has used."""
        workspace = self.workspaces.get(name)
        if workspace is None:
            workspace = Workspace(name, 0.0, 0)
        limits = (usage.limits[0], workspace.rate_per_s, workspace.burst)
        if usage.limits != limits:
            _resize(usage, limits)

    def _usage(self, workspace: Workspace) -> _Usage:
        with self.lock:
            usage = self._usages.get(workspace.name)
            if usage is None:
                # Only a bucket that was full is dropped, and a raised share makes
                # one at once, so that one made here was full all the time.
                ppm = self.holder.granted_ppm(workspace.name)
                usage = self._add_usage(workspace, ppm, full=True)
            return usage

    def _add_usage(self, workspace: Workspace, ppm: int, full: bool) -> _Usage:
        limits = (ppm, workspace.rate_per_s, workspace.burst)
        bucket = TokenBucket(
            self.timers,
            share_of(workspace.rate_per_s, ppm),
            share_of(workspace.burst, ppm),
            full,
        )
        usage = _Usage(bucket, limits, DemandMeter(DEMAND_AVERAGE_S, self.timers.now()))
        self._usages[workspace.name] = usage
        return usage

    def _locked_usage(self, workspace: Workspace) -> "_UsageLock":
        return _UsageLock(self, workspace)

    def _take(self, workspace: Workspace) -> bool:
        with self._locked_usage(workspace) as usage:
            return usage.take(self.timers.now())

    def _apply_changes(self, changes: list[ShareChange]) -> float:
        """Bring the buckets to the shares of a new ledger."""
        settled_s = self.timers.now()
        for change in changes:
            with self.lock:
                usage = self._changed_usage(change)
                if usage is None:
                    continue
                with usage.changed:
                    _, rate_per_s, burst = usage.limits
                    _resize(usage, (change.after_ppm, rate_per_s, burst))
                    settled_s = max(settled_s, usage.bucket.settled_at_s())
        return settled_s

    def _changed_usage(self, change: ShareChange) -> _Usage | None:
        usage = self._usages.get(change.workspace)
        if usage is not None or change.after_ppm < change.before_ppm:
            return usage
        # Tokens of the added part must flow in first. Without a configuration the
        # bucket has no limits until a request brings them.
        workspace = self.workspaces.get(change.workspace)
        if workspace is None:
            workspace = Workspace(change.workspace, 0.0, 0)
        return self._add_usage(workspace, change.before_ppm, full=True)

    def _borrow_one(self, workspace: Workspace, usage: _Usage) -> bool:
        """Get a token from another holder, as the only one or after waiting."""
        started_s = self.timers.now()
        with usage.changed:
            if self._wait_for_loan(usage, started_s + BORROW_BOUND_S):
                return True
            if usage.borrowing:
                return False
            usage.borrowing = True
        try:
            return self._ask_lenders(workspace, usage, started_s + BORROW_BOUND_S)
        finally:
            with usage.changed:
                usage.borrowing = False
                usage.changed.notify_all()

    def _wait_for_loan(self, usage: _Usage, deadline_s: float) -> bool:
        """Wait while others borrow; return whether their loan had a token to spare.

        The caller holds `changed`.
        """
        while usage.borrowing:
            left_s = deadline_s - self.timers.now()
            if left_s <= 0:
                return False
            usage.changed.wait_for(lambda: not usage.borrowing, left_s)
            if usage.take(self.timers.now()):
                return True
        return False

    def _ask_lenders(
        self, workspace: Workspace, usage: _Usage, deadline_s: float
    ) -> bool:
        """Ask each lender once, and those that did not answer until the deadline."""
        ask_until_s = min(self.timers.now() + ASK_BOUND_S, deadline_s)
        silent = False
        while lenders := self._lenders_in_order(workspace.name, usage):
            for member in lenders:
                asked_s = self.timers.now()
                if asked_s >= (deadline_s if silent else ask_until_s):
                    return False
                tokens = self.borrow(member, workspace.name, self._batch(usage))
                silent = silent or tokens is None
                if self._use_reply(usage, member, asked_s, tokens):
                    return True
        return False

    def _use_reply(
        self, usage: _Usage, member: Member, asked_s: float, tokens: int | None
    ) -> bool:
        """Take in a lender's reply; return whether it brought this request a token."""
        with usage.changed:
            now = self.timers.now()
            if tokens is None:
                usage.silent_until_s[member.instance] = now + SILENT_LENDER_S
                return False
            usage.silent_until_s.pop(member.instance, None)
            if not tokens:
                usage.empty_until_s[member.instance] = now + EMPTY_LENDER_S
                return False
            usage.borrowed.append(_Borrowed(asked_s + LOAN_LIFETIME_S, tokens))
            return usage.take(now)

    def _lenders_in_order(self, name: str, usage: _Usage) -> list[Member]:
        """Return the lenders that may have a token, silent ones last."""
        now = self.timers.now()
        with usage.changed:
            usage.empty_until_s = _still_valid(usage.empty_until_s, now)
            usage.silent_until_s = _still_valid(usage.silent_until_s, now)
            lenders = [
                member
                for member in self.holder.lenders(name)
                if member.instance not in usage.empty_until_s
            ]
            return sorted(lenders, key=lambda m: m.instance in usage.silent_until_s)

    def _batch(self, usage: _Usage) -> int:
        """Return how many tokens will be used within half a loan's lifetime."""
        expected = usage.demand.rate(self.timers.now()) * LOAN_LIFETIME_S / 2
        return max(1, min(int(expected), BORROW_BATCH_TOKENS))

    def _spare_tokens(self, usage: _Usage) -> int:
        """Return what may be lent: one token, or what local demand leaves."""
        own_need = usage.demand.rate(self.timers.now()) * LOAN_LIFETIME_S
        return max(1, int(usage.bucket.level() - own_need))

    def _retry_after_s(self, workspace: Workspace, usage: _Usage) -> float:
        own_s = usage.bucket.retry_after_s()
        if math.isfinite(own_s):
            return own_s
        # Without a whole token here, the next one of the whole fleet is the best.
        return 1.0 / workspace.rate_per_s if workspace.rate_per_s > 0 else 1.0


def _still_valid(until_s: dict[str, float], now_s: float) -> dict[str, float]:
    return {name: end_s for name, end_s in until_s.items() if end_s > now_s}


def _resize(usage: _Usage, limits: tuple[int, float, int]) -> None:
    ppm, rate_per_s, burst = limits
    usage.limits = limits
    usage.bucket.resize(share_of(rate_per_s, ppm), share_of(burst, ppm))


class _UsageLock:
    """Holds the lock of a workspace's usage, with the limits in force."""

    def __init__(self, admission: Admission, workspace: Workspace) -> None:
        self.admission = admission
        self.workspace = workspace

    def __enter__(self) -> _Usage:
        workspace = self.workspace
        while True:
            usage = self.admission._usage(workspace)
            usage.changed.acquire()
            if not usage.dropped:
                break
            usage.changed.release()
        self.usage = usage
        limits = (usage.limits[0], workspace.rate_per_s, workspace.burst)
        if usage.limits != limits:
            _resize(usage, limits)
        return usage

    def __exit__(self, *exception: object) -> None:
        self.usage.changed.release()
