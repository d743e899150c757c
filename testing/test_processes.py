"""Faults of real instance processes: killed, paused and resumed, restarted."""

import http.client
import itertools
import random
import signal
import subprocess
import threading
import time

import pytest
import urllib3
from attrs import frozen
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from testing.fleet.deployment import KEY_HEADER
from testing.fleet.launcher import Fleet, FleetOptions
from testing.fleet.processes import child_environment
from testing.standins.control import call_control

PROPAGATION_BOUND_S = 9.0
LIMITED_WORKSPACE = "navigli"
RATE_PER_S = 50.0
BURST = 50
CALLERS = 24
CALL_TIMEOUT_S = 12.0


@frozen
class SentRequest:
    """One request and its result, with times of the caller's clock."""

    request_id: str
    began_s: float
    ended_s: float
    status: int
    """0 if no complete response arrived."""
    verdict: str


@pytest.fixture
def fleet():
    with Fleet(FleetOptions(instances=6)) as fleet:
        yield fleet


def send(pool, address, method, path, key):
    request_id = f"{method}-{random.getrandbits(64):016x}"
    headers = {KEY_HEADER: f"Bearer {key}", "X-Request-Id": request_id}
    began_s = time.monotonic()
    status, verdict = 0, "unknown"
    try:
        reply = pool.request(method, f"http://{address}{path}", headers=headers)
        status = reply.status
        if reply.headers.get("Content-Type") == "application/json":
            verdict = reply.json().get("verdict", "answered")
    except urllib3.exceptions.HTTPError:
        pass
    return SentRequest(request_id, began_s, time.monotonic(), status, verdict)


def open_request(address, key):
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    connection.request("GET", "/catalogo", headers={KEY_HEADER: f"Bearer {key}"})
    return connection


class Callers:
    """Threads that each send sequential requests to the instances in turn."""

    def __init__(self, fleet, method, paths, workspace, pause_s, timeout_s):
        self.fleet = fleet
        self.method = method
        self.paths = paths
        self.key = fleet.deployment.keys[workspace]
        self.pause_s = pause_s
        self.timeout_s = timeout_s
        self.sent = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join(CALL_TIMEOUT_S + 1.0)

    def run(self, number):
        pool = urllib3.PoolManager(retries=False, timeout=self.timeout_s)
        addresses = [each.address for each in self.fleet.instances]
        addresses = addresses[number % 6 :] + addresses[: number % 6]
        paths = itertools.cycle(self.paths)
        for address in itertools.cycle(addresses):
            if self.stopping.wait(self.pause_s):
                return
            sent = send(pool, address, self.method, next(paths), self.key)
            self.sent.append(sent)


def largest_excess(answered, rate_per_s, burst):
    """Return the largest excess of any time window over rate x t + burst.

    A request is counted in a window only if it began and ended in it, so network
    and scheduling delays cannot cause a false excess.
    """
    by_end = sorted(answered, key=lambda each: each.ended_s)
    excess = float("-inf")
    for first in answered:
        count = 0
        for each in by_end:
            if each.began_s >= first.began_s:
                count += 1
                allowed = rate_per_s * (each.ended_s - first.began_s) + burst
                excess = max(excess, count - allowed)
    return excess


def executions(fleet):
    total = {}
    for control in set(fleet.target_controls.values()):
        for request_id, count in call_control(control, "executions").items():
            total[request_id] = total.get(request_id, 0) + count
    return total


def signal_child(instance, number):
    instance.child.process.send_signal(number)


def test_quota_holds_while_instances_are_paused_killed_and_restarted(fleet):
    """Guards against an instance that uses a share after it was granted to others."""
    paused, killed, left = fleet.instances[1:4]
    with Callers(fleet, "GET", ("/catalogo",), LIMITED_WORKSPACE, 0.05, 1.0) as callers:
        time.sleep(3.0)
        signal_child(paused, signal.SIGSTOP)
        time.sleep(14.0)
        signal_child(paused, signal.SIGCONT)
        signal_child(killed, signal.SIGKILL)
        killed.child.process.wait()
        fleet.restart(killed)
        time.sleep(3.0)
        signal_child(left, signal.SIGTERM)
        time.sleep(8.0)
    answered = [each for each in callers.sent if each.status == 200]
    assert largest_excess(answered, RATE_PER_S, BURST) <= 0
    seconds = answered[-1].ended_s - answered[0].began_s
    # The callers request several times the rate and give up on an instance that does
    # not respond within a second. The fleet must serve more than half the rate.
    assert_that(len(answered), GreaterThan(0.5 * RATE_PER_S * seconds))


def test_sales_run_at_most_once_and_refusals_are_true(fleet):
    """Guards against a sale that runs twice, and a not_run verdict for one that ran."""
    cassa = [name for name in fleet.targets if name.startswith("cassa")]
    faults = (
        {"hang": True},
        {"accept_silent": True},
        {"shed": True},
        {"reset_fraction": 0.5},
        {"error_fraction": 0.3},
        {"delay_ms": 4000.0},
    )
    paths = ("/cassa", "/cassa?size=200000&cut_after=90000")
    with Callers(fleet, "POST", paths, "arena", 0.1, CALL_TIMEOUT_S) as callers:
        time.sleep(1.0)
        for target, fault in zip(cassa, faults, strict=False):
            fleet.control_target("set", target=target, **fault)
        time.sleep(4.0)
        signal_child(fleet.instances[2], signal.SIGKILL)
        time.sleep(4.0)
    ran = executions(fleet)
    assert_that({n: c for n, c in ran.items() if c > 1}, Equals({}))
    untrue = [
        each
        for each in callers.sent
        if each.verdict == "not_run" and ran.get(each.request_id, 0)
    ]
    assert_that(untrue, Equals([]))
    lost = [
        each
        for each in callers.sent
        if each.status == 200 and ran.get(each.request_id, 0) != 1
    ]
    assert_that(lost, Equals([]))
    assert_that(len([e for e in callers.sent if e.status == 200]), GreaterThan(100))


def test_paused_instance_never_serves_a_key_withdrawn_meanwhile(fleet):
    """Guards against a resumed process that serves with its old configuration."""
    paused = fleet.instances[4]
    key = fleet.deployment.extra_keys["arena"]
    pool = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
    assert_that(send(pool, paused.address, "GET", "/catalogo", key).status, Equals(200))
    signal_child(paused, signal.SIGSTOP)
    withdrawn = fleet.deployment.base(withdrawn=frozenset({key}))
    fleet.configuration.write_base(withdrawn)
    started_s = time.monotonic()
    publication = subprocess.Popen(
        fleet.publish_arguments(),
        env=child_environment(),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    others = [each for each in fleet.instances if each is not paused]
    while not all(
        send(pool, each.address, "GET", "/catalogo", key).status == 401
        for each in others
    ):
        assert time.monotonic() - started_s < PROPAGATION_BOUND_S
    fleet.control_store("outage")
    publication.wait(60.0)
    waiting = [open_request(paused.address, key) for _ in range(10)]
    # Before this time, evidence that it received before the pause may still be valid.
    time.sleep(max(started_s + PROPAGATION_BOUND_S - time.monotonic(), 0.0))
    signal_child(paused, signal.SIGCONT)
    # Requests queued during the pause are read before any heartbeat of a peer.
    for connection in waiting:
        reply = connection.getresponse()
        assert reply.status in (401, 503), reply.status
        connection.close()
    until_s = time.monotonic() + 6.0
    statuses = set()
    while time.monotonic() < until_s:
        statuses.add(send(pool, paused.address, "GET", "/catalogo", key).status)
    assert 200 not in statuses, statuses
    # The instance has received the configuration from its peers, without the store.
    assert_that(send(pool, paused.address, "GET", "/catalogo", key).status, Equals(401))
