"""State of each target as seen by this instance, and selection among targets."""

import enum
import math
import threading
import uuid
from collections.abc import Callable, Collection, Iterable
from random import Random

from attrs import define, field, frozen

from lacewinglift.balancing import (
    POLICIES,
    choose_subset,
    in_flight_limits,
    instances_per_target,
)
from lacewinglift.configuration import Configuration, Service, Target
from lacewinglift.generated.fleet_pb2 import Suspicion
from lacewinglift.logs import log_info, log_warning
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.outlier_detection import (
    COLD_LATENCY_MARGIN,
    COLD_THRESHOLD_FACTOR,
    EJECT_NATS,
    OTHER_OUTCOMES_MIN,
    OTHER_RESPONSES_MIN,
    OWN_NATS_MIN,
    PROBE_FAILURE_NATS,
    SUSPECT_NATS,
    ErrorEvidence,
    HoldOff,
    LatencyEvidence,
    LatencySample,
    PeerReports,
    ServiceErrors,
    ServiceLatency,
    median,
    refresh_references,
    required_healthy,
)
from lacewinglift.timers import Timers

# Interval at which requests without a response are evaluated.
TICK_INTERVAL_S = 0.05
# A longer time between two ticks means that the process was paused. Ages and latencies
# that span such a pause are not evidence about targets.
PAUSE_THRESHOLD_S = 0.25
# Backoff from a target that sheds load; doubles with each consecutive shed request.
SHED_BACKOFF_INITIAL_S = 0.02
SHED_BACKOFF_MAX_S = 1.0
# Part of its full load that a cold target gets at the beginning of its slow start.
SLOW_START_WEIGHT_MIN = 0.1
PROBE_TIMEOUT_S = 1.0
# A probe without a reported result may be repeated after this time. A failed probe
# lowers the ejection threshold for the same time, while peers suspect the target too.
PROBE_RESULT_TIMEOUT_S = 5.0
# Interval between probes of one target that is suspected or may be readmitted.
PROBE_INTERVAL_S = 1.0
# Targets in the own data centre are preferred while at least this part is usable.
NEAR_USABLE_RATIO_MIN = 0.5
# Shorter latencies count as this one, because the logarithm of 0 is undefined.
LATENCY_MIN_S = 1e-4

FAILURE_KINDS = frozenset(
    {
        OutcomeKind.ERROR,
        OutcomeKind.TIMEOUT,
        OutcomeKind.CONNECT_FAILED,
        OutcomeKind.CUT,
    }
)


class TargetCondition(enum.Enum):
    """State of a target at this instance, as the dump reports it."""

    COLD = "cold"
    ACTIVE = "active"
    SUSPECTED = "suspected"
    EJECTED = "ejected"
    PROBING = "probing"
    LEAVING = "leaving"
    SHEDDING = "shedding"


@frozen
class ProbeRequest:
    """A probe that is due."""

    service: str
    target: str
    address: str
    path: str
    timeout_s: float


@define(eq=False)
class Attempt:
    """One attempt to send a request to a target."""

    target: Target
    started_s: float
    state: "TargetState"
    service: "ServiceState"
    response_started: bool = False
    finished: bool = False
    on_ejected: Callable[[], None] | None = None
    """Called when the target is ejected before it responds; must not block."""

    def log_fields(self) -> dict[str, object]:
        """Return the data that the selection was based on, as fields of a log line."""
        return {
            "load": self.state.in_flight / max(self.target.slots, 1),
            "near": self.state.near,
            "error_nats": self.state.errors.effective_nats,
            "latency_nats": self.state.latency.nats,
        }

    def mark_response_started(self, latency_s: float) -> None:
        """Record that the response head arrived; a long body may follow."""
        self.service.mark_response_started(self, latency_s)

    def record_rate_limit(self, limit_per_s: float | None, served: bool) -> None:
        """Do nothing: only instances of a mesh keep a rate that a target states."""

    def record_leaving(self) -> None:
        """Do nothing: the configuration says which targets leave."""

    def record_pause(self, duration_s: float) -> None:
        """Do nothing: only instances of a mesh keep the pause that a target states."""

    def finish(self, outcome: Outcome) -> None:
        """Record the end of the attempt; later calls have no effect."""
        self.service.finish(self, outcome)


@define(eq=False)
class TargetState:
    """Load, evidence and ejection state of one target."""

    target: Target
    near: bool
    """Whether the target is in the data centre of this instance."""
    preferred_in_flight_limit: int
    in_flight_limit: int
    cold_since_s: float | None = None
    """Beginning of the slow start; None for a target at full load."""
    in_flight: int = 0
    unanswered: dict[int, Attempt] = field(factory=dict)
    errors: ErrorEvidence = field(factory=ErrorEvidence)
    latency: LatencyEvidence = field(factory=LatencyEvidence)
    latency_ratio: float = 1.0
    hang_nats: float = 0.0
    prior_nats: float = 0.0
    """Evidence of peers and failed probes, which lowers the ejection threshold."""
    ejected: bool = False
    ejected_nats: float = 0.0
    evidence_from_s: float = -math.inf
    """Attempts that started earlier are not evidence."""
    hold_off: HoldOff = field(factory=HoldOff)
    shedding_until_s: float = -math.inf
    consecutive_sheds: int = 0
    probe_sent_s: float | None = None
    next_probe_s: float = -math.inf
    last_probe_failure_s: float = -math.inf
    outcomes: int = 0
    failures: int = 0

    @property
    def name(self) -> str:
        """Return the name of the target."""
        return self.target.name

    @property
    def own_nats(self) -> float:
        """Return the evidence of this instance's own requests."""
        return max(self.errors.effective_nats, self.latency.nats + self.hang_nats)

    def is_healthy(self, now_s: float) -> bool:
        """Return whether the target counts towards the floor."""
        return not (
            self.ejected or self.target.leaving or now_s < self.shedding_until_s
        )

    def condition(self, now_s: float) -> TargetCondition:
        """Return the state to show to operators."""
        if self.target.leaving:
            return TargetCondition.LEAVING
        if self.ejected:
            if now_s >= self.hold_off.until_s:
                return TargetCondition.PROBING
            return TargetCondition.EJECTED
        if now_s < self.shedding_until_s:
            return TargetCondition.SHEDDING
        if self.own_nats >= SUSPECT_NATS or self.prior_nats > 0.0:
            return TargetCondition.SUSPECTED
        if self.cold_since_s is not None:
            return TargetCondition.COLD
        return TargetCondition.ACTIVE

    def clear_evidence(self, now_s: float) -> None:
        """Discard the evidence and ignore attempts that started before `now_s`."""
        self.errors.reset()
        self.latency.reset()
        self.hang_nats = 0.0
        self.evidence_from_s = now_s


class ServiceState:
    """State of the targets of one service, guarded by one lock."""

    def __init__(self, service: Service, table: "TargetTable") -> None:
        self.lock = threading.Lock()
        self.service = service
        self.table = table
        self.states: dict[str, TargetState] = {}
        self.errors = ServiceErrors()
        self.latency = ServiceLatency()
        self.peer_reports = PeerReports()
        self.choices_made = 0
        self.required_healthy = 0

    # ---- configuration ----

    def apply(self, service: Service, instances: int, skip_slow_start: bool) -> None:
        """Apply a configuration; known targets keep their state."""
        now = self.table.timers.now()
        subset = choose_subset(service.targets, self.table.instance, instances)
        sharing_instances = instances_per_target(
            len(service.targets), len(subset), instances
        )
        with self.lock:
            self.service = service
            before = self.states
            self.states = {}
            for target in subset:
                self.states[target.name] = self._reuse_or_create_state(
                    before.get(target.name),
                    target,
                    sharing_instances,
                    None if skip_slow_start else now,
                )
            self.required_healthy = required_healthy(service.floor, len(subset))

    def _reuse_or_create_state(
        self,
        known: TargetState | None,
        target: Target,
        sharing_instances: int,
        cold_since_s: float | None,
    ) -> TargetState:
        preferred_limit, in_flight_limit = in_flight_limits(target, sharing_instances)
        near = target.data_centre == self.table.data_centre
        if known is None or known.target.address != target.address:
            return TargetState(
                target, near, preferred_limit, in_flight_limit, cold_since_s
            )
        known.target = target
        known.near = near
        known.preferred_in_flight_limit = preferred_limit
        known.in_flight_limit = in_flight_limit
        return known

    # ---- selection ----

    def usable(self, now_s: float) -> list[TargetState]:
        """Return the targets that may receive requests.

        These are the healthy targets. If they are fewer than the floor requires, the
        unhealthy targets with the least evidence are added. A leaving target is never
        used.
        """
        healthy = [s for s in self.states.values() if s.is_healthy(now_s)]
        missing = self.required_healthy - len(healthy)
        if missing <= 0:
            return healthy
        rest = [
            s
            for s in self.states.values()
            if not s.target.leaving and not s.is_healthy(now_s)
        ]
        # Prefer a shedding target, which refuses quickly, to an ejected one, which may
        # hang.
        rest.sort(key=lambda s: (s.ejected, s.ejected_nats))
        return healthy + rest[:missing]

    def acquire(self, exclude: Collection[str]) -> Attempt | None:
        """Choose a target and count a request to it as in flight."""
        now = self.table.timers.now()
        with self.lock:
            candidates = self._candidates(exclude, now)
            if not candidates:
                return None
            self.choices_made += 1
            state = self.table.choose(candidates, self.table.random, self.choices_made)
            attempt = Attempt(state.target, now, state, self)
            state.in_flight += 1
            state.unanswered[id(attempt)] = attempt
            return attempt

    def _candidates(self, exclude: Collection[str], now_s: float) -> list[TargetState]:
        usable = self.usable(now_s)
        if exclude:
            usable = [s for s in usable if s.target.name not in exclude]
        free = [s for s in usable if s.in_flight < s.preferred_in_flight_limit]
        if not free:
            return [s for s in usable if s.in_flight < s.in_flight_limit]
        near = [s for s in free if s.near]
        if near and self._enough_near_usable(usable):
            free = near
        return self._apply_slow_start(free, now_s)

    def _enough_near_usable(self, usable: list[TargetState]) -> bool:
        total = sum(s.near for s in self.states.values())
        return sum(s.near for s in usable) >= NEAR_USABLE_RATIO_MIN * total

    def _apply_slow_start(
        self, free: list[TargetState], now_s: float
    ) -> list[TargetState]:
        if all(s.cold_since_s is None for s in free):
            return free
        random = self.table.random
        warm = [
            s
            for s in free
            if s.cold_since_s is None
            or random.random() < self._slow_start_weight(s, now_s)
        ]
        return warm or free

    def _slow_start_weight(self, state: TargetState, now_s: float) -> float:
        """Return the part of its full load that a target may receive."""
        if state.cold_since_s is None:
            return 1.0
        elapsed_s = now_s - state.cold_since_s
        if elapsed_s >= self.service.slow_start_s:
            state.cold_since_s = None
            return 1.0
        return max(SLOW_START_WEIGHT_MIN, elapsed_s / self.service.slow_start_s)

    # ---- outcomes ----

    def mark_response_started(self, attempt: Attempt, latency_s: float) -> None:
        """Record that the response head of an attempt arrived."""
        now = self.table.timers.now()
        with self.lock:
            if not attempt.response_started and not attempt.finished:
                self._record_response(attempt, latency_s, now)

    def finish(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record the end of an attempt."""
        now = self.table.timers.now()
        with self.lock:
            if attempt.finished:
                return
            attempt.finished = True
            state = attempt.state
            state.in_flight -= 1
            state.unanswered.pop(id(attempt), None)
            if outcome.kind is OutcomeKind.CANCELLED:
                return
            if outcome.kind is OutcomeKind.SHED:
                self._record_shed(state, now)
                return
            self._record_outcome(attempt, outcome, now)

    def _record_shed(self, state: TargetState, now_s: float) -> None:
        steps = min(state.consecutive_sheds, 10)
        wait_s = min(SHED_BACKOFF_MAX_S, SHED_BACKOFF_INITIAL_S * 2.0**steps)
        state.consecutive_sheds += 1
        state.shedding_until_s = now_s + wait_s * self.table.random.uniform(0.5, 1.5)

    def _record_outcome(self, attempt: Attempt, outcome: Outcome, now_s: float) -> None:
        state = attempt.state
        failed = outcome.kind in FAILURE_KINDS
        state.outcomes += 1
        state.failures += failed
        if not failed:
            state.consecutive_sheds = 0
        if not self._is_evidence(attempt):
            return
        self.errors.record(failed)
        state.errors.record(failed, self.errors, now_s)
        # A quick error is no evidence about latency, but a timeout is.
        if not failed or outcome.kind is OutcomeKind.TIMEOUT:
            self._record_response(attempt, outcome.latency_s, now_s)
        self._evaluate(state, now_s)

    def _record_response(
        self, attempt: Attempt, latency_s: float, now_s: float
    ) -> None:
        if attempt.response_started:
            return
        attempt.response_started = True
        state = attempt.state
        state.unanswered.pop(id(attempt), None)
        if not self._is_evidence(attempt) or self.table.spans_pause(attempt, now_s):
            return
        sample = LatencySample(
            state.name, attempt.started_s, math.log(max(latency_s, LATENCY_MIN_S))
        )
        state.latency.record(sample, self.latency, self._latency_margin(state, now_s))
        if state.hang_nats:
            state.hang_nats = self._compute_hang_nats(state, now_s)

    def _is_evidence(self, attempt: Attempt) -> bool:
        state = attempt.state
        return not state.ejected and attempt.started_s >= state.evidence_from_s

    def _latency_margin(self, state: TargetState, now_s: float) -> float:
        if state.cold_since_s is None:
            return 0.0
        return COLD_LATENCY_MARGIN * (1.0 - self._slow_start_weight(state, now_s))

    # ---- evaluation ----

    def tick(self, now_s: float) -> None:
        """Evaluate requests without a response and the suspicions of peers."""
        with self.lock:
            refresh_references(s.latency for s in self.states.values() if not s.ejected)
            self._refresh_latency_ratios()
            for state in self.states.values():
                state.prior_nats = self._compute_prior_nats(state, now_s)
                state.hang_nats = self._compute_hang_nats(state, now_s)
                self._slow_start_weight(state, now_s)
                self._evaluate(state, now_s)

    def _refresh_latency_ratios(self) -> None:
        means = sorted(
            s.latency.balancing_mean for s in self.states.values() if s.latency.samples
        )
        if not means:
            return
        service_median = median(means)
        for state in self.states.values():
            if state.latency.samples:
                state.latency_ratio = math.exp(
                    state.latency.balancing_mean - service_median
                )

    def _compute_prior_nats(self, state: TargetState, now_s: float) -> float:
        prior = self.peer_reports.prior_nats(state.name, len(self.states), now_s)
        if prior > 0.0 and now_s - state.last_probe_failure_s < PROBE_RESULT_TIMEOUT_S:
            prior = min(EJECT_NATS - OWN_NATS_MIN, prior + PROBE_FAILURE_NATS)
        return prior

    def _compute_hang_nats(self, state: TargetState, now_s: float) -> float:
        if not state.unanswered or state.ejected:
            return 0.0
        margin = self._latency_margin(state, now_s)
        ages = sorted(
            (self._age(attempt, now_s) for attempt in state.unanswered.values()),
            reverse=True,
        )
        if state.latency.reference is None:
            limit_s = 0.5 * self.service.request_timeout_s
            return EJECT_NATS if ages[0] > limit_s else 0.0
        # Requests that wait at the same time are not independent, so only the two
        # oldest count.
        return sum(
            state.latency.hang_nats(age, self.latency, margin) for age in ages[:2]
        )

    def _age(self, attempt: Attempt, now_s: float) -> float:
        return now_s - max(
            attempt.started_s, attempt.state.evidence_from_s, self.table.resumed_s
        )

    def _evaluate(self, state: TargetState, now_s: float) -> None:
        if state.ejected or state.own_nats < OWN_NATS_MIN:
            return
        threshold = max(OWN_NATS_MIN, EJECT_NATS - state.prior_nats)
        if state.cold_since_s is not None:
            threshold *= COLD_THRESHOLD_FACTOR
        if state.own_nats < threshold or state.target.leaving:
            return
        if not self._is_confirmed(state, threshold, now_s):
            return
        if self._floor_permits_ejection(state, now_s):
            self._eject(state, now_s)

    def _is_confirmed(self, state: TargetState, threshold: float, now_s: float) -> bool:
        if state.errors.effective_nats >= threshold:
            others = state.errors.other_outcomes(self.errors)
            if others >= OTHER_OUTCOMES_MIN:
                return True
        return self._is_latency_confirmed(state, threshold, now_s)

    def _is_latency_confirmed(
        self, state: TargetState, threshold: float, now_s: float
    ) -> bool:
        """Return whether the evidence reaches `threshold` against current latencies.

        These are the responses and the unanswered requests of the other targets since
        the evidence began.
        """
        evidence_since_s = now_s
        if state.latency.run:
            evidence_since_s = state.latency.run_started_s
        if state.hang_nats and state.unanswered:
            evidence_since_s = min(
                evidence_since_s, *(a.started_s for a in state.unanswered.values())
            )
        others = [
            sample.log_latency
            for sample in self.latency.recent
            if sample.target != state.name and sample.started_s >= evidence_since_s
        ]
        if len(others) < OTHER_RESPONSES_MIN:
            return False
        others += self._unanswered_log_ages_elsewhere(state, evidence_since_s, now_s)
        others.sort()
        reference = state.latency.reference
        # The median of few responses has this standard error.
        current_reference = median(others) + self.latency.sigma / math.sqrt(len(others))
        if reference is None or current_reference <= reference:
            return True
        # The service as a whole became slower, so recompute the evidence against the
        # current median.
        state.latency.nats = state.latency.recompute_nats(
            current_reference, self.latency
        )
        margin = self._latency_margin(state, now_s) + current_reference - reference
        ages = sorted(
            (self._age(a, now_s) for a in state.unanswered.values()), reverse=True
        )
        hang_nats = sum(
            state.latency.hang_nats(age, self.latency, margin) for age in ages[:2]
        )
        state.hang_nats = hang_nats
        return state.latency.nats + hang_nats >= threshold

    def _unanswered_log_ages_elsewhere(
        self, state: TargetState, evidence_since_s: float, now_s: float
    ) -> list[float]:
        return [
            math.log(max(self._age(attempt, now_s), LATENCY_MIN_S))
            for other in self.states.values()
            if other is not state and not other.ejected
            for attempt in other.unanswered.values()
            if attempt.started_s >= evidence_since_s
        ]

    def _floor_permits_ejection(self, state: TargetState, now_s: float) -> bool:
        if self.states.get(state.name) is not state:
            return False
        healthy = sum(s.is_healthy(now_s) for s in self.states.values())
        return healthy - state.is_healthy(now_s) >= self.required_healthy

    def _eject(self, state: TargetState, now_s: float) -> None:
        state.ejected = True
        state.ejected_nats = state.own_nats
        state.hold_off.start(now_s, self.table.random)
        log_warning(
            "target_ejected",
            service=self.service.name,
            target=state.name,
            error_nats=state.errors.nats,
            latency_nats=state.latency.nats,
            hang_nats=state.hang_nats,
            prior_nats=state.prior_nats,
            hold_off_s=state.hold_off.duration_s,
        )
        waiting = list(state.unanswered.values())
        state.clear_evidence(now_s)
        state.next_probe_s = state.hold_off.until_s
        state.probe_sent_s = None
        for attempt in waiting:
            if attempt.on_ejected is not None:
                attempt.on_ejected()

    def _readmit(self, state: TargetState, now_s: float) -> None:
        state.ejected = False
        state.ejected_nats = 0.0
        state.cold_since_s = now_s
        state.latency.recent_mean = state.latency.baseline_mean
        state.latency.balancing_mean = state.latency.baseline_mean
        state.clear_evidence(now_s)
        log_info("target_returned", service=self.service.name, target=state.name)

    # ---- suspicions and probes ----

    def suspicions(self, now_s: float) -> list[Suspicion]:
        """Return the suspected and ejected targets of the service."""
        found = []
        with self.lock:
            for state in self.states.values():
                score = 100 if state.ejected else self._suspicion_score(state)
                if score:
                    found.append(
                        Suspicion(
                            service=self.service.name, target=state.name, score=score
                        )
                    )
        return found

    def _suspicion_score(self, state: TargetState) -> int:
        if state.own_nats < SUSPECT_NATS:
            return 0
        return min(99, round(100 * state.own_nats / EJECT_NATS))

    def record_peer_suspicions(self, peer: str, scores: dict[str, int]) -> None:
        """Replace the suspicions of `peer` about this service's targets."""
        now = self.table.timers.now()
        with self.lock:
            self.peer_reports.record(peer, scores, now)

    def probes_due(self, now_s: float) -> list[ProbeRequest]:
        """Return the due probes and mark them as sent."""
        due = []
        with self.lock:
            for state in self.states.values():
                if self._probe_is_due(state, now_s):
                    state.probe_sent_s = now_s
                    due.append(self._probe_request(state))
        return due

    def _probe_is_due(self, state: TargetState, now_s: float) -> bool:
        if state.target.leaving or now_s < state.next_probe_s:
            return False
        sent = state.probe_sent_s
        if sent is not None and now_s - sent < PROBE_RESULT_TIMEOUT_S:
            return False
        if state.ejected:
            return now_s >= state.hold_off.until_s
        return state.prior_nats > 0.0

    def _probe_request(self, state: TargetState) -> ProbeRequest:
        return ProbeRequest(
            self.service.name,
            state.name,
            state.target.address,
            self.service.health_path,
            min(PROBE_TIMEOUT_S, self.service.request_timeout_s),
        )

    def record_probe_result(self, request: ProbeRequest, ok: bool) -> None:
        """Record the result of a probe."""
        now = self.table.timers.now()
        with self.lock:
            state = self.states.get(request.target)
            if state is None or state.target.address != request.address:
                return
            state.probe_sent_s = None
            state.next_probe_s = now + PROBE_INTERVAL_S * self.table.random.uniform(
                0.75, 1.25
            )
            if not state.ejected:
                # A failed probe is evidence only while peers suspect the target too. A
                # passed probe proves nothing.
                state.last_probe_failure_s = -math.inf if ok else now
            elif now < state.hold_off.until_s:
                return
            elif not ok:
                state.hold_off.probe_failed(now, self.table.random)
            elif state.hold_off.probe_passed(now):
                self._readmit(state, now)

    def dump(self, now_s: float) -> dict[str, object]:
        """Return the state of the service as JSON values."""
        with self.lock:
            return {
                "required_healthy": self.required_healthy,
                "healthy": sum(s.is_healthy(now_s) for s in self.states.values()),
                "usable": [s.name for s in self.usable(now_s)],
                "error_rate": round(self.errors.rate, 5),
                "latency_sigma": round(self.latency.sigma, 3),
                "targets": {
                    s.name: self._dump_target(s, now_s) for s in self.states.values()
                },
            }

    def _dump_target(self, state: TargetState, now_s: float) -> dict[str, object]:
        ages = [self._age(attempt, now_s) for attempt in state.unanswered.values()]
        latency = state.latency
        return {
            "address": state.target.address,
            "data_centre": state.target.data_centre,
            "state": state.condition(now_s).value,
            "in_flight": state.in_flight,
            "in_flight_limit": state.in_flight_limit,
            "oldest_unanswered_s": round(max(ages, default=0.0), 3),
            "answers": state.outcomes,
            "failures": state.failures,
            "latency_ms": round(1000 * math.exp(latency.recent_mean), 2)
            if latency.samples
            else None,
            "ordinary_latency_ms": None
            if latency.reference is None
            else round(1000 * math.exp(latency.reference), 2),
            "error_nats": round(state.errors.nats, 2),
            "latency_nats": round(latency.nats, 2),
            "hang_nats": round(state.hang_nats, 2),
            "peer_nats": round(state.prior_nats, 2),
            "eject_nats": round(EJECT_NATS - state.prior_nats, 2),
            "ejections": state.hold_off.ejections,
            "hold_off_left_s": round(max(0.0, state.hold_off.until_s - now_s), 2)
            if state.ejected
            else 0.0,
        }


class TargetTable:
    """State of all targets of all services at one instance.

    Parameters
    ----------
    timers : Timers
        Clock, and source of the ticks that evaluate requests without a response.
    data_centre : str
        Data centre of this instance; its targets are preferred.
    instance : str, default=""
        Name of this instance, which determines its subsets of targets. If it is empty,
        a random name is used.
    policy : str, default="two_choices"
        Name of the registered load balancing policy.
    seed : int, default=None
        Seed of the random number generator, for tests.
    """

    def __init__(
        self,
        timers: Timers,
        data_centre: str,
        instance: str = "",
        policy: str = "two_choices",
        seed: int | None = None,
    ) -> None:
        self.timers = timers
        self.data_centre = data_centre
        self.instance = instance or uuid.uuid4().hex
        self.choose = POLICIES[policy]
        self.random = Random(seed)
        self.services: dict[str, ServiceState] = {}
        self.configured = False
        self.last_tick_s = timers.now()
        self.resumed_s = -math.inf
        timers.subscribe(TICK_INTERVAL_S, self.tick)

    def apply(self, configuration: Configuration) -> None:
        """Apply a configuration; known targets keep their state."""
        instances = max(1, configuration.fleet.instances)
        services = {}
        for name, service in configuration.services.items():
            known = self.services.get(name)
            state = known or ServiceState(service, self)
            state.apply(
                service, instances, skip_slow_start=not self.configured or known is None
            )
            services[name] = state
        self.services = services
        self.configured = True

    def acquire(
        self,
        service_name: str,
        exclude: Collection[str] = (),
        repeatable: bool = False,
    ) -> Attempt | None:
        """Choose a target that is not in `exclude`; `repeatable` has no effect.

        Returns
        -------
        Attempt or None
            None if no target is usable or all have reached their in-flight limits.
        """
        service = self.services.get(service_name)
        return None if service is None else service.acquire(exclude)

    def tick(self) -> None:
        """Evaluate the targets of all services, every `TICK_INTERVAL_S`."""
        now = self.timers.now()
        self._detect_pause(now)
        for service in self.services.values():
            service.tick(now)

    def _detect_pause(self, now_s: float) -> None:
        if now_s - self.last_tick_s > PAUSE_THRESHOLD_S:
            self.resumed_s = now_s
        self.last_tick_s = now_s

    def spans_pause(self, attempt: Attempt, now_s: float) -> bool:
        """Return whether the process was paused during `attempt`."""
        return (
            attempt.started_s < self.resumed_s
            or now_s - self.last_tick_s > PAUSE_THRESHOLD_S
        )

    def suspicions(self) -> list[Suspicion]:
        """Return the targets that this instance suspects or has ejected."""
        now = self.timers.now()
        return [
            s for service in self.services.values() for s in service.suspicions(now)
        ]

    def record_peer_suspicions(
        self, instance: str, suspicions: Iterable[Suspicion]
    ) -> None:
        """Replace the suspicions of the peer `instance`."""
        by_service: dict[str, dict[str, int]] = {}
        for suspicion in suspicions:
            scores = by_service.setdefault(suspicion.service, {})
            scores[suspicion.target] = min(100, suspicion.score)
        for name, service in self.services.items():
            service.record_peer_suspicions(instance, by_service.get(name, {}))

    def probes_due(self) -> list[ProbeRequest]:
        """Return the due probes; report each result to `record_probe_result`."""
        now = self.timers.now()
        return [
            p for service in self.services.values() for p in service.probes_due(now)
        ]

    def record_probe_result(
        self, request: ProbeRequest, ok: bool, latency_s: float
    ) -> None:
        """Record the result of a probe."""
        service = self.services.get(request.service)
        if service is not None:
            service.record_probe_result(request, ok)

    def dump(self) -> dict[str, object]:
        """Return the state of all targets as JSON values."""
        now = self.timers.now()
        return {name: service.dump(now) for name, service in self.services.items()}
