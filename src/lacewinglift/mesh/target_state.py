"""State of a target, and a target that is considered for a request."""

import math

from attrs import define, field, frozen

from lacewinglift.configuration import Target
from lacewinglift.mesh.registry import RegisteredTarget
from lacewinglift.mesh.stated_limits import StatedLimit
from lacewinglift.mesh.warmup_records import WarmupRecord

# Load that another instance reported is counted for this long.
PEER_LOAD_MAX_AGE_S = 1.5
# A target with this many requests in flight for each slot gets no more.
MAX_LOAD = 3.0


@define(eq=False)
class TargetState:
    """State of one incarnation of a target, as one instance knows it."""

    registered: RegisteredTarget
    target: Target
    near: bool
    slow_start_until_s: float
    first_seen_at_s: float = 0.0
    """Time at which this incarnation was first seen."""
    in_flight: int = 0
    peer_loads: dict[str, tuple[int, float]] = field(factory=dict)
    last_failure_at_s: float | None = None
    """Time of the last failure; None unless the target is suspected."""
    last_success_at_s: float = -math.inf
    """Last time at which the target served a request of this instance."""
    successes_since_failure: int = 0
    """Requests served since the last failure, over all instances."""
    next_trial_at_s: float = 0.0
    path_hold_off_until_s: float = 0.0
    unreached_at_s: dict[str, float] = field(factory=dict)
    shed_until_s: float = 0.0
    paused_until_s: float = 0.0
    """Time until which the target wants no request of this instance."""
    consecutive_sheds: int = 0
    pending_attempts: set = field(factory=set)
    limit: StatedLimit = field(factory=StatedLimit)
    warmup: WarmupRecord = field(factory=WarmupRecord)
    suspected_by_reports: bool = False
    """Whether only reports of broken connections speak against the target."""
    last_request_at_s: float = -math.inf
    """Last time at which the target got a request, as far as this instance knows."""
    try_at_s: float | None = None
    """Time from which a failing service tries the target if it gets no request."""
    try_drawn_for_s: float = -math.inf
    """Last request when that time was drawn."""
    log_relative_time: float = 0.0
    """Logarithm of its response time relative to the service; see `target_speeds`."""
    log_relative_time_count: int = 0
    """Number of responses that the value is based on."""

    def load(self, now_s: float) -> float:
        """Return the requests in flight for each slot, over all instances."""
        total = self.in_flight
        for count, received_at_s in self.peer_loads.values():
            if now_s - received_at_s <= PEER_LOAD_MAX_AGE_S:
                total += count
        return total / max(self.registered.slots, 1)

    def condition(self, now_s: float) -> str:
        """Return the state that is exported as metric label."""
        if self.registered.leaving:
            return "leaving"
        if self.is_suspected():
            return "doubted"
        if now_s < self.path_hold_off_until_s:
            return "unreachable"
        shedding = now_s < max(self.shed_until_s, self.paused_until_s)
        return "shedding" if shedding else "usable"

    def is_suspected(self) -> bool:
        """Return whether the target failed and has not recovered yet."""
        return self.last_failure_at_s is not None


@frozen
class LoadLimit:
    """Limits of the load that one request may add to a target."""

    max_load: float = MAX_LOAD
    """Load from which on a target gets no more."""
    eligible_only: bool = False
    """Whether targets that evidence speaks against are left out, except for a trial."""
    spread: bool = False
    """Whether a few targets at random are considered, so that instances do not all
    choose the few that seem to have a free slot."""


DEFAULT_LOAD_LIMIT = LoadLimit()


@frozen
class Candidate:
    """Target below `MAX_LOAD` that is considered for a request."""

    state: TargetState
    load: float
    """Requests in flight for each slot, over all instances."""
    eligible: bool
    """Whether any request may be sent to it; others get one only as a last resort."""
    cold: bool = False
    """Whether it is cold, so that a share of this instance limits its requests."""

    def room(self) -> int:
        """Return the number of requests that the target may get until `MAX_LOAD`."""
        if self.cold:
            return 1
        return math.ceil((MAX_LOAD - self.load) * max(self.state.registered.slots, 1))


@frozen
class BegunAttempt:
    """What was known of a target when an attempt was begun."""

    load: float
    """Requests in flight for each slot, over all instances, without this one."""
    eligible: bool


def choice_log_fields(
    chosen: Candidate, candidates: list[Candidate], now_s: float
) -> dict[str, object]:
    """Return the inputs of a choice, as fields of a log line."""
    state = chosen.state
    log_fields: dict[str, object] = {
        "load": chosen.load,
        "near": state.near,
        "usable": len(candidates),
        "trusted": sum(each.eligible for each in candidates),
        "known_s": now_s - state.first_seen_at_s,
    }
    if state.last_failure_at_s is not None:
        log_fields["since_failure_s"] = now_s - state.last_failure_at_s
        log_fields["served_since_failure"] = state.successes_since_failure
    return log_fields
