"""Requests with a non-default dialect, on routes with an idempotent setting."""

import contextlib
import time

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Contains, EndsWith, Equals, GreaterThan, LessThan, Not

from lacewinglift.configuration import Route, Target
from lacewinglift.dialects import Dialect
from testing.standins.proxy_harness import call, running_proxy
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    read_body,
    read_head,
    serve_bytes,
    serve_responses,
)

DIALECT = Dialect(
    timeout_header="deadline",
    deadline_header="Deadline",
    workspace_header="Tenant",
    not_run_header="not-run",
    request_id_header="request-id",
    expected_target_header="Expected-Target",
    serves_builtin_paths=False,
    not_run_status=503,
    fractional_retry_after=True,
)
ID = "Request-Id: r-1"
SOLD = serve_bytes(make_response(200, b"sold", ID))
FAILED = serve_bytes(make_response(500, b"failed", ID))
FULL = serve_bytes(make_response(503, b"", "Not-Run: 1"))
WRONG = serve_bytes(make_response(421))


def send_truncated_body(target, sock, stream):
    """Send a response with a part of its body and close the connection."""
    read_body(stream, received := read_head(stream))
    target.received.append(received)
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")


def hang(target, sock, stream):
    """Read the request and never respond."""
    target.received.append(read_head(stream))
    target.wait_until_closed(sock)


@contextlib.contextmanager
def proxy_with_targets(*scripts, **route):
    targets = [ScriptedTarget(script) for script in scripts]
    addresses = [target.address for target in targets]
    try:
        with running_proxy(addresses, dialect=DIALECT) as proxy:
            proxy.publish(routes=(Route("/cassa", "cassa", **route),))
            yield proxy, *targets
    finally:
        for target in targets:
            target.close()


def status(reply):
    return int(reply[9:12])


def test_dialect_headers_are_used_and_cannot_be_forged():
    """Guards against a caller that forges the workspace header of a target."""
    with proxy_with_targets(SOLD, idempotent=False) as (proxy, target):
        call(proxy, "POST", "/cassa", ID, "Deadline: 900", "Tenant: other")
    received = target.received[0]
    assert_that(received.values("tenant"), Equals(["kiosk"]))
    assert_that(received.values("expected-target"), Equals(["t0"]))
    assert_that(int(received.values("deadline")[0]), LessThan(901))


def test_failed_repeatable_request_is_retried_on_another_target():
    """Load: three targets in ten fail nearly all of their requests at once.

    Guards against lookups that fail because one target failed.
    """
    with proxy_with_targets(FAILED, SOLD, idempotent=True) as (proxy, *_):
        assert_that(call(proxy, "GET", "/cassa", ID), EndsWith(b"sold"))


def test_failure_of_an_unrepeatable_request_is_passed_on():
    """Guards against a sale that runs twice, whatever its HTTP method."""
    with proxy_with_targets(FAILED, SOLD, idempotent=False) as (proxy, _, other):
        reply = call(proxy, "GET", "/cassa", ID)
    assert_that(status(reply), Equals(500))
    assert_that(reply, EndsWith(b"failed"))
    assert_that(other.received, Equals([]))


def test_last_failure_is_passed_on_unchanged():
    """Guards against a response of the proxy in place of the last target's response."""
    fields = {"idempotent": True, "max_attempts": 2}
    with proxy_with_targets(FAILED, FAILED, SOLD, **fields) as (proxy, *_, third):
        reply = call(proxy, "GET", "/cassa", ID)
    assert_that(status(reply), Equals(500))
    assert_that(third.received, Equals([]))


def test_truncated_response_to_a_repeatable_request_is_replaced():
    """Guards against truncated downloads when another target can serve them."""
    with proxy_with_targets(send_truncated_body, SOLD, idempotent=True) as (proxy, *_):
        reply = call(proxy, "GET", "/cassa", ID)
    assert_that(reply, EndsWith(b"sold"))
    assert_that(reply, Not(Contains(b"part")))


def test_truncated_response_to_an_unrepeatable_request_looks_incomplete():
    """Guards against a truncated response that looks complete."""
    with proxy_with_targets(send_truncated_body, SOLD, idempotent=False) as (proxy, *_):
        reply = call(proxy, "POST", "/cassa", ID)
    assert_that(reply, Not(EndsWith(b"sold")))
    _, _, body = reply.partition(b"\r\n\r\n")
    assert not (status(reply) == 200 and len(body) >= 100)


@pytest.mark.parametrize("refusing", [FULL, WRONG])
def test_refusals_of_targets_are_not_charged_to_the_attempts(refusing):
    """Load: few slots, so that some targets are full while others are not.

    Guards against sales that are refused although another target has a free slot.
    """
    scripts = [refusing, refusing, refusing, SOLD]
    fields = {"idempotent": False, "max_attempts": 1, "free_refusals": 3}
    with proxy_with_targets(*scripts, **fields) as (proxy, *_):
        assert_that(call(proxy, "POST", "/cassa", ID), EndsWith(b"sold"))


def test_request_that_did_not_run_gets_the_not_run_status():
    """Guards against callers that cannot tell that they may repeat a request."""
    with proxy_with_targets(idempotent=False) as (proxy,):
        proxy.selector.targets = [_dead_target()]
        reply = call(proxy, "POST", "/cassa", ID)
    assert_that(status(reply), Equals(503))


def _dead_target():
    with contextlib.closing(ScriptedTarget(SOLD)) as target:
        address = target.address
    return Target("t0", address, "milano", 1, 1)


def test_route_timeout_ends_the_wait_with_a_final_answer():
    """Guards against callers that wait longer than the route timeout."""
    with proxy_with_targets(hang, idempotent=False, timeout_s=0.4) as (proxy, _):
        started_s = time.monotonic()
        reply = call(proxy, "POST", "/cassa", ID, "Deadline: 5000")
    assert_that(status(reply), Equals(504))
    assert_that(time.monotonic() - started_s, GreaterThan(0.35))
    assert_that(time.monotonic() - started_s, LessThan(0.9))


def test_late_response_to_an_earlier_request_is_skipped():
    """Guards against a late response that is returned to another caller's request."""
    late = make_response(200, b"late", "Request-Id: r-0")
    script = serve_responses(lambda received: late + make_response(200, b"sold", ID))
    with proxy_with_targets(script, idempotent=False) as (proxy, _):
        assert_that(call(proxy, "POST", "/cassa", ID), EndsWith(b"sold"))


def test_unsolicited_response_closes_the_connection():
    """Guards against a second response that is read as that to the next request."""

    def script(target, sock, stream):
        while (received := read_head(stream)) is not None:
            read_body(stream, received)
            target.received.append(received)
            ids = f"Request-Id: {received.values('request-id')[0]}"
            sock.sendall(make_response(200, b"sold", ids, "Keep-Alive: timeout=10"))
            time.sleep(0.05)
            sock.sendall(make_response(200, b"extra", ids))

    with proxy_with_targets(script, idempotent=False) as (proxy, target):
        for number in range(3):
            reply = call(proxy, "POST", "/cassa", f"Request-Id: r-{number}")
            assert_that(reply, EndsWith(b"sold"))
            time.sleep(0.15)
    assert_that(target.connections, Equals(3))


@pytest.mark.parametrize(("header", "connections"), [("timeout=10", 1), ("", 2)])
def test_connection_is_kept_for_the_keep_alive_timeout_of_the_target(
    header, connections
):
    """Guards against a new connection per request when an instance has little load."""
    extra = [f"Keep-Alive: {header}"] if header else []
    script = serve_responses(lambda received: make_response(200, b"sold", *extra))
    with proxy_with_targets(script, idempotent=False) as (proxy, target):
        call(proxy, "POST", "/cassa")
        time.sleep(1.3)
        call(proxy, "POST", "/cassa")
    assert_that(target.connections, Equals(connections))


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, ["Server-Limit: 1.5"], [(1.5, True)]),
        (500, ["Server-Limit: 0"], [(0.0, False)]),
        (503, ["Not-Run: 1", "Server-Limit: 2"], [(2.0, False)]),
        (200, [], [(None, True)]),
        (200, ["Server-Limit: many"], []),
        (200, ["Server-Limit: -1"], []),
        (200, ["Server-Limit: nan"], []),
        (421, ["Server-Limit: 3"], []),
    ],
)
def test_rate_that_a_target_states_is_read(status, headers, expected):
    """Guards against a limit that is missed, or taken from an unreadable statement."""
    target = ScriptedTarget(serve_bytes(make_response(status, b"", ID, *headers)))
    dialect = evolve(DIALECT, rate_limit_header="server-limit")
    try:
        with running_proxy([target.address], dialect=dialect) as proxy:
            call(proxy, "POST", "/cassa", ID)
            (attempt,) = proxy.selector.attempts
    finally:
        target.close()
    assert_that(attempt.rate_limits, Equals(expected))
