"""Runs the adapter's real processes against stand-ins of the platform."""

import contextlib
import signal
import socket
import time

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan

from testing.adapter.platform_fleet import HOSTS, PORTS, PlatformFleet
from testing.standins.platform_store import PlatformStoreStandIn
from testing.standins.proxy_harness import wait_until

MAX_THREADS_AT_REST = 20


def test_request_is_translated_for_callers_and_targets(fleet):
    """Guards against a header that is not translated between caller and target."""
    fleet.start_all()
    status, body, headers = fleet.send_request(HOSTS[1], "r-7")
    assert_that((status, body), Equals((200, b"sold")))
    assert_that(headers["Server-Signature"], Equals("s"))
    received = fleet.target.received[0]
    assert_that(received.values("tenant"), Equals(["house"]))
    assert_that(received.values("request-id"), Equals(["r-7"]))
    assert_that(received.values("expected-instance"), Equals(["i-1"]))
    assert_that(received.values("authorization"), HasLength(0))
    assert_that(int(received.values("request-deadline")[0]), LessThan(3001))
    assert_that(fleet.send_request(HOSTS[0], key="wrong")[0], Equals(401))
    assert_that(fleet.send_request(HOSTS[0], path="/other/")[0], Equals(404))
    all_addresses = {f"{host}:{PORTS['frontend']}" for host in HOSTS}
    # The directory lists all instances within the lifetime of one response.
    assert wait_until(
        lambda: set(fleet.resolve(HOSTS[2])["addresses"]) == all_addresses, 3.0
    )
    assert_that(fleet.resolve(HOSTS[2])["ttl_s"], LessThan(5.1))


def test_store_changes_reach_all_instances_within_the_limit(fleet):
    """Guards against a new version or a leaving target applied later than 2 s."""
    fleet.start_all()
    fleet.put_configuration(2, prefix="/new/")
    fleet.put_target("i-2")
    fleet.put_target("i-1", "draining", sequence=2)
    time.sleep(1.5)
    for host in HOSTS:
        assert_that(fleet.send_request(host, path="/sales/1")[0], Equals(404))
        assert_that(fleet.send_request(host, path="/new/1")[0], Equals(200))
    expected = {
        value
        for received in fleet.target.received
        for value in received.values("expected-instance")
    }
    assert_that(expected, Equals({"i-2"}))


def test_machine_that_the_store_turns_away_learns_from_others(fleet):
    """Guards against an instance without store access that keeps an old version."""
    refusing = PlatformStoreStandIn(forced_status=503)
    fleet.store_addresses[HOSTS[2]] = refusing.address
    fleet.start_all()
    fleet.put_configuration(2, prefix="/new/")
    time.sleep(1.5)
    assert_that(fleet.send_request(HOSTS[2], path="/new/1")[0], Equals(200))
    refusing.close()


def test_fleet_serves_while_the_store_is_unavailable(fleet):
    """Guards against requests that wait for the store or fail when it is down."""
    fleet.start_all()
    fleet.store.forced_status = 503
    fleet.store.forget_history()
    time.sleep(1.0)
    for host in HOSTS:
        assert_that(fleet.send_request(host)[0], Equals(200))
    # An instance that restarts meanwhile gets its whole state from the others.
    fleet.processes[HOSTS[2]].kill()
    fleet.processes[HOSTS[2]].wait()
    fleet.start(HOSTS[2])
    fleet.wait_ready(HOSTS[2])
    assert_that(fleet.send_request(HOSTS[2])[0], Equals(200))


def test_instance_at_rest_has_few_threads(fleet):
    """Guards against a large fleet that does not fit on one machine, or in its bench.

    Threads for callers are started by requests, and end again.
    """
    fleet.start_all()
    for host in HOSTS:
        assert_that(fleet.count_threads(host), LessThan(MAX_THREADS_AT_REST + 1))


def test_all_instances_restart_after_a_kill(fleet):
    """Guards against a fleet that cannot restart without its in-memory state."""
    fleet.start_all()
    for host in HOSTS:
        fleet.processes[host].send_signal(signal.SIGKILL)
        fleet.processes[host].wait()
    fleet.start_all()
    for host in HOSTS:
        assert_that(fleet.send_request(host)[0], Equals(200))


def test_stop_completes_requests_in_progress_within_the_grace_period(fleet):
    """Guards against requests that are cut by a planned stop."""
    fleet.start_all()
    process = fleet.processes[HOSTS[0]]
    stopped_s = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert wait_until(lambda: not fleet.is_ready(HOSTS[0]), 2.0)
    status, _, headers = fleet.send_request(HOSTS[0])
    assert_that(status, Equals(200))
    assert_that(headers["Connection"], Equals("close"))
    stopped_address = f"{HOSTS[0]}:{PORTS['frontend']}"
    assert wait_until(
        lambda: stopped_address not in fleet.resolve(HOSTS[1]).get("addresses", []), 2.0
    )
    with contextlib.closing(socket.create_connection((HOSTS[0], 18388))) as idle:
        idle.settimeout(5.0)
        assert_that(idle.recv(1), Equals(b""))
        # No request is accepted so late that the end of the process would cut it.
        assert_that(time.monotonic() - stopped_s, LessThan(3.5))
    assert_that(process.wait(6.0), Equals(0))
    log = (fleet.folder / f"{HOSTS[0]}.log").read_text()
    assert_that(log, Contains("event=stop_ends"))


def run_script(tmp_path, script):
    """Run Python code in place of the entry point; return exit code and log."""
    fleet = PlatformFleet(tmp_path)
    try:
        process = fleet.start(HOSTS[0], "-c", script)
        return process.wait(20), fleet.read_log(HOSTS[0])
    finally:
        fleet.close()


def test_signal_to_stop_during_the_start_stops_gracefully(tmp_path):
    """Guards against a SIGTERM after readiness that ends the process at once.

    The platform may stop a process as soon as it is ready; its default action would
    end it without a word to the other instances, and cut its requests.
    """
    script = (
        "import os, signal, sys; sys.path.insert(0, 'platform');"
        "from adapter import process, endpoints;"
        "start = endpoints.PlatformEndpoints.start;"
        "endpoints.PlatformEndpoints.start = lambda self: ("
        "start(self), os.kill(os.getpid(), signal.SIGTERM));"
        "sys.exit(process.main())"
    )
    code, log = run_script(tmp_path, script)
    assert_that(code, Equals(0))
    assert_that(log, Contains("event=instance_stopped"))


def test_changed_settings_do_not_end_a_process_that_starts(tmp_path):
    """Guards against a SIGHUP that comes before the process has set its handlers."""
    script = (
        "import os, runpy, signal, sys, types;"
        "process = types.ModuleType('adapter.process');"
        "process.main = lambda: os.kill(os.getpid(), signal.SIGHUP);"
        "sys.modules['adapter'] = types.ModuleType('adapter');"
        "sys.modules['adapter.process'] = process;"
        "runpy.run_path('platform/serve.py', run_name='__main__')"
    )
    code, _ = run_script(tmp_path, script)
    assert_that(code, Equals(0))
