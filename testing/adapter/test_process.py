"""The real program of the users' machines, before stand-ins of their platform."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan

from testing.standins.platform_store import PlatformStore
from testing.standins.request_half import wait_until
from testing.standins.scripted_targets import ScriptedTarget, answer, serve_answers

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# One loopback address a machine, since each listens on the same ports.
HOSTS = ("127.0.3.1", "127.0.3.2", "127.0.3.3")
PORTS = {"frontend": 18388, "ready": 18384, "control": 18381, "directory": 18383}
START_TIMEOUT_S = 20.0


def serve(received):
    """Answer as a target that knows whose request it is."""
    ids = [f"Request-Id: {value}" for value in received.values("request-id")]
    return answer(200, b"sold", "Server-Signature: s", *ids)


class Machines:
    """Processes on loopback addresses, with the store that they share."""

    def __init__(self, folder):
        self.folder = folder
        self.store = PlatformStore()
        self.target = ScriptedTarget(serve_answers(serve))
        self.processes = {}
        self.store_addresses = dict.fromkeys(HOSTS, self.store.address)
        self.put_configuration(1)
        self.put_target("i-1")

    def put_configuration(self, version, **route):
        specification = {
            "host": "shop.example",
            "prefix": "/sales/",
            "kind": "unsafe",
            "timeout_ms": 4000,
            "service": "tills",
            "attempts": 2,
            **route,
        }
        resources = [
            {
                "resource_kind": "routes",
                "metadata": {"name": "r"},
                "specification": specification,
            },
            {
                "resource_kind": "tenants",
                "metadata": {"name": "house"},
                "specification": {"api_keys": ["key-1"], "rate_per_s": 100},
            },
        ]
        fields = {"version": f"r{version}", "resources": resources}
        self.store.put("op/config", fields)

    def put_target(self, name, state="ready", sequence=1):
        info = {"service": "tills", "version": "v1", "zone": "milano", "slots": 4}
        status = {"state": state, "sequence": sequence, "warmup_remaining_ms": 0}
        entry = {
            "address": self.target.address,
            "born": 1,
            "server_info": info,
            "status": status,
        }
        self.store.put(f"servers/{name}", entry)

    def start(self, host):
        path = self.folder / f"{host}.json"
        fields = {
            "node": f"frontend-{host}",
            "ip_address": host,
            "zone": "milano",
            "listen_addresses": {k: f"{host}:{v}" for k, v in PORTS.items()},
            "internal_port_range": [17560, 17575],
            "seeds": [f"{HOSTS[0]}:{PORTS['control']}"],
            "bounds": ["grace_s=6", "budget_ratio=0.2", "budget_slack=20"],
            "platform": {"address": self.store_addresses[host]},
        }
        path.write_text(json.dumps(fields))
        log = open(self.folder / f"{host}.log", "ab")  # noqa: SIM115
        self.processes[host] = subprocess.Popen(
            [sys.executable, "platform/serve.py"],
            cwd=ROOT,
            env={**os.environ, "LACEWINGLIFT_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )

    def start_all(self):
        for host in HOSTS:
            self.start(host)
        for host in HOSTS:
            self.wait_ready(host)

    def wait_ready(self, host):
        assert wait_until(lambda: self.is_ready(host), START_TIMEOUT_S)

    def is_ready(self, host):
        with contextlib.suppress(OSError):
            return self.get(host, "ready", "/readiness")[0] == 200
        return False

    def get(self, host, port, path, method="GET", **headers):
        connection = http.client.HTTPConnection(host, PORTS[port], timeout=5)
        try:
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            return response.status, response.read(), response.headers
        finally:
            connection.close()

    def sell(self, host, request_id="r-1", key="key-1", path="/sales/1"):
        headers = {
            "Host": "shop.example",
            "Request-Id": request_id,
            "Request-Deadline": "3000",
            "Authorization": f"Bearer {key}",
        }
        return self.get(host, "frontend", path, "POST", **headers)

    def directory(self, host):
        path = "/resolution?name=shop.example&region=nord&zone=milano"
        status, body, _ = self.get(host, "directory", path)
        return json.loads(body) if status == 200 else {}

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.target.close()
        self.store.close()


@pytest.fixture
def machines(tmp_path):
    machines = Machines(tmp_path)
    yield machines
    machines.close()


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
    refusing = PlatformStore(status=503)
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
