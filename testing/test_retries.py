import json
import time

import pytest
from attrs import evolve
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.retries import (
    RETRY_TOKENS_MAX,
    RETRY_TOKENS_PER_REQUEST,
    RETRY_TOKENS_PER_S,
    RetryBudget,
)
from lacewinglift.timers import ManualTimers
from testing.standins.proxy_harness import call, running_proxy
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    read_body,
    read_head,
    reset_connection,
)

REFUSING_ADDRESS = "127.0.0.1:1"
SHED_RESPONSE = make_response(503, b"", "X-Lacewinglift-Not-Run: 1")


class UnreliableTarget:
    """Executes requests, or fails with the fault that is set for the next request."""

    def __init__(self):
        self.fault = "none"
        self.executed = []
        self.target = ScriptedTarget(self.serve)

    def serve(self, target, sock, stream):
        while True:
            stream.peek(1)
            fault = self.fault
            if fault == "cut_before_reading":
                return reset_connection(sock, stream)
            received = read_head(stream)
            if received is None or fault == "cut_in_body":
                return reset_connection(sock, stream)
            read_body(stream, received)
            if fault == "shed":
                sock.sendall(SHED_RESPONSE)
                continue
            self.executed.append(received.values("x-id")[0])
            if fault == "cut_after_run":
                return reset_connection(sock, stream)
            if fault == "half_head":
                sock.sendall(b"HTTP/1.1 200 O")
                return reset_connection(sock, stream)
            if fault == "hang":
                return target.wait_until_closed(sock)
            status = 500 if fault == "error" else 200
            sock.sendall(make_response(status, b"done", "X-Ran: 1"))


FAULTS = st.sampled_from(
    [
        "none",
        "refuse",
        "cut_before_reading",
        "cut_in_body",
        "shed",
        "cut_after_run",
        "half_head",
        "hang",
        "error",
    ]
)
REQUEST = st.tuples(
    st.sampled_from(["POST", "PUT", "GET", "PATCH"]),
    st.tuples(FAULTS, FAULTS, FAULTS),
    st.sampled_from([b"", b"sale", b"s" * 100_000]),
)


@pytest.fixture(scope="module")
def unreliable():
    targets = [UnreliableTarget() for _ in range(3)]
    addresses = [each.target.address for each in targets]
    with running_proxy(addresses, request_timeout_s=0.1) as proxy:
        yield proxy, targets
    for each in targets:
        each.target.close()


@settings(
    max_examples=100,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.lists(REQUEST, min_size=1, max_size=4))
def test_requests_run_at_most_once_and_not_run_is_true(unreliable, requests):
    """Guards against a request that runs twice, or runs despite verdict `not_run`."""
    proxy, targets = unreliable
    for number, (method, faults, body) in enumerate(requests):
        proxy.components.forwarder.retry_budgets.clear()
        for index, (each, fault) in enumerate(zip(targets, faults, strict=True)):
            each.fault = fault
            each.executed.clear()
            address = REFUSING_ADDRESS if fault == "refuse" else each.target.address
            old = proxy.selector.targets[index]
            proxy.selector.targets[index] = evolve(old, address=address)
        name = f"{time.monotonic()}-{number}"
        reply = call(proxy, method, "/cassa", f"X-Id: {name}", body=body)
        runs = sum(each.executed.count(name) for each in targets)
        head, _, text = reply.partition(b"\r\n\r\n")
        if method in ("POST", "PATCH"):
            assert runs <= 1, (method, faults, runs)
        if b"X-Lacewinglift-Refusal" not in head:
            assert b"X-Ran: 1" in head and runs >= 1
        elif json.loads(text)["verdict"] == "not_run":
            assert_that(runs, Equals(0), str((method, faults)))


STEP = st.tuples(
    st.sampled_from(["ask", "ask", "request"]),
    st.sampled_from([0.0, 0.0, 0.01, 0.5, 20.0]),
)


@given(st.lists(STEP, min_size=20, max_size=60))
def test_budget_bounds_retries(steps):
    """Guards against retries that multiply the load on a failing service."""
    timers = ManualTimers()
    budget = RetryBudget(timers)
    started_s, granted, requests = timers.now(), 0, 0
    for kind, pause_s in steps:
        timers.advance(pause_s)
        if kind == "request":
            budget.record_request()
            requests += 1
        else:
            granted += budget.try_acquire()
        elapsed_s = timers.now() - started_s
        allowed = RETRY_TOKENS_MAX + RETRY_TOKENS_PER_S * elapsed_s
        assert granted <= allowed + RETRY_TOKENS_PER_REQUEST * requests + 1e-6
