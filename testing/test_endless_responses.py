"""Targets that send bytes without end, which are no answer or not a complete one.

The target goes on until the connection is closed, so each limit has to be the proxy's.
"""

import contextlib
import threading
import time
import tracemalloc

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, EndsWith, Equals, LessThan, Not, StartsWith

from lacewinglift.configuration import Route
from lacewinglift.dialects import Dialect
from lacewinglift.forwarded_response import MAX_PRELOAD_BYTES
from lacewinglift.outcomes import OutcomeKind
from lacewinglift.pools import PRUNE_INTERVAL_S
from testing.standins.proxy_harness import call, request_bytes, wait_until
from testing.standins.scripted_targets import make_response, read_body, read_head
from testing.test_forwarder import proxy_with_targets

SERVICE_TIMEOUT_S = 8.0
# An invalid response has to be noticed by its bytes, long before the timeout.
NOTICED_WITHIN_S = 2.0
CLOSED_WITHIN_S = 1.0
# The users' bound after the timeout of a route.
ENDED_WITHIN_S = 0.5
ROUTE_TIMEOUT_S = 1.0
# Slow enough that the proxy waits for the target, and never for the caller to read.
BLOCK_PAUSE_S = 0.05
# Idle connections are checked once in each interval.
IDLE_CLOSED_WITHIN_S = PRUNE_INTERVAL_S + CLOSED_WITHIN_S
# Socket buffers of both sides hold bytes that nobody reads.
MAX_BYTES_TAKEN = 12 * 1024 * 1024
BLOCK_BYTES = 16 * 1024
DIALECT = Dialect(request_id_header="request-id")


class EndlessTarget:
    """Script that sends `start` after a request, then `block` until it is closed."""

    def __init__(self, start, block, pause_s=0.0, block_pause_s=0.0):
        self.start = start
        self.block_pause_s = block_pause_s
        self.block = block * max(BLOCK_BYTES // len(block), 1)
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.closed_at_s = None
        self.closed = threading.Event()

    def __call__(self, target, sock, stream):
        received = read_head(stream)
        if received is None:
            return
        read_body(stream, received)
        target.received.append(received)
        with contextlib.suppress(OSError):
            sock.sendall(self.start)
            time.sleep(self.pause_s)
            while True:
                sock.sendall(self.block)
                self.sent_bytes += len(self.block)
                time.sleep(self.block_pause_s)
        self.closed_at_s = time.monotonic()
        self.closed.set()


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = make_response(200, b"other", "Request-Id: other")
ENDLESS_HEADS = {
    "bytes": (b"", b"x"),
    "zeros": (b"", b"\0"),
    "lines": (b"", b"xyz\r\n"),
    "status line": (HEAD[:12], b" OK"),
    "header line": (HEAD + b"X-Junk: ", b"x"),
    "headers": (HEAD, b"X-Junk: x\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Hints\r\n\r\n"),
    "headers of an interim response": (b"HTTP/1.1 103 Hints\r\n", b"X-Junk: x\r\n"),
    "responses to other requests": (b"", FOREIGN),
}
ENDLESS_CHUNK_PARTS = {
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"3;x=", b"x"),
    "bytes after a chunk": (CHUNKED + b"3\r\nabc", b"x"),
    "trailer line": (CHUNKED + b"3\r\nabc\r\n0\r\nX-Trailer: ", b"x"),
    "trailers": (CHUNKED + b"3\r\nabc\r\n0\r\n", b"X-Trailer: x\r\n"),
}
ENDLESS_BODIES = {
    "chunks": (CHUNKED, b"4\r\nabcd\r\n"),
    "close-delimited": (HEAD + b"\r\n", b"x"),
}


@contextlib.contextmanager
def proxy_with_endless_target(start, block, pause_s=0.0):
    script = EndlessTarget(start, block, pause_s)
    fields = {"request_timeout_s": SERVICE_TIMEOUT_S, "dialect": DIALECT}
    with proxy_with_targets(script, **fields) as (proxy, _):
        yield proxy, script


@pytest.mark.parametrize("name", ENDLESS_HEADS)
def test_head_without_end_is_refused_and_its_connection_closed(name):
    """Guards against a request and a link that an endless head holds to the timeout."""
    with proxy_with_endless_target(*ENDLESS_HEADS[name]) as (proxy, script):
        started_s = time.monotonic()
        reply = call(proxy, "POST", "/cassa", "Request-Id: own", body=b"x")
        assert_that(time.monotonic() - started_s, LessThan(NOTICED_WITHIN_S))
        assert_that(reply, StartsWith(b"HTTP/1.1 502"))
        assert script.closed.wait(CLOSED_WITHIN_S)
        assert_that(script.sent_bytes, LessThan(MAX_BYTES_TAKEN))
        assert_that(proxy.selector.kinds(), Equals([OutcomeKind.CUT]))


@pytest.mark.parametrize("name", ENDLESS_CHUNK_PARTS)
def test_chunk_framing_without_end_cuts_the_response(name):
    """Guards against an endless part of a body that looks complete or is read on."""
    with proxy_with_endless_target(*ENDLESS_CHUNK_PARTS[name]) as (proxy, script):
        started_s = time.monotonic()
        reply = call(proxy, "POST", "/cassa", "Request-Id: own", body=b"x")
        assert_that(time.monotonic() - started_s, LessThan(NOTICED_WITHIN_S))
        assert_that(reply, Not(EndsWith(b"0\r\n\r\n")))
        assert script.closed.wait(CLOSED_WITHIN_S)
        assert_that(script.sent_bytes, LessThan(MAX_BYTES_TAKEN))


@pytest.mark.parametrize("name", ENDLESS_BODIES)
def test_body_without_end_is_read_only_while_the_caller_is_there(name):
    """Guards against reading an endless body after the caller has closed."""
    with proxy_with_endless_target(*ENDLESS_BODIES[name]) as (proxy, script):
        sock = proxy.connect()
        sock.sendall(request_bytes("POST", "/cassa", "Request-Id: own", body=b"x"))
        received = 0
        while received < 4 * 1024 * 1024:
            received += len(sock.recv(65536))
        sock.close()
        closed_s = time.monotonic()
        assert script.closed.wait(CLOSED_WITHIN_S)
        assert_that(script.closed_at_s - closed_s, LessThan(CLOSED_WITHIN_S))
        assert wait_until(lambda: proxy.components.concurrency_limiter.in_progress == 0)


SMALL_CHUNK = b"8\r\nabcdefgh\r\n"
# What is held back of each response, with its copies on the way to the caller.
MAX_HELD_BYTES = 3 * MAX_PRELOAD_BYTES


def test_memory_of_a_body_of_small_chunks_is_that_of_its_bytes():
    """Guards against a process that runs out of memory for the bytes of one target.

    A body without end in chunks of a few bytes is held back for a retry; an object for
    each chunk would take many times its size.
    """
    script = EndlessTarget(CHUNKED, SMALL_CHUNK)
    fields = {"request_timeout_s": 60.0, "dialect": DIALECT}
    with proxy_with_targets(script, **fields) as (proxy, _):
        route = Route("/cassa", "cassa", idempotent=True)
        proxy.publish(routes=(route,))
        with proxy.connect() as sock, traced_memory() as peak_bytes:
            sock.sendall(request_bytes("GET", "/cassa", "Request-Id: own"))
            sock.settimeout(60.0)
            assert_that(sock.recv(65536), StartsWith(b"HTTP/1.1 200"))
            assert_that(peak_bytes(), LessThan(MAX_HELD_BYTES))


@contextlib.contextmanager
def traced_memory():
    """Yield a function that returns the most memory that was allocated since."""
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        yield lambda: tracemalloc.get_traced_memory()[1] - before_bytes
    finally:
        tracemalloc.stop()


def read_end(proxy, limit_s):
    """Send a request and read for `limit_s` at most.

    Returns the last bytes of the response, and whether the connection was closed.
    """
    end = b""
    until_s = time.monotonic() + limit_s
    with proxy.connect() as sock:
        headers = ("Request-Id: own", "Connection: close")
        sock.sendall(request_bytes("POST", "/cassa", *headers, body=b"x"))
        with contextlib.suppress(TimeoutError):
            while (left_s := until_s - time.monotonic()) > 0:
                sock.settimeout(left_s)
                try:
                    block = sock.recv(65536)
                except ConnectionResetError:
                    return end, True
                if not block:
                    return end, True
                end = block[-16:]
    return end, False


def stop_in_body(target, sock, stream):
    """Send a part of a body and nothing more."""
    read_body(stream, received := read_head(stream))
    target.received.append(received)
    sock.sendall(HEAD + b"Content-Length: 100\r\n\r\npart")
    target.wait_until_closed(sock)


UNFINISHED_BODIES = {
    name: lambda start=start, block=block: EndlessTarget(
        start, block, block_pause_s=BLOCK_PAUSE_S
    )
    for name, (start, block) in ENDLESS_BODIES.items()
} | {"stopped": lambda: stop_in_body}


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("name", UNFINISHED_BODIES)
def test_body_that_does_not_end_is_cut_at_the_timeout_of_its_route(name, idempotent):
    """Guards against a response that holds its caller and a link past the timeout.

    The head came in time. The target has failed, and the cut must not look complete.
    """
    script = UNFINISHED_BODIES[name]()
    fields = {"request_timeout_s": SERVICE_TIMEOUT_S, "dialect": DIALECT}
    with proxy_with_targets(script, **fields) as (proxy, _):
        route = Route(
            "/cassa",
            "cassa",
            timeout_s=ROUTE_TIMEOUT_S,
            timeout_covers_body=True,
            idempotent=idempotent,
        )
        proxy.publish(routes=(route,))
        end, closed = read_end(proxy, ROUTE_TIMEOUT_S + ENDED_WITHIN_S)
        assert closed
        assert_that(end, Not(EndsWith(b"0\r\n\r\n")))
        assert wait_until(proxy.selector.kinds)
        assert_that(proxy.selector.kinds(), Equals([OutcomeKind.TIMEOUT]))


def test_caller_that_does_not_read_is_no_fault_of_the_target():
    """Guards against holding a target to have failed whose response nobody takes."""
    script = EndlessTarget(*ENDLESS_BODIES["close-delimited"])
    fields = {"request_timeout_s": SERVICE_TIMEOUT_S, "dialect": DIALECT}
    with proxy_with_targets(script, **fields) as (proxy, _), proxy.connect() as sock:
        route = Route(
            "/cassa", "cassa", timeout_s=ROUTE_TIMEOUT_S, timeout_covers_body=True
        )
        proxy.publish(routes=(route,))
        sock.sendall(request_bytes("POST", "/cassa", "Request-Id: own", body=b"x"))
        assert wait_until(proxy.selector.kinds)
        assert_that(proxy.selector.kinds(), Equals([OutcomeKind.CANCELLED]))


@pytest.mark.parametrize("pause_s", [0.0, 0.2])
def test_bytes_without_end_after_a_response_belong_to_no_request(pause_s):
    """Guards against a kept connection whose endless rest answers the next request."""
    keep_alive = "Keep-Alive: timeout=60"
    start = make_response(200, b"sold", "Request-Id: own", keep_alive)
    block = b"HTTP/1.1 200 OK\r\n\r\n"
    with proxy_with_endless_target(start, block, pause_s) as (proxy, script):
        reply = call(proxy, "POST", "/cassa", "Request-Id: own", body=b"x")
        assert_that(reply, Contains(b"\r\n\r\nsold"))
        assert script.closed.wait(IDLE_CLOSED_WITHIN_S)
        assert_that(script.sent_bytes, LessThan(MAX_BYTES_TAKEN))
