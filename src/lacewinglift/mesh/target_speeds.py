"""Speed of targets, learned from the response times that one instance measures.

Load: the work of a request varies by a factor of seven, and an instance sends each
target a request every few seconds. Response times are therefore compared with the mean
of similar requests of the same service, and ratios are averaged by their logarithm,
in which a single long request counts little.
"""

import math

from attrs import define, field

from lacewinglift.mesh.target_state import TargetState

# Weight of the last response in the averages of a target and of a service.
SPEED_EWMA_WEIGHT = 0.06
MEAN_EWMA_WEIGHT = 0.02
# A target counts as ordinary until it is known; this prior is worth as many responses.
PRIOR_RESPONSES = 4
# Bound of one ratio; a target ten times slower than the others must remain visible.
MAX_RATIO = 12.0
# Load, this request included, from which on targets may slow down, and the load of a
# target without a free slot.
SLOWDOWN_FROM_LOAD = 0.6
FULL_LOAD = 1.0
# Bound of the slowdown of a full target that is learned.
MAX_FULL_SLOWDOWN = 4.0
# Responses are of a similar size if the logarithm of their size, to this base, is.
SIZE_CLASS_BASE = 4.0


@define(eq=False)
class _Average:
    """Moving average whose first values count equally."""

    weight: float
    prior_count: int = 0
    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(1 / (self.count + self.prior_count), self.weight)
        self.value += (value - self.value) * weight


def _mean_average() -> _Average:
    return _Average(MEAN_EWMA_WEIGHT)


@define(eq=False)
class _ServiceTimes:
    """Response times of one service."""

    log_by_size: dict[int, _Average] = field(factory=dict)
    """Mean logarithm of the response times of each size class."""
    log_when_free: _Average = field(factory=_mean_average)
    """Mean logarithm of the ratios at targets with several free slots."""
    log_when_full: _Average = field(factory=_mean_average)
    """The same at targets whose last slot the request took, or that were full."""

    def full_slowdown(self) -> float:
        """Return the factor by which a full target is slower than a free one."""
        if not (self.log_when_free.count and self.log_when_full.count):
            return 1.0
        log_factor = self.log_when_full.value - self.log_when_free.value
        return min(max(math.exp(log_factor), 1.0), MAX_FULL_SLOWDOWN)


@define(eq=False)
class TargetSpeeds:
    """Response times of targets relative to those of their service."""

    services: dict[str, _ServiceTimes] = field(factory=dict)

    def record(
        self, state: TargetState, load: float, latency_s: float, response_bytes: int
    ) -> None:
        """Add the response time of a target.

        Parameters
        ----------
        state : TargetState
            Target that responded.
        load : float
            Load of the target with this request.
        latency_s : float
            Time until its response began.
        response_bytes : int
            Size of the response.
        """
        if latency_s <= 0:
            return
        times = self.services.setdefault(state.registered.service, _ServiceTimes())
        size_class = int(math.log(max(response_bytes, 1), SIZE_CLASS_BASE))
        mean = times.log_by_size.setdefault(size_class, _mean_average())
        log_time = math.log(latency_s) - math.log(slowdown(load, times.full_slowdown()))
        if not mean.count:
            mean.add(log_time)
        bound = math.log(MAX_RATIO)
        log_ratio = min(max(log_time - mean.value, -bound), bound)
        mean.add(mean.value + log_ratio)
        own = state.log_relative_time
        state.log_relative_time_count += 1
        weight = max(
            1 / (state.log_relative_time_count + PRIOR_RESPONSES), SPEED_EWMA_WEIGHT
        )
        state.log_relative_time += (log_ratio - own) * weight
        self._record_by_load(times, load, math.log(latency_s) - mean.value - own)

    def _record_by_load(
        self, times: _ServiceTimes, load: float, log_ratio: float
    ) -> None:
        if load <= SLOWDOWN_FROM_LOAD:
            times.log_when_free.add(log_ratio)
        elif load >= FULL_LOAD:
            times.log_when_full.add(log_ratio - math.log(max(load, 1.0)))

    def full_slowdown(self, service: str) -> float:
        """Return the factor by which a full target is slower than a free one."""
        times = self.services.get(service)
        return 1.0 if times is None else times.full_slowdown()


def relative_time(state: TargetState) -> float:
    """Return the response time of a target relative to its service; 1 is ordinary."""
    return math.exp(state.log_relative_time)


def slowdown(load: float, full_slowdown: float) -> float:
    """Return the factor on the response time of a target at a load.

    Beyond one request for each slot, requests wait for a slot in addition.
    """
    beyond_knee = (load - SLOWDOWN_FROM_LOAD) / (FULL_LOAD - SLOWDOWN_FROM_LOAD)
    part = min(max(beyond_knee, 0.0), 1.0)
    return (1 + (full_slowdown - 1) * part) * max(load, 1.0)
