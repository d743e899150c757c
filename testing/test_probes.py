import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.probes import Prober
from lacewinglift.targets import ProbeRequest
from lacewinglift.timers import ManualTimers


class HealthHandler(BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response(200 if self.path == "/health" else 500)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        pass


class RecordingTable:
    """Returns the given probes once and records their results."""

    def __init__(self, requests):
        self.requests = requests
        self.results = {}
        self.done = threading.Semaphore(0)

    def probes_due(self):
        due, self.requests = self.requests, []
        return due

    def record_probe_result(self, request, ok, latency_s):
        self.results[request.target] = ok
        self.done.release()


@pytest.fixture
def target_address():
    server = ThreadingHTTPServer(("127.0.0.1", 0), HealthHandler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


@pytest.fixture
def silent_address():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(16)
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def run_probes(table, timers, count):
    prober = Prober(table, timers, threads=2)
    try:
        deadline = time.monotonic() + 10.0
        while time.monotonic() < deadline and len(table.results) < count:
            timers.advance(0.1)
            table.done.acquire(timeout=0.05)
        return prober
    finally:
        prober.stop()


def test_probe_results_of_healthy_and_faulty_targets(target_address, silent_address):
    """Guards against readmission of an ejected target that does not respond."""
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        absent = f"127.0.0.1:{closed.getsockname()[1]}"
    requests = [
        ProbeRequest("s", "good", target_address, "/health", 1.0),
        ProbeRequest("s", "failing", target_address, "/broken", 1.0),
        ProbeRequest("s", "silent", silent_address, "/health", 0.2),
        ProbeRequest("s", "absent", absent, "/health", 1.0),
        ProbeRequest("s", "invalid", "127.0.0.1:no", "/health", 1.0),
    ]
    table = RecordingTable(requests)
    run_probes(table, ManualTimers(), 5)
    expected = {
        "good": True,
        "failing": False,
        "silent": False,
        "absent": False,
        "invalid": False,
    }
    assert_that(table.results, Equals(expected))


def test_concurrent_probes_are_bounded(silent_address):
    """Guards against a thread per target when a whole data centre fails."""
    requests = [
        ProbeRequest("s", f"t{i}", silent_address, "/health", 0.3) for i in range(10)
    ]
    table = RecordingTable(requests)
    timers = ManualTimers()
    prober = Prober(table, timers, threads=2)
    timers.advance(0.5)
    assert_that((prober.running, len(prober.waiting)), Equals((2, 8)))
    prober.stop()
