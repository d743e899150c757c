"""Token bucket that can lend tokens, with exact integer arithmetic."""

import threading
from fractions import Fraction

from attrs import define, field

from lacewinglift.timers import Timers

_NANO = 10**9
# Tokens are counted in integer units of 1e-18 tokens, which are nanoseconds
# multiplied by nanotokens per second. Sums and differences are exact, so rounding
# never creates tokens, however often a bucket is refilled.
_UNITS_PER_TOKEN = 10**18


def _to_nanoseconds(seconds: float) -> int:
    return int(seconds * _NANO)


@define
class _Loan:
    """Tokens lent to another instance, in units of 1e-18 tokens."""

    expires_ns: int
    units: int


@define
class _Limits:
    """Refill rate and capacity of a bucket."""

    rate_units_per_ns: int
    capacity_units: int

    @classmethod
    def of(cls, rate_per_s: float | Fraction, capacity: float | Fraction) -> "_Limits":
        if rate_per_s < 0 or capacity < 0:
            raise ValueError("rate and capacity of a bucket must not be negative")
        # Rounded down from the exact value, so that the shares of a quota never add
        # up to more than the quota.
        rate_units_per_ns = int(Fraction(rate_per_s) * _NANO)
        return cls(rate_units_per_ns, int(Fraction(capacity) * _UNITS_PER_TOKEN))


@define(eq=False)
class _BucketState:
    """Level and loans of a bucket; the caller holds the bucket's lock."""

    limits: _Limits
    updated_at_ns: int
    level_units: int = 0
    loans: list[_Loan] = field(factory=list)
    lent_units: int = 0

    def unlent_capacity(self) -> int:
        """Return the capacity less the outstanding loans."""
        return max(self.limits.capacity_units - self.lent_units, 0)

    def advance_to(self, now_ns: int) -> None:
        """Refill up to `now_ns` and end expired loans.

        A clock that goes backwards refills nothing.
        """
        while self.loans and self.loans[0].expires_ns <= now_ns:
            loan = self.loans.pop(0)
            self._refill(loan.expires_ns)
            self.lent_units -= loan.units
        self._refill(now_ns)

    def add_loan(self, loan: _Loan) -> None:
        """Deduct a loan from the level and from the capacity."""
        self.level_units -= loan.units
        self.lent_units += loan.units
        self.loans.append(loan)
        self.loans.sort(key=lambda entry: entry.expires_ns)

    def _refill(self, now_ns: int) -> None:
        elapsed_ns = max(now_ns - self.updated_at_ns, 0)
        refill_units = elapsed_ns * self.limits.rate_units_per_ns
        self.level_units = min(self.level_units + refill_units, self.unlent_capacity())
        self.updated_at_ns = max(self.updated_at_ns, now_ns)


class TokenBucket:
    """Token bucket of one workspace at one instance; safe for use by threads.

    The level and the outstanding loans together never exceed the capacity, except
    for loans made before the capacity was lowered, which have expired by
    `excess_loans_expire_at_s`.

    Parameters
    ----------
    timers : Timers
        Clock of the bucket.

    rate_per_s : float or Fraction
        Tokens added per second.

    capacity : float or Fraction
        Maximum number of tokens.

    full : bool, default=False
        Whether the bucket starts at its capacity. An incarnation that has just
        started must begin with empty buckets, since an earlier incarnation may have
        spent the tokens.
    """

    def __init__(
        self,
        timers: Timers,
        rate_per_s: float | Fraction,
        capacity: float | Fraction,
        full: bool = False,
    ) -> None:
        self.timers = timers
        self.lock = threading.Lock()
        limits = _Limits.of(rate_per_s, capacity)
        self._state = _BucketState(limits, _to_nanoseconds(timers.now()))
        if full:
            self._state.level_units = limits.capacity_units

    def try_acquire(self, tokens: int = 1) -> bool:
        """Remove `tokens` if the bucket has that many; return whether it had."""
        with self.lock:
            state = self._refilled_state()
            if state.level_units < tokens * _UNITS_PER_TOKEN:
                return False
            state.level_units -= tokens * _UNITS_PER_TOKEN
            return True

    def lend(self, tokens: int, lifetime_s: float) -> int:
        """Remove up to `tokens` whole tokens and lower the capacity temporarily.

        Returns
        -------
        lent : int
            Number of tokens lent. The capacity is lower by this number for
            `lifetime_s`, so that the borrower's unused tokens and the tokens
            refilled here together stay within the capacity.
        """
        with self.lock:
            state = self._refilled_state()
            lent = max(min(tokens, state.level_units // _UNITS_PER_TOKEN), 0)
            if lent:
                expires_ns = state.updated_at_ns + _to_nanoseconds(lifetime_s)
                state.add_loan(_Loan(expires_ns, lent * _UNITS_PER_TOKEN))
            return lent

    def resize(self, rate_per_s: float | Fraction, capacity: float | Fraction) -> None:
        """Change the limits.

        A raised capacity adds no tokens; a lowered one discards those above it.
        """
        limits = _Limits.of(rate_per_s, capacity)
        with self.lock:
            state = self._refilled_state()
            state.limits = limits
            state.level_units = min(state.level_units, state.unlent_capacity())

    def level(self) -> float:
        """Return the number of tokens in the bucket."""
        with self.lock:
            return self._refilled_state().level_units / _UNITS_PER_TOKEN

    def is_full(self) -> bool:
        """Return whether the bucket is at its capacity and nothing is lent."""
        with self.lock:
            state = self._refilled_state()
            return (
                not state.lent_units
                and state.level_units >= state.limits.capacity_units
            )

    def excess_loans_expire_at_s(self) -> float:
        """Return the time by which the outstanding loans fit the present capacity."""
        with self.lock:
            state = self._refilled_state()
            excess = state.lent_units - state.limits.capacity_units
            expired_at_ns = state.updated_at_ns
            for loan in state.loans:
                if excess <= 0:
                    break
                excess -= loan.units
                expired_at_ns = loan.expires_ns
            return expired_at_ns / _NANO

    def retry_after_s(self) -> float:
        """Return the time until there is a whole token, infinite if there never is."""
        with self.lock:
            state = self._refilled_state()
            missing = _UNITS_PER_TOKEN - state.level_units
            if missing <= 0:
                return 0.0
            if (
                not state.limits.rate_units_per_ns
                or state.limits.capacity_units < _UNITS_PER_TOKEN
            ):
                return float("inf")
            return missing / state.limits.rate_units_per_ns / _NANO

    def _refilled_state(self) -> _BucketState:
        self._state.advance_to(_to_nanoseconds(self.timers.now()))
        return self._state
