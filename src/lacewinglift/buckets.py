"""Token bucket with loans, exact in integer arithmetic."""

import threading
from fractions import Fraction

from attrs import define, field

from lacewinglift.timers import Timers

_NANO_PER_UNIT = 10**9
# Levels are integers in units of 1e-18 tokens: nanoseconds multiplied by
# nanotokens per second. Sums and differences are exact, so that rounding never
# creates tokens however often a bucket is refilled.
_UNITS_PER_TOKEN = 10**18


def _to_nanoseconds(seconds: float) -> int:
    return int(seconds * _NANO_PER_UNIT)


@define
class _Loan:
    expires_ns: int
    units: int


@define
class _Limits:
    rate_units_per_ns: int
    """Units per nanosecond."""
    capacity_units: int
    """Units."""

    @classmethod
    def of(cls, rate_per_s: float | Fraction, capacity: float | Fraction) -> "_Limits":
        if rate_per_s < 0 or capacity < 0:
            raise ValueError("rate and capacity of a bucket must not be negative")
        # Rounded down from the exact value, so that parts never sum to more.
        rate_units_per_ns = int(Fraction(rate_per_s) * _NANO_PER_UNIT)
        return cls(rate_units_per_ns, int(Fraction(capacity) * _UNITS_PER_TOKEN))


@define(eq=False)
class _BucketState:
    """Level and loans of a bucket; the caller holds the bucket's lock."""

    limits: _Limits
    updated_at_ns: int
    units: int = 0
    loans: list[_Loan] = field(factory=list)
    lent_units: int = 0

    def unlent_capacity(self) -> int:
        """Return the capacity that loans leave."""
        return max(self.limits.capacity_units - self.lent_units, 0)

    def advance_to(self, now_ns: int) -> None:
        """Refill up to `now_ns`; a clock that goes back refills nothing."""
        while self.loans and self.loans[0].expires_ns <= now_ns:
            loan = self.loans.pop(0)
            self._refill(loan.expires_ns)
            self.lent_units -= loan.units
        self._refill(now_ns)

    def add_loan(self, loan: _Loan) -> None:
        self.units -= loan.units
        self.lent_units += loan.units
        self.loans.append(loan)
        self.loans.sort(key=lambda entry: entry.expires_ns)

    def _refill(self, now_ns: int) -> None:
        elapsed_ns = max(now_ns - self.updated_at_ns, 0)
        refill_units = elapsed_ns * self.limits.rate_units_per_ns
        self.units = min(self.units + refill_units, self.unlent_capacity())
        self.updated_at_ns = max(self.updated_at_ns, now_ns)


class TokenBucket:
    """Bucket of one workspace at one holder.

    Level and outstanding loans together never exceed the capacity, except for
    loans made before the capacity was lowered, which end at `excess_loans_expire_at_s`.

    Parameters
    ----------
    timers : Timers
        Clock of the bucket.

    rate_per_s : float or Fraction
        Tokens that flow in each second.

    capacity : float or Fraction
        Level at which the refill_units stops.

    full : bool, default=False
        Whether the bucket starts at its capacity. An incarnation that has just
        started must start empty, since an earlier one may have spent the tokens.
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
            self._state.units = limits.capacity_units

    def try_acquire(self, tokens: int = 1) -> bool:
        """Remove `tokens` from the bucket if it has that many."""
        with self.lock:
            state = self._refilled_state()
            if state.units < tokens * _UNITS_PER_TOKEN:
                return False
            state.units -= tokens * _UNITS_PER_TOKEN
            return True

    def lend(self, tokens: int, lifetime_s: float) -> int:
        """Remove up to `tokens` whole tokens and lower the capacity for a time.

        Returns
        -------
        lent : int
            Number of tokens lent. The capacity is lower by as many for
            `lifetime_s`, so that tokens that the borrower has yet to use and
            tokens that flow in here meanwhile stay within the capacity.
        """
        with self.lock:
            state = self._refilled_state()
            lent = max(min(tokens, state.units // _UNITS_PER_TOKEN), 0)
            if lent:
                expires_ns = state.updated_at_ns + _to_nanoseconds(lifetime_s)
                state.add_loan(_Loan(expires_ns, lent * _UNITS_PER_TOKEN))
            return lent

    def resize(self, rate_per_s: float | Fraction, capacity: float | Fraction) -> None:
        """Change the limits; more capacity brings no tokens, less discards some."""
        limits = _Limits.of(rate_per_s, capacity)
        with self.lock:
            state = self._refilled_state()
            state.limits = limits
            state.units = min(state.units, state.unlent_capacity())

    def level(self) -> float:
        """Return the tokens in the bucket."""
        with self.lock:
            return self._refilled_state().units / _UNITS_PER_TOKEN

    def is_full(self) -> bool:
        """Return whether the bucket is at its capacity and nothing is lent."""
        with self.lock:
            state = self._refilled_state()
            return not state.lent_units and state.units >= state.limits.capacity_units

    def excess_loans_expire_at_s(self) -> float:
        """Return when the last loan above the present capacity has expired."""
        with self.lock:
            state = self._refilled_state()
            excess = state.lent_units - state.limits.capacity_units
            expired_at_ns = state.updated_at_ns
            for loan in state.loans:
                if excess <= 0:
                    break
                excess -= loan.units
                expired_at_ns = loan.expires_ns
            return expired_at_ns / _NANO_PER_UNIT

    def retry_after_s(self) -> float:
        """Return the time until a token has flowed in; infinite if none can."""
        with self.lock:
            state = self._refilled_state()
            missing = _UNITS_PER_TOKEN - state.units
            if missing <= 0:
                return 0.0
            if (
                not state.limits.rate_units_per_ns
                or state.limits.capacity_units < _UNITS_PER_TOKEN
            ):
                return float("inf")
            return missing / state.limits.rate_units_per_ns / _NANO_PER_UNIT

    def _refilled_state(self) -> _BucketState:
        self._state.advance_to(_to_nanoseconds(self.timers.now()))
        return self._state
