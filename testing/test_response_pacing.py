"""Tests of the share of the link that responses may use."""

import contextlib
import threading
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan, StartsWith

from lacewinglift.response_pacing import (
    BURST_S,
    RESPONSE_LINK_SHARE,
    UNPACED_BYTES,
    ResponsePacer,
)
from lacewinglift.timers import ManualTimers
from testing.standins.proxy_harness import call, request_bytes
from testing.standins.scripted_targets import make_response
from testing.test_endless_responses import CHUNKED, HEAD, EndlessTarget
from testing.test_forwarder import proxy_with_targets, send_and_close

LINK_BYTES_PER_S = 4_000_000
CALLERS = 4
MEASURED_S = 2.0
# Bytes in the buffers of the proxy and of the sockets to its callers.
BUFFERED_BYTES = CALLERS * (UNPACED_BYTES + 64 * 1024)


ENDLESS_BODIES = {
    "chunks": (CHUNKED, b"4000\r\n" + bytes(0x4000) + b"\r\n"),
    "close-delimited": (HEAD + b"\r\n", bytes(0x4000)),
}


@pytest.fixture
def pacer():
    return ResponsePacer(ManualTimers(), LINK_BYTES_PER_S)


def read_for(sock, duration_s):
    received = 0
    until_s = time.monotonic() + duration_s
    with contextlib.suppress(TimeoutError):
        while (left_s := until_s - time.monotonic()) > 0:
            sock.settimeout(left_s)
            received += len(sock.recv(65536))
    return received


@pytest.mark.parametrize("name", ENDLESS_BODIES)
def test_endless_bodies_leave_a_part_of_the_link(name):
    """Guards against a link that responses fill, so that versions come late.

    Targets send bodies without end to four callers at once.
    """
    scripts = [EndlessTarget(*ENDLESS_BODIES[name])]
    with proxy_with_targets(*scripts, link_bytes_per_s=LINK_BYTES_PER_S) as (proxy, _):
        received = []
        threads = []
        for _ in range(CALLERS):
            sock = proxy.connect()
            sock.sendall(request_bytes("POST", "/cassa", body=b"x"))

            def read(sock=sock):
                with sock:
                    received.append(read_for(sock, MEASURED_S))

            threads.append(threading.Thread(target=read))
            threads[-1].start()
        for thread in threads:
            thread.join()
    allowed = LINK_BYTES_PER_S * RESPONSE_LINK_SHARE * (MEASURED_S + BURST_S)
    assert_that(sum(received), LessThan(allowed + BUFFERED_BYTES))
    assert_that(sum(received), GreaterThan(allowed / 2))


def test_short_response_does_not_wait_behind_long_ones(pacer):
    """Guards against short responses that wait for the turn of endless ones."""
    for _ in range(100):
        pacer.reserve(64 * 1024, 10 * UNPACED_BYTES)
    assert_that(pacer.reserve(UNPACED_BYTES, UNPACED_BYTES), Equals(0.0))
    assert_that(pacer.reserve(1, UNPACED_BYTES + 1), GreaterThan(1.0))


def test_short_responses_count_against_the_rate(pacer):
    """Guards against long responses that take what short ones already use."""
    rate_per_s = LINK_BYTES_PER_S * RESPONSE_LINK_SHARE
    pacer.reserve(int(rate_per_s * (1 + BURST_S)), UNPACED_BYTES)
    wait_s = pacer.reserve(0, UNPACED_BYTES + 1)
    assert_that(abs(wait_s - 1.0), LessThan(0.001))


def test_link_of_unknown_speed_is_not_paced():
    """Guards against a limit on instances whose settings do not state a link."""
    pacer = ResponsePacer(ManualTimers())
    assert_that(pacer.reserve(10**9, 10**9), Equals(0.0))


def test_large_response_is_complete_when_it_is_paced():
    """Guards against a paced response that loses or repeats a block."""
    body = bytes(range(256)) * 4096
    script = send_and_close(make_response(200, body))
    link = {"link_bytes_per_s": LINK_BYTES_PER_S}
    with proxy_with_targets(script, **link) as (proxy, _):
        reply = call(proxy, "POST", "/cassa", body=b"x")
    assert_that(reply, StartsWith(b"HTTP/1.1 200"))
    assert_that(reply.partition(b"\r\n\r\n")[2] == body, Equals(True))
