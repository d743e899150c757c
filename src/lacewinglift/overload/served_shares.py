"""Proportion of the requests of each kind and workspace that are served.

Load: urgent requests alone exceed the capacity for minutes, so that less urgent kinds
and workspaces would get nothing.
"""

import math
from collections.abc import Hashable, Iterable

from attrs import define, field

from lacewinglift.timers import Timers

# Each kind and each workspace is served at least a quarter of the mean proportion. The
# margin covers what an instance cannot see of the other instances.
STARVING_FRACTION = 0.28
# Time constant after which past requests no longer count.
MEMORY_S = 10.0
# Proportion served above which nothing starves.
NORMAL_PROPORTION = 0.98
# Requests with the mean proportion that are assumed before the first of a key. After
# one or two refusals, nothing is known of its proportion.
PRIOR_REQUESTS = 2.0
# Number of counters that are kept; the least used are dropped.
MAX_COUNTERS = 2048


@define(eq=False)
class _Counter:
    demand: float = 0.0
    served: float = 0.0
    at_s: float = 0.0

    def add(self, now_s: float, demand: float, served: float) -> None:
        decay = math.exp((self.at_s - now_s) / MEMORY_S)
        self.demand = self.demand * decay + demand
        self.served = self.served * decay + served
        self.at_s = now_s


@define(eq=False)
class ServedShares:
    """Counts requests and served requests of one service, recent ones more."""

    timers: Timers
    total: _Counter = field(factory=_Counter)
    counters: dict[Hashable, _Counter] = field(factory=dict)

    def record_demand(self, keys: Iterable[Hashable]) -> None:
        """Count a request of a kind and a workspace."""
        self._add(keys, 1.0, 0.0)

    def record_served(self, keys: Iterable[Hashable]) -> None:
        """Count a request that was sent to a target."""
        self._add(keys, 0.0, 1.0)

    def is_starving(self, keys: Iterable[Hashable]) -> bool:
        """Return whether one of the keys is served far less often than the mean."""
        mean = self.mean()
        if mean >= NORMAL_PROPORTION:
            return False
        return any(
            self._proportion(key, mean) < STARVING_FRACTION * mean for key in keys
        )

    def mean(self) -> float:
        """Return the proportion of all requests that is served."""
        self.total.add(self.timers.now(), 0.0, 0.0)
        if self.total.demand < 1.0:
            return 1.0
        return min(self.total.served / self.total.demand, 1.0)

    def _proportion(self, key: Hashable, mean: float) -> float:
        """Return the proportion of a key; that of a rare one is near the mean."""
        counter = self.counters.get(key)
        if counter is None:
            return mean
        counter.add(self.timers.now(), 0.0, 0.0)
        return (counter.served + PRIOR_REQUESTS * mean) / (
            counter.demand + PRIOR_REQUESTS
        )

    def _add(self, keys: Iterable[Hashable], demand: float, served: float) -> None:
        now = self.timers.now()
        self.total.add(now, demand, served)
        for key in keys:
            counter = self.counters.get(key)
            if counter is None:
                if len(self.counters) >= MAX_COUNTERS:
                    self._drop_oldest()
                counter = self.counters[key] = _Counter(at_s=now)
            counter.add(now, demand, served)

    def _drop_oldest(self) -> None:
        """Drop half of the counters, those without requests for the longest time."""
        by_age = sorted(self.counters, key=lambda key: self.counters[key].at_s)
        for key in by_age[: MAX_COUNTERS // 2]:
            del self.counters[key]
