"""Token bucket of one workspace, which all instances of a fleet keep alike.

While a part of the fleet is not reachable, its part of the rate is withheld and its
part of the level is reserved, since it may use both.
"""

from attrs import define

from lacewinglift.mesh.isolation import ISOLATION_MIN_S
from lacewinglift.mesh.peer_counters import COUNT_REPEAT_S
from lacewinglift.mesh.unreported_usage import UnreportedUsage

# Maximum debt of a bucket, in seconds of its rate.
MAX_DEBT_S = 5.0


@define(eq=False)
class OwnCount:
    """Requests of a workspace that this instance has admitted within its limit."""

    admitted: int = 0
    last_admitted_at_s: float = float("-inf")
    reported: int = 0
    """Those of them that the instances which share limits have been told of."""

    def add(self, now_s: float) -> None:
        """Count one more request."""
        self.admitted += 1
        self.last_admitted_at_s = now_s


@define(eq=False)
class FleetBucket:
    """Tokens of one workspace, as far as this instance knows of the fleet's use."""

    rate_per_s: float
    burst: float
    level: float
    refilled_at_s: float
    reachable_fraction: float = 1.0
    reserved: float = 0.0
    """Part of the level that belongs to instances that are not reachable."""
    withheld: float = 0.0
    """Tokens that were not granted here, as they belonged to such instances."""
    withheld_at_s: float = float("-inf")
    own_since_heard: int = 0
    """Requests that this instance has admitted since `counted_since_s`."""
    counted_since_s: float = float("-inf")
    usage: UnreportedUsage | None = None
    """None until the workspace is used; most workspaces are not."""

    def refill(self, now_s: float, fraction: float) -> None:
        """Add the tokens since the last time, as far as this instance grants them.

        Parameters
        ----------
        now_s : float
            Present time.
        fraction : float
            Part of the rate that this instance grants.
        """
        earned = (now_s - self.refilled_at_s) * self.rate_per_s
        self.refilled_at_s = now_s
        self.level = min(self.level + earned * fraction, self.burst)
        self._withhold(now_s, earned * (1.0 - fraction))

    def _withhold(self, now_s: float, tokens: float) -> None:
        if tokens > 0:
            self.withheld = min(self.withheld + tokens, MAX_DEBT_S * self.rate_per_s)
            self.withheld_at_s = now_s
        elif now_s - self.withheld_at_s > COUNT_REPEAT_S:
            self.withheld = 0.0

    def reserve(self, now_s: float, fraction: float, last_heard_at_s: float) -> None:
        """Reserve the tokens of instances that this one does not hear any more.

        They may use their part of the level until they hear this instance again. What
        was spent before the loss was noticed counts towards the part of this side.

        Parameters
        ----------
        now_s : float
            Present time.
        fraction : float
            Part of the fleet that is reachable, this instance included.
        last_heard_at_s : float
            Time of the last report of another instance.
        """
        if fraction >= 1.0:
            self.reserved = 0.0
        elif fraction < self.reachable_fraction:
            lost = 1.0 - fraction / self.reachable_fraction
            spent = self._spent_unnoticed(now_s, last_heard_at_s)
            self.reserved += lost * max(self.usable() + spent, 0.0)
            if not spent:
                # A silence may be a mistake, in a fleet that has just become quiet.
                self.reserved = min(self.reserved, max(self.level - 1.0, 0.0))
        elif fraction > self.reachable_fraction:
            self.reserved *= (1.0 - fraction) / (1.0 - self.reachable_fraction)
        self.reachable_fraction = fraction

    def _spent_unnoticed(self, now_s: float, last_heard_at_s: float) -> float:
        """Return what was spent on this side before it noticed a loss."""
        if now_s - last_heard_at_s > ISOLATION_MIN_S:
            return (
                self.own_since_heard if last_heard_at_s == self.counted_since_s else 0
            )
        return 0.0 if self.usage is None else self.usage.spent_until_missed(now_s)

    def usable(self) -> float:
        """Return the tokens that are not reserved for others."""
        return self.level - self.reserved

    def log_fields(self, fraction: float) -> dict[str, object]:
        """Return the state for a log line, with the part of the fleet that is heard."""
        return {
            "tokens": self.usable(),
            "rate_per_s": self.rate_per_s,
            "heard_part": fraction,
        }

    def charge_after_silence(self, tokens: float) -> None:
        """Charge what an instance admitted while it was not reachable."""
        granted = min(tokens, self.withheld)
        self.withheld -= granted
        self.charge(tokens - granted)

    def charge(self, tokens: float) -> None:
        """Charge what another instance has admitted."""
        self.level = max(self.level - tokens, -MAX_DEBT_S * self.rate_per_s)

    def record_own(self, now_s: float, last_heard_at_s: float) -> None:
        """Count a request that this instance admits."""
        self.level -= 1.0
        if self.counted_since_s != last_heard_at_s:
            self.counted_since_s = last_heard_at_s
            self.own_since_heard = 0
        self.own_since_heard += 1
        self.ensure_usage(now_s).record_own(now_s)

    def ensure_usage(self, now_s: float) -> UnreportedUsage:
        """Return the use of the workspace, which is followed from now on."""
        if self.usage is None:
            self.usage = UnreportedUsage.since(now_s)
        return self.usage

    def unreported(self, now_s: float, report_delay_s: float) -> float:
        """Return what the others have probably admitted and not reported yet."""
        if self.usage is None:
            return 0.0
        return self.usage.estimate(now_s, report_delay_s)
