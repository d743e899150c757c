"""Experiments on a fleet of real processes."""

import json
import pathlib
import statistics
import sys
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any

from attrs import define, frozen

from testing.fleet.deployment import KEY_HEADER, WORKSPACES, target_names
from testing.fleet.launcher import Fleet, FleetOptions
from testing.fleet.processes import Child, FleetError, python_command
from testing.load.generator import LoadPlan, StreamPlan
from testing.load.procstat import CpuMeter, resident_mb
from testing.load.reports import Totals, merge
from testing.load.scraping import totals

# Time for the generators to start their threads before the first request.
GENERATOR_START_S = 3.0
SERVICE = "catalogo"
PATH = "/catalogo/pile"
PROXIED = "proxied"
DIRECT = "direct"
UNDECIDED = "without decisions"


@frozen
class LatencyOptions:
    """Parameters of the latency experiment."""

    instances: int = 6
    rate_per_instance: float = 114.0
    duration_s: float = 20.0
    warm_up_s: float = 5.0
    target_delay_ms: float = 5.0
    poisson: bool = True
    seed: int = 1


@define
class LatencyReport:
    """Result of the latency experiment."""

    series: dict[str, Totals]
    workspaces: dict[str, Totals]
    cpu: list[float]
    """Share of one core of each instance."""
    resident_mb: list[float]
    refusals: Counter[str]

    def added_ms(self, percentile: float) -> float:
        """Return the difference of a percentile with and without the fleet."""
        proxied = self.series[PROXIED].percentile_ms(percentile)
        return proxied - self.series[DIRECT].percentile_ms(percentile)


def measure_latency(options: LatencyOptions) -> LatencyReport:
    """Send the same kind of requests through the fleet and to the targets.

    Both run at the same time, so that both meet the same load of the machine. The
    targets answer after a fixed delay, so that the difference is the fleet's.
    """
    # Above the offered load, so that no quota is met.
    fleet_options = FleetOptions(
        instances=options.instances, target_processes=4, rate_scale=2.0
    )
    with Fleet(fleet_options) as fleet:
        for target in fleet.targets:
            fleet.control_target(
                "set", target, delay_ms=options.target_delay_ms, jitter_ms=0
            )
        meter, memory, results = _run_generators(fleet, options)
        addresses = [instance.address for instance in fleet.instances]
        refusals = totals(addresses, "lacewinglift_refusals_total", "code")
    return _latency_report(results, meter, memory, refusals)


def _run_generators(
    fleet: Fleet, options: LatencyOptions
) -> tuple[list[float], list[float], list[dict[str, Any]]]:
    start_s = time.monotonic() + GENERATOR_START_S
    groups = [_direct_streams(fleet, options)]
    for instance in fleet.instances:
        groups.append(_proxied_streams(fleet, PROXIED, instance.address, options))
    baseline = _start_baseline(fleet)
    groups.append(_proxied_streams(fleet, UNDECIDED, baseline, options))
    children = []
    for number, streams in enumerate(groups):
        plan = LoadPlan(
            start_s, options.duration_s, options.warm_up_s, options.seed, streams
        )
        children.append(_start_generator(fleet, f"generator-{number}", plan))
    pids = [instance.child.pid for instance in fleet.instances]
    _sleep_until(start_s + options.warm_up_s)
    meter = CpuMeter(pids)
    _sleep_until(start_s + options.warm_up_s + options.duration_s)
    cpu = list(meter.shares().values())
    memory = [resident_mb(pid) for pid in pids]
    return cpu, memory, [child.read_ready_line(60.0) for child in children]


def _start_generator(fleet: Fleet, name: str, plan: LoadPlan) -> Child:
    file = fleet.folder / f"{name}.json"
    file.write_text(plan.to_json())
    command = python_command("testing.load.generator", file)
    child = fleet.children.start(name, command, True)
    child.expected_to_end = True
    return child


def _start_baseline(fleet: Fleet) -> str:
    command = python_command(
        "testing.load.undecided",
        fleet.configuration.base,
        fleet.configuration.overlay,
    )
    return fleet.children.start("undecided", command, True).read_ready_line()["address"]


def _proxied_streams(
    fleet: Fleet, series: str, address: str, options: LatencyOptions
) -> list[StreamPlan]:
    total = sum(plan.rate_per_s for plan in WORKSPACES.values())
    return [
        StreamPlan(
            name=f"{series}/{workspace}/{address}",
            rate_per_s=options.rate_per_instance * plan.rate_per_s / total,
            addresses=[address],
            path=PATH,
            headers={KEY_HEADER: f"Bearer {fleet.deployment.keys[workspace]}"},
            workers=8,
            poisson=options.poisson,
        )
        for workspace, plan in WORKSPACES.items()
    ]


def _direct_streams(fleet: Fleet, options: LatencyOptions) -> list[StreamPlan]:
    stream = StreamPlan(
        name=DIRECT,
        rate_per_s=options.rate_per_instance,
        addresses=[fleet.targets[name] for name in target_names(SERVICE)],
        path=PATH,
        workers=16,
        poisson=options.poisson,
    )
    return [stream]


def _latency_report(
    results: Sequence[dict[str, Any]],
    cpu: list[float],
    memory: list[float],
    refusals: Counter[str],
) -> LatencyReport:
    streams = {name: value for result in results for name, value in result.items()}
    proxied = _of_series(streams, PROXIED)
    by_workspace = {
        workspace: merge(
            value for name, value in proxied.items() if name.split("/")[1] == workspace
        )
        for workspace in WORKSPACES
    }
    series = {
        PROXIED: merge(proxied.values()),
        UNDECIDED: merge(_of_series(streams, UNDECIDED).values()),
        DIRECT: merge([streams[DIRECT]]),
    }
    return LatencyReport(series, by_workspace, cpu, memory, refusals)


def _of_series(streams: dict[str, Any], series: str) -> dict[str, Any]:
    return {
        name: value for name, value in streams.items() if name.startswith(f"{series}/")
    }


@frozen
class IdleReport:
    """What a fleet uses without requests."""

    instances: int
    cpu: list[float]
    resident_mb: list[float]
    store_reads_per_s: float
    store_writes_per_s: float
    store_watches_opened: int
    waiting_watches: int


def measure_idle(instances: int, settle_s: float, duration_s: float) -> IdleReport:
    """Measure a fleet that carries no requests."""
    # Requests do not matter here; a small number of threads keeps memory low.
    options = FleetOptions(instances=instances, worker_threads=16)
    with Fleet(options) as fleet:
        time.sleep(settle_s)
        pids = [instance.child.pid for instance in fleet.instances]
        meter = CpuMeter(pids)
        before = fleet.control_store("calls")
        time.sleep(duration_s)
        after = fleet.control_store("calls")
        ended = fleet.children.ended_unexpectedly()
        if ended:
            raise FleetError(f"{ended[0].name} ended:\n{ended[0].log_tail()}")
        return IdleReport(
            instances,
            list(meter.shares().values()),
            [resident_mb(pid) for pid in pids],
            (after["reads"] - before["reads"]) / duration_s,
            (after["writes"] - before["writes"]) / duration_s,
            after["watches"] - before["watches"],
            after["waiting_watches"],
        )


def summarize(values: Sequence[float]) -> tuple[float, float]:
    """Return mean and maximum."""
    return statistics.fmean(values), max(values)


def save_json(path: pathlib.Path, value: object) -> None:
    """Write a result for later comparison."""
    path.write_text(json.dumps(value, indent=2) + "\n")
    print(f"written: {path}", file=sys.stderr)


def _sleep_until(moment_s: float) -> None:
    time.sleep(max(moment_s - time.monotonic(), 0.0))
