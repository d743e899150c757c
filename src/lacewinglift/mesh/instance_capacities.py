"""Selection of the instances for callers by what each of them can carry.

Load: most instances have half a core and a slow link, and a few have five times the
processor and twenty times the link. Callers spread their requests evenly over the
addresses of an answer, so that an instance gets requests in proportion to the number of
answers that name it.
"""

import statistics
from collections.abc import Callable, Sequence
from random import Random

from attrs import frozen

from lacewinglift.rendezvous import rank_candidates

# Bounds of what an instance carries, in units of an ordinary instance. They limit the
# effect of a wrong statement.
CAPACITY_MIN = 0.25
CAPACITY_MAX = 8.0


@frozen
class StatedCapacity:
    """Processor and link of an instance; 0 if it states none."""

    cores: float = 0.0
    link_bytes_per_s: float = 0.0


def relative_capacities(stated: Sequence[StatedCapacity]) -> list[float]:
    """Return what instances carry, in units of an ordinary one.

    The scarcer of processor and link decides. An ordinary instance has the median of
    both, so that the unit does not depend on the kind of the hosts. An instance that
    states nothing, such as one of an older build, counts as ordinary.
    """
    cores = _median([each.cores for each in stated if each.cores > 0])
    link = _median([each.link_bytes_per_s for each in stated if each.link_bytes_per_s])
    return [
        min(
            max(_ratio(each.cores, cores), CAPACITY_MIN),
            max(_ratio(each.link_bytes_per_s, link), CAPACITY_MIN),
            CAPACITY_MAX,
        )
        for each in stated
    ]


def _median(values: list[float]) -> float:
    return statistics.median_low(values) if values else 0.0


def _ratio(value: float, median: float) -> float:
    return value / median if value > 0 and median > 0 else 1.0


def select_by_capacity(
    capacities: dict[str, float],
    is_observer: Callable[[str], bool],
    needed: float,
    min_addresses: int,
    max_count: int,
) -> list[str]:
    """Return the instances of one data centre that callers are sent to.

    Observers, which have work of their own, come last; of the others, those that carry
    the most come first, since fewer instances then learn more of each target.

    Parameters
    ----------
    capacities : dict
        What each ready instance of the data centre carries.
    is_observer : callable
        Returns whether an instance watches the store for the others.
    needed : float
        What the selected instances must carry together.
    min_addresses : int
        Number of addresses that each answer should have.
    max_count : int
        Largest number of instances.
    """
    ranked = rank_candidates("callers", capacities)
    ranked.sort(key=lambda name: (is_observer(name), -capacities[name]))
    chosen: list[str] = []
    total = largest = 0.0
    for name in ranked:
        if total >= max(needed, min_addresses * largest) and chosen:
            break
        if len(chosen) >= max_count:
            break
        chosen.append(name)
        total += capacities[name]
        largest = max(largest, capacities[name])
    return chosen


def draw_addresses(capacities: dict[str, float], random: Random) -> list[str]:
    """Return the instances of one answer, each with a chance by what it carries.

    The number is the largest for which no instance would have to be named twice. With
    equal capacities, all are returned.
    """
    total, largest = sum(capacities.values()), max(capacities.values())
    count = max(int(total / largest + 1e-9), 1)
    names = list(capacities)
    random.shuffle(names)
    # Systematic sampling: points at equal distances on the sum of the capacities.
    step = total / count
    point = random.random() * step
    chosen, reached = [], 0.0
    for name in names:
        reached += capacities[name]
        if point < reached:
            chosen.append(name)
            point += step
    return sorted(chosen)
