"""Hedged requests at targets on loopback addresses."""

import threading
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from lacewinglift.hedging.hedger import Hedger
from lacewinglift.outcomes import OutcomeKind
from lacewinglift.timers import ThreadTimers
from testing.standins.proxy_harness import (
    call,
    request_bytes,
    running_proxy,
    wait_until,
)
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    read_head,
    serve_bytes,
    serve_with_gate,
)
from testing.test_forwarder import hang

SOLD = serve_bytes(make_response(200, b"sold"))
DELAY_S = 0.1


@pytest.fixture
def hedger():
    timers = ThreadTimers()
    hedger = Hedger(timers, 5.0)
    for _ in range(60):
        hedger.record_request("cassa")
        hedger.record_latency("cassa", DELAY_S)
    yield hedger
    timers.stop()


@pytest.fixture
def run(hedger):
    """Return a function that runs a proxy in front of targets with scripts."""
    opened = []

    def start(*scripts, **fields):
        targets = [ScriptedTarget(script) for script in scripts]
        proxy = running_proxy([t.address for t in targets], hedger=hedger, **fields)
        opened.append((proxy, targets))
        return proxy.__enter__(), targets

    yield start
    for proxy, targets in opened:
        proxy.__exit__(None, None, None)
        for target in targets:
            target.close()


def results(hedger):
    return {result: count for (_, result), count in hedger.counts.items()}


def close_after_head(target, sock, stream):
    read_head(stream)
    time.sleep(2 * DELAY_S)


def test_second_target_answers_for_a_late_one(run, hedger):
    """Guards against a loser that keeps its connection or counts as faulty."""
    proxy, (slow, _) = run(hang, SOLD)
    started_s = time.monotonic()
    assert_that(call(proxy, path="/read"), Contains(b"sold"))
    assert_that(time.monotonic() - started_s, LessThan(1.0))
    assert wait_until(lambda: slow.closed_at is not None, 1.0)
    kinds = dict((name, each.kind) for name, each in proxy.selector.outcomes)
    assert_that(kinds["t0"], Equals(OutcomeKind.CANCELLED))
    assert_that(kinds["t1"], Equals(OutcomeKind.SUCCESS))
    assert_that(results(hedger), Equals({"sent": 1, "won": 1}))


def test_first_target_that_answers_after_all_is_used(run, hedger):
    """Guards against a hedge that is waited for although the first one responds."""
    gate = threading.Event()
    threading.Timer(3 * DELAY_S, gate.set).start()
    proxy, (_, second) = run(serve_with_gate(gate, make_response(200, b"first")), hang)
    assert_that(call(proxy, path="/read/slow"), Contains(b"first"))
    assert wait_until(lambda: second.closed_at is not None, 1.0)
    assert_that(results(hedger), Equals({"sent": 1, "lost": 1}))


@pytest.mark.parametrize("first", [close_after_head, hang])
@pytest.mark.parametrize("fails", [True, False])
def test_other_target_answers_if_one_of_both_fails(run, hedger, first, fails):
    """Guards against a request that is given up while another target works on it."""
    gate = threading.Event()
    threading.Timer(4 * DELAY_S, gate.set).start()
    late = serve_with_gate(gate, make_response(200, b"late"))
    failing = serve_bytes(make_response(500, b"no"))
    scripts = (late, failing) if fails else (first, SOLD)
    proxy, _ = run(*scripts)
    expected = b"late" if fails else b"sold"
    assert_that(call(proxy, path="/read/slow"), Contains(expected))
    assert_that(results(hedger)["failed" if fails else "won"], Equals(1))


@pytest.mark.parametrize(("method", "path"), [("GET", "/cassa"), ("POST", "/cassa")])
def test_requests_of_other_routes_are_not_hedged(run, hedger, method, path):
    """Guards against an unsafe request that runs twice."""
    proxy, (_, second) = run(hang, SOLD, request_timeout_s=0.5)
    call(proxy, method, path)
    assert_that(second.received, Equals([]))
    assert_that(results(hedger), Equals({}))


def test_retry_after_a_failed_hedge_is_no_hedge(run, hedger):
    """Guards against counting the answer of a third target for the hedge."""
    failing = serve_bytes(make_response(500, b"no"))
    proxy, _ = run(close_after_head, failing, SOLD)
    assert_that(call(proxy, path="/read"), Contains(b"sold"))
    assert_that(results(hedger), Equals({"sent": 1, "failed": 1}))


def test_nothing_is_hedged_without_a_limit(run, hedger):
    """Guards against hedges that no operator has asked for."""
    hedger.limit_percent = None
    proxy, (_, second) = run(hang, SOLD, request_timeout_s=0.5)
    call(proxy, path="/read")
    assert_that(second.received, Equals([]))
    assert_that(results(hedger), Equals({}))


def test_caller_that_leaves_cancels_both_attempts(run, hedger):
    """Guards against attempts that keep the slots of two targets for nobody."""
    proxy, (first, second) = run(hang, hang)
    with proxy.connect() as sock:
        sock.sendall(request_bytes(path="/read"))
        assert wait_until(lambda: second.received, 2.0)
    assert wait_until(lambda: first.closed_at and second.closed_at, 1.0)
    assert_that(proxy.selector.kinds(), Equals([OutcomeKind.CANCELLED] * 2))
    assert wait_until(lambda: "cancelled" in results(hedger), 1.0)


def test_both_targets_that_hang_end_at_the_deadline(run, hedger):
    """Guards against a second wait of the whole timeout for the other target."""
    proxy, _ = run(hang, hang, request_timeout_s=0.5)
    started_s = time.monotonic()
    assert_that(call(proxy, path="/read"), Contains(b"target_timeout"))
    assert_that(time.monotonic() - started_s, LessThan(1.5))
    assert_that(results(hedger), Equals({"sent": 1, "failed": 1}))
