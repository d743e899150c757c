"""Decides which targets are cold, and limits the requests that they get.

Load: the targets of a service start cold, or one data centre returns with all targets
cold, while its callers keep sending. A cold target takes a few requests a second from
the whole fleet and crashes well above that. An empty target looks attractive to each
instance, so the rate is divided beforehand, and warm targets are preferred while they
have free slots.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field, frozen

from lacewinglift.configuration import Service
from lacewinglift.logs import log_info
from lacewinglift.mesh.registry import WARMUP_TOLERANCE_S
from lacewinglift.mesh.target_choice import FULL_LOAD
from lacewinglift.mesh.target_state import Candidate, TargetState
from lacewinglift.mesh.warmup_records import WarmupRecord
from lacewinglift.timers import Timers

# Shortest time after which a refused request may return.
MIN_WAIT_S = 0.1


@frozen
class Warmup:
    """What a service states about its cold targets."""

    duration_s: float
    rate_per_s: float


@define(eq=False)
class ColdTargets:
    """Warm-ups of the targets that one instance knows.

    Attributes
    ----------
    timers : Timers
        Clock.
    rate_share : callable
        Returns the share of this instance in the rate of a cold target.
    callers_served : callable
        Returns whether the fleet serves callers. A target that is first seen while it
        does has just started, unless its entry says otherwise.
    """

    timers: Timers
    rate_share: Callable[[str, float], float] = lambda target, limit: limit
    callers_served: Callable[[], bool] = lambda: False
    warmups: dict[str, Warmup] = field(factory=dict)
    """Warm-ups of the services that limit their cold targets."""
    promised_s: dict[str, float] = field(factory=dict)
    """Time at which the last refused request of each service may return."""

    def apply(self, services: Mapping[str, Service]) -> None:
        """Apply the services of a configuration."""
        self.warmups = {
            name: Warmup(service.warmup_s, service.warmup_per_s)
            for name, service in services.items()
            if service.warmup_per_s > 0
        }

    def record_new(self, state: TargetState) -> None:
        """Record a target that this instance has not known before."""
        registered = state.registered
        assumed = registered.warmup_s is None and self.callers_served()
        now = self.timers.now()
        state.warmup = WarmupRecord(now, registered.warmup_sequence, assumed)

    def apply_report(self, state: TargetState) -> None:
        """Apply a later report of a known target, which may be cold again."""
        number = state.registered.warmup_sequence
        if number != state.warmup.number:
            state.warmup = WarmupRecord(self.timers.now(), number)

    def is_cold(self, state: TargetState, now_s: float) -> bool:
        """Return whether the requests to a target are limited now."""
        if not self.warmups and not state.limit.warming:
            return False
        remaining_s = self._ends_at_s(state) - now_s
        if state.limit.set_warming(remaining_s > 0, now_s):
            _log_change(state, remaining_s)
        return remaining_s > 0

    def has_token(self, state: TargetState, now_s: float) -> bool:
        """Return whether this instance may send a cold target a request now."""
        rate_per_s = self._share(state)
        has_token = state.limit.has_token(now_s, rate_per_s)
        # What was saved under a share that is now another instance's is not used.
        return has_token and rate_per_s > 0

    def wait_s(self, service: str, states: Iterable[TargetState]) -> float | None:
        """Return the time after which a request that was refused may return.

        Each refused request gets a time of its own, at the rate of the shares, until
        the first target is warm. None if some target is not cold, so that another
        reason than the warm-up decides.
        """
        now = self.timers.now()
        usable = [each for each in states if not each.registered.leaving]
        if not usable or not all(each.limit.warming for each in usable):
            return None
        left_s = max(min(map(self._ends_at_s, usable)) - now, MIN_WAIT_S)
        rate_per_s = sum(self._share(each) for each in usable)
        if rate_per_s <= 0:
            return left_s
        promised_s = max(self.promised_s.get(service, now), now) + 1 / rate_per_s
        self.promised_s[service] = min(promised_s, now + left_s)
        return max(self.promised_s[service] - now, MIN_WAIT_S)

    def _share(self, state: TargetState) -> float:
        """Return the rate at which this instance may send to a cold target."""
        warmup = self.warmups.get(state.registered.service)
        if warmup is None:
            return 0.0
        limit_per_s = warmup.rate_per_s
        if state.limit.limit_per_s is not None:
            limit_per_s = min(limit_per_s, state.limit.limit_per_s)
        return self.rate_share(state.target.name, limit_per_s)

    def count(self, states: Iterable[TargetState]) -> dict[str, int]:
        """Return the number of cold targets of each service."""
        now = self.timers.now()
        cold = (each for each in states if self._ends_at_s(each) > now)
        return Counter(each.registered.service for each in cold)

    def _ends_at_s(self, state: TargetState) -> float:
        """Return the end of the warm-up of a target.

        No warm-up is longer than its service states, whatever the entry says.
        """
        warmup = self.warmups.get(state.registered.service)
        if warmup is None:
            return -math.inf
        longest_s = state.warmup.began_at_s + warmup.duration_s + WARMUP_TOLERANCE_S
        if state.warmup.assumed:
            return longest_s
        stated_end_s = state.registered.warmup_ends_at_s
        if not stated_end_s:
            return -math.inf
        return min(stated_end_s + WARMUP_TOLERANCE_S, longest_s)


def prefer_warm(candidates: list[Candidate]) -> list[Candidate]:
    """Return the warm targets if one of them has a free slot, otherwise all."""
    warm = [each for each in candidates if not each.cold]
    if len(warm) == len(candidates):
        return candidates
    if any(each.eligible and each.load < FULL_LOAD for each in warm):
        return warm
    return candidates


def _log_change(state: TargetState, remaining_s: float) -> None:
    name, service = state.target.name, state.registered.service
    if not state.limit.warming:
        log_info("target_warm", target=name, service=service)
        return
    log_info(
        "target_cold",
        target=name,
        service=service,
        remaining_s=remaining_s,
        source="assumed" if state.warmup.assumed else "entry",
    )
