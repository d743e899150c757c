"""The real program of the users' machines, before stand-ins of their platform."""

import contextlib
import signal
import socket
import time

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan

from testing.adapter.machines import HOSTS, PORTS
from testing.standins.platform_store import PlatformStoreStandIn
from testing.standins.proxy_harness import wait_until


def test_request_is_translated_for_callers_and_targets(machines):
    """Guards against a wire name that is not translated on its way."""
    machines.start_all()
    status, body, headers = machines.sell(HOSTS[1], "r-7")
    assert_that((status, body), Equals((200, b"sold")))
    assert_that(headers["Server-Signature"], Equals("s"))
    received = machines.target.received[0]
    assert_that(received.values("tenant"), Equals(["house"]))
    assert_that(received.values("request-id"), Equals(["r-7"]))
    assert_that(received.values("expected-instance"), Equals(["i-1"]))
    assert_that(received.values("authorization"), HasLength(0))
    assert_that(int(received.values("request-deadline")[0]), LessThan(3001))
    assert_that(machines.sell(HOSTS[0], key="wrong")[0], Equals(401))
    assert_that(machines.sell(HOSTS[0], path="/other/")[0], Equals(404))
    everyone = {f"{host}:{PORTS['frontend']}" for host in HOSTS}
    # Within the time for which an answer may be used, all machines are in it.
    assert wait_until(
        lambda: set(machines.directory(HOSTS[2])["addresses"]) == everyone, 3.0
    )
    assert_that(machines.directory(HOSTS[2])["ttl_s"], LessThan(5.1))


def test_changes_of_the_store_reach_all_machines_in_time(machines):
    """Guards against a version or a leaving target that is noticed after 2 s."""
    machines.start_all()
    machines.put_configuration(2, prefix="/new/")
    machines.put_target("i-2")
    machines.put_target("i-1", "draining", sequence=2)
    time.sleep(1.5)
    for host in HOSTS:
        assert_that(machines.sell(host, path="/sales/1")[0], Equals(404))
        assert_that(machines.sell(host, path="/new/1")[0], Equals(200))
    expected = {
        value
        for received in machines.target.received
        for value in received.values("expected-instance")
    }
    assert_that(expected, Equals({"i-2"}))


def test_machine_that_the_store_turns_away_learns_from_others(machines):
    """Guards against a cut-off machine that serves an old version for long."""
    refusing = PlatformStoreStandIn(status=503)
    machines.store_addresses[HOSTS[2]] = refusing.address
    machines.start_all()
    machines.put_configuration(2, prefix="/new/")
    time.sleep(1.5)
    assert_that(machines.sell(HOSTS[2], path="/new/1")[0], Equals(200))
    refusing.close()


def test_fleet_serves_while_the_store_is_away(machines):
    """Guards against requests that wait for, or fail with, the store."""
    machines.start_all()
    machines.store.status = 503
    machines.store.forget_history()
    time.sleep(1.0)
    for host in HOSTS:
        assert_that(machines.sell(host)[0], Equals(200))
    # A machine that restarts meanwhile learns all from the others.
    machines.processes[HOSTS[2]].kill()
    machines.processes[HOSTS[2]].wait()
    machines.start(HOSTS[2])
    machines.wait_ready(HOSTS[2])
    assert_that(machines.sell(HOSTS[2])[0], Equals(200))


def test_all_machines_come_back_after_a_kill(machines):
    """Guards against a fleet that needs what it held in memory."""
    machines.start_all()
    for host in HOSTS:
        machines.processes[host].send_signal(signal.SIGKILL)
        machines.processes[host].wait()
    machines.start_all()
    for host in HOSTS:
        assert_that(machines.sell(host)[0], Equals(200))


def test_stop_answers_what_is_under_way_within_the_grace_period(machines):
    """Guards against requests that are cut by a planned stop."""
    machines.start_all()
    process = machines.processes[HOSTS[0]]
    stopped_s = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert wait_until(lambda: not machines.is_ready(HOSTS[0]), 2.0)
    status, _, headers = machines.sell(HOSTS[0])
    assert_that(status, Equals(200))
    assert_that(headers["Connection"], Equals("close"))
    left = f"{HOSTS[0]}:{PORTS['frontend']}"
    assert wait_until(
        lambda: left not in machines.directory(HOSTS[1]).get("addresses", []), 2.0
    )
    with contextlib.closing(socket.create_connection((HOSTS[0], 18388))) as idle:
        idle.settimeout(5.0)
        assert_that(idle.recv(1), Equals(b""))
        # No request is taken so late that the end of the process would cut it.
        assert_that(time.monotonic() - stopped_s, LessThan(3.5))
    assert_that(process.wait(6.0), Equals(0))
    log = (machines.folder / f"{HOSTS[0]}.log").read_text()
    assert_that(log, Contains("event=stop_ends"))
