"""What control costs by size of the fleet, with fitted slopes."""

import json
import time
from collections.abc import Sequence

import numpy
from attrs import frozen

from testing.fleet.launcher import Fleet, FleetOptions
from testing.load.experiments import summarize
from testing.load.procstat import CpuMeter, resident_mb
from testing.load.reports import format_table
from testing.load.traffic import peer_traffic, sum_by_process

PUBLICATIONS = 3


@frozen
class ControlReport:
    """What one fleet used for control, without requests."""

    instances: int
    cpu_percent: float
    cpu_percent_most: float
    resident_mb: float
    sent_kb_per_s: float
    received_kb_per_s: float
    store_reads_per_s: float
    waiting_watches: int
    in_force_s: float
    """Greatest time from the start of a publication until all reported it."""
    store_calls_per_publication: float


QUANTITIES = (
    "cpu_percent",
    "cpu_percent_most",
    "resident_mb",
    "sent_kb_per_s",
    "received_kb_per_s",
    "store_reads_per_s",
    "waiting_watches",
    "in_force_s",
    "store_calls_per_publication",
)


def measure_control(
    instances: int, settle_s: float, duration_s: float
) -> ControlReport:
    """Run a fleet without requests, then publish changes."""
    with Fleet(FleetOptions(instances=instances, worker_threads=16)) as fleet:
        time.sleep(settle_s)
        pids = [instance.child.pid for instance in fleet.instances]
        ports = [int(i.peer_address.rpartition(":")[2]) for i in fleet.instances]
        calls = fleet.control_store("calls")
        traffic = peer_traffic(pids, ports)
        meter = CpuMeter(pids)
        time.sleep(duration_s)
        cpu_mean, cpu_most = summarize(list(meter.shares().values()))
        sums = sum_by_process(traffic, peer_traffic(pids, ports)).values()
        calls_after = fleet.control_store("calls")
        seconds = [_publish_change(fleet, number) for number in range(PUBLICATIONS)]
        calls_last = fleet.control_store("calls")
        idle_per_s = _count(calls, calls_after) / duration_s
        during = _count(calls_after, calls_last) - idle_per_s * sum(seconds)
        return ControlReport(
            instances,
            100 * cpu_mean,
            100 * cpu_most,
            sum(map(resident_mb, pids)) / len(pids),
            sum(each.sent for each in sums) / len(pids) / duration_s / 1000,
            sum(each.received for each in sums) / len(pids) / duration_s / 1000,
            (calls_after["reads"] - calls["reads"]) / duration_s,
            calls_after["waiting_watches"],
            max(seconds),
            during / PUBLICATIONS,
        )


def print_control(reports: Sequence[ControlReport]) -> None:
    """Print the measured values and a line fitted to each quantity."""
    header = ["instances", *QUANTITIES]
    rows = [[r.instances, *(getattr(r, q) for q in QUANTITIES)] for r in reports]
    print(format_table(header, rows))
    if len(reports) < 3:
        return
    sizes = numpy.array([report.instances for report in reports], dtype=float)
    fits = []
    for quantity in QUANTITIES:
        values = numpy.array([getattr(report, quantity) for report in reports])
        slope, base = numpy.polyfit(sizes, values, 1)
        residual = numpy.abs(values - (slope * sizes + base)).max()
        fits.append([quantity, float(base), float(slope), float(residual)])
    print()
    print(format_table(["fit", "base", "per instance", "largest residual"], fits))


def _count(before: dict, after: dict) -> int:
    return sum(after[name] - before[name] for name in ("reads", "writes", "watches"))


def _publish_change(fleet: Fleet, number: int) -> float:
    base = json.loads(json.dumps(fleet.deployment.base()))
    base["workspaces"]["isola"]["rate_per_s"] += number + 1
    fleet.configuration.write_base(base)
    started_s = time.monotonic()
    fleet.publish()
    return time.monotonic() - started_s
