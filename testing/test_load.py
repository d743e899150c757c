import json
import os
import subprocess
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan, StartsWith

from testing.fleet.processes import child_environment, python_command
from testing.load.__main__ import parse_options
from testing.load.generator import LoadPlan, StreamPlan, arrivals, run_plan
from testing.load.procstat import CpuMeter, resident_mb
from testing.load.reports import format_table, latency_rows, merge, plot_latency
from testing.load.scraping import parse_metrics
from testing.load.undecided import PlainTable
from testing.standins.proxy_harness import call, running_proxy
from testing.standins.target import TargetGroup


@pytest.fixture
def target():
    group = TargetGroup()
    yield group.add("t1")
    group.close()


def plan_for(address, rate_per_s=50.0, duration_s=1.0, **options):
    stream = StreamPlan("s", rate_per_s, [address], "/x", **options)
    return LoadPlan(time.monotonic() + 0.1, duration_s, 0.0, 1, [stream])


def test_arrivals_keep_the_rate_and_the_seed():
    """Guards against a load that differs from the planned one."""
    plan = plan_for("a", rate_per_s=100.0, duration_s=100.0)
    times = list(arrivals(plan.streams[0], plan))
    assert_that(abs(len(times) - 10000), LessThan(400))
    assert_that(list(arrivals(plan.streams[0], plan)), Equals(times))
    steady = plan_for("a", rate_per_s=100.0, duration_s=100.0, poisson=False)
    assert_that(len(list(arrivals(steady.streams[0], steady))), Equals(10000))


def test_latency_counts_from_the_scheduled_time(target):
    """Guards against a stall that is measured for one request only."""
    target.set(slots=1, delay_ms=100)
    plan = plan_for(target.address, rate_per_s=20.0, poisson=False, workers=4)
    totals = merge(run_plan(plan).values())
    assert_that(totals.kinds["ok"], Equals(20))
    # The target needs 100 ms each for requests that come every 50 ms, so the last
    # one waits for about 1 s.
    assert_that(totals.percentile_ms(99.0), GreaterThan(800.0))
    assert_that(totals.percentile_ms(0.0), LessThan(300.0))


def test_baseline_without_decisions_forwards_requests(target):
    """Guards against a baseline whose every request fails."""
    with running_proxy([target.address]) as proxy:
        table = PlainTable(proxy.distribution.configuration)
        proxy.components.forwarder.target_selector = table
        assert_that(call(proxy), StartsWith(b"HTTP/1.1 200 "))


def test_failures_are_counted_by_kind(target):
    """Guards against errors that disappear from a measurement."""
    target.set(shed=True)
    results = run_plan(plan_for(target.address))
    assert_that(set(results["s"]["kinds"]), Equals({"503"}))
    target.set(shed=False)
    assert_that(set(run_plan(plan_for(target.address))["s"]["kinds"]), Equals({"ok"}))


def test_generator_runs_as_a_process(target, tmp_path):
    """Guards against a plan that does not survive the way to another process."""
    plan = plan_for(target.address, headers={"X-A": "b"})
    file = tmp_path / "plan.json"
    file.write_text(plan.to_json())
    assert_that(LoadPlan.from_json(plan.to_json()), Equals(plan))
    done = subprocess.run(
        python_command("testing.load.generator", file),
        env=child_environment(),
        capture_output=True,
        timeout=30,
        check=True,
    )
    totals = merge(json.loads(done.stdout).values())
    assert_that(totals.kinds["ok"], Equals(target.report()["executed"]))


def test_cpu_meter_sees_work():
    """Guards against a processor share that is always zero."""
    meter = CpuMeter([os.getpid()])
    end = time.process_time() + 0.5
    while time.process_time() < end:
        pass
    assert_that(meter.shares()[os.getpid()], GreaterThan(0.05))
    assert_that(resident_mb(os.getpid()), GreaterThan(5.0))


def test_metrics_are_read_by_name_and_labels():
    """Guards against counters of different labels that are taken for one."""
    text = 'x_total{code="a"} 1.0\nx_total{code="b"} 2.0\n'
    samples = parse_metrics(f"# TYPE x counter\n{text}")
    assert_that(samples[("x_total", (("code", "b"),))], Equals(2.0))


def test_tables_are_aligned():
    """Guards against tables that cannot be read."""
    text = format_table(["name", "ms"], [["a", 1.23456], ["long name", 1234.5]])
    assert_that(
        text.splitlines(),
        Equals(["name         ms", "a          1.23", "long name  1234"]),
    )


def test_plot_is_written(target, tmp_path):
    """Guards against an experiment that fails after it has measured."""
    totals = merge(run_plan(plan_for(target.address)).values())
    plot_latency({"direct": totals}, tmp_path / "plot.png")
    assert_that((tmp_path / "plot.png").stat().st_size, GreaterThan(1000))
    assert_that(latency_rows({"direct": totals})[0][1], Equals(totals.kinds["ok"]))


def test_command_line_has_the_sizes_of_the_design():
    """Guards against experiments that silently measure something smaller."""
    assert_that(parse_options(["store-calls"]).sizes, Equals([10, 20, 40]))
    assert_that(parse_options(["latency"]).rate, Equals(114.0))
