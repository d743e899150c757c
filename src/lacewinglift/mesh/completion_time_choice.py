"""Choice of the target that is expected to complete a request first.

Load: targets of one service differ in speed by a factor of up to ten, slow down when
nearly full, and are spread over data centres between which bytes are expensive. Tens of
instances choose at the same time, from loads that are up to 0.1 s old in their own data
centre and up to 1 s old elsewhere.

Targets are sampled by their speed, so that a target twice as slow gets about half as
many requests, and the sampled ones are compared by their expected delay. A request
leaves its data centre only if no target there has a free slot.
"""

import math
from collections.abc import Iterable, Mapping
from random import Random

from attrs import define, field

from lacewinglift.logs import log_info
from lacewinglift.mesh.choice_registry import COMPLETION_TIME, target_choice
from lacewinglift.mesh.service_failures import ServiceFailures
from lacewinglift.mesh.target_choice import (
    FULL_LOAD,
    SUSPECT_HOLD_OFF_FULL_S,
    TargetChoice,
)
from lacewinglift.mesh.target_speeds import TargetSpeeds, relative_time, slowdown
from lacewinglift.mesh.target_state import BegunAttempt, Candidate, TargetState
from lacewinglift.outcomes import Outcome, OutcomeKind

# Targets that are compared for one request; more would make instances that choose at
# the same time choose the same one.
SAMPLED_TARGETS = 2
# Smallest and largest weight of a target in the sample. The smallest keeps a slow
# target in use, so that its recovery is noticed.
SPEED_WEIGHT_MIN = 0.05
SPEED_WEIGHT_MAX = 3.0
# Factor on the weight of a target in slow start.
SLOW_START_WEIGHT = 0.5
# Delay, as part of the service's response time, that a new connection stands for. It
# only decides between targets of about the same load.
NEW_CONNECTION_DELAY = 0.05
# Delay that stands for the load of a target that does not slow it down yet.
LOAD_DELAY = 0.2
# Share of the slots of another data centre that is left to its own requests, whose
# number may have risen since the last report of its load.
REMOTE_RESERVE = 0.05
# Share of free slots, beyond the reserve, from which on a data centre takes all
# requests that find none in theirs. Below, it takes a part, as all instances see the
# same free slots.
REMOTE_OPEN_SHARE = 0.25
# A target that was without a request for a time between these is tried while the
# service fails. The times differ at random, so that the first instance to try it is
# seen by the others; the target gets a request within about a second.
TRY_AFTER_MIN_S = 0.3
TRY_AFTER_MAX_S = 0.7
# Additional time for a request that cannot be repeated; one that can goes first.
TRY_UNREPEATABLE_AFTER_S = 0.1
# Additional time for a target that is not held off, which the ordinary choice uses by
# its speed and load.
TRY_IN_USE_AFTER_S = 0.3
# Additional time for a target in another data centre, whose own instances go first. The
# loads that show it are up to 1 s old, but the evidence of their tries is not.
TRY_REMOTE_AFTER_S = 0.4
# Reports of this many others that a service fails, within this time, count as much as
# own failures: an instance alone notices them only after a second or two.
PEERS_FAILING_MIN = 2
PEER_FAILING_S = 1.5
# Several targets count as held off at once from this number and this share on.
HELD_OFF_MIN = 2
HELD_OFF_SHARE = 0.1
# Share of the requests of a failing service that may be used to try targets.
TRY_SHARE = 0.75
# Reports of broken connections by others do not count against a target that served a
# request of this instance within this time before.
OWN_PATH_VALID_S = 1.0

_FAILURE_KINDS = {
    OutcomeKind.ERROR,
    OutcomeKind.TIMEOUT,
    OutcomeKind.CONNECT_FAILED,
    OutcomeKind.CUT,
    OutcomeKind.SHED,
}


@target_choice(COMPLETION_TIME)
@define(eq=False)
class CompletionTimeChoice(TargetChoice):
    """Chooses targets by their expected completion time, near ones first."""

    counts_cuts_as_failures: bool = True
    shares_shedding: bool = True
    speeds: TargetSpeeds = field(factory=TargetSpeeds)
    failures: dict[str, ServiceFailures] = field(factory=dict)
    failing: set[str] = field(factory=set)
    """Services whose targets in use fail requests of this instance."""
    peer_failing: dict[str, dict[str, float]] = field(factory=dict)
    """Time of the last report of each other instance, by service."""
    basis: str = "-"
    """Reason for the last choice."""
    _try_random: Random = field(factory=Random)

    def choose(
        self, candidates: list[Candidate], repeatable: bool, now_s: float
    ) -> Candidate | None:
        """Return the target for a request; None if there is no candidate."""
        if not candidates:
            return None
        chosen = self._choose(candidates, repeatable, now_s)
        key = (chosen.state.registered.service, self.basis)
        self.chosen_counts[key] = self.chosen_counts.get(key, 0) + 1
        return chosen

    def _choose(
        self, candidates: list[Candidate], repeatable: bool, now_s: float
    ) -> Candidate:
        self.basis = "trial"
        trial = self._due_trial(candidates, now_s) if repeatable else None
        trial = trial or self._due_try(candidates, repeatable, now_s)
        if trial is not None:
            return trial
        eligible = [each for each in candidates if each.eligible]
        if all(each.load >= FULL_LOAD for each in eligible):
            eligible = [
                each
                for each in candidates
                if self.is_eligible(each.state, now_s, SUSPECT_HOLD_OFF_FULL_S)
            ]
        if not eligible:
            self.basis = "last_resort"
            return self._first_to_complete(self._oldest_problems(candidates, now_s))
        return self._choose_eligible(self._prefer_accepting(eligible), now_s)

    def _prefer_accepting(self, eligible: list[Candidate]) -> list[Candidate]:
        """Return the targets that do not shed requests, while one has a free slot."""
        accepting = [each for each in eligible if not self.is_shedding(each.state)]
        return accepting if _with_free_slot(accepting) else eligible

    def _choose_eligible(self, eligible: list[Candidate], now_s: float) -> Candidate:
        due = [each for each in eligible if each.state.limit.is_share_unused()]
        if due:
            self.basis = "share_unused"
            return self._first_to_complete(due, now_s)
        near = [each for each in eligible if each.state.near]
        near_free = _with_free_slot(near)
        if near_free:
            self.basis = "near"
            return self._first_to_complete(near_free, now_s)
        remote = [each for each in eligible if not each.state.near]
        moved = self._remote_with_capacity(remote, bool(near))
        if moved:
            self.basis = "moved"
            return self._first_to_complete(moved, now_s)
        self.basis = "queued"
        return self._first_to_complete(near or remote, now_s)

    # ---- comparison ----

    def _first_to_complete(
        self, candidates: list[Candidate], now_s: float = math.inf
    ) -> Candidate:
        """Return the best of a few targets that are sampled by their speed."""
        sampled = self._sample_by_speed(candidates, now_s)
        return min(sampled, key=self._expected_delay)

    def _sample_by_speed(
        self, candidates: list[Candidate], now_s: float
    ) -> list[Candidate]:
        if len(candidates) <= 1:
            return candidates
        weights = [self._weight(each.state, now_s) for each in candidates]
        sampled = []
        for _ in range(min(SAMPLED_TARGETS, len(candidates))):
            index = self.random.choices(range(len(candidates)), weights)[0]
            sampled.append(candidates[index])
            weights[index] = 0.0
        return sampled

    def _weight(self, state: TargetState, now_s: float) -> float:
        """Return the share of the requests that a target should get, by its speed."""
        speed = min(max(1 / relative_time(state), SPEED_WEIGHT_MIN), SPEED_WEIGHT_MAX)
        if now_s < state.slow_start_until_s:
            speed *= SLOW_START_WEIGHT
        return speed * max(state.registered.slots, 1)

    def _expected_delay(self, candidate: Candidate) -> tuple[float, float]:
        """Return the time by which the load of a target delays the completion.

        The unit is the mean response time of the service. The time that an idle target
        takes is left out: its share by speed accounts for it, and counted twice, a
        slow target would get no requests at all.
        """
        state = candidate.state
        load = _load_with_request(candidate)
        full_slowdown = self.speeds.full_slowdown(state.registered.service)
        delay = relative_time(state) * (slowdown(load, full_slowdown) - 1)
        delay += LOAD_DELAY * load
        if not self.has_connection(state.target.address):
            delay += NEW_CONNECTION_DELAY
        return delay, self.random.random()

    # ---- other data centres ----

    def _remote_with_capacity(
        self, remote: list[Candidate], may_stay: bool
    ) -> list[Candidate]:
        """Return the free targets of one other data centre that takes this request.

        Parameters
        ----------
        remote : list of Candidate
            Targets in other data centres.
        may_stay : bool
            Whether the request may wait at a target of its own data centre instead.
        """
        by_data_centre: dict[str, list[Candidate]] = {}
        for each in remote:
            name = each.state.registered.data_centre
            by_data_centre.setdefault(name, []).append(each)
        spare = {name: _spare_share(group) for name, group in by_data_centre.items()}
        names = [name for name, share in spare.items() if share > 0]
        if not names:
            return []
        openness = min(max(spare.values()) / REMOTE_OPEN_SHARE, 1.0)
        if may_stay and self.random.random() >= openness:
            return []
        weights = [spare[name] * len(by_data_centre[name]) for name in names]
        chosen = self.random.choices(names, weights)[0]
        return _with_free_slot(by_data_centre[chosen])

    # ---- failing services ----

    def is_eligible(self, state: TargetState, now_s: float, hold_off_s: float) -> bool:
        """Return whether any request may be sent to a target."""
        if state.suspected_by_reports:
            # This instance has no failure of its own; the paths of others may be cut.
            hold_off_s = min(hold_off_s, SUSPECT_HOLD_OFF_FULL_S)
        return super().is_eligible(state, now_s, hold_off_s)

    def accepts_unreached(self, state: TargetState, at_s: float) -> bool:
        """Return whether reports of broken connections make a target suspected."""
        if state.path_hold_off_until_s > at_s:
            return True
        return at_s - state.last_success_at_s > OWN_PATH_VALID_S

    def _due_try(
        self, candidates: list[Candidate], repeatable: bool, now_s: float
    ) -> Candidate | None:
        """Return a target that a failing service must try with this request."""
        service = candidates[0].state.registered.service
        held_off = sum(not each.eligible for each in candidates)
        several = held_off >= max(HELD_OFF_MIN, HELD_OFF_SHARE * len(candidates))
        own = self._is_failing(service, several, now_s)
        if not (own or self._fails_elsewhere(service, now_s)):
            return None
        due = [
            each
            for each in candidates
            # Instances of its data centre use a target that nothing speaks against.
            if (each.state.near or not each.eligible)
            and not _failed_itself(each.state)
            and now_s >= self._try_at_s(each, repeatable)
        ]
        if not due or self._try_random.random() >= TRY_SHARE:
            return None
        self.basis = "tried"
        # At random, since other instances choose among the same targets now.
        return self._try_random.choice(due)

    def _try_at_s(self, candidate: Candidate, repeatable: bool) -> float:
        state = candidate.state
        last_s = max(state.last_request_at_s, state.first_seen_at_s)
        if state.try_at_s is None or state.try_drawn_for_s != last_s:
            after_s = self._try_random.uniform(TRY_AFTER_MIN_S, TRY_AFTER_MAX_S)
            state.try_at_s = last_s + after_s
            state.try_drawn_for_s = last_s
        try_at_s = state.try_at_s
        if not repeatable:
            try_at_s += TRY_UNREPEATABLE_AFTER_S
        if not state.near:
            try_at_s += TRY_REMOTE_AFTER_S
        return try_at_s + (TRY_IN_USE_AFTER_S if candidate.eligible else 0.0)

    def _is_failing(self, service: str, several_held_off: bool, now_s: float) -> bool:
        failures = self.failures.get(service)
        failing = failures is not None and failures.is_failing(now_s, several_held_off)
        if failing == (service in self.failing):
            return failing
        self.failing ^= {service}
        log_info(
            "service_failing",
            service=service,
            failing=failing,
            failed=failures.failed,
            ended=len(failures.ends),
        )
        return failing

    def _oldest_problems(
        self, candidates: list[Candidate], now_s: float
    ) -> list[Candidate]:
        """Return the half of the targets that are the most likely to have recovered.

        Not the best one alone, or all instances would send it all requests.
        """
        ranked = sorted(
            candidates, key=lambda each: self._fallback_rank(each.state, now_s)
        )
        return ranked[: (len(ranked) + 1) // 2]

    def failing_services(self, now_s: float) -> set[str]:
        """Return the services whose targets in use fail requests of this instance."""
        return {
            service
            for service in self.failing
            if self.failures[service].is_failing(now_s, several_held_off=True)
        }

    def record_peer_failing(
        self, instance: str, services: Iterable[str], now_s: float
    ) -> None:
        """Record the services whose targets in use fail requests of another."""
        for service in services:
            self._recent_reports(service, now_s)[instance] = now_s

    def _fails_elsewhere(self, service: str, now_s: float) -> bool:
        """Return whether several others report that a service fails."""
        if service not in self.peer_failing:
            return False
        return len(self._recent_reports(service, now_s)) >= PEERS_FAILING_MIN

    def _recent_reports(self, service: str, now_s: float) -> dict[str, float]:
        reports = self.peer_failing.get(service, {})
        self.peer_failing[service] = reports = {
            instance: at_s
            for instance, at_s in reports.items()
            if now_s - at_s <= PEER_FAILING_S
        }
        return reports

    # ---- outcomes ----

    def record_no_target(self, service: str, now_s: float) -> None:
        """Record that no target could be chosen for a request."""
        self._failures_of(service).record(now_s, "")

    def record_outcome(
        self, state: TargetState, begun: BegunAttempt, outcome: Outcome, now_s: float
    ) -> None:
        """Record the end of an attempt."""
        super().record_outcome(state, begun, outcome, now_s)
        service = state.registered.service
        if outcome.kind is OutcomeKind.SUCCESS:
            load = begun.load + 1 / max(state.registered.slots, 1)
            self.speeds.record(state, load, outcome.latency_s, outcome.response_bytes)
        if begun.eligible and outcome.kind is not OutcomeKind.CANCELLED:
            failed = outcome.kind in _FAILURE_KINDS
            failed_at = state.target.name if failed else None
            self._failures_of(service).record(now_s, failed_at)

    def _failures_of(self, service: str) -> ServiceFailures:
        return self.failures.setdefault(service, ServiceFailures())

    def log_fields(self, state: TargetState) -> Mapping[str, object]:
        """Return further inputs of the last choice, as fields of a log line."""
        return {"basis": self.basis, "relative_time": relative_time(state)}


def _failed_itself(state: TargetState) -> bool:
    """Return whether a target has failed requests, and not only paths to it.

    Such targets have trials, with requests that can be repeated.
    """
    return state.is_suspected() and not state.suspected_by_reports


def _load_with_request(candidate: Candidate) -> float:
    return candidate.load + 1 / max(candidate.state.registered.slots, 1)


def _with_free_slot(candidates: list[Candidate]) -> list[Candidate]:
    return [each for each in candidates if _load_with_request(each) <= FULL_LOAD]


def _spare_share(candidates: list[Candidate]) -> float:
    """Return the share of the slots that are free, beyond the reserve."""
    slots = sum(max(each.state.registered.slots, 1) for each in candidates)
    free = sum(
        max(FULL_LOAD - each.load, 0.0) * max(each.state.registered.slots, 1)
        for each in candidates
    )
    return free / slots - REMOTE_RESERVE
