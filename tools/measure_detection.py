"""Measures the detection of faulty targets, and goodput under overload.

Runs the real `TargetTable` of each instance on a manual clock. Only the response times
of targets are simulated; there is no network, and instances are not modelled otherwise.

    PYTHONPATH=src python tools/measure_detection.py detect
    PYTHONPATH=src python tools/measure_detection.py healthy
    PYTHONPATH=src python tools/measure_detection.py unreachable
    PYTHONPATH=src python tools/measure_detection.py goodput
"""

import argparse
import math
import multiprocessing
from collections.abc import Callable, Collection
from random import Random

import numpy
from absl import logging
from attrs import define, evolve, field, frozen

from lacewinglift.configuration import Configuration, Fleet, Service, Target
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.targets import TargetTable
from lacewinglift.timers import ManualTimers

DATA_CENTRES = ("milano", "torino", "verona")
TARGETS_BY_SERVICE = {"catalogo": 9, "cassa": 15, "archivio": 6}
MEDIAN_LATENCY_S = 0.02
REMOTE_EXTRA_LATENCY_S = 0.003
REQUEST_TIMEOUT_S = 5.0
PROBE_LATENCY_S = 0.025
# A request to the faulty target counts as harmed if it fails or takes longer than this
# multiple of the median latency.
HARMED_LATENCY_FACTOR = 5.0
FAULTS = ("hung", "slow", "errors")


@frozen
class Scenario:
    """Conditions of one simulation."""

    seed: int = 0
    instances: int = 40
    rate_per_s: float = 114.0
    fault: str = ""
    share_suspicions: bool = True
    baseline: bool = False
    warm_up_s: float = 15.0
    measured_s: float = 15.0
    latency_sigma: float = 0.5
    error_rate: float = 0.002
    slowdowns: bool = False
    bursts: bool = False
    unreachable_from_one: bool = False


@define(eq=False)
class BaselineAttempt:
    """Attempt of the baseline, which ignores outcomes."""

    target: Target

    def finish(self, outcome: Outcome) -> None:
        """Ignore the outcome."""


class RoundRobinTable:
    """Baseline: round robin over all targets, without ejection or limits."""

    def __init__(self, configuration: Configuration, random: Random) -> None:
        self.services = configuration.services
        self.turns = {n: random.randrange(1000) for n in configuration.services}

    def acquire(self, name: str, exclude: Collection[str] = ()) -> BaselineAttempt:
        """Return the next target."""
        self.turns[name] += 1
        targets = self.services[name].targets
        return BaselineAttempt(targets[self.turns[name] % len(targets)])


def build_configuration() -> Configuration:
    services = {}
    for name, count in TARGETS_BY_SERVICE.items():
        targets = tuple(
            Target(f"{name}-{i}", f"127.0.0.1:{i + 1}", DATA_CENTRES[i % 3], 6, 330)
            for i in range(count)
        )
        services[name] = Service(name, targets, request_timeout_s=REQUEST_TIMEOUT_S)
    return Configuration(1, Fleet("pilarossi", DATA_CENTRES), services, (), {})


@define(eq=False, slots=False)
class FleetSimulation:
    """Simulation of a fleet that sends requests to targets."""

    scenario: Scenario
    timers: ManualTimers = field(factory=lambda: ManualTimers(0.0))
    random: Random = field(init=False)
    tables: list[TargetTable] = field(init=False)
    fault_target: str = "cassa-4"
    fault_active: bool = False
    fault_started_s: float = 0.0
    sent: int = 0
    unserved: int = 0
    harmed: int = 0
    ejected_s: dict[tuple[int, str], float] = field(factory=dict)
    ejections: int = 0
    slow_factor: float = 1.0
    burst_rate: float = 0.0
    reporting_instances: set[int] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the tables and schedule their requests and control tasks."""
        scenario = self.scenario
        self.random = Random(scenario.seed)
        configuration = build_configuration()
        self.names = list(TARGETS_BY_SERVICE)
        self.weights = list(TARGETS_BY_SERVICE.values())
        self.tables = [
            self._create_table(i, configuration) for i in range(scenario.instances)
        ]
        for index in range(scenario.instances):
            self._schedule_arrival(index)
            if not scenario.baseline:
                self._schedule_control(index)

    def _create_table(self, index: int, configuration: Configuration) -> TargetTable:
        if self.scenario.baseline:
            return RoundRobinTable(configuration, self.random)
        table = TargetTable(
            self.timers,
            DATA_CENTRES[index % 3],
            f"entry-{index}",
            seed=self.random.getrandbits(32),
        )
        table.apply(configuration)
        return table

    # ---- requests ----

    def _schedule_arrival(self, index: int) -> None:
        delay = self.random.expovariate(self.scenario.rate_per_s)
        self.timers.call_later(delay, lambda: self._send_request(index))

    def _send_request(self, index: int) -> None:
        self._schedule_arrival(index)
        [name] = self.random.choices(self.names, self.weights)
        attempt = self.tables[index].acquire(name, ())
        self.sent += 1
        if attempt is None:
            self.unserved += 1
            return
        kind, latency = self._simulate_response(index, attempt.target)
        if self.fault_active and attempt.target.name == self.fault_target:
            self.harmed += self._is_harmed(kind, latency)
        outcome = Outcome(kind, latency)
        self.timers.call_later(latency, lambda: attempt.finish(outcome))

    def _is_harmed(self, kind: OutcomeKind, latency_s: float) -> bool:
        return (
            kind is not OutcomeKind.SUCCESS
            or latency_s > HARMED_LATENCY_FACTOR * MEDIAN_LATENCY_S
        )

    def _simulate_response(
        self, index: int, target: Target
    ) -> tuple[OutcomeKind, float]:
        scenario = self.scenario
        latency = MEDIAN_LATENCY_S * math.exp(
            self.random.gauss(0.0, scenario.latency_sigma)
        )
        latency *= self.slow_factor
        if target.data_centre != DATA_CENTRES[index % 3]:
            latency += REMOTE_EXTRA_LATENCY_S
        error_rate = scenario.error_rate + self.burst_rate
        if self.fault_active and target.name == self.fault_target:
            if scenario.unreachable_from_one:
                if index == 1:
                    return OutcomeKind.CONNECT_FAILED, 0.25
            elif scenario.fault == "hung":
                return OutcomeKind.TIMEOUT, REQUEST_TIMEOUT_S
            elif scenario.fault == "slow":
                latency *= 10.0
            elif scenario.fault == "errors":
                error_rate = 0.2
        if self.random.random() < error_rate:
            return OutcomeKind.ERROR, latency * self.random.uniform(0.1, 1.0)
        if latency >= REQUEST_TIMEOUT_S:
            return OutcomeKind.TIMEOUT, REQUEST_TIMEOUT_S
        return OutcomeKind.SUCCESS, latency

    # ---- control ----

    def _schedule_control(self, index: int) -> None:
        if self.scenario.share_suspicions:
            phase = self.random.random()
            self.timers.call_later(
                phase,
                lambda: self.timers.subscribe(
                    1.0, lambda: self._share_suspicions(index)
                ),
            )
        self.timers.subscribe(0.1, lambda: self._run_due_probes(index))
        self.timers.subscribe(0.01, lambda: self._record_ejections(index))

    def _share_suspicions(self, index: int) -> None:
        suspicions = self.tables[index].suspicions()
        if not suspicions and index not in self.reporting_instances:
            return
        self.reporting_instances.add(index)
        if not suspicions:
            self.reporting_instances.discard(index)
        for other, table in enumerate(self.tables):
            if other != index:
                table.record_peer_suspicions(f"entry-{index}", suspicions)

    def _run_due_probes(self, index: int) -> None:
        table = self.tables[index]
        for request in table.probes_due():
            ok, latency = self._probe_result(index, request.target, request.timeout_s)
            self.timers.call_later(
                latency,
                lambda r=request, o=ok, s=latency: table.record_probe_result(r, o, s),
            )

    def _probe_result(
        self, index: int, target: str, timeout_s: float
    ) -> tuple[bool, float]:
        """Return the result of a probe, which passes if only some requests fail."""
        if self.fault_active and target == self.fault_target:
            if self.scenario.unreachable_from_one:
                return index != 1, PROBE_LATENCY_S
            if self.scenario.fault == "hung":
                return False, timeout_s
            if self.scenario.fault == "slow":
                return True, 10.0 * PROBE_LATENCY_S
        return True, PROBE_LATENCY_S

    def _record_ejections(self, index: int) -> None:
        for service in self.tables[index].services.values():
            for state in service.states.values():
                if state.ejected and (index, state.name) not in self.ejected_s:
                    self.ejected_s[(index, state.name)] = self.timers.now()
                    self.ejections += 1

    def set_slowdown(self, factor: float) -> None:
        """Multiply the latency of all targets by `factor`."""
        self.slow_factor = factor

    def set_burst(self, rate: float) -> None:
        """Add `rate` to the error rate of all targets."""
        self.burst_rate = rate

    def run(self) -> "FleetSimulation":
        """Run the warm-up and then the measured part."""
        scenario = self.scenario
        timers = self.timers
        if scenario.slowdowns:
            timers.subscribe(60.0, lambda: self.set_slowdown(4.0))
            timers.call_later(
                15.0, lambda: timers.subscribe(60.0, lambda: self.set_slowdown(1.0))
            )
        if scenario.bursts:
            timers.subscribe(45.0, lambda: self.set_burst(0.3))
            timers.call_later(
                8.0, lambda: timers.subscribe(45.0, lambda: self.set_burst(0.0))
            )
        timers.advance(scenario.warm_up_s)
        self.sent = self.unserved = self.ejections = 0
        self.ejected_s.clear()
        self.fault_active = bool(scenario.fault) or scenario.unreachable_from_one
        self.fault_started_s = timers.now()
        timers.advance(scenario.measured_s)
        return self

    def detection_times(self) -> list[float]:
        """Return the detection times of the near instances; infinite if undetected."""
        centre = DATA_CENTRES[int(self.fault_target.rsplit("-")[-1]) % 3]
        return [
            self.ejected_s.get((i, self.fault_target), math.inf) - self.fault_started_s
            for i in range(self.scenario.instances)
            if DATA_CENTRES[i % 3] == centre
        ]

    def false_ejections(self) -> int:
        """Return the number of ejections of healthy targets."""
        return sum(
            not (
                self.fault_active
                and target == self.fault_target
                and self._is_affected(index)
            )
            for index, target in self.ejected_s
        )

    def _is_affected(self, index: int) -> bool:
        return not self.scenario.unreachable_from_one or index == 1


@frozen
class Result:
    """Measurements of one simulation."""

    scenario: Scenario
    times: list[float]
    false_ejections: int
    harmed: int
    sent: int
    unserved: int


def measure(scenario: Scenario) -> Result:
    logging.set_verbosity(logging.ERROR)
    run = FleetSimulation(scenario).run()
    times = [] if scenario.baseline else run.detection_times()
    if scenario.unreachable_from_one:
        times = [
            run.ejected_s.get((1, run.fault_target), math.inf) - run.fault_started_s
        ]
    return Result(
        scenario, times, run.false_ejections(), run.harmed, run.sent, run.unserved
    )


def measure_all(scenarios: list[Scenario], jobs: int) -> list[Result]:
    with multiprocessing.Pool(jobs) as pool:
        return pool.map(measure, scenarios, chunksize=1)


def quantile(times: list[float], part: float) -> str:
    value = float(numpy.quantile(times, part, method="higher"))
    return "-" if math.isinf(value) else f"{value:.2f}"


def print_table(header: list[str], rows: list[list[object]]) -> None:
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(str(cell) for cell in row) + " |", flush=True)


# ---- detection ----


def detect(options: argparse.Namespace) -> None:
    """Print detection time and harmed requests for each fault."""
    loads = {"ordinary": Scenario(), "thin": Scenario(rate_per_s=5.0, warm_up_s=120.0)}
    variants = [("shared", {}), ("alone", {"share_suspicions": False})]
    variants.append(("round robin", {"baseline": True}))
    cases = []
    for load in options.loads:
        for fault in options.faults:
            for variant, changes in variants[: 3 if options.baseline else 2]:
                seconds = options.seconds * (4.0 if load == "thin" else 1.0)
                base = evolve(loads[load], fault=fault, measured_s=seconds, **changes)
                cases.append((load, fault, variant, base))
    scenarios = [
        evolve(base, seed=seed) for *_, base in cases for seed in range(options.seeds)
    ]
    results = measure_all(scenarios, options.jobs)
    rows = []
    for number, (load, fault, variant, base) in enumerate(cases):
        part = results[number * options.seeds : (number + 1) * options.seeds]
        rows.append([load, fault, variant, *detection_cells(part, base)])
        if options.plot and variant != "round robin":
            plot_times(options.plot, f"{load} {fault} {variant}", part)
    if options.plot:
        save_plot(options.plot)
    header = ["load", "fault", "evidence", "runs", "p50 s", "p99 s", "max s"]
    header += ["false ejections", "harmed a run", "sent a run", "unserved"]
    print_table(header, rows)


def detection_cells(part: list[Result], base: Scenario) -> list[object]:
    times = [t for result in part for t in result.times]
    cells = [quantile(times, q) for q in (0.5, 0.99, 1.0)] if times else ["-"] * 3
    return [
        len(part),
        *cells,
        sum(r.false_ejections for r in part),
        f"{sum(r.harmed for r in part) / len(part):.1f}",
        f"{sum(r.sent for r in part) / len(part):.0f}",
        sum(r.unserved for r in part),
    ]


def plot_times(path: str, label: str, part: list[Result]) -> None:
    from matplotlib import pyplot

    times = sorted(t for result in part for t in result.times if t < math.inf)
    pyplot.step(times, [(i + 1) / len(times) for i in range(len(times))], label=label)


def save_plot(path: str) -> None:
    from matplotlib import pyplot

    pyplot.xlabel("seconds since the fault")
    pyplot.ylabel("part of instances that ejected")
    pyplot.xscale("log")
    pyplot.legend()
    pyplot.savefig(path)


# ---- false ejections ----


def healthy(options: argparse.Namespace) -> None:
    """Print false ejections while no target is faulty."""
    cases = {
        "errors 0.1%": Scenario(error_rate=0.001),
        "errors 1%": Scenario(error_rate=0.01),
        "errors 1%, sigma 1": Scenario(error_rate=0.01, latency_sigma=1.0),
        "4x slowdowns": Scenario(slowdowns=True),
        "30% error bursts": Scenario(bursts=True),
        "5/s, errors 1%": Scenario(rate_per_s=5.0, error_rate=0.01),
        "5/s, both": Scenario(rate_per_s=5.0, slowdowns=True, bursts=True),
    }
    chosen = {n: s for n, s in cases.items() if not options.case or n in options.case}
    scenarios = [
        evolve(base, seed=1000 + seed, measured_s=options.seconds)
        for base in chosen.values()
        for seed in range(options.seeds)
    ]
    results = measure_all(scenarios, options.jobs)
    rows = []
    for number, name in enumerate(chosen):
        part = results[number * options.seeds : (number + 1) * options.seeds]
        hours = options.seeds * options.seconds / 3600.0
        rows.append(
            [
                name,
                f"{hours:.2f}",
                sum(r.sent for r in part),
                sum(r.false_ejections for r in part),
                sum(r.unserved for r in part),
            ]
        )
    header = ["case", "fleet hours", "requests", "false ejections", "unserved"]
    print_table(header, rows)


def unreachable(options: argparse.Namespace) -> None:
    """Print the ejections of a target that only one instance cannot reach."""
    base = Scenario(unreachable_from_one=True, measured_s=options.seconds)
    scenarios = [evolve(base, seed=2000 + s) for s in range(options.seeds)]
    results = measure_all(scenarios, options.jobs)
    times = [t for r in results for t in r.times]
    others = sum(r.false_ejections for r in results)
    harmed = sum(r.harmed for r in results) / len(results)
    row = [len(results), options.seconds, quantile(times, 0.5), quantile(times, 1.0)]
    header = ["runs", "seconds", "own p50 s", "own max s", "ejections by others"]
    print_table([*header, "harmed a run"], [[*row, others, f"{harmed:.1f}"]])


# ---- goodput ----


@define(eq=False)
class SlottedTarget:
    """A target with `slots` workers and a bounded or unbounded queue."""

    timers: ManualTimers
    slots: int
    sheds_when_full: bool
    busy_slots: int = 0
    queue: list[Callable[[], None]] = field(factory=list)

    def submit(self, service_s: float, done: Callable[[OutcomeKind], None]) -> None:
        """Run a request, queue it, or shed it."""
        if self.busy_slots < self.slots:
            self._start(service_s, done)
        elif self.sheds_when_full and len(self.queue) >= self.slots:
            self.timers.call_later(0.001, lambda: done(OutcomeKind.SHED))
        else:
            self.queue.append(lambda: self._start(service_s, done))

    def _start(self, service_s: float, done: Callable[[OutcomeKind], None]) -> None:
        self.busy_slots += 1
        self.timers.call_later(service_s, lambda: self._end(done))

    def _end(self, done: Callable[[OutcomeKind], None]) -> None:
        self.busy_slots -= 1
        if self.queue:
            self.queue.pop(0)()
        done(OutcomeKind.SUCCESS)


@define(eq=False, slots=False)
class GoodputSimulation:
    """Simulation of a fleet whose load is a multiple of the targets' capacity."""

    slots: int
    sheds: bool
    offered_load: float
    baseline: bool
    seed: int
    answered_in_time: int = 0
    total: int = 0
    deadline_s: float = 1.0

    def run(
        self, warm_up_s: float = 5.0, measured_s: float = 10.0
    ) -> "GoodputSimulation":
        """Run the simulation and measure the goodput, in multiples of the capacity."""
        self.timers = ManualTimers(0.0)
        self.random = Random(self.seed)
        configuration = build_configuration()
        service = configuration.services["archivio"]
        targets = tuple(evolve(t, slots=self.slots) for t in service.targets)
        service = evolve(service, targets=targets)
        configuration = Configuration(
            1, configuration.fleet, {"archivio": service}, (), {}
        )
        self.targets = {
            t.name: SlottedTarget(self.timers, self.slots, self.sheds) for t in targets
        }
        if self.baseline:
            self.tables = [
                RoundRobinTable(configuration, self.random) for _ in range(40)
            ]
        else:
            self.tables = [
                TargetTable(self.timers, DATA_CENTRES[i % 3], f"entry-{i}", seed=i)
                for i in range(40)
            ]
            for table in self.tables:
                table.apply(configuration)
        # The mean of a log-normal distribution with sigma 0.5 is exp(0.5**2 / 2) times
        # its median.
        mean_s = MEDIAN_LATENCY_S * math.exp(0.125)
        self.capacity = len(targets) * self.slots / mean_s
        for index in range(40):
            self._schedule_arrival(index)
        self.timers.advance(warm_up_s)
        self.answered_in_time = self.total = 0
        self.timers.advance(measured_s)
        self.goodput = self.answered_in_time / measured_s / self.capacity
        return self

    def _schedule_arrival(self, index: int) -> None:
        delay = self.random.expovariate(self.offered_load * self.capacity / 40)
        self.timers.call_later(delay, lambda: self._send_request(index))

    def _send_request(self, index: int) -> None:
        self._schedule_arrival(index)
        self.total += 1
        self._send_attempt(index, self.timers.now(), [])

    def _send_attempt(self, index: int, started_s: float, tried: list[str]) -> None:
        attempt = self.tables[index].acquire("archivio", tried)
        if attempt is None:
            return
        service_s = MEDIAN_LATENCY_S * math.exp(self.random.gauss(0.0, 0.5))
        sent_s = self.timers.now()

        def done(kind: OutcomeKind) -> None:
            now = self.timers.now()
            late = now - started_s > self.deadline_s
            seen = OutcomeKind.TIMEOUT if late else kind
            attempt.finish(Outcome(seen, now - sent_s))
            if seen is OutcomeKind.SUCCESS:
                self.answered_in_time += 1
            elif seen is OutcomeKind.SHED and len(tried) < 2:
                self._send_attempt(index, started_s, [*tried, attempt.target.name])

        self.targets[attempt.target.name].submit(service_s, done)


def measure_goodput(case: tuple[int, bool, float, bool, int]) -> float:
    logging.set_verbosity(logging.ERROR)
    return GoodputSimulation(*case).run().goodput


def goodput(options: argparse.Namespace) -> None:
    """Print goodput against offered load, both in multiples of the capacity."""
    loads = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)
    rows = []
    kinds = [(s, sheds, b) for s in (2, 6) for sheds in (True, False) for b in (0, 1)]
    cases = [
        (slots, sheds, load, bool(baseline), seed)
        for slots, sheds, baseline in kinds
        for load in loads
        for seed in range(options.seeds)
    ]
    with multiprocessing.Pool(options.jobs) as pool:
        values = iter(pool.map(measure_goodput, cases, chunksize=1))
    for slots, sheds, baseline in kinds:
        cells = []
        for _ in loads:
            part = [next(values) for _ in range(options.seeds)]
            cells.append(f"{sum(part) / len(part):.2f}")
        full = "sheds" if sheds else "queues"
        rows.append([slots, full, "round robin" if baseline else "table", *cells])
    header = ["slots", "when full", "choice", *(f"{load:.1f}x" for load in loads)]
    print_table(header, rows)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=4)
    commands = parser.add_subparsers(required=True)
    command = commands.add_parser("detect")
    command.add_argument("--seeds", type=int, default=20)
    command.add_argument("--faults", nargs="+", default=FAULTS, choices=FAULTS)
    command.add_argument("--loads", nargs="+", default=("ordinary", "thin"))
    command.add_argument("--seconds", type=float, default=15.0)
    command.add_argument("--baseline", action="store_true")
    command.add_argument("--plot", metavar="FILE")
    command.set_defaults(run=detect)
    command = commands.add_parser("healthy")
    command.add_argument("--seeds", type=int, default=10)
    command.add_argument("--seconds", type=float, default=360.0)
    command.add_argument("--case", nargs="+")
    command.set_defaults(run=healthy)
    command = commands.add_parser("unreachable")
    command.add_argument("--seeds", type=int, default=8)
    command.add_argument("--seconds", type=float, default=120.0)
    command.set_defaults(run=unreachable)
    command = commands.add_parser("goodput")
    command.add_argument("--seeds", type=int, default=4)
    command.set_defaults(run=goodput)
    options = parser.parse_args()
    options.run(options)


if __name__ == "__main__":
    main()
