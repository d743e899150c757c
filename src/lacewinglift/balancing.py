"""Load balancing: subsets of targets, in-flight limits and policies."""

import hashlib
import math
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from lacewinglift.configuration import Target

# In-flight limit of one instance at a target, even if its part of the slots is smaller.
# A limit of 1 would refuse requests in ordinary bursts.
IN_FLIGHT_LIMIT_MIN = 2
# Part of a target's connections that subset sizes are planned for. The rest is reserve,
# because rendezvous hashing distributes instances unevenly over targets.
CONNECTION_BUDGET_RATIO = 0.7
SUBSET_SIZE_MIN = 3
# Bounds the effect of a latency estimate on the selection, so that a target that looks
# slow still receives the requests that show whether it is.
LATENCY_RATIO_MAX = 4.0
# Expected waits within this ratio count as equal. Otherwise the target with the highest
# of several nearly equal latency estimates would get no requests while all are idle.
WAIT_RATIO_TOLERANCE = 1.5


class Candidate(Protocol):
    """The part of a target's state that a policy uses."""

    in_flight: int

    @property
    def name(self) -> str:
        """Return the name of the target."""
        ...

    @property
    def latency_ratio(self) -> float:
        """Return the latency relative to the median of the service."""
        ...


Policy = Callable[[Sequence[Candidate], Random, int], Candidate]

POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy, which selects one of several candidates."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


def expected_wait(candidate: Candidate) -> float:
    """Return the expected wait at a target, in units of the median latency."""
    ratio = min(max(candidate.latency_ratio, 1 / LATENCY_RATIO_MAX), LATENCY_RATIO_MAX)
    return (candidate.in_flight + 1) * ratio


@policy("two_choices")
def power_of_two_choices(
    candidates: Sequence[Candidate], random: Random, choices_made: int
) -> Candidate:
    """Return the one of two random candidates with the shorter expected wait."""
    count = len(candidates)
    if count == 1:
        return candidates[0]
    first = int(random.random() * count)
    second = int(random.random() * (count - 1))
    if second >= first:
        second += 1
    one, other = candidates[first], candidates[second]
    return (
        other
        if expected_wait(one) > WAIT_RATIO_TOLERANCE * expected_wait(other)
        else one
    )


@policy("round_robin")
def round_robin(
    candidates: Sequence[Candidate], random: Random, choices_made: int
) -> Candidate:
    """Return the candidates in turn; used as the baseline of measurements."""
    return candidates[choices_made % len(candidates)]


def rendezvous_weight(instance: str, target: str) -> int:
    """Return the weight of a target for an instance; equal in all processes."""
    text = f"{instance}\0{target}".encode("utf-8", "surrogateescape")
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def subset_size(targets: Sequence[Target], instances: int) -> int:
    """Return how many targets one instance uses.

    Every instance may open `IN_FLIGHT_LIMIT_MIN` connections to each target that it
    uses, so the connections of a target limit the number of its instances.
    """
    if not targets:
        return 0
    connections = min(target.connections for target in targets)
    sharing_instances = max(
        1.0, CONNECTION_BUDGET_RATIO * connections / IN_FLIGHT_LIMIT_MIN
    )
    if sharing_instances >= instances:
        return len(targets)
    size = math.floor(len(targets) * sharing_instances / instances)
    return min(len(targets), max(SUBSET_SIZE_MIN, size))


def choose_subset(
    targets: Sequence[Target], instance: str, instances: int
) -> list[Target]:
    """Return the targets that `instance` uses.

    Each data centre contributes in proportion to its targets, so that the subset
    includes targets of the own data centre and instances are distributed evenly.
    """
    size = subset_size(targets, instances)
    if size >= len(targets):
        return list(targets)
    ranked = sorted(
        targets, key=lambda t: rendezvous_weight(instance, t.name), reverse=True
    )
    positions: dict[str, int] = {}
    totals: dict[str, int] = {}
    for target in ranked:
        totals[target.data_centre] = totals.get(target.data_centre, 0) + 1
    order = []
    for rank, target in enumerate(ranked):
        position = positions.get(target.data_centre, 0)
        positions[target.data_centre] = position + 1
        order.append((position / totals[target.data_centre], rank, target))
    order.sort(key=lambda entry: entry[:2])
    return [target for _, _, target in order[:size]]


def instances_per_target(targets: int, subset: int, instances: int) -> int:
    """Return the mean number of instances that share a target, rounded up."""
    return max(1, math.ceil(instances * subset / max(1, targets)))


def in_flight_limits(target: Target, sharing_instances: int) -> tuple[int, int]:
    """Return the preferred and the hard limit of requests in flight at a target."""
    connections = max(1, target.connections // sharing_instances)
    preferred = max(1, target.slots // sharing_instances)
    limit = max(IN_FLIGHT_LIMIT_MIN, target.slots // sharing_instances)
    return min(preferred, connections), min(limit, connections)
