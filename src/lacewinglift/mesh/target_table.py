"""Choice of targets by failure evidence that all instances share.

A target with a gray failure fails most of its requests for some seconds and few at
other times, so a single failure is strong evidence. A failure that the target itself
returned is accepted from any instance. A broken connection may be the fault of one
network path, so other instances act on it only after two instances have reported one.
"""

import itertools
import math
import threading
from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable, Mapping
from random import Random

from attrs import define, evolve

from lacewinglift.configuration import Target
from lacewinglift.generated import beats_pb2
from lacewinglift.generated.beats_pb2 import FAILED, SERVED, UNREACHED
from lacewinglift.logs import log_info
from lacewinglift.mesh import completion_time_choice  # noqa: F401  (registers it)
from lacewinglift.mesh.choice_registry import LEAST_LOADED, TARGET_CHOICES
from lacewinglift.mesh.cold_targets import ColdTargets, prefer_warm
from lacewinglift.mesh.cut_evidence import CutEvidence
from lacewinglift.mesh.registry import RegisteredTarget
from lacewinglift.mesh.shedding import SheddingReports
from lacewinglift.mesh.target_choice import (
    PATH_HOLD_OFF_S,
    SUSPECT_HOLD_OFF_S,
    TRIAL_INTERVAL_S,
    TargetChoice,
)
from lacewinglift.mesh.target_state import (
    DEFAULT_LOAD_LIMIT,
    MAX_LOAD,
    BegunAttempt,
    Candidate,
    LoadLimit,
    TargetState,
    choice_log_fields,
)
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.overload.capacity import Capacity, measure_capacity
from lacewinglift.timers import Timers

# Number of served requests after a failure that clear the suspicion. One is not enough,
# because a failing target still serves some requests.
SUCCESSES_TO_RECOVER = 2
# Reports of broken connections within this time are counted together; with reports from
# this many instances, the target is suspected.
UNREACHED_WINDOW_S = 2.0
UNREACHED_INSTANCES_MIN = 2
# Backoff after a target shed a request; it doubles with each consecutive one.
SHED_BACKOFF_INITIAL_S = 0.05
SHED_BACKOFF_MAX_S = 1.0
# Longest time for which a target is left alone at its own word.
MAX_PAUSE_S = 600.0
# Targets of each distance that are considered for a request while most are full.
SPREAD_SAMPLE = 2
# Each event is repeated in heartbeats for this long, since datagrams can be lost.
EVENT_REPEAT_S = 1.5

_TARGET_FAILURE_KINDS = {OutcomeKind.ERROR}
_RESPONSE_KINDS = {OutcomeKind.SUCCESS, OutcomeKind.ERROR}
_PATH_FAILURE_KINDS = {OutcomeKind.TIMEOUT, OutcomeKind.CONNECT_FAILED, OutcomeKind.CUT}


@define(eq=False)
class MeshAttempt:
    """Attempt of one request at the target that was chosen for it."""

    target: Target
    started_s: float
    state: "TargetState"
    table: "MeshTargetTable"
    repeatable: bool
    choice_log_fields: Mapping[str, object]
    """Inputs of the choice, as fields of a log line."""
    begun: BegunAttempt
    finished: bool = False
    load: float = 0.0
    """Load of the target when it was chosen."""
    kind: object = None
    """Kind of the request, under which the time of its response is recorded."""
    on_ejected: Callable[[], None] | None = None

    def log_fields(self) -> Mapping[str, object]:
        """Return the inputs of the choice, as fields of a log line."""
        return self.choice_log_fields

    def mark_response_started(self, latency_s: float) -> None:
        """Do nothing: latency is not used as evidence."""

    def record_rate_limit(self, limit_per_s: float | None, served: bool) -> None:
        """Record the rate that the target states in a response."""
        self.table.record_rate_limit(self, limit_per_s, served)

    def record_leaving(self) -> None:
        """Record that the target states that it leaves."""
        self.table.record_leaving(self)

    def record_pause(self, duration_s: float) -> None:
        """Record that the target wants no request of this instance for some time."""
        self.table.record_pause(self, duration_s)

    def finish(self, outcome: Outcome) -> None:
        """Record the end of the attempt; later calls have no effect."""
        self.table.finish(self, outcome)


@define
class EvidenceEvent:
    """Evidence about a target that is sent to the other instances."""

    target: str
    kind: int
    at_s: float
    number: int


class MeshTargetTable:
    """Registered targets with shared evidence; the `TargetSelector` of a forwarder.

    Parameters
    ----------
    timers : Timers
        Clock.
    instance : str
        Name of this instance.
    data_centre : str
        Data centre of this instance.
    on_event : callable
        Called when there is new evidence to send to the other instances.
    random : random.Random
        Source of randomness for tie-breaking and jitter.
    """

    def __init__(
        self,
        timers: Timers,
        instance: str,
        data_centre: str,
        on_event: Callable[[], None] = lambda: None,
        random: Random | None = None,
    ) -> None:
        self.timers = timers
        self.instance = instance
        self.data_centre = data_centre
        self.on_event = on_event
        self.rate_share: Callable[[str, float], float] = lambda target, limit: limit
        """Returns the share of this instance in the rate that a target takes."""
        self.on_leaving: Callable[[str, int], None] = lambda name, born_ms: None
        """Called with name and start of a target that states that it leaves."""
        self.cold_targets = ColdTargets(timers)
        self.regions: Mapping[str, str] = {}
        """Region of each data centre."""
        self.evacuated: frozenset[str] = frozenset()
        """Data centres whose targets get no requests."""
        self.on_end: Callable[[MeshAttempt, Outcome], None] = lambda attempt, end: None
        """Called without the lock after the end of an attempt."""
        self.on_loads: Callable[[], None] = lambda: None
        """Called without the lock after the loads of another instance are applied."""
        self.random = random or Random()
        self.choice = TargetChoice(self.random)
        self.choice_name = LEAST_LOADED
        self.states: dict[str, TargetState] = {}
        self.by_service: dict[str, list[TargetState]] = {}
        self.events: deque[EvidenceEvent] = deque()
        self.cut_evidence = CutEvidence()
        self.shedding = SheddingReports(timers)
        self.event_numbers = itertools.count(1)
        self.lock = threading.RLock()

    def use_choice(self, name: str) -> None:
        """Choose targets in the way that is registered under a name."""
        with self.lock:
            if name == self.choice_name:
                return
            self.choice_name = name
            has_connection = self.choice.has_connection
            self.choice = TARGET_CHOICES[name](self.random)
            self.choice.has_connection = has_connection
            self.choice.is_shedding = self._is_shedding
        log_info("target_choice_changed", choice=name)

    def _is_shedding(self, state: TargetState) -> bool:
        name, born_ms = state.target.name, state.registered.born_ms
        return self.shedding.is_shedding(name, born_ms)

    def apply(self, targets: Iterable[RegisteredTarget]) -> None:
        """Apply the registered targets; known incarnations keep their state."""
        with self.lock:
            previous = self.states
            self.states = {}
            self.by_service = {}
            for registered in targets:
                state = self._reuse_or_create_state(
                    previous.get(registered.name), registered
                )
                self.states[registered.name] = state
                self.by_service.setdefault(registered.service, []).append(state)
            for name, state in previous.items():
                # A target whose entry is gone still serves what it has begun; that of
                # a restarted one is lost.
                if self.states.get(name, state) is not state:
                    self._notify_ejected(state)

    def _reuse_or_create_state(
        self, known: TargetState | None, registered: RegisteredTarget
    ) -> TargetState:
        target = Target(
            registered.name,
            registered.address,
            registered.data_centre,
            registered.slots,
            connections=0,
            leaving=registered.leaving,
        )
        slow_start_until_s = self.timers.now() + (registered.warmup_s or 0.0)
        same = known is not None and known.registered.born_ms == registered.born_ms
        if same and known.registered.address == registered.address:
            known.registered = registered
            known.target = target
            self.cold_targets.apply_report(known)
            return known
        near = registered.data_centre == self.data_centre
        state = TargetState(
            registered, target, near, slow_start_until_s, self.timers.now()
        )
        self.cold_targets.record_new(state)
        return state

    def count_by_data_centre(self) -> dict[str, int]:
        """Return the number of targets in each data centre."""
        with self.lock:
            return Counter(
                state.registered.data_centre for state in self.states.values()
            )

    def count_by_state(self) -> dict[tuple[str, str], int]:
        """Return the number of targets of each service in each state."""
        now = self.timers.now()
        with self.lock:
            return Counter(
                (state.registered.service, state.condition(now))
                for state in self.states.values()
            )

    def choice_counts(self) -> dict[tuple[str, str], int]:
        """Return the number of choices by service and basis."""
        with self.lock:
            return dict(self.choice.chosen_counts)

    def failing_services(self) -> set[str]:
        """Return the services whose targets in use fail requests of this instance."""
        with self.lock:
            return self.choice.failing_services(self.timers.now())

    # ---- choice ----

    def acquire(
        self,
        service_name: str,
        exclude: Collection[str] = (),
        repeatable: bool = False,
        limit: LoadLimit = DEFAULT_LOAD_LIMIT,
    ) -> MeshAttempt | None:
        """Choose a target that is not in `exclude`; return None if there is none."""
        now = self.timers.now()
        with self.lock:
            candidates = prefer_warm(
                self._candidates(service_name, exclude, now, limit.max_load)
            )
            if limit.eligible_only:
                candidates = _without_last_resorts(candidates, repeatable, now)
            if limit.spread:
                candidates = _sample_by_distance(candidates, self.random)
            chosen = self.choice.choose(candidates, repeatable, now)
            if chosen is None:
                self.choice.record_no_target(service_name, now)
                return None
            state = chosen.state
            state.limit.take_token()
            log_fields = choice_log_fields(chosen, candidates, now)
            log_fields.update(self.choice.log_fields(state))
            begun = BegunAttempt(chosen.load, chosen.eligible)
            attempt = MeshAttempt(
                state.target, now, state, self, repeatable, log_fields, begun
            )
            state.last_request_at_s = now
            attempt.load = chosen.load
            state.in_flight += 1
            state.pending_attempts.add(attempt)
            return attempt

    def _candidates(
        self,
        service_name: str,
        exclude: Collection[str],
        now_s: float,
        max_load: float = MAX_LOAD,
    ) -> list[Candidate]:
        """Return the targets that are considered for a request."""
        candidates = []
        for state in self.by_service.get(service_name, []):
            if state.registered.leaving or state.target.name in exclude:
                continue
            if now_s < state.paused_until_s:
                continue
            if state.registered.data_centre in self.evacuated:
                continue
            if not self._within_rate_limit(state, now_s):
                continue
            load = state.load(now_s)
            if load < max_load:
                eligible = self.choice.is_eligible(state, now_s, SUSPECT_HOLD_OFF_S)
                cold = state.limit.warming
                candidates.append(Candidate(state, load, eligible, cold))
        return candidates

    def capacity(
        self, service_name: str, response_s: float, reporting_fraction: float
    ) -> Capacity:
        """Return the estimated capacity of a service over the whole fleet."""
        now = self.timers.now()
        with self.lock:
            return measure_capacity(
                self.by_service.get(service_name, ()),
                now,
                response_s,
                reporting_fraction,
                lambda state: self.choice.is_eligible(state, now, SUSPECT_HOLD_OFF_S),
            )

    def _within_rate_limit(self, state: TargetState, now_s: float) -> bool:
        """Return whether this instance may send the target a request now."""
        limit_per_s = state.limit.limit_per_s
        if self.cold_targets.is_cold(state, now_s):
            return self.cold_targets.has_token(state, now_s)
        if limit_per_s is None:
            return True
        rate_per_s = self.rate_share(state.target.name, limit_per_s)
        return state.limit.has_token(now_s, rate_per_s)

    # ---- outcomes ----

    def record_leaving(self, attempt: MeshAttempt) -> None:
        """Send a target that states that it leaves no further requests."""
        state = attempt.state
        with self.lock:
            if state.registered.leaving:
                return
            state.registered = evolve(state.registered, leaving=True)
        log_info("target_leaving", target=state.target.name)
        # Outside the lock, as the registry calls back while it holds its own.
        self.on_leaving(state.target.name, state.registered.born_ms)

    def record_pause(self, attempt: MeshAttempt, duration_s: float) -> None:
        """Send a target no request for the time that it states."""
        with self.lock:
            now = self.timers.now()
            state = attempt.state
            paused_until_s = now + min(duration_s, MAX_PAUSE_S)
            state.paused_until_s = max(state.paused_until_s, paused_until_s)
        log_info("target_paused", target=state.target.name, pause_s=duration_s)

    def record_rate_limit(
        self, attempt: MeshAttempt, limit_per_s: float | None, served: bool
    ) -> None:
        """Record the rate that a target states, or that it states none."""
        with self.lock:
            if limit_per_s is None and not served:
                # An error response may lack the statement although the limit holds.
                return
            now = self.timers.now()
            state = attempt.state
            if limit_per_s is not None or state.limit.limit_per_s is not None:
                state.limit.heard_at_s = now
            if self._set_rate_limit(state, limit_per_s, now, self.instance):
                self.on_event()

    def _set_rate_limit(
        self,
        state: TargetState,
        limit_per_s: float | None,
        stated_at_s: float,
        instance: str,
    ) -> bool:
        """Apply a statement of a target; return whether its limit changes."""
        if not state.limit.update(limit_per_s, stated_at_s):
            return False
        log_info(
            "target_rate_limited",
            target=state.target.name,
            service=state.registered.service,
            limit_per_s="-" if limit_per_s is None else limit_per_s,
            by=instance,
        )
        return True

    def count_rate_limited(self) -> dict[str, int]:
        """Return the number of targets of each service that state a limit."""
        with self.lock:
            return Counter(
                state.registered.service
                for state in self.states.values()
                if state.limit.limit_per_s is not None
            )

    def wait_s(self, service_name: str) -> float | None:
        """Return when a refused request may return; None if no cold target tells."""
        with self.lock:
            states = [
                state
                for state in self.by_service.get(service_name, [])
                if state.registered.data_centre not in self.evacuated
            ]
            return self.cold_targets.wait_s(service_name, states)

    def outside(self, service_name: str, regions: frozenset[str]) -> set[str]:
        """Return the targets of a service that are in none of some regions.

        The region of a data centre that the settings do not name is in none.
        """
        with self.lock:
            return {
                state.target.name
                for state in self.by_service.get(service_name, [])
                if self.regions.get(state.registered.data_centre) not in regions
            }

    def count_cold(self) -> dict[str, int]:
        """Return the number of cold targets of each service that limits them."""
        with self.lock:
            return self.cold_targets.count(self.states.values())

    def finish(self, attempt: MeshAttempt, outcome: Outcome) -> None:
        """Record the end of an attempt."""
        with self.lock:
            if attempt.finished:
                return
            attempt.finished = True
            state = attempt.state
            state.in_flight -= 1
            state.pending_attempts.discard(attempt)
            self._apply_outcome(attempt, state, outcome)
        self.on_end(attempt, outcome)

    def _apply_outcome(
        self, attempt: MeshAttempt, state: TargetState, outcome: Outcome
    ) -> None:
        now = self.timers.now()
        if outcome.kind is OutcomeKind.SHED:
            self.cut_evidence.record_response(state.target.name, now)
            self._record_shed(state, now)
        elif self._is_target_failure(state, outcome, now):
            self._log_failure(attempt, state, now)
            self._suspect(state, self.instance, now)
            self._publish_event(state, FAILED, now)
        elif outcome.kind in _PATH_FAILURE_KINDS:
            state.path_hold_off_until_s = now + PATH_HOLD_OFF_S
            self._record_unreached(state, self.instance, now)
            self._publish_event(state, UNREACHED, now)
        elif outcome.kind is OutcomeKind.WRONG_TARGET:
            state.path_hold_off_until_s = now + PATH_HOLD_OFF_S
        elif outcome.kind is OutcomeKind.SUCCESS:
            self._record_success(attempt, state, now)
        self.choice.record_outcome(state, attempt.begun, outcome, now)

    def _is_target_failure(
        self, state: TargetState, outcome: Outcome, now_s: float
    ) -> bool:
        """Return whether an outcome is a fault of the target and not of the path."""
        name = state.target.name
        if outcome.kind in _RESPONSE_KINDS:
            self.cut_evidence.record_response(name, now_s)
        if outcome.kind in _TARGET_FAILURE_KINDS:
            return True
        if outcome.kind is not OutcomeKind.CUT or outcome.reused_connection:
            return False
        by_target = self.cut_evidence.is_fault_of_target(name, now_s)
        return by_target and self.choice.counts_cuts_as_failures

    def _log_failure(
        self, attempt: MeshAttempt, state: TargetState, now_s: float
    ) -> None:
        since_failure_s = now_s - (state.last_failure_at_s or -math.inf)
        log_info(
            "target_failed",
            target=state.target.name,
            service=state.registered.service,
            repeatable=attempt.repeatable,
            since_failure_s=since_failure_s,
            since_served_s=now_s - state.last_success_at_s,
            served_since_failure=state.successes_since_failure,
            load=state.load(now_s),
        )

    def _record_shed(self, state: TargetState, now_s: float) -> None:
        wait_s = min(
            SHED_BACKOFF_MAX_S,
            SHED_BACKOFF_INITIAL_S * 2.0 ** min(state.consecutive_sheds, 8),
        )
        state.consecutive_sheds += 1
        state.shed_until_s = now_s + wait_s * self.random.uniform(0.5, 1.5)
        if self.choice.shares_shedding and self.shedding.record(
            state.target.name, state.registered.born_ms
        ):
            self.on_event()

    def _record_success(
        self, attempt: MeshAttempt, state: TargetState, now_s: float
    ) -> None:
        state.consecutive_sheds = 0
        state.path_hold_off_until_s = 0.0
        state.last_success_at_s = now_s
        if state.is_suspected() and attempt.started_s > state.last_failure_at_s:
            self._count_success(state, self.instance)
            self._publish_event(state, SERVED, now_s)

    def _suspect(self, state: TargetState, instance: str, at_s: float) -> None:
        if state.last_failure_at_s is None:
            log_info("target_doubted", target=state.target.name, by=instance)
        state.suspected_by_reports = False
        state.last_failure_at_s = max(at_s, state.last_failure_at_s or 0.0)
        state.successes_since_failure = 0
        state.next_trial_at_s = state.last_failure_at_s + TRIAL_INTERVAL_S

    def _count_success(self, state: TargetState, instance: str) -> None:
        state.successes_since_failure += 1
        # The next trial may follow at once, since this one succeeded.
        state.next_trial_at_s = 0.0
        if state.successes_since_failure >= SUCCESSES_TO_RECOVER:
            self._clear_suspicion(state, instance)

    def _clear_suspicion(self, state: TargetState, instance: str) -> None:
        suspected_s = self.timers.now() - (state.last_failure_at_s or 0.0)
        log_info(
            "target_trusted",
            target=state.target.name,
            source=instance,
            since_failure_s=suspected_s,
        )
        state.last_failure_at_s = None
        state.unreached_at_s.clear()

    def _record_unreached(self, state: TargetState, instance: str, at_s: float) -> None:
        state.unreached_at_s[instance] = at_s
        recent = [
            name
            for name, reported_at_s in state.unreached_at_s.items()
            if at_s - reported_at_s <= UNREACHED_WINDOW_S
        ]
        if len(recent) >= UNREACHED_INSTANCES_MIN:
            if not self.choice.accepts_unreached(state, at_s):
                return
            by_reports = not state.is_suspected() or state.suspected_by_reports
            self._suspect(state, instance, at_s)
            state.suspected_by_reports = by_reports
            self._notify_ejected(state)

    def _notify_ejected(self, state: TargetState) -> None:
        """Notify pending attempts, so that repeatable ones go to another target.

        No more than other targets may take: the others wait on, since a late response
        is better than none.
        """
        others = self._candidates(
            state.registered.service, (state.target.name,), self.timers.now()
        )
        room = sum(each.room() for each in others)
        for attempt in list(state.pending_attempts):
            if room < 1:
                return
            if attempt.on_ejected is not None:
                attempt.on_ejected()
                room -= 1

    # ---- other instances ----

    def _publish_event(self, state: TargetState, kind: int, at_s: float) -> None:
        number = next(self.event_numbers)
        self.events.append(EvidenceEvent(state.target.name, kind, at_s, number))
        self.on_event()

    def evidence(self) -> list[beats_pb2.Evidence]:
        """Return the recent events to send to other instances."""
        with self.lock:
            # An event that another thread records meanwhile must not be later than now.
            now = self.timers.now()
            while self.events and now - self.events[0].at_s > EVENT_REPEAT_S:
                self.events.popleft()
            return [
                beats_pb2.Evidence(
                    target=event.target,
                    kind=event.kind,
                    age_ms=int((now - event.at_s) * 1000),
                    number=event.number,
                )
                for event in self.events
            ]

    def rate_limits(self, full: bool) -> list[beats_pb2.TargetRateLimit]:
        """Return what targets stated recently, to send to other instances.

        Parameters
        ----------
        full : bool
            Whether to include what targets stated to other instances, and earlier.
        """
        with self.lock:
            now = self.timers.now()
            return [
                beats_pb2.TargetRateLimit(
                    target=state.target.name,
                    born_ms=state.registered.born_ms,
                    limit_per_s=state.limit.limit_per_s,
                    age_ms=int((now - state.limit.stated_at_s) * 1000),
                )
                for state in self.states.values()
                if now - state.limit.heard_at_s <= EVENT_REPEAT_S
                or (full and state.limit.limit_per_s is not None)
            ]

    def record_peer_rate_limits(self, heartbeat: beats_pb2.Beat) -> None:
        """Apply what targets stated to another instance."""
        now = self.timers.now()
        with self.lock:
            for report in heartbeat.rate_limits:
                state = self.states.get(report.target)
                if state is None or state.registered.born_ms != report.born_ms:
                    continue
                limit_per_s = None
                if report.HasField("limit_per_s"):
                    limit_per_s = report.limit_per_s
                stated_at_s = now - report.age_ms / 1000
                self._set_rate_limit(
                    state, limit_per_s, stated_at_s, heartbeat.instance
                )

    def loads(self) -> list[beats_pb2.TargetLoad]:
        """Return the requests in flight of this instance, to send to the others."""
        with self.lock:
            return [
                beats_pb2.TargetLoad(target=name, in_flight=state.in_flight)
                for name, state in self.states.items()
                if state.in_flight
            ]

    def record_peer_evidence(self, heartbeat: beats_pb2.Beat, last_number: int) -> int:
        """Apply the evidence and the load that another instance reports.

        Parameters
        ----------
        heartbeat : Beat
            Heartbeat of the instance.
        last_number : int
            Number of the last event that was applied before.

        Returns
        -------
        int
            Number of the last event that is applied now.
        """
        now = self.timers.now()
        with self.lock:
            self.shedding.receive(heartbeat.shedding)
            for evidence in heartbeat.evidence:
                if evidence.number > last_number:
                    last_number = evidence.number
                    at_s = now - evidence.age_ms / 1000
                    self._apply_evidence(heartbeat.instance, evidence, at_s)
            self.choice.record_peer_failing(
                heartbeat.instance, heartbeat.failing_services, now
            )
            if heartbeat.loads_omitted:
                return last_number
            # A target without a load in the heartbeat has no requests in flight there.
            loads = {load.target: load.in_flight for load in heartbeat.loads}
            for name, state in self.states.items():
                count = loads.get(name, 0)
                if count:
                    before, _ = state.peer_loads.get(heartbeat.instance, (0, now))
                    if count > before:
                        state.last_request_at_s = now
                    state.peer_loads[heartbeat.instance] = (count, now)
                else:
                    state.peer_loads.pop(heartbeat.instance, None)
        self.on_loads()
        return last_number

    def _apply_evidence(
        self, instance: str, evidence: beats_pb2.Evidence, at_s: float
    ) -> None:
        state = self.states.get(evidence.target)
        if state is None:
            return
        state.last_request_at_s = max(state.last_request_at_s, at_s)
        if evidence.kind == FAILED:
            self._suspect(state, instance, at_s)
        elif evidence.kind == UNREACHED:
            self._record_unreached(state, instance, at_s)
        elif state.is_suspected() and at_s > state.last_failure_at_s:
            self._count_success(state, instance)


def _without_last_resorts(
    candidates: list[Candidate], repeatable: bool, now_s: float
) -> list[Candidate]:
    """Return the candidates that no evidence speaks against, and those to be tried."""
    eligible = [each for each in candidates if each.eligible]
    if not repeatable:
        return eligible
    return eligible + [
        each
        for each in candidates
        if not each.eligible
        and each.state.is_suspected()
        and each.state.next_trial_at_s <= now_s
        and each.state.shed_until_s <= now_s
    ]


def _sample_by_distance(candidates: list[Candidate], random: Random) -> list[Candidate]:
    """Return a few near and a few remote targets at random, and those to be tried."""
    sampled = [each for each in candidates if not each.eligible]
    for near in (True, False):
        group = [
            each for each in candidates if each.eligible and each.state.near is near
        ]
        sampled += random.sample(group, min(len(group), SPREAD_SAMPLE))
    return sampled
