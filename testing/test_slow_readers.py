"""Callers that read slowly: the memory and the slots of targets that they hold."""

import socket

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.held_bytes import MAX_HELD_PER_RESPONSE, HeldBytes
from lacewinglift.outcomes import OutcomeKind
from testing.standins.proxy_harness import request_bytes, wait_until
from testing.standins.scripted_targets import read_body, read_head
from testing.test_forwarder import proxy_with_targets

BLOCK_BYTES = 64 * 1024
SLOW_CALLERS = 96
# Larger than the socket buffers between the proxy and a caller with a small one.
BODY_BYTES = 16 * 1024 * 1024
RELEASED_WITHIN_S = 3.0


def test_slow_callers_leave_memory_to_the_next_one():
    """Load: all threads of an instance hold responses of callers that do not read.

    Guards against slow callers that use up the memory of the instance, or all of what
    other responses may use.
    """
    held_bytes = HeldBytes()
    held = [0] * SLOW_CALLERS
    for _ in range(MAX_HELD_PER_RESPONSE // BLOCK_BYTES + 1):
        for index in range(SLOW_CALLERS):
            if held_bytes.try_hold(BLOCK_BYTES, held[index]):
                held[index] += BLOCK_BYTES
    assert max(held) <= MAX_HELD_PER_RESPONSE
    assert held_bytes.total == sum(held) <= held_bytes.limit
    assert held_bytes.try_hold(BLOCK_BYTES, 0)


def send_body(missing=0, chunked=False):
    """Return a script that sends a body and closes, `missing` bytes before its end."""
    framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d"
    body = b"x" * BODY_BYTES
    if chunked:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (BODY_BYTES // 2, body[: BODY_BYTES // 2])
    else:
        framing %= BODY_BYTES

    def script(target, sock, stream):
        received = read_head(stream)
        if received is not None:
            read_body(stream, received)
            target.received.append(received)
            head = b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing
            sock.sendall(head + body[: len(body) - missing])

    return script


def read_slowly(proxy):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(20.0)
    sock.connect(proxy.connect().getpeername())
    headers = ("Request-Id: own", "Connection: close")
    sock.sendall(request_bytes("POST", "/cassa", *headers, body=b"x"))
    return sock


def read_all(sock):
    received = bytearray()
    while block := sock.recv(1024 * 1024):
        received += block
    return received


@pytest.mark.parametrize("chunked", [True, False])
@pytest.mark.parametrize("missing", [0, 4])
def test_slow_caller_does_not_hold_a_target(monkeypatch, missing, chunked):
    """Guards against a slot that is taken until the caller has read a response.

    A response that is cut must not look complete, although its start was held.
    """
    for module in ("held_bytes", "forwarded_response"):
        name = f"lacewinglift.{module}.MAX_HELD_PER_RESPONSE"
        monkeypatch.setattr(name, BODY_BYTES * 2)
    with proxy_with_targets(send_body(missing, chunked)) as (proxy, _):
        forwarder = proxy.components.forwarder
        forwarder.held_bytes.limit = 16 * BODY_BYTES
        forwarder.reads_ahead = lambda: True
        with read_slowly(proxy) as sock:
            assert wait_until(proxy.selector.kinds, RELEASED_WITHIN_S)
            kind = OutcomeKind.CUT if missing else OutcomeKind.SUCCESS
            assert_that(proxy.selector.kinds(), Equals([kind]))
            received = read_all(sock)
            complete = b"0\r\n\r\n" if chunked else b"x" * BODY_BYTES
            assert received.endswith(complete) == (not missing)
        assert wait_until(lambda: forwarder.held_bytes.total == 0)
        assert forwarder.held_bytes.released_early == (not missing)


def test_response_over_the_bound_waits_for_its_caller():
    """Guards against holding more of a response than its bound."""
    with proxy_with_targets(send_body()) as (proxy, _):
        forwarder = proxy.components.forwarder
        forwarder.reads_ahead = lambda: True
        with read_slowly(proxy) as sock:
            assert not wait_until(proxy.selector.kinds, 1.0)
            assert forwarder.held_bytes.total <= MAX_HELD_PER_RESPONSE
            assert len(read_all(sock)) > BODY_BYTES
        assert wait_until(lambda: forwarder.held_bytes.total == 0)
