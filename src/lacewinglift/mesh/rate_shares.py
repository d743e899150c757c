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
# Number of instances that share the rate of a cold target at most. Each may have saved
# one request, so that these stay within the 8 requests that a cold target bears on top
# of its rate, also while each side of a partition has shares of its own.
MAX_WARMING_SHARES = 4
# An instance uses its share in a cold target from this time after it got it. Instances
# that had it before have heard of it by then.
WARMING_HANDOVER_S = 1.0
# A process knows from this time after its start who else has shares.
WARMING_START_DELAY_S = 2.0
# A share that was not looked up for this long may have been another instance's since.
WARMING_SHARE_GAP_S = 3.0


@frozen
class _Share:
    limit_per_s: float
    rate_per_s: float
    computed_at_s: float
    held_since_s: float = 0.0
    """Time since which it has been above 0; only for cold targets."""


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
    warming_shares: dict[str, _Share] = field(factory=dict)
    started_at_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.started_at_s = self.timers.now()

    def rate_per_s(self, target: str, limit_per_s: float) -> float:
        """Return the rate at which this instance may send requests to a target."""
        now = self.timers.now()
        share = self.shares.get(target)
        if (
            share is None
            or share.limit_per_s != limit_per_s
            or now - share.computed_at_s > SHARE_LIFETIME_S
        ):
            names = self.serving_names() or [self.own_name]
            rate_per_s = self._compute(target, max(limit_per_s, MIN_RATE_PER_S), names)
            share = self.shares[target] = _Share(limit_per_s, rate_per_s, now)
        return share.rate_per_s

    def warming_rate_per_s(self, target: str, limit_per_s: float) -> float:
        """Return the rate at which this instance may send to a cold target."""
        now = self.timers.now()
        share = self.warming_shares.get(target)
        if (
            share is None
            or share.limit_per_s != limit_per_s
            or now - share.computed_at_s > SHARE_LIFETIME_S
        ):
            names = self.serving_names()
            rate_per_s = self._compute(target, limit_per_s, names, MAX_WARMING_SHARES)
            held_before = (
                share is not None
                and share.rate_per_s > 0
                and now - share.computed_at_s <= WARMING_SHARE_GAP_S
            )
            held_since_s = share.held_since_s if held_before else now
            share = _Share(limit_per_s, rate_per_s, now, held_since_s)
            self.warming_shares[target] = share
        if now - self.started_at_s < WARMING_START_DELAY_S:
            return 0.0
        held = now - share.held_since_s >= WARMING_HANDOVER_S
        return share.rate_per_s if held else 0.0

    def _compute(
        self,
        target: str,
        limit_per_s: float,
        names: Sequence[str],
        max_count: int | None = None,
    ) -> float:
        count = min(max(int(limit_per_s / MIN_SHARE_PER_S), 1), len(names))
        if max_count is not None:
            count = min(count, max_count)
        if self.own_name not in rank_candidates(target, names)[:count]:
            return 0.0
        return limit_per_s / count * self.reachable_fraction()

    def forget_others(self, targets: set[str]) -> None:
        """Forget the shares of all other targets."""
        for shares in (self.shares, self.warming_shares):
            for target in shares.keys() - targets:
                del shares[target]
