"""Division of the rate that a target takes among the instances of the fleet.

The rate can be a single request a second, far less than what many instances would send
before they hear of each other. So it is divided beforehand: for each target, a few
instances by rendezvous rank get a share, and no other instance sends it anything.
"""

from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from lacewinglift.rendezvous import rank_candidates
from lacewinglift.timers import Timers

# Smallest share of an instance, unless the whole rate is smaller. An instance with a
# share much above what its callers ask for would leave the rest unused.
MIN_SHARE_PER_S = 1.0
# Rate at which a target is asked that takes less, so that the end of its need shows.
MIN_RATE_PER_S = 0.2
# A share is computed again after this time, as instances come and go.
SHARE_LIFETIME_S = 0.25


@frozen
class _Share:
    limit_per_s: float
    rate_per_s: float
    computed_at_s: float


@define(eq=False)
class RateShares:
    """Shares of this instance in the rates that targets take.

    Attributes
    ----------
    timers : Timers
        Clock.
    own_name : str
        Name of this instance.
    serving_names : callable
        Returns the names of the instances that serve callers.
    reachable_fraction : callable
        Returns the fraction of the fleet that is reachable. Only this fraction of a
        rate is used, so that both sides of a network partition stay within it.
    """

    timers: Timers
    own_name: str
    serving_names: Callable[[], Sequence[str]]
    reachable_fraction: Callable[[], float]
    shares: dict[str, _Share] = field(factory=dict)

    def rate_per_s(self, target: str, limit_per_s: float) -> float:
        """Return the rate at which this instance may send requests to a target."""
        now = self.timers.now()
        share = self.shares.get(target)
        if (
            share is None
            or share.limit_per_s != limit_per_s
            or now - share.computed_at_s > SHARE_LIFETIME_S
        ):
            rate_per_s = self._compute(target, max(limit_per_s, MIN_RATE_PER_S))
            share = self.shares[target] = _Share(limit_per_s, rate_per_s, now)
        return share.rate_per_s

    def _compute(self, target: str, limit_per_s: float) -> float:
        names = self.serving_names() or [self.own_name]
        count = min(max(int(limit_per_s / MIN_SHARE_PER_S), 1), len(names))
        if self.own_name not in rank_candidates(target, names)[:count]:
            return 0.0
        return limit_per_s / count * self.reachable_fraction()

    def forget_others(self, targets: set[str]) -> None:
        """Forget the shares of all other targets."""
        for target in self.shares.keys() - targets:
            del self.shares[target]
