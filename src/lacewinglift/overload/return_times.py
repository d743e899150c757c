"""Times at which refused requests are told to return.

Load: many requests are refused within a short time. Without a spread they would return
together and find no capacity again.
"""

from collections import OrderedDict, defaultdict
from random import Random

from attrs import define, field

from lacewinglift.timers import Timers

# Retry-After is at least the time in which a load report crosses the fleet.
MIN_RETURN_S = 0.05
# Longest Retry-After. Later than that, the estimate says little.
MAX_RETURN_S = 5.0
# Callers wait for Retry-After, but not longer than this part of their time left.
HONOURED_FRACTION = 1 / 3
# Time by which a return may be early, for rounding and the clocks of callers.
EARLY_TOLERANCE_S = 0.02
# Number of refused requests that are remembered by their ID.
MAX_REMEMBERED = 512


@define(eq=False)
class ReturnTimes:
    """Gives each refused request of a service its own time to return."""

    timers: Timers
    random: Random = field(factory=Random)
    promised_s: dict[int, float] = field(factory=lambda: defaultdict(float))
    """Last time that was promised, by rank."""
    due_by_id: "OrderedDict[str, float]" = field(factory=OrderedDict)

    def promise(
        self,
        rank: int,
        backlog_s: float,
        interval_s: float,
        request_id: str | None,
        left_s: float,
    ) -> float:
        """Return the time in seconds after which a refused request may return.

        Parameters
        ----------
        rank : int
            Rank of the request. Each rank has its own sequence of times, and the
            backlog ahead of an urgent one is shorter.
        backlog_s : float
            Time until there is capacity for the rank.
        interval_s : float
            Time in which this instance gets capacity for one request of the rank.
        request_id : str or None
            ID of the request.
        left_s : float
            Time that the caller has left.
        """
        now = self.timers.now()
        first_s = now + max(backlog_s, MIN_RETURN_S)
        at_s = max(first_s, self.promised_s[rank] + interval_s)
        latest_s = now + MAX_RETURN_S
        if at_s >= latest_s:
            # The sequence is full; a random time keeps the returns apart.
            at_s = self.random.uniform((now + latest_s) / 2, latest_s)
        else:
            self.promised_s[rank] = at_s
        wait_s = at_s - now + self.random.uniform(0.0, 0.5) * interval_s
        wait_s = min(wait_s, MAX_RETURN_S)
        self._remember(request_id, now + min(wait_s, left_s * HONOURED_FRACTION))
        return wait_s

    def is_early(self, request_id: str | None) -> bool:
        """Return whether a refused request returns before its time."""
        due_s = self.due_by_id.get(request_id) if request_id else None
        return due_s is not None and self.timers.now() < due_s - EARLY_TOLERANCE_S

    def is_return(self, request_id: str | None) -> bool:
        """Return whether a request was refused here before."""
        return request_id is not None and request_id in self.due_by_id

    def _remember(self, request_id: str | None, due_s: float) -> None:
        if not request_id:
            return
        # A return before its time does not move the time forward.
        due_s = max(due_s, self.due_by_id.pop(request_id, 0.0))
        self.due_by_id[request_id] = due_s
        while len(self.due_by_id) > MAX_REMEMBERED:
            self.due_by_id.popitem(last=False)
