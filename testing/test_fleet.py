import contextlib
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import urllib.request

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from testing.fleet.__main__ import parse_options
from testing.fleet.deployment import SERVICES, WORKSPACES, Deployment, digest
from testing.fleet.launcher import Fleet, FleetOptions
from testing.fleet.processes import (
    Children,
    FleetError,
    child_environment,
    free_ports,
    python_command,
)
from testing.standins.proxy_harness import wait_until

# A run of the launcher in a process of its own, with bare instances.
_SCRIPT = """
import sys
from testing.fleet.__main__ import raise_on_signals, run_fleet
from testing.fleet.launcher import FleetOptions
from testing.fleet.processes import python_command
raise_on_signals()
sys.exit(run_fleet(FleetOptions(
    instances=3,
    serve_command=python_command("testing.standins.bare_instance"),
    publish_command=["true"],
)))
"""


@pytest.fixture
def options():
    return FleetOptions(
        instances=3,
        serve_command=python_command("testing.standins.bare_instance"),
        publish_command=["true"],
    )


def is_alive(pid):
    """Return whether a process runs; one that only waits to be reaped does not."""
    try:
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


def wait_until_dead(pids, timeout_s=10):
    deadline = time.monotonic() + timeout_s
    while any(map(is_alive, pids)) and time.monotonic() < deadline:
        time.sleep(0.05)
    return [pid for pid in pids if is_alive(pid)]


def test_fleet_starts_and_leaves_nothing_behind(options):
    """Guards against processes and files that outlive a run."""
    with Fleet(options) as fleet:
        description = fleet.description()
        pids = [child.pid for child in fleet.children.children]
        assert_that(len(pids), Equals(5))
        assert_that(len(set(description["pids"].values())), Equals(3))
        assert_that(len(fleet.targets), Equals(30))
        folder = fleet.folder
        assert_that(fleet.control_store("calls")["writes"], Equals(0))
    assert_that(wait_until_dead(pids), Equals([]))
    assert_that(folder.exists(), Equals(False))


def test_exception_leaves_nothing_behind(options):
    """Guards against processes that outlive a failed experiment."""
    with pytest.raises(ZeroDivisionError), Fleet(options) as fleet:
        pids = [child.pid for child in fleet.children.children]
        _ = 1 / 0
    assert_that(wait_until_dead(pids), Equals([]))


def test_instance_that_fails_at_start_is_reported(options):
    """Guards against a launcher that waits for a process that has ended."""
    options.serve_command.append("--fail")
    with pytest.raises(FleetError, match="the settings cannot be used"), Fleet(options):
        pass


def test_failed_publication_is_reported(options):
    """Guards against a fleet that runs without the configuration it was given."""
    options.publish_command = ["false"]
    with pytest.raises(FleetError, match="publish ended with 1"), Fleet(options):
        pass


@pytest.fixture
def run():
    process = subprocess.Popen(
        [sys.executable, "-c", _SCRIPT],
        stdout=subprocess.PIPE,
        env=child_environment(),
    )
    yield process
    process.kill()
    process.wait()
    process.stdout.close()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGKILL])
def test_signal_to_the_launcher_ends_all_processes(run, number):
    """Guards against a fleet that outlives its launcher."""
    description = json.loads(run.stdout.readline())
    assert_that(len(description["instances"]), Equals(3))
    children = pathlib.Path(f"/proc/{run.pid}/task/{run.pid}/children").read_text()
    pids = [int(pid) for pid in children.split()]
    assert_that(len(pids), Equals(5))
    run.send_signal(number)
    code = run.wait(30)
    # A launcher that is killed cannot remove its files.
    shutil.rmtree(pathlib.Path(description["config"]).parent, ignore_errors=True)
    assert_that(code, Equals(0 if number != signal.SIGKILL else -number))
    assert_that(wait_until_dead(pids), Equals([]))


def test_signal_during_the_start_ends_all_processes(run):
    """Guards against processes of a fleet that was not complete yet."""
    children = pathlib.Path(f"/proc/{run.pid}/task/{run.pid}/children")
    deadline = time.monotonic() + 10
    while not children.read_text() and time.monotonic() < deadline:
        time.sleep(0.01)
    pids = [int(pid) for pid in children.read_text().split()]
    run.send_signal(signal.SIGTERM)
    assert_that(run.wait(30), Equals(0))
    assert_that(wait_until_dead(pids), Equals([]))


def test_process_that_ignores_sigterm_is_killed(tmp_path):
    """Guards against a stop that waits for a hung instance."""
    children = Children(tmp_path)
    script = "import signal, time; signal.signal(15, signal.SIG_IGN); print(1);"
    script += "time.sleep(60)"
    child = children.start("stubborn", [sys.executable, "-u", "-c", script], True)
    child.read_ready_line()
    started = time.monotonic()
    children.stop([child], grace_s=0.3)
    assert_that(time.monotonic() - started, LessThan(5.0))
    assert_that(child.process.returncode, Equals(-signal.SIGKILL))


def test_child_that_ended_is_reported_once(tmp_path):
    """Guards against a fleet that shrinks without notice."""
    children = Children(tmp_path)
    child = children.start("short", [sys.executable, "-c", "import sys; sys.exit(3)"])
    child.process.wait(10)
    assert_that(children.ended_unexpectedly(), Equals([child]))
    assert_that(children.ended_unexpectedly(), Equals([]))


def test_free_ports_differ():
    """Guards against two processes that are told the same port."""
    ports = free_ports(80)
    assert_that(len(set(ports)), Equals(80))


def test_deployment_is_the_one_of_the_design():
    """Guards against a sample that no longer has the sizes it is to show."""
    deployment = Deployment(6, 2.0)
    counts = {name: plan.targets for name, plan in SERVICES.items()}
    assert_that(counts, Equals({"catalogo": 9, "cassa": 15, "archivio": 6}))
    assert_that(len(WORKSPACES), Equals(8))
    text = json.dumps(deployment.base())
    for name, key in deployment.keys.items():
        assert_that(text, Contains(digest(key)))
        assert_that(key in text, Equals(False), name)


def test_withdrawn_key_is_not_in_the_base_file():
    """Guards against a withdrawal that changes nothing."""
    deployment = Deployment(6, 2.0)
    key = deployment.extra_keys["arena"]
    text = json.dumps(deployment.base(withdrawn=frozenset({key})))
    assert_that(digest(key) in text, Equals(False))
    assert_that(text, Contains(digest(deployment.keys["arena"])))


def test_command_line_runs_six_instances_by_default():
    """Guards against a demo that is smaller than what it is to show."""
    assert_that(parse_options(["demo"]).instances, Equals(6))
    assert_that(parse_options(["run", "--instances", "9"]).instances, Equals(9))


def test_bare_instance_lists_instances_that_start_after_it(tmp_path):
    """Guards against a stand-in that never lists others when it starts first."""
    port, other_port = free_ports(2)
    settings = tmp_path / "a-1.jsonc"

    def write(path, port):
        address = f"127.0.0.1:{port}"
        path.write_text(json.dumps({"caller_address": address, "data_centre": "a"}))

    def listed():
        with contextlib.suppress(OSError):
            url = f"http://127.0.0.1:{port}/.lacewinglift/addresses"
            with urllib.request.urlopen(url, timeout=2.0) as reply:
                return {each["address"] for each in json.load(reply)["addresses"]}
        return set()

    write(settings, port)
    command = python_command("testing.standins.bare_instance", "--settings", settings)
    with subprocess.Popen([str(word) for word in command]) as process:
        try:
            assert wait_until(lambda: listed() == {f"127.0.0.1:{port}"}, 10.0)
            write(tmp_path / "b-1.jsonc", other_port)
            expected = {f"127.0.0.1:{port}", f"127.0.0.1:{other_port}"}
            assert_that(listed(), Equals(expected))
        finally:
            process.kill()
