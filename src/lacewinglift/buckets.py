"""Token bucket with loans, exact in integer arithmetic."""

import threading
from fractions import Fraction

from attrs import define, field

from lacewinglift.timers import Timers

_NANO = 10**9
# Levels are integers in units of 1e-18 tokens: nanoseconds multiplied by
# nanotokens per second. Sums and differences are exact, so that rounding never
# creates tokens however often a bucket is refilled.
_TOKEN = 10**18


def _nanoseconds(seconds: float) -> int:
    return int(seconds * _NANO)


@define
class _Loan:
    expires_ns: int
    units: int


@define
class _Limits:
    rate: int
    """Units per nanosecond."""
    capacity: int
    """Units."""

    @classmethod
    def of(cls, rate_per_s: float | Fraction, capacity: float | Fraction) -> "_Limits":
        if rate_per_s < 0 or capacity < 0:
            raise ValueError("rate and capacity of a bucket must not be negative")
        # Rounded down from the exact value, so that parts never sum to more.
        rate = int(Fraction(rate_per_s) * _NANO)
        return cls(rate, int(Fraction(capacity) * _TOKEN))


@define(eq=False)
class _Level:
    """Level and loans of a bucket; the caller holds the bucket's lock."""

    limits: _Limits
    at_ns: int
    units: int = 0
    loans: list[_Loan] = field(factory=list)
    lent: int = 0

    def ceiling(self) -> int:
        """Return the capacity that loans leave."""
        return max(self.limits.capacity - self.lent, 0)

    def move_to(self, now_ns: int) -> None:
        """Refill up to `now_ns`; a clock that goes back refills nothing."""
        while self.loans and self.loans[0].expires_ns <= now_ns:
            loan = self.loans.pop(0)
            self._refill(loan.expires_ns)
            self.lent -= loan.units
        self._refill(now_ns)

    def add_loan(self, loan: _Loan) -> None:
        self.units -= loan.units
        self.lent += loan.units
        self.loans.append(loan)
        self.loans.sort(key=lambda entry: entry.expires_ns)

    def _refill(self, now_ns: int) -> None:
        elapsed_ns = max(now_ns - self.at_ns, 0)
        inflow = elapsed_ns * self.limits.rate
        self.units = min(self.units + inflow, self.ceiling())
        self.at_ns = max(self.at_ns, now_ns)


class TokenBucket:
    """Bucket of one workspace at one holder.

    Level and outstanding loans together never exceed the capacity, except for
    loans made before the capacity was lowered, which end at `settled_at_s`.

    Parameters
    ----------
    timers : Timers
        Clock of the bucket.

    rate_per_s : float or Fraction
        Tokens that flow in each second.

    capacity : float or Fraction
        Level at which the inflow stops.

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
        self._level = _Level(limits, _nanoseconds(timers.now()))
        if full:
            self._level.units = limits.capacity

    def take(self, tokens: int = 1) -> bool:
        """Remove `tokens` from the bucket if it has that many."""
        with self.lock:
            level = self._current()
            if level.units < tokens * _TOKEN:
                return False
            level.units -= tokens * _TOKEN
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
            level = self._current()
            lent = max(min(tokens, level.units // _TOKEN), 0)
            if lent:
                expires_ns = level.at_ns + _nanoseconds(lifetime_s)
                level.add_loan(_Loan(expires_ns, lent * _TOKEN))
            return lent

    def resize(self, rate_per_s: float | Fraction, capacity: float | Fraction) -> None:
        """Change the limits; more capacity brings no tokens, less discards some."""
        limits = _Limits.of(rate_per_s, capacity)
        with self.lock:
            level = self._current()
            level.limits = limits
            level.units = min(level.units, level.ceiling())

    def level(self) -> float:
        """Return the tokens in the bucket."""
        with self.lock:
            return self._current().units / _TOKEN

    def is_full(self) -> bool:
        """Return whether the bucket is at its capacity and nothing is lent."""
        with self.lock:
            level = self._current()
            return not level.lent and level.units >= level.limits.capacity

    def settled_at_s(self) -> float:
        """Return when the last loan above the present capacity has expired."""
        with self.lock:
            level = self._current()
            excess = level.lent - level.limits.capacity
            settled_ns = level.at_ns
            for loan in level.loans:
                if excess <= 0:
                    break
                excess -= loan.units
                settled_ns = loan.expires_ns
            return settled_ns / _NANO

    def retry_after_s(self) -> float:
        """Return the time until a token has flowed in; infinite if none can."""
        with self.lock:
            level = self._current()
            missing = _TOKEN - level.units
            if missing <= 0:
                return 0.0
            if not level.limits.rate or level.limits.capacity < _TOKEN:
                return float("inf")
            return missing / level.limits.rate / _NANO

    def _current(self) -> _Level:
        self._level.move_to(_nanoseconds(self.timers.now()))
        return self._level
