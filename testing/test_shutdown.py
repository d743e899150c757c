import contextlib
import errno
import socket
import threading
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    EndsWith,
    Equals,
    Is,
    LessThan,
    Not,
    StartsWith,
)

from lacewinglift.shutdown import ShutdownState
from testing.standins.proxy_harness import (
    call,
    receive_all,
    request_bytes,
    running_proxy,
    wait_until,
)
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    serve_with_gate,
)


@pytest.fixture
def gate():
    return threading.Event()


@pytest.fixture
def target(gate):
    target = ScriptedTarget(serve_with_gate(gate, make_response(200, b"sold")))
    yield target
    gate.set()
    target.close()


@pytest.fixture
def proxy(target):
    with running_proxy([target.address], request_timeout_s=20.0) as proxy:
        yield proxy


def start_stop(proxy):
    reports = []
    shutdown = proxy.components.shutdown
    thread = threading.Thread(
        target=lambda: reports.append(shutdown.run(proxy.frontend))
    )
    thread.start()
    return thread, reports


def in_state(proxy, state):
    return wait_until(lambda: proxy.components.shutdown.state is state)


def test_stop_cuts_no_request(proxy, gate):
    """Guards against a restart that cuts requests or refuses callers too early."""
    with proxy.connect() as slow, proxy.connect() as idle:
        idle.sendall(request_bytes())
        assert_that(idle.recv(65536), EndsWith(b"sold"))
        slow.sendall(request_bytes("POST", "/cassa/slow", body=b"x"))
        thread, reports = start_stop(proxy)
        assert proxy.leaving_announced.wait(2)
        # Callers use the address for as long as their address list is valid.
        time.sleep(0.1)
        assert_that(call(proxy), EndsWith(b"sold"))
        idle.sendall(request_bytes())
        assert_that(idle.recv(65536), Not(Contains(b"Connection: close")))
        assert in_state(proxy, ShutdownState.DRAINING)
        idle.sendall(request_bytes())
        last = receive_all(idle)
        assert_that(last, StartsWith(b"HTTP/1.1 200"))
        assert_that(last, Contains(b"Connection: close"))
        assert wait_until(lambda: refused(proxy))
        # The slow request still has its connection.
        assert_that(proxy.components.shutdown.state, Is(ShutdownState.DRAINING))
        assert_that(reports, Equals([]))
        gate.set()
        received = receive_all(slow)
        assert_that(received, StartsWith(b"HTTP/1.1 200"))
        assert_that(received, EndsWith(b"sold"))
    thread.join(5)
    assert_that((reports[0].cut_requests, reports[0].open_connections), Equals((0, 0)))


def refused(proxy):
    try:
        proxy.connect().close()
    except ConnectionRefusedError:
        return True
    return False


def test_idle_connections_do_not_hold_up_a_stop(proxy):
    """Guards against a stop that lasts until its deadline because of idle callers."""
    with proxy.connect() as idle:
        idle.sendall(request_bytes())
        idle.recv(65536)
        thread, reports = start_stop(proxy)
        thread.join(6)
        assert_that(len(reports), Equals(1))
        assert_that(reports[0].cut_requests, Equals(0))


@pytest.mark.parametrize("way", ["force_stop", "bound"])
def test_stop_ends_when_forced_or_at_its_deadline(proxy, way):
    """Guards against a process that an operator cannot stop."""
    with proxy.connect() as slow:
        slow.sendall(request_bytes("POST", "/cassa/slow", body=b"x"))
        assert wait_until(lambda: proxy.components.exchange_monitor.in_progress())
        if way == "bound":
            proxy.components.shutdown.stop_bound_s = 0.8
        started = time.monotonic()
        thread, reports = start_stop(proxy)
        if way == "force_stop":
            assert in_state(proxy, ShutdownState.DRAINING)
            proxy.components.shutdown.force_stop()
        assert_that(receive_all(slow), Equals(b""))
        thread.join(5)
        assert_that(time.monotonic() - started, LessThan(2.0))
        assert_that(reports[0].cut_requests, Equals(1))


LATE_STOP_BOUND_S = 1.5


@contextlib.contextmanager
def late_in_a_stop(proxy, sent):
    """Connect, send some bytes, and wait until little of the stop is left."""
    proxy.components.shutdown.stop_bound_s = LATE_STOP_BOUND_S
    with proxy.connect() as late:
        if sent:
            late.sendall(sent)
            assert wait_until(lambda: proxy.components.exchange_monitor.in_progress())
        thread, reports = start_stop(proxy)
        assert in_state(proxy, ShutdownState.DRAINING)
        time.sleep(LATE_STOP_BOUND_S / 2 - 0.3)
        yield late
    thread.join(5)
    assert_that(reports[0].cut_requests, Equals(0))


@pytest.mark.parametrize("method", ["POST", "GET"])
def test_request_that_comes_late_in_a_stop_is_refused(proxy, target, method):
    """Guards against a late request that is passed on and cut at the end of a stop.

    Its caller, who gets no answer, does not know whether a sale has run.
    """
    with late_in_a_stop(proxy, b"") as late:
        late.sendall(request_bytes(method, "/cassa/slow"))
        reply = receive_all(late)
    assert_that(reply, StartsWith(b"HTTP/1.1 503 "))
    assert_that(reply, Contains(b"X-Lacewinglift-Refusal: stopping"))
    assert_that(reply, Contains(b"X-Lacewinglift-Verdict: not_run"))
    assert_that(reply, Contains(b"Connection: close"))
    assert_that(target.received, Equals([]))
    assert_that(proxy.admission.requested_workspaces, Equals([]))


def test_request_whose_body_comes_late_in_a_stop_is_refused(proxy, target):
    """Guards against an upload that ends late, is passed on, and is cut."""
    whole = request_bytes("POST", "/cassa/slow", body=b"x" * 100)
    with late_in_a_stop(proxy, whole[:-50]) as late:
        late.sendall(whole[-50:])
        reply = receive_all(late)
    assert_that(reply, StartsWith(b"HTTP/1.1 503 "))
    assert_that(reply, Contains(b"X-Lacewinglift-Verdict: not_run"))
    assert_that(target.received, Equals([]))


def test_late_request_that_ends_before_the_stop_is_served(proxy):
    """Guards against refusing what can still be served."""
    with late_in_a_stop(proxy, b"") as late:
        late.sendall(request_bytes("POST", "/cassa", "X-Request-Timeout-Ms: 300"))
        assert_that(receive_all(late), StartsWith(b"HTTP/1.1 200 "))


def test_busy_callers_lose_no_request_during_a_stop(proxy):
    """Guards against a request that is accepted and then cut by the stop."""
    lost, answered, ended = [], [], []

    def run(caller):
        number = 0
        while True:
            try:
                sock = proxy.connect()
            except ConnectionRefusedError:
                ended.append(caller)
                return
            with sock:
                while True:
                    number += 1
                    sock.sendall(request_bytes("POST", body=b"x" * 100))
                    received = sock.recv(65536)
                    if not received.endswith(b"sold"):
                        lost.append((caller, number, received))
                        return
                    answered.append(number)
                    if b"Connection: close" in received:
                        break

    threads = [threading.Thread(target=run, args=(caller,)) for caller in range(3)]
    for thread in threads:
        thread.start()
    assert wait_until(lambda: len(answered) > 50)
    stopping, reports = start_stop(proxy)
    for thread in [*threads, stopping]:
        thread.join(10)
    assert_that(lost, Equals([]))
    assert_that(len(ended), Equals(3))
    assert_that((reports[0].cut_requests, reports[0].open_connections), Equals((0, 0)))


def test_connection_made_while_the_listener_closes_is_not_reset(proxy):
    """Guards against callers that cannot tell whether their request was read."""
    server = proxy.frontend.server
    accept = server._connections._from_server_socket
    late = socket.socket()
    late.setblocking(False)

    def accept_before_a_late_caller(listener):
        connection = accept(listener)
        if connection is None:
            late.connect_ex(listener.getsockname())
        return connection

    server._connections._from_server_socket = accept_before_a_late_caller
    proxy.frontend.stop_accepting()
    with late:
        late.settimeout(3.0)
        # The connection was not established; the caller is refused when it retries.
        assert wait_until(
            lambda: (
                late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                == errno.ECONNREFUSED
            )
        )
