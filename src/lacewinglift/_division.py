"""Divides the quota of one workspace among its holders by max-min fairness."""

import math
from collections.abc import Collection, Hashable, Mapping, Sequence
from typing import TypeVar

from attrs import define, frozen

from lacewinglift.admission import DEMAND_TIME_CONSTANT_S
from lacewinglift.homes import max_shares
from lacewinglift.ledger import TOTAL_PPM

Holder = TypeVar("Holder", bound=Hashable)

# A home without demand keeps this fraction of an equal share, for its next request
# and for loans to other instances.
MIN_HOME_SHARE_FRACTION = 0.125
# Weight of an equal division among homes, relative to a division in proportion to
# the shares, when quota beyond all demand is distributed.
SURPLUS_EQUAL_WEIGHT = 0.25
# A measured demand must exceed a share by this many standard deviations to count as
# a shortage. With fewer, the division would follow noise.
SHORTAGE_STANDARD_DEVIATIONS = 3.0
# Shares are moved only if a holder with a shortage gains at least this much.
MIN_SHARE_GAIN_PPM = 10_000
# Quota that moves from one holder to another is unusable for a second or two, during
# which loans must cover the demand, so each version moves only this much.
MAX_MOVED_PPM_PER_VERSION = 50_000
# Smaller amounts of free quota are not worth a new version.
MIN_REDISTRIBUTED_PPM = 1_000


@define
class Holding:
    """One holder's part of a workspace's quota, in parts per million."""

    granted_ppm: int = 0
    """Share that the holder may use."""
    reserved_ppm: int = 0
    """Share that nobody else may be granted, since the holder may still be using it."""


@frozen
class Quota:
    """The quota of one workspace, and the instances that may hold shares of it."""

    rate_per_s: float
    burst: int
    homes: tuple[str, ...]
    """Home instances by priority, of which the last get no share if there are too
    many."""
    demands: dict[str, float]
    """Requested tokens per second at each live member."""
    available_ppm: int = TOTAL_PPM
    """Total that live members may hold; fenced or silent members keep the rest."""

    def min_share_ppm(self) -> int:
        """Return the smallest share that can hold one whole token."""
        return math.ceil(TOTAL_PPM / max(self.burst, 1))

    def max_holders(self) -> int:
        """Return the maximum number of holders.

        Each must be able to have a whole token, and `max_shares` limits how far the
        burst is divided.
        """
        by_tokens = self.available_ppm // self.min_share_ppm()
        return min(by_tokens, max_shares(self.burst))


def homes_with_share(quota: Quota) -> tuple[str, ...]:
    """Return the homes that get a share."""
    return quota.homes[: quota.max_holders()]


def min_home_share_ppm(quota: Quota) -> int:
    """Return the smallest share of a home."""
    equal_share = quota.available_ppm / len(homes_with_share(quota))
    return max(quota.min_share_ppm(), int(equal_share * MIN_HOME_SHARE_FRACTION))


def target_shares(quota: Quota) -> dict[str, int]:
    """Return the ideal shares for the demand, in parts per million.

    Each home first gets its demand, up to an equal share. The rest is used for unmet
    demand by raising the smallest shares first, and any surplus is distributed to
    all. Instances that are not homes get a share only if it holds a whole token.
    """
    homes = homes_with_share(quota)
    if not homes or quota.rate_per_s <= 0 or quota.burst < 1:
        return {}
    others = _non_home_holders(quota, homes)
    while True:
        shares = _fractional_shares(quota, homes, others)
        too_small = [name for name in others if shares[name] < quota.min_share_ppm()]
        if not too_small:
            return _round_shares(quota, homes, shares)
        others.remove(min(too_small, key=lambda name: (shares[name], name)))


def has_shortage(quota: Quota, granted: Mapping[str, int]) -> bool:
    """Return whether some holder's demand significantly exceeds its share."""
    homes = homes_with_share(quota)
    if not homes:
        return False
    if _violates_minimum_share(quota, granted):
        return True
    return any(
        _significantly_exceeds(
            demand, granted.get(name, 0) * quota.rate_per_s / TOTAL_PPM
        )
        for name, demand in quota.demands.items()
    )


def is_move_worthwhile(
    quota: Quota, granted: Mapping[str, int], targets: Mapping[str, int]
) -> bool:
    """Return whether a holder with a shortage would gain enough from the targets."""
    if _violates_minimum_share(quota, granted):
        return True
    return any(
        target - granted.get(name, 0) >= MIN_SHARE_GAIN_PPM
        and _significantly_exceeds(
            quota.demands.get(name, 0.0),
            granted.get(name, 0) * quota.rate_per_s / TOTAL_PPM,
        )
        for name, target in targets.items()
    )


def _violates_minimum_share(quota: Quota, granted: Mapping[str, int]) -> bool:
    """Return whether a home or any other holder has less than its minimum share."""
    minimum = min_home_share_ppm(quota)
    if any(granted.get(name, 0) < minimum for name in homes_with_share(quota)):
        return True
    return any(0 < share < quota.min_share_ppm() for share in granted.values())


def next_holdings(
    holdings: Mapping[Holder, Holding],
    targets: Mapping[Holder, int],
    up_to_date: Collection[Holder],
    to_lower: Collection[Holder],
    leaving: Collection[Holder] = (),
) -> dict[Holder, Holding]:
    """Return the next version's holdings, one safe step closer to the targets.

    Parameters
    ----------
    holdings : mapping of holder to Holding
        The present holdings.

    targets : mapping of holder to int
        Desired shares, in parts per million.

    up_to_date : collection of holders
        Holders that have applied the present holdings. What is reserved for them
        beyond their granted share is free.

    to_lower : collection of holders
        Holders whose share is lowered in small steps if it exceeds their target.

    leaving : collection of holders
        Holders that lose their whole share at once.
    """
    excess = {
        holder: max(holdings[holder].granted_ppm - targets.get(holder, 0), 0)
        for holder in holdings
        if holder in to_lower
    }
    fraction = min(1.0, MAX_MOVED_PPM_PER_VERSION / max(sum(excess.values()), 1))
    result = {}
    for holder, holding in holdings.items():
        granted, reserved = holding.granted_ppm, holding.reserved_ppm
        if holder in up_to_date:
            reserved = granted
        if holder in leaving:
            granted = 0
        else:
            granted -= math.ceil(excess.get(holder, 0) * fraction)
        result[holder] = Holding(granted, reserved)
    _grant_free_quota(result, targets)
    return {
        holder: holding for holder, holding in result.items() if holding.reserved_ppm
    }


def _grant_free_quota(
    holdings: dict[Holder, Holding], targets: Mapping[Holder, int]
) -> None:
    """Raise the grants of holders below their target.

    What is reserved for a holder is granted first. Free quota is then divided in
    proportion to what is missing.
    """
    for name, target in targets.items():
        holding = holdings.setdefault(name, Holding())
        reserved_target = min(target, holding.reserved_ppm)
        holding.granted_ppm = max(holding.granted_ppm, reserved_target)
    free = TOTAL_PPM - sum(holding.reserved_ppm for holding in holdings.values())
    missing = {
        name: target - holdings[name].reserved_ppm
        for name, target in targets.items()
        if target > holdings[name].reserved_ppm
    }
    total_missing = sum(missing.values())
    if free <= 0 or not total_missing:
        return
    for name, wanted in missing.items():
        holding = holdings[name]
        holding.reserved_ppm += min(wanted, wanted * free // total_missing)
        holding.granted_ppm = holding.reserved_ppm


def _significantly_exceeds(demand_per_s: float, share_per_s: float) -> bool:
    """Return whether a demand exceeds a share by more than measurement noise."""
    # Requests are taken to arrive as a Poisson process, whose average over the
    # exponential window of `DemandMeter` has this standard deviation.
    standard_deviation = math.sqrt(demand_per_s / (2 * DEMAND_TIME_CONSTANT_S))
    return (
        demand_per_s - SHORTAGE_STANDARD_DEVIATIONS * standard_deviation > share_per_s
    )


def _non_home_holders(quota: Quota, homes: Sequence[str]) -> list[str]:
    """Return the instances with the highest demand that are not homes."""
    with_demand = [
        name
        for name, demand in quota.demands.items()
        if demand > 0 and name not in homes
    ]
    with_demand.sort(key=lambda name: (-quota.demands[name], name))
    return with_demand[: quota.max_holders() - len(homes)]


def _fractional_shares(
    quota: Quota, homes: Sequence[str], others: Sequence[str]
) -> dict[str, float]:
    """Return the ideal shares before rounding, in parts per million."""
    scale = TOTAL_PPM / quota.rate_per_s
    wanted = {name: quota.demands.get(name, 0.0) * scale for name in (*homes, *others)}
    equal_share = quota.available_ppm / len(homes)
    for name in homes:
        wanted[name] = max(wanted[name], float(min_home_share_ppm(quota)))
    shares = dict.fromkeys(wanted, 0.0)
    for name in homes:
        shares[name] = min(wanted[name], equal_share)
    level = _water_level(shares, wanted, quota.available_ppm)
    for name in shares:
        shares[name] = max(shares[name], min(wanted[name], level))
    _distribute_surplus(shares, homes, quota.available_ppm)
    return shares


def _water_level(
    shares: Mapping[str, float], wanted: Mapping[str, float], available_ppm: int
) -> float:
    """Return the level to which raising the smallest shares uses all of the quota.

    No share is raised above what its holder wants. Found by bisection.
    """

    def total_at(level: float) -> float:
        return sum(max(shares[name], min(wanted[name], level)) for name in shares)

    low, high = 0.0, float(available_ppm)
    if total_at(high) <= available_ppm:
        return high
    for _ in range(40):
        middle = (low + high) / 2
        low, high = (
            (middle, high) if total_at(middle) <= available_ppm else (low, middle)
        )
    return low


def _distribute_surplus(
    shares: dict[str, float], homes: Sequence[str], available_ppm: int
) -> None:
    """Distribute the quota beyond all demand, raising `shares` in place."""
    surplus = available_ppm - sum(shares.values())
    if surplus <= 0:
        return
    home_weight = SURPLUS_EQUAL_WEIGHT * available_ppm / len(homes)
    weights = {
        name: share + (home_weight if name in homes else 0.0)
        for name, share in shares.items()
    }
    total_weight = sum(weights.values())
    for name, weight in weights.items():
        shares[name] += surplus * weight / total_weight


def _round_shares(
    quota: Quota, homes: Sequence[str], shares: Mapping[str, float]
) -> dict[str, int]:
    """Round to shares that each hold a whole token, within the available quota."""
    rounded = {
        name: max(int(share), quota.min_share_ppm()) for name, share in shares.items()
    }
    while (excess := sum(rounded.values()) - quota.available_ppm) > 0:
        largest = max(rounded, key=lambda name: (rounded[name], name))
        rounded[largest] -= min(
            excess, max(rounded[largest] - quota.min_share_ppm(), 1)
        )
    return rounded
