"""Worker threads that follow the load."""

import threading
import time
from socket import socketpair

import pytest
from attrs import define, field
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from lacewinglift.worker_pool import WorkerPool
from testing.standins.proxy_harness import wait_until

IDLE_TIMEOUT_S = 0.2
MAX_THREADS = 90
# From the statement of the milestone: a request must not wait for a thread while the
# bound is not reached. Far above the time in which a loaded machine starts a thread.
MAX_ADDED_WAIT_S = 0.5


@define(eq=False)
class GatedConnection:
    """Connection whose request lasts until the gate opens."""

    gate: threading.Event
    failure: Exception | None = None
    keep_open: bool = True
    reads: bool = False
    """Whether the request waits for the caller and not for the gate."""
    begun: threading.Event = field(factory=threading.Event)
    closed: bool = False
    socket: object = None
    peer: object = None
    put_at_s: float = 0.0
    begun_at_s: float = 0.0

    def __attrs_post_init__(self):
        self.socket, self.peer = socketpair()

    def communicate(self):
        if self.reads:
            return bool(self.socket.recv(1))
        self.begun_at_s = time.monotonic()
        self.begun.set()
        if self.failure is not None:
            raise self.failure
        self.gate.wait(10)
        return self.keep_open

    def close(self):
        self.closed = True
        self.socket.close()
        self.peer.close()


@define(eq=False)
class RecordingServer:
    returned: list = field(factory=list)
    errors: list = field(factory=list)

    def put_conn(self, connection):
        self.returned.append(connection)

    def error_log(self, message, level, traceback=False):
        self.errors.append(message)


@pytest.fixture
def gate():
    gate = threading.Event()
    yield gate
    gate.set()


@pytest.fixture
def server():
    return RecordingServer()


@pytest.fixture
def pool(server):
    pool = WorkerPool(server, MAX_THREADS, "test", IDLE_TIMEOUT_S)
    pool.start()
    yield pool
    pool.stop(0.1)


def put_all(pool, connections):
    for connection in connections:
        connection.put_at_s = time.monotonic()
        pool.put(connection)


def test_pool_at_rest_has_no_threads(pool):
    """Guards against threads that each instance of a large fleet has in reserve."""
    assert_that(pool.workers, HasLength(0))


def test_burst_from_rest_waits_for_no_thread(pool, server, gate):
    """Guards against callers that wait while the bound of threads is not reached."""
    connections = [GatedConnection(gate) for _ in range(MAX_THREADS)]
    put_all(pool, connections)
    for connection in connections:
        assert connection.begun.wait(5)
    waits_s = sorted(each.begun_at_s - each.put_at_s for each in connections)
    assert_that(waits_s[int(0.99 * MAX_THREADS)], LessThan(MAX_ADDED_WAIT_S))
    assert_that(pool.workers, HasLength(MAX_THREADS))
    gate.set()
    assert wait_until(lambda: len(server.returned) == MAX_THREADS)


def test_threads_end_after_the_burst(pool, gate):
    """Guards against threads that are kept for the rest of the day after one burst."""
    put_all(pool, [GatedConnection(gate) for _ in range(20)])
    gate.set()
    assert wait_until(lambda: not pool.workers, 5 * IDLE_TIMEOUT_S + 2)
    assert_that(pool.idle_workers, HasLength(0))


def test_one_request_at_a_time_uses_one_thread(pool, server, gate):
    """Guards against a pool that uses all its threads in turn, so that none ends."""
    gate.set()
    for count in range(1, 11):
        put_all(pool, [GatedConnection(gate)])
        assert wait_until(lambda count=count: len(server.returned) == count)
        assert wait_until(lambda: pool.idle == 1)
    assert_that(pool.workers, HasLength(1))


def test_connections_beyond_the_bound_wait_in_order(server, gate):
    """Guards against a number of threads without a bound, and against lost requests."""
    pool = WorkerPool(server, 2, "test", IDLE_TIMEOUT_S)
    connections = [GatedConnection(gate) for _ in range(6)]
    put_all(pool, connections)
    assert_that(pool.workers, HasLength(2))
    assert_that(pool.qsize, Equals(4))
    gate.set()
    assert wait_until(lambda: len(server.returned) == 6)
    begun = sorted(connections[2:], key=lambda each: each.begun_at_s)
    assert_that(begun, Equals(connections[2:]))
    pool.stop(0.1)


def test_failing_request_ends_its_connection_and_no_thread(pool, server, gate):
    """Guards against an exception that removes a thread or leaves a caller waiting."""
    gate.set()
    failing = GatedConnection(gate, failure=ValueError("broken"))
    put_all(pool, [failing])
    assert wait_until(lambda: failing.closed)
    assert_that(server.errors, HasLength(1))
    put_all(pool, [GatedConnection(gate)])
    assert wait_until(lambda: len(server.returned) == 1)


def test_connection_that_cannot_be_closed_costs_no_thread(server, gate, monkeypatch):
    """Guards against a pool that loses a thread for each error of a socket."""
    gate.set()
    pool = WorkerPool(server, 1, "test", IDLE_TIMEOUT_S)

    def fail(connection):
        raise OSError("cannot be closed")

    with monkeypatch.context() as patched:
        patched.setattr(GatedConnection, "close", fail)
        put_all(pool, [GatedConnection(gate, keep_open=False)])
        assert wait_until(lambda: server.errors)
    put_all(pool, [GatedConnection(gate)])
    assert wait_until(lambda: len(server.returned) == 1)
    pool.stop(0.1)


def test_system_without_room_for_threads_loses_no_request(
    pool, server, gate, monkeypatch
):
    """Guards against a request that is dropped when a thread cannot be started."""
    first, second = GatedConnection(gate), GatedConnection(gate)
    put_all(pool, [first])
    assert first.begun.wait(5)

    def refuse(worker):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr("lacewinglift.worker_pool._Worker.start", refuse)
    put_all(pool, [second])
    assert_that(server.errors, HasLength(1))
    gate.set()
    assert wait_until(lambda: len(server.returned) == 2)


def test_stop_does_not_wait_for_idle_threads(server, gate):
    """Guards against a planned stop that lasts as long as a thread stays idle."""
    gate.set()
    pool = WorkerPool(server, MAX_THREADS, "test", idle_timeout_s=60.0)
    put_all(pool, [GatedConnection(gate) for _ in range(30)])
    assert wait_until(lambda: len(server.returned) == 30)
    assert wait_until(lambda: pool.idle == len(pool.workers))
    begun_s = time.monotonic()
    pool.stop(30.0)
    assert_that(time.monotonic() - begun_s, LessThan(5.0))
    assert_that(pool.workers, HasLength(0))


def test_stop_cuts_reads_that_last_beyond_its_timeout(server):
    """Guards against a stop that waits for a caller that sends nothing."""
    pool = WorkerPool(server, 2, "test")
    connection = GatedConnection(threading.Event(), reads=True)
    put_all(pool, [connection])
    begun_s = time.monotonic()
    pool.stop(0.1)
    assert_that(time.monotonic() - begun_s, LessThan(5.0))
    assert connection.closed
