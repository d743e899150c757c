"""Responses without a length, whose connection is reset instead of closed."""

import contextlib
import threading
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, StartsWith

from lacewinglift.configuration import Route
from lacewinglift.outcomes import OutcomeKind
from testing.standins.proxy_harness import (
    AUTHORIZATION,
    receive_all,
    wait_until,
)
from testing.standins.scripted_targets import read_body, read_head, reset_connection
from testing.test_forwarder import proxy_with_targets
from testing.test_slow_readers import BODY_BYTES, read_all, read_slowly

HEAD = b"HTTP/1.1 200 OK\r\nServer-Signature: s\r\n\r\n"
PART = b"the first part"
LAST_CHUNK = b"0\r\n\r\n"
# More than the socket buffers between a caller, the proxy and a target hold.
UPLOAD_BYTES = 64 * 1024 * 1024
BLOCK_BYTES = 256 * 1024
# Time after which an upload that the target does not read is blocked.
BLOCKED_AFTER_S = 0.3
# Time in which the proxy reads all that a target has sent.
READ_AHEAD_S = 1.0


def respond_to_upload(end):
    """Return a script that responds within an upload, and ends its connection."""

    def script(target, sock, stream):
        read_head(stream)
        time.sleep(BLOCKED_AFTER_S)
        sock.sendall(HEAD + PART)
        end(target, sock, stream)

    return script


def reset(target, sock, stream):
    reset_connection(sock, stream)


def close_and_read_on(target, sock, stream):
    sock.shutdown(1)
    target.wait_until_closed(sock)


def upload(proxy):
    """Send a long body until the connection ends; return the response."""
    with proxy.connect() as sock:
        head = (
            f"POST /cassa HTTP/1.1\r\nHost: h\r\n{AUTHORIZATION}\r\n"
            f"Content-Length: {UPLOAD_BYTES}\r\n\r\n"
        )
        sock.sendall(head.encode())

        def send():
            with contextlib.suppress(OSError):
                for _ in range(UPLOAD_BYTES // BLOCK_BYTES):
                    sock.sendall(b"a" * BLOCK_BYTES)

        thread = threading.Thread(target=send, daemon=True)
        thread.start()
        return receive_all(sock)


@pytest.mark.parametrize("idempotent", [True, False])
def test_response_that_is_reset_within_an_upload_is_not_complete(idempotent):
    """Guards against a part of a response that the caller gets as a whole one.

    The failed write of the upload takes the error from the socket, which then ends
    like one that was closed.
    """
    with proxy_with_targets(respond_to_upload(reset)) as (proxy, _):
        proxy.publish(routes=(Route("/cassa", "cassa", idempotent=idempotent),))
        reply = upload(proxy)
        assert wait_until(proxy.selector.kinds)
        assert_that(proxy.selector.kinds(), Equals([OutcomeKind.CUT]))
    if reply.startswith(b"HTTP/1.1 200"):
        assert not reply.endswith(LAST_CHUNK)


def test_response_that_is_closed_within_an_upload_is_complete():
    """Guards against a whole response to an upload that is taken for a cut one."""
    with proxy_with_targets(respond_to_upload(close_and_read_on)) as (proxy, _):
        proxy.publish(routes=(Route("/cassa", "cassa", idempotent=False),))
        reply = upload(proxy)
    assert_that(reply, StartsWith(b"HTTP/1.1 200"))
    assert PART in reply
    assert reply.endswith(LAST_CHUNK)


def test_response_that_is_reset_for_a_slow_caller_is_not_complete(monkeypatch):
    """Guards against the same where the proxy reads ahead of its caller.

    Looking for what has arrived takes the error from the socket, too.
    """
    for module in ("held_bytes", "forwarded_response"):
        name = f"lacewinglift.{module}.MAX_HELD_PER_RESPONSE"
        monkeypatch.setattr(name, BODY_BYTES * 2)
    may_reset = threading.Event()

    def script(target, sock, stream):
        read_body(stream, read_head(stream))
        sock.sendall(HEAD + b"x" * BODY_BYTES)
        may_reset.wait(5.0)
        reset_connection(sock, stream)

    with proxy_with_targets(script) as (proxy, _):
        proxy.publish(routes=(Route("/cassa", "cassa", idempotent=False),))
        forwarder = proxy.components.forwarder
        forwarder.held_bytes.limit = 16 * BODY_BYTES
        forwarder.reads_ahead = lambda: True
        with read_slowly(proxy) as sock:
            time.sleep(READ_AHEAD_S)
            may_reset.set()
            assert wait_until(proxy.selector.kinds)
            received = read_all(sock)
        assert_that(proxy.selector.kinds(), Equals([OutcomeKind.CUT]))
    assert received.startswith(b"HTTP/1.1 200")
    assert not received.endswith(LAST_CHUNK)
