"""Downloads over a slow link while an instance stops."""

import contextlib
import socket
import threading
import time

import pytest
from attrs import define, evolve, field
from testtools.assertions import assert_that
from testtools.matchers import Equals

from testing.standins.proxy_harness import receive_all, request_bytes, wait_until
from testing.standins.scripted_targets import make_response, read_head, serve_bytes
from testing.test_forwarder import proxy_with_targets
from testing.test_shutdown import start_stop

LINK_BYTES_PER_S = 1_000_000
BODY = bytes(range(256)) * 2000
DOWNLOADS = 4
# The link carries all downloads in 2.05 s.
STOP_BOUND_S = 2.6
# Windows are small, so that a caller that reads slowly blocks the proxy.
WINDOW_BYTES = 16 * 1024


@define(eq=False)
class Link:
    """Link of the instance, which its callers share."""

    free_at_s: float = 0.0
    lock: threading.Lock = field(factory=threading.Lock)

    def carry(self, size):
        with self.lock:
            now = time.monotonic()
            self.free_at_s = max(self.free_at_s, now) + size / LINK_BYTES_PER_S
            left_s = self.free_at_s - now
        time.sleep(left_s)


def download(proxy, link):
    """Return the body that one caller receives over the link."""
    received = b""
    with proxy.connect() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.sendall(request_bytes("GET", "/cassa", "Connection: close"))
        with contextlib.suppress(ConnectionResetError):
            while block := sock.recv(WINDOW_BYTES):
                received += block
                link.carry(len(block))
    return received.partition(b"\r\n\r\n")[2]


def run_downloads(proxy):
    """Start all downloads; return their threads and the list of received bodies."""
    link = Link()
    bodies = []
    threads = [
        threading.Thread(target=lambda: bodies.append(download(proxy, link)))
        for _ in range(DOWNLOADS)
    ]
    for thread in threads:
        thread.start()
    return threads, bodies


@contextlib.contextmanager
def proxy_of_downloads(script):
    """Run a proxy with a slow link, whose target serves a route of downloads."""
    with proxy_with_targets(script, link_bytes_per_s=LINK_BYTES_PER_S) as (proxy, _):
        proxy.components.shutdown.stop_bound_s = STOP_BOUND_S
        route = proxy.distribution.configuration.routes[0]
        proxy.publish(routes=(evolve(route, idempotent=True),))
        yield proxy


@pytest.fixture
def proxy():
    with proxy_of_downloads(serve_bytes(make_response(200, BODY))) as proxy:
        yield proxy


@pytest.mark.parametrize("sent", ["after", "before"])
def test_downloads_that_the_link_can_carry_are_complete_in_a_stop(proxy, sent):
    """Guards against a stop that cuts downloads whose targets have answered.

    Held back for a retry and read at a part of the link's speed, each of them would
    need the link's time twice.
    """
    shutdown = proxy.components.shutdown
    if sent == "before":
        threads, bodies = run_downloads(proxy)
        assert wait_until(lambda: proxy.components.exchange_monitor.in_progress())
    stop, reports = start_stop(proxy)
    if sent == "after":
        assert wait_until(shutdown.in_progress)
        threads, bodies = run_downloads(proxy)
    for thread in [*threads, stop]:
        thread.join(2 * STOP_BOUND_S)
    assert_that([len(body) for body in bodies], Equals([len(BODY)] * DOWNLOADS))
    assert_that(reports[0].cut_requests, Equals(0))


@pytest.mark.parametrize("sent", ["after", "before"])
def test_download_is_not_held_back_in_a_stop(sent):
    """Guards against a caller that gets no byte until the target has sent the last.

    On a slow link, the first byte would come when the stop is nearly over.
    """
    stopping = threading.Event()
    received = threading.Event()
    response = make_response(200, BODY)

    def send_in_parts(target, sock, stream):
        read_head(stream)
        sock.sendall(response[:WINDOW_BYTES])
        stopping.wait(STOP_BOUND_S)
        sock.sendall(response[WINDOW_BYTES : 2 * WINDOW_BYTES])
        # The rest waits for the caller to have the first part.
        if received.wait(STOP_BOUND_S):
            sock.sendall(response[2 * WINDOW_BYTES :])

    with proxy_of_downloads(send_in_parts) as proxy, proxy.connect() as sock:
        request = request_bytes("GET", "/cassa", "Connection: close")
        if sent == "before":
            sock.sendall(request)
            assert wait_until(lambda: proxy.components.exchange_monitor.in_progress())
        stop, reports = start_stop(proxy)
        assert wait_until(proxy.components.shutdown.in_progress)
        if sent == "after":
            sock.sendall(request)
        stopping.set()
        reply = sock.recv(WINDOW_BYTES)
        received.set()
        reply += receive_all(sock)
        stop.join(2 * STOP_BOUND_S)
    assert_that(len(reply.partition(b"\r\n\r\n")[2]), Equals(len(BODY)))
    assert_that(reports[0].cut_requests, Equals(0))
