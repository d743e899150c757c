"""Detection of outlier targets from requests and from the suspicions of peers.

Evidence against a target is a log likelihood ratio in nats: the natural logarithm of
how much more likely the observations are if the target is faulty than if it behaves
like the other targets of its service. docs/targets.md explains the tests and their
constants.
"""

import math
from collections import deque
from collections.abc import Iterable
from random import Random

from attrs import define, field

# Evidence that ejects a target without help from peers. The probability of a false
# ejection is below exp(-18) per request; a fleet of 40 instances serves 16 million
# requests an hour.
EJECT_NATS = 18.0
# Evidence of this instance's own requests that an ejection requires, however many
# peers suspect the target.
OWN_NATS_MIN = 3.0
# Errors that a run needs before it counts as evidence. Otherwise peers and a single
# background error could eject a target because of a network partition between them and
# the target, which does not affect this instance.
OWN_ERRORS_MIN = 2
# Own evidence from which a target is suspected and reported to peers.
SUSPECT_NATS = 3.0
# Amount of a peer's evidence that is ignored, as chance alone produces it at times.
PEER_NATS_DISCOUNT = 2.5
# Most evidence that one peer's suspicion contributes, so that several peers must agree.
PEER_NATS_MAX = 6.0
# Evidence that a failed probe of a suspected target contributes.
PROBE_FAILURE_NATS = 4.0
# A peer's suspicion counts for this time after its first report. Otherwise a network
# partition that affects only some instances would lower the ejection threshold of the
# others permanently.
PEER_SUSPICION_MAX_AGE_S = 15.0
# The suspicions of a peer are dropped after this silence, which is four heartbeats.
PEER_SILENCE_MAX_S = 4.0

# Bounds of the service's error rate, and its smoothing factor.
ERROR_RATE_MIN = 0.005
ERROR_RATE_INITIAL = 0.01
ERROR_RATE_MAX = 0.5
ERROR_RATE_GAIN = 1 / 500
# Error rates that are tested for a faulty target: one in five, and nearly all.
FAULTY_ERROR_RATES = (0.2, 0.9)
# Errors are not attributed to one target whose error rate is below this multiple of the
# others' rate.
FAULTY_ERROR_RATE_FACTOR_MIN = 1.5
# Probability that a run of errors belongs to a burst of the whole service. The error
# rate of a burst is unknown, so a few successes of other targets do not rule it out.
BURST_PROBABILITY = 0.03
# A run of evidence that has not led to an ejection ends after this time.
RUN_DURATION_MAX_S = 300.0

# Smoothing factors of exponentially weighted moving averages of log latency.
RECENT_MEAN_GAIN = 1 / 32
BASELINE_MEAN_GAIN = 1 / 512
# Slower than the mean used for detection: a load balancer that avoided a slow target at
# once would leave too few requests to prove the fault.
BALANCING_MEAN_GAIN = 1 / 256
VARIANCE_GAIN = 1 / 256
VARIANCE_INITIAL = 1.0
# Margin for the error of the estimated deviation and for heavier tails.
SIGMA_FACTOR = 1.15
SIGMA_MIN = 0.25
# Logarithm of the factor by which a target's baseline may exceed the median of the
# others. A target that was always slower by up to this factor is not suspected.
BASELINE_MARGIN = math.log(3.0)
# Latencies of other targets that are needed before a target's latency is tested.
REFERENCE_SAMPLES_MIN = 20
# Exponent k of the calibrator k * p ** (k - 1), which turns the p-value of one latency
# into evidence. A smaller exponent gives more weight to the tail.
CALIBRATOR_EXPONENT = 0.25
# Most evidence that one response contributes, as real latencies have heavier tails than
# the fitted distribution.
LATENCY_NATS_MAX = 8.0
# Latest latencies of a run that are kept.
RUN_LATENCIES_MAX = 24
# Requests below this age are not evidence of a hang, because pauses of the interpreter
# and of the network may last this long.
HANG_AGE_MIN_S = 0.1
# Responses of other targets to requests that began after the evidence did. They
# distinguish a faulty target from a faulty service.
OTHER_RESPONSES_MIN = 3
# The same for errors, for which one outcome of another target proves less.
OTHER_OUTCOMES_MIN = 8
# Logarithm of the factor by which a cold target may be slower at the beginning of its
# slow start.
COLD_LATENCY_MARGIN = math.log(4.0)
# Factor on the ejection threshold of a cold target.
COLD_THRESHOLD_FACTOR = 1.5

# Bounds of the hold-off, before jitter.
HOLD_OFF_INITIAL_S = 5.0
HOLD_OFF_MAX_S = 300.0
# Greatest relative random change of a hold-off, in either direction.
HOLD_OFF_JITTER = 0.25
# Maximum wait after a failed probe, before jitter. Failed probes are cheap and prove
# nothing new, so they are repeated sooner than the hold-off requires.
PROBE_RETRY_MAX_S = 30.0
# Time without ejection after a readmission that resets the count of ejections, in
# multiples of the last hold-off.
EJECTION_COUNT_RESET_FACTOR = 6.0
# A readmission requires one passed probe for each ejection, up to this number.
PROBES_TO_READMIT_MAX = 3


def required_healthy(floor: float, targets: int) -> int:
    """Return how many of `targets` must stay healthy when targets are ejected."""
    return math.ceil(floor * targets - 1e-9)


def tail_nats(z: float) -> float:
    """Return -log of the probability that a standard normal variable exceeds `z`."""
    if z > 35.0:
        return z * z / 2.0
    return -math.log(0.5 * math.erfc(z / math.sqrt(2.0)))


def latency_nats(z: float) -> float:
    """Return the evidence of one response that is `z` standard deviations slow.

    The exponential of the result has mean 1 for a healthy target, so a sum of results
    is a sequential test that may be evaluated after each response.
    """
    nats = math.log(CALIBRATOR_EXPONENT) + (1.0 - CALIBRATOR_EXPONENT) * tail_nats(z)
    return min(nats, LATENCY_NATS_MAX)


def median(values: list[float]) -> float:
    """Return the median of a sorted, non-empty list."""
    middle = len(values) // 2
    if len(values) % 2:
        return values[middle]
    return (values[middle - 1] + values[middle]) / 2.0


def log_sum_exp(*values: float) -> float:
    """Return the logarithm of the sum of the exponentials of `values`."""
    greatest = max(values)
    return greatest + math.log(sum(math.exp(v - greatest) for v in values))


def error_log_likelihood(errors: int, outcomes: int, rate: float) -> float:
    """Return the log likelihood of `errors` among `outcomes` at error rate `rate`."""
    return errors * math.log(rate) + (outcomes - errors) * math.log(1.0 - rate)


def shared_rate_log_likelihood(errors: int, outcomes: int, rate: float) -> float:
    """Return the log likelihood of `errors` if all targets share one error rate.

    The shared rate is `rate`, the service's long-run rate, or with probability
    `BURST_PROBABILITY` any other rate.
    """
    burst = (
        math.lgamma(errors + 1)
        + math.lgamma(outcomes - errors + 1)
        - math.lgamma(outcomes + 2)
    )
    return log_sum_exp(
        error_log_likelihood(errors, outcomes, rate)
        + math.log(1.0 - BURST_PROBABILITY),
        burst + math.log(BURST_PROBABILITY),
    )


@define(eq=False)
class ServiceErrors:
    """Counts of outcomes and errors over all targets of a service."""

    outcomes: int = 0
    errors: int = 0
    rate: float = ERROR_RATE_INITIAL

    def record(self, failed: bool) -> None:
        """Count one outcome and update the error rate."""
        self.outcomes += 1
        self.errors += failed
        self.rate += (failed - self.rate) * ERROR_RATE_GAIN


@define(eq=False)
class ErrorEvidence:
    """Sequential test of a target's errors against those of the others.

    A run begins with an error and ends when the evidence falls to zero. The test
    compares two explanations of a run: only this target is faulty, or all targets share
    one error rate, which may be that of a burst.
    """

    outcomes: int = 0
    errors: int = 0
    nats: float = 0.0
    run_started_s: float = 0.0
    service_outcomes_before: int = 0
    service_errors_before: int = 0

    def record(self, failed: bool, service: ServiceErrors, now_s: float) -> None:
        """Add one outcome, which `service` must already have counted."""
        if self.outcomes and now_s - self.run_started_s > RUN_DURATION_MAX_S:
            self.reset()
        if not self.outcomes:
            if not failed:
                return
            self.run_started_s = now_s
            self.service_outcomes_before = service.outcomes - 1
            self.service_errors_before = service.errors - 1
        self.outcomes += 1
        self.errors += failed
        self.nats = self.compute_nats(service)
        if self.nats <= 0.0:
            self.reset()

    @property
    def effective_nats(self) -> float:
        """Return the evidence of the run, or 0 below `OWN_ERRORS_MIN` errors."""
        return self.nats if self.errors >= OWN_ERRORS_MIN else 0.0

    def other_outcomes(self, service: ServiceErrors) -> int:
        """Return the number of outcomes of other targets since the run began."""
        return service.outcomes - self.service_outcomes_before - self.outcomes

    def compute_nats(self, service: ServiceErrors) -> float:
        """Return the log likelihood ratio of the two explanations of the run."""
        others = self.other_outcomes(service)
        other_errors = service.errors - self.service_errors_before - self.errors
        if (
            self.errors * others
            < FAULTY_ERROR_RATE_FACTOR_MIN * other_errors * self.outcomes
        ):
            return -1.0
        rate = min(max(service.rate, ERROR_RATE_MIN), ERROR_RATE_MAX)
        faulty = [
            error_log_likelihood(self.errors, self.outcomes, r)
            for r in FAULTY_ERROR_RATES
        ]
        one_faulty = log_sum_exp(*faulty) - math.log(len(FAULTY_ERROR_RATES))
        one_faulty += shared_rate_log_likelihood(other_errors, others, rate)
        errors, outcomes = self.errors + other_errors, self.outcomes + others
        return one_faulty - shared_rate_log_likelihood(errors, outcomes, rate)

    def reset(self) -> None:
        """Discard the current run."""
        self.outcomes = 0
        self.errors = 0
        self.nats = 0.0


@define(eq=False)
class LatencySample:
    """Latency of one request that received a response."""

    target: str
    started_s: float
    log_latency: float


@define(eq=False)
class ServiceLatency:
    """Variance of log latency in a service, and the latest samples of all targets."""

    variance: float = VARIANCE_INITIAL
    samples: int = 0
    recent: deque[LatencySample] = field(factory=lambda: deque(maxlen=96))

    @property
    def sigma(self) -> float:
        """Return the standard deviation of log latency that the tests assume."""
        return max(SIGMA_MIN, SIGMA_FACTOR * math.sqrt(self.variance))

    def record(self, sample: LatencySample, residual: float) -> None:
        """Add a sample that lies `residual` above the recent mean of its target."""
        self.samples += 1
        gain = max(VARIANCE_GAIN, 1.0 / (self.samples + 4))
        limit = 9.0 * self.variance
        self.variance += (min(residual * residual, limit) - self.variance) * gain
        self.recent.append(sample)


@define(eq=False)
class LatencyEvidence:
    """Sequential test of a target's latency against the median of the others."""

    recent_mean: float = 0.0
    """Recent mean log latency."""
    balancing_mean: float = 0.0
    """Mean log latency over a longer time, for load balancing."""
    baseline_mean: float = 0.0
    """Long-run mean log latency outside runs of evidence."""
    samples: int = 0
    reference: float | None = None
    """Log latency that is expected of this target; None until it is known."""
    nats: float = 0.0
    run_started_s: float = 0.0
    run: list[float] = field(factory=list)
    """Latest log latencies of the run, less the margin of a cold target."""

    def record(
        self, sample: LatencySample, service: ServiceLatency, margin: float
    ) -> None:
        """Add one sample; `margin` is the extra log latency of a cold target."""
        value = sample.log_latency
        if self.samples:
            service.record(sample, value - self.recent_mean)
        else:
            self.recent_mean = self.baseline_mean = self.balancing_mean = value
            service.recent.append(sample)
        self.samples += 1
        self.recent_mean += (value - self.recent_mean) * max(
            RECENT_MEAN_GAIN, 1.0 / self.samples
        )
        gain = max(BALANCING_MEAN_GAIN, 1.0 / self.samples)
        self.balancing_mean += (value - self.balancing_mean) * gain
        if self.reference is not None:
            self._update_run(sample, service, margin)
        if not self.run:
            gain = max(BASELINE_MEAN_GAIN, 1.0 / self.samples)
            self.baseline_mean += (value - self.baseline_mean) * gain

    def _update_run(
        self, sample: LatencySample, service: ServiceLatency, margin: float
    ) -> None:
        if self.run and sample.started_s - self.run_started_s > RUN_DURATION_MAX_S:
            self.reset()
        excess = sample.log_latency - self.reference - margin
        nats = self.nats + latency_nats(excess / service.sigma)
        if nats <= 0.0:
            self.reset()
            return
        if not self.run:
            self.run_started_s = sample.started_s
        self.nats = nats
        self.run.append(sample.log_latency - margin)
        del self.run[:-RUN_LATENCIES_MAX]

    def hang_nats(self, age_s: float, service: ServiceLatency, margin: float) -> float:
        """Return the evidence of a request without a response after `age_s`."""
        if self.reference is None or age_s < HANG_AGE_MIN_S:
            return 0.0
        excess = math.log(age_s) - self.reference - margin
        return max(0.0, tail_nats(excess / service.sigma) - 1.0)

    def recompute_nats(self, reference: float, service: ServiceLatency) -> float:
        """Return the evidence of the current run against another reference."""
        nats = 0.0
        for value in self.run:
            step = latency_nats((value - reference) / service.sigma)
            nats = max(0.0, nats + step)
        return min(nats, self.nats)

    def reset(self) -> None:
        """Discard the current run."""
        self.nats = 0.0
        self.run.clear()


def refresh_references(tests: Iterable[LatencyEvidence]) -> None:
    """Set the reference of each target to the median recent mean of the others.

    A target that was always slower keeps its own baseline, up to `BASELINE_MARGIN`
    above that median.
    """
    tests = list(tests)
    known = sorted((t for t in tests if t.samples), key=lambda t: t.recent_mean)
    means = [t.recent_mean for t in known]
    positions = {id(t): index for index, t in enumerate(known)}
    total = sum(t.samples for t in known)
    for test in tests:
        if total - test.samples < REFERENCE_SAMPLES_MIN:
            continue
        index = positions.get(id(test))
        others = means if index is None else means[:index] + means[index + 1 :]
        reference = median(others)
        if test.samples >= REFERENCE_SAMPLES_MIN:
            reference = max(
                reference, min(test.baseline_mean, reference + BASELINE_MARGIN)
            )
        test.reference = reference


@define(eq=False)
class PeerReport:
    """Latest suspicion of one peer about one target."""

    score: int
    first_reported_s: float
    last_reported_s: float

    def nats(self, now_s: float) -> float:
        """Return the evidence that the report contributes at `now_s`."""
        if (
            now_s - self.last_reported_s > PEER_SILENCE_MAX_S
            or now_s - self.first_reported_s > PEER_SUSPICION_MAX_AGE_S
        ):
            return 0.0
        nats = self.score * EJECT_NATS / 100.0 - PEER_NATS_DISCOUNT
        return min(PEER_NATS_MAX, max(0.0, nats))


@define(eq=False)
class PeerReports:
    """Suspicions of all peers about the targets of one service."""

    reports: dict[str, dict[str, PeerReport]] = field(factory=dict)
    """Reports by target and peer."""

    def record(self, peer: str, scores: dict[str, int], now_s: float) -> None:
        """Replace the previous suspicions of `peer`."""
        for target in [t for t, by_peer in self.reports.items() if peer in by_peer]:
            if target not in scores:
                del self.reports[target][peer]
                if not self.reports[target]:
                    del self.reports[target]
        for target, score in scores.items():
            by_peer = self.reports.setdefault(target, {})
            report = by_peer.get(peer)
            if report is None or now_s - report.last_reported_s > PEER_SILENCE_MAX_S:
                by_peer[peer] = PeerReport(score, now_s, now_s)
            else:
                report.score, report.last_reported_s = score, now_s

    def agreed_nats(self, target: str, now_s: float) -> float:
        """Return the evidence of all peers except the one that suspects most.

        A single peer may see a fault of its own network path to the target.
        """
        by_peer = self.reports.get(target)
        if not by_peer or len(by_peer) < 2:
            return 0.0
        values = [report.nats(now_s) for report in by_peer.values()]
        return sum(values) - max(values)

    def prior_nats(self, target: str, targets: int, now_s: float) -> float:
        """Return by how much peers lower the ejection threshold of `target`.

        If peers suspect the other targets of the service too, the service is at fault.
        That common part is subtracted.
        """
        agreed = self.agreed_nats(target, now_s)
        if agreed <= 0.0:
            return 0.0
        common = sum(
            self.agreed_nats(other, now_s) for other in self.reports if other != target
        ) / max(1, targets - 1)
        return min(EJECT_NATS - OWN_NATS_MIN, max(0.0, agreed - 2.0 * common))


@define(eq=False)
class HoldOff:
    """Time for which an ejected target stays unused; grows with each ejection."""

    ejections: int = 0
    duration_s: float = 0.0
    until_s: float = 0.0
    readmitted_s: float | None = None
    probes_passed: int = 0

    def start(self, now_s: float, random: Random) -> None:
        """Begin the hold-off of a new ejection."""
        if self.readmitted_s is not None:
            healthy_s = now_s - self.readmitted_s
            if healthy_s > EJECTION_COUNT_RESET_FACTOR * self.duration_s:
                self.ejections = 0
        self.ejections += 1
        # The exponent is bounded first, because the power could overflow.
        steps = min(self.ejections - 1, 16)
        base_s = min(HOLD_OFF_MAX_S, HOLD_OFF_INITIAL_S * 2.0**steps)
        self.duration_s = base_s * random.uniform(
            1.0 - HOLD_OFF_JITTER, 1.0 + HOLD_OFF_JITTER
        )
        self.until_s = now_s + self.duration_s
        self.probes_passed = 0
        self.readmitted_s = None

    def probe_failed(self, now_s: float, random: Random) -> None:
        """Extend the hold-off after a failed probe."""
        self.probes_passed = 0
        wait_s = min(PROBE_RETRY_MAX_S, self.duration_s)
        self.until_s = now_s + wait_s * random.uniform(
            1.0 - HOLD_OFF_JITTER, 1.0 + HOLD_OFF_JITTER
        )

    def probe_passed(self, now_s: float) -> bool:
        """Count a passed probe; return whether the target may be readmitted."""
        self.probes_passed += 1
        if self.probes_passed < min(self.ejections, PROBES_TO_READMIT_MAX):
            return False
        self.readmitted_s = now_s
        return True
