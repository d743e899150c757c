"""Estimate of the free capacity of a service, which each instance makes for itself.

Load: targets that shed requests, fail for seconds or leave while callers go on. Their
slots count as lost from the moment at which this instance knows.
"""

import math
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from lacewinglift.mesh.target_state import TargetState

# Assumed time of a response before the first one of a service.
DEFAULT_RESPONSE_S = 0.2
# Weight of the last response in the moving average of the response time.
RESPONSE_EWMA_WEIGHT = 0.1
# Weights in the estimate of the time without a queue. A shorter time counts more, since
# only the others include the wait for a slot of the target.
SHORTER_WEIGHT = 0.06
LONGER_WEIGHT = 0.02


@frozen
class Capacity:
    """Capacity of a service over the whole fleet, as one instance estimates it."""

    slots: int
    """Slots of the usable targets."""
    in_flight: float
    """Requests in flight at the usable targets, over all instances."""
    response_s: float
    """Mean time of a response, without queueing at the target."""
    usable_again_s: float = math.inf
    """Time at which the first target that sheds or pauses may be used again."""

    def free_slots(self) -> float:
        """Return the slots without a request; negative while requests queue."""
        return self.slots - self.in_flight

    def load(self) -> float:
        """Return the requests in flight for each slot."""
        return self.in_flight / self.slots if self.slots else math.inf

    def drain_per_s(self) -> float:
        """Return the rate at which the service ends requests while it is full."""
        return self.slots / self.response_s

    def time_until_load_s(self, load: float) -> float:
        """Return the time until the mean load falls to `load` if nothing arrives."""
        excess = self.in_flight - load * self.slots
        if excess <= 0:
            return 0.0
        drain_per_s = self.drain_per_s()
        return excess / drain_per_s if drain_per_s else math.inf


def measure_capacity(
    states: Iterable[TargetState],
    now_s: float,
    response_s: float,
    reporting_fraction: float,
    is_eligible: Callable[[TargetState], bool],
) -> Capacity:
    """Return the capacity of the targets of a service.

    Parameters
    ----------
    states : iterable of TargetState
        Targets of the service.
    now_s : float
        Present time.
    response_s : float
        Mean time of a response.
    reporting_fraction : float
        Fraction of the instances whose load is known here.
    is_eligible : callable
        Returns whether no evidence speaks against a target.
    """
    slots = 0
    in_flight = 0.0
    usable_again_s = math.inf
    for state in states:
        if state.registered.leaving:
            continue
        held_off_until_s = max(state.shed_until_s, state.paused_until_s)
        if now_s < held_off_until_s:
            usable_again_s = min(usable_again_s, held_off_until_s)
        elif is_eligible(state):
            slots += state.registered.slots
            peers = state.load(now_s) * max(state.registered.slots, 1)
            peers -= state.in_flight
            in_flight += state.in_flight + peers / max(reporting_fraction, 0.01)
    return Capacity(slots, in_flight, response_s, usable_again_s)


@define(eq=False)
class ResponseTimes:
    """Moving averages of the response times of a service and of its kinds of request.

    The number of kinds is that of the routes times the priorities of workspaces.
    """

    means_s: dict[object, float] = field(factory=dict)
    unqueued_means_s: dict[object, float] = field(factory=dict)

    def record(self, kind: object, latency_s: float) -> None:
        """Add a response time of a kind; None stands for the whole service."""
        latency_s = max(latency_s, 0.001)
        mean_s = self.means_s.get(kind, latency_s)
        self.means_s[kind] = mean_s + (latency_s - mean_s) * RESPONSE_EWMA_WEIGHT
        unqueued_s = self.unqueued_means_s.get(kind, latency_s)
        weight = SHORTER_WEIGHT if latency_s < unqueued_s else LONGER_WEIGHT
        self.unqueued_means_s[kind] = unqueued_s + (latency_s - unqueued_s) * weight

    def mean_s(self, kind: object = None) -> float:
        """Return the mean time, the wait for a slot of the target included."""
        return self.means_s.get(kind) or self.means_s.get(None, DEFAULT_RESPONSE_S)

    def unqueued_s(self, kind: object = None) -> float:
        """Return the mean time for which a request occupies a slot."""
        known = self.unqueued_means_s
        return known.get(kind) or known.get(None, DEFAULT_RESPONSE_S)
