"""Requests that arrive on a connection before the earlier ones are answered."""

import threading
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
    StartsWith,
)

from lacewinglift.callers import HEAD_TIMEOUT_S
from lacewinglift.headers import MAX_HEAD_BYTES
from lacewinglift.shutdown import ShutdownState
from testing.standins.proxy_harness import (
    receive_all,
    request_bytes,
    running_proxy,
    wait_until,
)
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    serve_responses,
)

SLOW_S = 0.6


def respond(gate, received):
    """Name the request in the response; wait if its path says so."""
    path = received.line.split()[1]
    if "gate" in path:
        gate.wait(10)
    if "slow" in path:
        time.sleep(SLOW_S)
    return make_response(200, b"body of " + path.encode())


@pytest.fixture
def gate():
    return threading.Event()


@pytest.fixture
def target(gate):
    target = ScriptedTarget(serve_responses(lambda seen: respond(gate, seen)))
    yield target
    gate.set()
    target.close()


@pytest.fixture
def proxy(target):
    with running_proxy([target.address], request_timeout_s=10.0) as proxy:
        yield proxy


def get(path, *headers):
    return request_bytes("GET", f"/cassa/{path}", *headers)


def last(path="last"):
    """Return a request after whose response the connection ends."""
    return get(path, "Connection: close")


def paths(target):
    return [received.line.split()[1].rsplit("/", 1)[1] for received in target.received]


def bodies(data):
    """Return the paths that the bodies of responses name, in order."""
    return [
        part.split(b"HTTP/1.1")[0].decode() for part in data.split(b"body of /cassa/")
    ][1:]


def test_responses_come_in_the_order_of_the_requests(proxy, target):
    """Guards against a caller that takes a response for that of another request."""
    with proxy.connect() as sock:
        sock.sendall(get("slow1") + get("2") + get("slow3") + last("4"))
        assert_that(bodies(receive_all(sock)), Equals(["slow1", "2", "slow3", "4"]))
    assert_that(paths(target), Equals(["slow1", "2", "slow3", "4"]))


def test_request_behind_a_response_that_closes_is_not_read(proxy, target):
    """Guards against requests that run though their callers send them again."""
    with proxy.connect() as sock:
        sock.sendall(last("first") + get("second") + get("third"))
        reply = receive_all(sock)
    assert_that(bodies(reply), Equals(["first"]))
    time.sleep(0.1)
    assert_that(paths(target), Equals(["first"]))
    assert_that(proxy.admission.requested_workspaces, HasLength(1))


def test_response_that_closes_is_not_lost_to_requests_that_still_arrive(proxy, gate):
    """Guards against a reset that takes a response from its caller.

    Closing a socket that has unread data, or gets more, resets the connection.
    """
    with proxy.connect() as sock:
        sock.sendall(get("gate1"))
        assert wait_until(lambda: proxy.components.exchange_monitor.in_progress())
        proxy.components.shutdown.state = ShutdownState.DRAINING
        gate.set()
        time.sleep(0.1)
        # The response has been sent, but the caller has not read it yet.
        for number in range(20):
            sock.sendall(get(f"late{number}"))
            time.sleep(0.005)
        reply = receive_all(sock)
    assert_that(bodies(reply), Equals(["gate1"]))
    assert_that(reply, Contains(b"Connection: close"))
    assert_that(reply, Not(Contains(b"<reset>")))


def test_stop_within_a_pipeline_closes_after_the_response_in_progress(
    proxy, target, gate
):
    """Guards against a planned stop that runs, and then cuts, what was sent behind."""
    with proxy.connect() as sock:
        sock.sendall(get("gate1") + get("second") + get("third"))
        assert wait_until(lambda: proxy.components.exchange_monitor.in_progress())
        stop = threading.Thread(
            target=proxy.components.shutdown.run, args=(proxy.frontend,)
        )
        stop.start()
        assert wait_until(
            lambda: proxy.components.shutdown.state is ShutdownState.DRAINING
        )
        gate.set()
        assert_that(bodies(receive_all(sock)), Equals(["gate1"]))
    stop.join(5)
    assert_that(paths(target), Equals(["gate1"]))


def test_caller_that_leaves_cancels_what_it_waits_for_and_the_rest(proxy, target, gate):
    """Guards against work for a caller that has left with requests outstanding."""
    with proxy.connect() as sock:
        sock.sendall(get("gate1") + get("second"))
        assert wait_until(lambda: target.received)
    assert wait_until(lambda: not proxy.components.exchange_monitor.in_progress(), 2)
    gate.set()
    time.sleep(0.2)
    assert_that(paths(target), Equals(["gate1"]))


@pytest.mark.parametrize("pause_s", [0.0, 0.1])
def test_deadline_counts_from_the_arrival_and_not_from_the_turn(proxy, target, pause_s):
    """Guards against a target that is given more time than its caller still waits.

    The second request waits for the first one, whether it came with it or later.
    """
    with proxy.connect() as sock:
        sock.sendall(get("slow1"))
        time.sleep(pause_s)
        sock.sendall(get("2", "X-Request-Timeout-Ms: 3000") + last("3"))
        assert_that(bodies(receive_all(sock)), HasLength(3))
    (left_ms,) = target.received[1].values("x-lacewinglift-deadline-ms")
    waited_ms = 1000 * (SLOW_S - pause_s)
    # The arrival of a later request is noticed within 40 ms.
    assert_that(int(left_ms), LessThan(3000 - waited_ms + 150))
    assert_that(int(left_ms), GreaterThan(1500))


def test_request_whose_time_has_passed_in_the_pipeline_does_not_run(proxy, target):
    """Guards against work for a caller that has given up on a later request."""
    with proxy.connect() as sock:
        sock.sendall(get("slow1") + get("2", "X-Request-Timeout-Ms: 200") + last("3"))
        reply = receive_all(sock)
    assert_that(bodies(reply), Equals(["slow1", "3"]))
    assert_that(reply, Contains(b"X-Lacewinglift-Verdict: not_run"))
    assert_that(paths(target), Equals(["slow1", "3"]))


def test_unsafe_request_behind_safe_ones_runs_once(proxy, target):
    """Guards against a sale that runs before its turn, twice, or with another body."""
    sale = request_bytes("POST", "/cassa/sale", body=b"beer")
    with proxy.connect() as sock:
        sock.sendall(get("slow1") + sale + last())
        assert_that(bodies(receive_all(sock)), Equals(["slow1", "sale", "last"]))
    assert_that(paths(target), Equals(["slow1", "sale", "last"]))
    assert_that([each.body for each in target.received], Equals([b"", b"beer", b""]))


def test_head_that_is_cut_between_two_reads(proxy):
    """Guards against a pipelined request that is lost or answered as invalid."""
    data = get("slow1") + last("second")
    with proxy.connect() as sock:
        sock.sendall(data[:-30])
        time.sleep(SLOW_S + 0.2)
        sock.sendall(data[-30:])
        assert_that(bodies(receive_all(sock)), Equals(["slow1", "second"]))


def test_incomplete_head_is_not_shortened_twice(proxy):
    """Guards against closing a connection while the rest of its head is on the way.

    Another thread may take the connection, read more and put it back before the first
    one has returned from doing so.
    """
    server = proxy.frontend.server
    put = server._connections.put

    def put_again(connection):
        server._connections.put = put
        put(connection)
        server._connections._selector.unregister(connection.socket.fileno())
        server.put_conn(connection)

    head = last("head")
    with proxy.connect() as sock:
        sock.sendall(head[:10])
        assert wait_until(
            lambda: any(c.rfile.head_incomplete for c in server.connections)
        )
        time.sleep(0.05)
        server._connections.put = put_again
        sock.sendall(head[10:20])
        assert wait_until(lambda: server._connections.put == put)
        time.sleep(0.05)
        (connection,) = server.connections
        unused_s = time.time() - connection.last_used
        assert_that(unused_s, LessThan(server.timeout - HEAD_TIMEOUT_S + 1.0))


def test_invalid_request_behind_others_ends_the_connection(proxy, target):
    """Guards against bytes of unclear meaning that are taken for a request."""
    with proxy.connect() as sock:
        sock.sendall(get("1") + b"GET /cassa HTTP/1.1\nHost: h\n\n" + get("3"))
        reply = receive_all(sock)
    assert_that(bodies(reply), Equals(["1"]))
    assert_that(reply.split(b"body of /cassa/1")[1], StartsWith(b"HTTP/1.1 400 "))
    assert_that(paths(target), Equals(["1"]))


def test_thousand_requests_in_one_write(proxy):
    """Guards against memory, or a depth of calls, that grows with a pipeline."""
    names = [str(number) for number in range(999)]
    buffered = []

    def send(sock):
        sock.sendall(b"".join(get(name) for name in names) + last())

    with proxy.connect() as sock:
        sender = threading.Thread(target=send, args=(sock,))
        sender.start()
        data = b""
        while block := sock.recv(65536):
            data += block
            for connection in list(proxy.frontend.server.connections):
                buffered.append(len(connection.rfile._read_buf))
        sender.join()
    assert_that(bodies(data), Equals([*names, "last"]))
    assert_that(max(buffered), LessThan(2 * MAX_HEAD_BYTES + 1))


def test_key_that_is_withdrawn_within_a_pipeline(proxy, target, gate):
    """Guards against requests that run with a key which is no longer valid."""
    with proxy.connect() as sock:
        sock.sendall(get("1") + request_bytes("GET", "/open/gate2") + last())
        assert wait_until(lambda: len(target.received) == 2)
        proxy.publish(workspaces={})
        gate.set()
        reply = receive_all(sock)
    assert_that(reply, Contains(b"HTTP/1.1 401 "))
    assert_that(paths(target), Equals(["1", "gate2"]))
