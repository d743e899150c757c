"""Divides the quota of one workspace among its holders."""

import math
from collections.abc import Collection, Hashable, Mapping, Sequence
from typing import TypeVar

from attrs import define, frozen

from lacewinglift.admission import DEMAND_AVERAGE_S
from lacewinglift.homes import share_limit
from lacewinglift.ledger import WHOLE_PPM

Holder = TypeVar("Holder", bound=Hashable)

# A home without demand keeps this part of an equal share, for its next request and
# for loans to others.
HOME_MINIMUM_PART = 0.125
# Parts of the quota that nobody asks for go to homes in equal parts by this weight,
# and by demand otherwise.
SPARE_EQUAL_WEIGHT = 0.25
# A measured demand is this many standard deviations above a share before it counts
# as more than the share; with fewer, the division follows noise.
SHORTAGE_DEVIATIONS = 3.0
SHORTAGE_PPM = 10_000
# What is on its way from one holder to another serves nobody for a second or two,
# and loans cover the need meanwhile.
MOVED_PPM_PER_VERSION = 50_000
FREE_PPM = 1_000  # smaller remainders are left where they are


@define
class Holding:
    """What a ledger gives one holder of a workspace."""

    granted_ppm: int = 0
    reserved_ppm: int = 0


@frozen
class Quota:
    """What is to be divided, and among whom."""

    rate_per_s: float
    burst: int
    homes: tuple[str, ...]
    """Home instances, the first being kept where there are too many."""
    demands: dict[str, float]
    """Tokens per second asked for at each live member."""
    whole_ppm: int = WHOLE_PPM
    """What live members may hold together; silent ones may keep the rest."""

    def token_ppm(self) -> int:
        """Return the smallest share that can hold one whole token."""
        return math.ceil(WHOLE_PPM / max(self.burst, 1))

    def max_holders(self) -> int:
        """Return how many holders can have a whole token each."""
        by_tokens = self.whole_ppm // self.token_ppm()
        return min(by_tokens, share_limit(self.burst))


def holding_homes(quota: Quota) -> tuple[str, ...]:
    """Return the homes that get a share."""
    return quota.homes[: quota.max_holders()]


def home_minimum_ppm(quota: Quota) -> int:
    """Return the smallest share of a home."""
    equal = quota.whole_ppm / len(holding_homes(quota))
    return max(quota.token_ppm(), int(equal * HOME_MINIMUM_PART))


def target_shares(quota: Quota) -> dict[str, int]:
    """Return the shares in parts per million that fit the demand.

    Each home first gets its demand up to an equal share. The rest goes to unmet
    demand, the smallest share being raised first, and what is left over to all by
    demand. Instances that are not homes get a share only if it holds a token.
    """
    homes = holding_homes(quota)
    if not homes or quota.rate_per_s <= 0 or quota.burst < 1:
        return {}
    others = _other_holders(quota, homes)
    while True:
        shares = _fill(quota, homes, others)
        small = [name for name in others if shares[name] < quota.token_ppm()]
        if not small:
            return _whole_parts(quota, homes, shares)
        others.remove(min(small, key=lambda name: (shares[name], name)))


def is_short(quota: Quota, granted: Mapping[str, int]) -> bool:
    """Return whether demand exceeds some holder's share by more than noise."""
    homes = holding_homes(quota)
    if not homes:
        return False
    if _breaks_minimum(quota, granted):
        return True
    return any(
        _surely_above(demand, granted.get(name, 0) * quota.rate_per_s / WHOLE_PPM)
        for name, demand in quota.demands.items()
    )


def is_worth_moving(
    quota: Quota, granted: Mapping[str, int], targets: Mapping[str, int]
) -> bool:
    """Return whether a short holder would gain enough from the targets."""
    if _breaks_minimum(quota, granted):
        return True
    return any(
        target - granted.get(name, 0) >= SHORTAGE_PPM
        and _surely_above(
            quota.demands.get(name, 0.0),
            granted.get(name, 0) * quota.rate_per_s / WHOLE_PPM,
        )
        for name, target in targets.items()
    )


def _breaks_minimum(quota: Quota, granted: Mapping[str, int]) -> bool:
    """Return whether a home has too little, or a share holds no whole token."""
    minimum = home_minimum_ppm(quota)
    if any(granted.get(name, 0) < minimum for name in holding_homes(quota)):
        return True
    return any(0 < share < quota.token_ppm() for share in granted.values())


def next_holdings(
    holdings: Mapping[Holder, Holding],
    targets: Mapping[Holder, int],
    settled: Collection[Holder],
    lowered: Collection[Holder],
    leaving: Collection[Holder] = (),
) -> dict[Holder, Holding]:
    """Return the holdings of the next version, one safe step towards the targets.

    Parameters
    ----------
    holdings : mapping of holder to Holding
        The present holdings.

    targets : mapping of holder to int
        Shares wished for, in parts per million.

    settled : collection of holders
        Those that have applied the present holdings, so that what they are not
        granted any more is free.

    lowered : collection of holders
        Those whose share is lowered, in small steps, if it is above their target.

    leaving : collection of holders
        Those who lose their share at once.
    """
    excess = {
        holder: max(holdings[holder].granted_ppm - targets.get(holder, 0), 0)
        for holder in holdings
        if holder in lowered
    }
    part = min(1.0, MOVED_PPM_PER_VERSION / max(sum(excess.values()), 1))
    result = {}
    for holder, holding in holdings.items():
        granted, reserved = holding.granted_ppm, holding.reserved_ppm
        if holder in settled:
            reserved = granted
        if holder in leaving:
            granted = 0
        else:
            granted -= math.ceil(excess.get(holder, 0) * part)
        result[holder] = Holding(granted, reserved)
    _raise(result, targets)
    return {
        holder: holding for holder, holding in result.items() if holding.reserved_ppm
    }


def _raise(holdings: dict[Holder, Holding], targets: Mapping[Holder, int]) -> None:
    """Give what is free to those below their target."""
    for name, target in targets.items():
        holding = holdings.setdefault(name, Holding())
        within = min(target, holding.reserved_ppm)
        holding.granted_ppm = max(holding.granted_ppm, within)
    free = WHOLE_PPM - sum(holding.reserved_ppm for holding in holdings.values())
    missing = {
        name: target - holdings[name].reserved_ppm
        for name, target in targets.items()
        if target > holdings[name].reserved_ppm
    }
    total = sum(missing.values())
    if free <= 0 or not total:
        return
    for name, wanted in missing.items():
        holding = holdings[name]
        holding.reserved_ppm += min(wanted, wanted * free // total)
        holding.granted_ppm = holding.reserved_ppm


def _surely_above(demand: float, share: float) -> bool:
    deviation = math.sqrt(demand / (2 * DEMAND_AVERAGE_S))
    return demand - SHORTAGE_DEVIATIONS * deviation > share


def _other_holders(quota: Quota, homes: Sequence[str]) -> list[str]:
    asking = [
        name
        for name, demand in quota.demands.items()
        if demand > 0 and name not in homes
    ]
    asking.sort(key=lambda name: (-quota.demands[name], name))
    return asking[: quota.max_holders() - len(homes)]


def _fill(
    quota: Quota, homes: Sequence[str], others: Sequence[str]
) -> dict[str, float]:
    """Return the shares as real numbers."""
    scale = WHOLE_PPM / quota.rate_per_s
    wanted = {name: quota.demands.get(name, 0.0) * scale for name in (*homes, *others)}
    equal = quota.whole_ppm / len(homes)
    for name in homes:
        wanted[name] = max(wanted[name], float(home_minimum_ppm(quota)))
    shares = dict.fromkeys(wanted, 0.0)
    for name in homes:
        shares[name] = min(wanted[name], equal)
    level = _water_level(shares, wanted, quota.whole_ppm)
    for name in shares:
        shares[name] = max(shares[name], min(wanted[name], level))
    _spread_spare(shares, homes, quota.whole_ppm)
    return shares


def _water_level(
    shares: Mapping[str, float], wanted: Mapping[str, float], whole_ppm: int
) -> float:
    """Return the level up to which raising the smallest shares uses the whole."""

    def used(level: float) -> float:
        return sum(max(shares[name], min(wanted[name], level)) for name in shares)

    low, high = 0.0, float(whole_ppm)
    if used(high) <= whole_ppm:
        return high
    for _ in range(40):
        middle = (low + high) / 2
        low, high = (middle, high) if used(middle) <= whole_ppm else (low, middle)
    return low


def _spread_spare(
    shares: dict[str, float], homes: Sequence[str], whole_ppm: int
) -> None:
    spare = whole_ppm - sum(shares.values())
    if spare <= 0:
        return
    equal = SPARE_EQUAL_WEIGHT * whole_ppm / len(homes)
    weights = {
        name: share + (equal if name in homes else 0.0)
        for name, share in shares.items()
    }
    total = sum(weights.values())
    for name, weight in weights.items():
        shares[name] += spare * weight / total


def _whole_parts(
    quota: Quota, homes: Sequence[str], shares: Mapping[str, float]
) -> dict[str, int]:
    """Round to whole parts that hold a token each and do not exceed the whole."""
    parts = {name: max(int(share), quota.token_ppm()) for name, share in shares.items()}
    while (excess := sum(parts.values()) - quota.whole_ppm) > 0:
        largest = max(parts, key=lambda name: (parts[name], name))
        parts[largest] -= min(excess, max(parts[largest] - quota.token_ppm(), 1))
    return parts
