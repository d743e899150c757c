"""Choice of one target among those that may get a request."""

from collections.abc import Callable, Iterable, Mapping
from random import Random

from attrs import define, field

from lacewinglift.mesh.choice_registry import LEAST_LOADED, target_choice
from lacewinglift.mesh.target_state import BegunAttempt, Candidate, TargetState
from lacewinglift.outcomes import Outcome, OutcomeKind

# Time after a failure during which a target gets only trials, which are requests that
# can be repeated, unless the other targets are full or cannot be used either.
SUSPECT_HOLD_OFF_S = 6.0
# The same while the other targets are full.
SUSPECT_HOLD_OFF_FULL_S = 2.0
# Requests in flight for each slot at which a target counts as full.
FULL_LOAD = 1.0
# Time after a failure, or after the last trial, until a suspected target is tried with
# a request that can be repeated.
TRIAL_INTERVAL_S = 1.0
# Time for which an instance avoids a target after a connection to it broke.
PATH_HOLD_OFF_S = 3.0
# Penalties are added to the load of a target when targets are compared. The one for a
# target in another data centre grows with the mean response size of the service.
REMOTE_PENALTY_MIN = 0.25
REMOTE_PENALTY_PER_BYTE = 1 / 100_000
REMOTE_PENALTY_MAX = 0.9
# Targets of the same distance, with or without an open connection, that are compared
# for one request. If all instances compared all targets, each would choose the same one
# until it heard of the others' choices.
SAMPLED_TARGETS = 2
# Weight of the last response in the moving average of a service's response size.
RESPONSE_BYTES_EWMA_WEIGHT = 0.1
# Penalty of a target to which a new connection must be opened.
NEW_CONNECTION_PENALTY = 0.2
# Penalty of a target in slow start.
SLOW_START_PENALTY = 0.5


@target_choice(LEAST_LOADED)
@define(eq=False)
class TargetChoice:
    """Chooses the least loaded of a few targets that no evidence speaks against."""

    random: Random
    has_connection: Callable[[str], bool] = lambda address: True
    """Returns whether an idle connection to an address is available."""
    mean_response_bytes: dict[str, float] = field(factory=dict)
    """Moving average of the response size of each service."""
    chosen_counts: dict[tuple[str, str], int] = field(factory=dict)
    """Number of choices by service and basis, where the choice states one."""
    counts_cuts_as_failures: bool = False
    """Whether a target that closes a new connection counts as failing at once."""
    shares_shedding: bool = False
    """Whether instances tell each other which targets shed requests."""
    is_shedding: Callable[[TargetState], bool] = lambda state: False
    """Returns whether a target has shed a request of any instance recently."""

    def choose(
        self, candidates: list[Candidate], repeatable: bool, now_s: float
    ) -> Candidate | None:
        """Return the target for a request; None if there is no candidate."""
        if not candidates:
            return None
        trial = self._due_trial(candidates, now_s) if repeatable else None
        if trial is not None:
            return trial
        eligible = [each for each in candidates if each.eligible]
        if all(each.load >= FULL_LOAD for each in eligible):
            eligible = [
                each
                for each in candidates
                if self.is_eligible(each.state, now_s, SUSPECT_HOLD_OFF_FULL_S)
            ]
        if eligible:
            return self._least_loaded(eligible, now_s)
        # No target is eligible: the one that failed longest ago is the most likely to
        # have recovered.
        return min(candidates, key=lambda each: self._fallback_rank(each.state, now_s))

    def _due_trial(self, candidates: list[Candidate], now_s: float) -> Candidate | None:
        """Return the suspected target whose trial is due first; schedule the next."""
        due = [
            each
            for each in candidates
            if each.state.is_suspected() and now_s >= each.state.next_trial_at_s
        ]
        if not due:
            return None
        chosen = min(due, key=lambda each: each.state.next_trial_at_s)
        chosen.state.next_trial_at_s = now_s + TRIAL_INTERVAL_S
        return chosen

    def is_eligible(self, state: TargetState, now_s: float, hold_off_s: float) -> bool:
        """Return whether any request may be sent to a target."""
        if now_s < state.path_hold_off_until_s or now_s < state.shed_until_s:
            return False
        return (
            state.last_failure_at_s is None
            or now_s - state.last_failure_at_s >= hold_off_s
        )

    def _fallback_rank(self, state: TargetState, now_s: float) -> tuple[bool, float]:
        last_failure_at_s = state.last_failure_at_s or 0.0
        last_problem_s = max(
            last_failure_at_s, state.path_hold_off_until_s - PATH_HOLD_OFF_S
        )
        return state.shed_until_s > now_s, last_problem_s

    def _least_loaded(self, candidates: list[Candidate], now_s: float) -> Candidate:
        def cost(candidate: Candidate) -> tuple[float, float]:
            state, load = candidate.state, candidate.load
            if not state.near:
                load += self._remote_penalty(state.registered.service)
            if now_s < state.slow_start_until_s:
                load += SLOW_START_PENALTY
            if not self.has_connection(state.target.address):
                load += NEW_CONNECTION_PENALTY
            return load, self.random.random()

        return min(self._sample(candidates), key=cost)

    def _sample(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return the targets to compare: those to be asked again, or a random few.

        Only a response shows that the need of a target has ended.
        """
        due = [each for each in candidates if each.state.limit.is_share_unused()]
        if due:
            return due
        sampled = self._sample_groups(candidates)
        if all(each.load >= FULL_LOAD for each in sampled):
            free = [each for each in candidates if each.load < FULL_LOAD]
            sampled = self._sample_groups(free) or sampled
        return sampled

    def _sample_groups(self, candidates: list[Candidate]) -> list[Candidate]:
        groups: dict[tuple[bool, bool], list[Candidate]] = {}
        for each in candidates:
            connected = self.has_connection(each.state.target.address)
            groups.setdefault((each.state.near, connected), []).append(each)
        sampled = []
        for group in groups.values():
            sampled += self.random.sample(group, min(len(group), SAMPLED_TARGETS))
        return sampled

    def _remote_penalty(self, service: str) -> float:
        response_bytes = self.mean_response_bytes.get(service, 0.0)
        return min(
            REMOTE_PENALTY_MIN + response_bytes * REMOTE_PENALTY_PER_BYTE,
            REMOTE_PENALTY_MAX,
        )

    def accepts_unreached(self, state: TargetState, at_s: float) -> bool:
        """Return whether reports of broken connections make a target suspected."""
        return True

    def log_fields(self, state: TargetState) -> Mapping[str, object]:
        """Return further inputs of the last choice, as fields of a log line."""
        return {}

    def record_no_target(self, service: str, now_s: float) -> None:
        """Record that no target could be chosen for a request."""

    def failing_services(self, now_s: float) -> set[str]:
        """Return the services whose targets in use fail requests of this instance."""
        return set()

    def record_peer_failing(
        self, instance: str, services: Iterable[str], now_s: float
    ) -> None:
        """Record the services whose targets in use fail requests of another."""

    def record_outcome(
        self, state: TargetState, begun: BegunAttempt, outcome: Outcome, now_s: float
    ) -> None:
        """Record the end of an attempt."""
        if outcome.kind is OutcomeKind.SUCCESS:
            service = state.registered.service
            self.record_response_bytes(service, outcome.response_bytes)

    def record_response_bytes(self, service: str, response_bytes: int) -> None:
        """Add the size of a response to the moving average of its service."""
        mean = self.mean_response_bytes.get(service, float(response_bytes))
        mean += (response_bytes - mean) * RESPONSE_BYTES_EWMA_WEIGHT
        self.mean_response_bytes[service] = mean
