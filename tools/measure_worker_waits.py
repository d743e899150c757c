"""Measures how long connections of a burst from rest wait for a worker thread.

Compares cheroot's pool, whose threads all exist from the start, with `WorkerPool`.
"""

import argparse
import threading
import time

from cheroot.workers.threadpool import ThreadPool

from lacewinglift.worker_pool import WorkerPool

MAX_THREADS = 96


class SlowConnection:
    """Connection whose request lasts for some time."""

    def __init__(self, duration_s):
        self.duration_s = duration_s
        self.requests_seen = 0
        self.put_at_s = 0.0
        self.wait_s = None

    def communicate(self):
        self.wait_s = time.monotonic() - self.put_at_s
        time.sleep(self.duration_s)
        return True


class StubServer:
    """Server that drops the connections it gets back."""

    def __init__(self):
        self.stats = {"Enabled": False, "Worker Threads": {}}

    def put_conn(self, connection):
        pass

    def error_log(self, message, level=0, traceback=False):
        print(message)


def make_cheroot_pool():
    server = StubServer()
    pool = ThreadPool(server, min=MAX_THREADS, max=MAX_THREADS)
    server.requests = pool
    return pool


def make_worker_pool():
    return WorkerPool(StubServer(), MAX_THREADS, "measured")


def measure(make_pool, count, span_s, duration_s):
    """Return the sorted waits of a burst, and the threads at rest and at its end."""
    pool = make_pool()
    pool.start()
    at_rest = threading.active_count()
    connections = [SlowConnection(duration_s) for _ in range(count)]
    for connection in connections:
        connection.put_at_s = time.monotonic()
        pool.put(connection)
        time.sleep(span_s / count)
    busy = threading.active_count()
    time.sleep(duration_s)
    pool.stop(1.0)
    return sorted(each.wait_s for each in connections), at_rest, busy


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--count", type=int, default=90)
    parser.add_argument("--span", type=float, default=1.0, help="of the burst, in s")
    parser.add_argument("--duration", type=float, default=1.2, help="of a request, s")
    parser.add_argument("--runs", type=int, default=5)
    options = parser.parse_args()
    for name, make_pool in (
        ("cheroot", make_cheroot_pool),
        ("follows the load", make_worker_pool),
    ):
        for _ in range(options.runs):
            waits_s, at_rest, busy = measure(
                make_pool, options.count, options.span, options.duration
            )
            p99_ms = waits_s[int(0.99 * len(waits_s))] * 1000
            print(
                f"{name:17} threads at rest {at_rest:3} busy {busy:3}"
                f"  p50 {waits_s[len(waits_s) // 2] * 1000:.2f} ms"
                f"  p99 {p99_ms:.2f} ms  max {waits_s[-1] * 1000:.2f} ms"
            )


if __name__ == "__main__":
    main()
