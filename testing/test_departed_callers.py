"""Requests whose callers leave before an instance sends them to a target."""

import threading

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.admission import Decision
from testing.standins.proxy_harness import (
    call,
    request_bytes,
    running_proxy,
    wait_until,
)
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    serve_with_gate,
)

TOKEN_WAIT_S = 0.2


@pytest.fixture
def released():
    """Event for which requests to /cassa/slow wait at the target."""
    return threading.Event()


@pytest.fixture
def target(released):
    target = ScriptedTarget(serve_with_gate(released, make_response(200, b"sold")))
    yield target
    released.set()
    target.close()


def send_and_leave(proxy, path):
    with proxy.connect() as sock:
        sock.sendall(request_bytes("GET", path))


def received_paths(target):
    return [received.line.split()[1] for received in target.received]


def test_request_is_not_sent_if_its_caller_left_while_it_waited_for_a_token(target):
    """Guards against work for a caller that has left while its request was held."""
    with running_proxy([target.address]) as proxy:
        proxy.admission.decision = Decision(True, wait_s=TOKEN_WAIT_S)
        send_and_leave(proxy, "/cassa/gone")
        assert wait_until(lambda: proxy.admission.requested_workspaces)
        call(proxy, "GET", "/cassa/kept")
        assert_that(received_paths(target), Equals(["/cassa/kept"]))


def test_request_is_not_sent_if_its_caller_left_while_it_waited_for_a_worker(
    target, released
):
    """Load: more requests than worker threads; the callers of those that wait leave.

    Guards against requests that reach a target long after their caller has left.
    """
    with running_proxy([target.address], worker_threads=1) as proxy:
        with proxy.connect() as slow:
            slow.sendall(request_bytes("GET", "/cassa/slow"))
            assert wait_until(lambda: target.received)
            for _ in range(3):
                send_and_leave(proxy, "/cassa/gone")
            released.set()
        call(proxy, "GET", "/cassa/kept")
        assert_that(received_paths(target), Equals(["/cassa/slow", "/cassa/kept"]))
