"""Worker threads of the HTTP servers, as many as there are requests in progress."""

import contextlib
import logging
import queue
import socket
import threading
import time
from collections import deque
from typing import Protocol

# Time without work after which a thread ends. Longer than the pauses between requests
# of an instance under load, so that its threads are reused.
WORKER_IDLE_TIMEOUT_S = 5.0


class Connection(Protocol):
    """The part of a cheroot connection that the workers use."""

    socket: socket.socket

    def communicate(self) -> bool:
        """Process one request; return whether to keep the connection open."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class ConnectionServer(Protocol):
    """The part of a cheroot server that the workers use."""

    def put_conn(self, conn: Connection) -> None:
        """Take back a connection until its next request arrives."""
        ...

    def error_log(self, msg: str, level: int, traceback: bool) -> None:
        """Log a warning or an error."""
        ...


class _Worker(threading.Thread):
    def __init__(self, pool: "WorkerPool", connection: Connection) -> None:
        super().__init__(name=f"{pool.name}-worker", daemon=True)
        self.pool = pool
        self.connection: Connection | None = connection
        """Connection in progress; None while the thread is idle."""
        self.handover: queue.SimpleQueue[Connection | None] = queue.SimpleQueue()

    def run(self) -> None:
        while self.connection is not None:
            self.pool.process(self.connection)
            self.connection = self.pool.next_connection(self)


class WorkerPool:
    """Replaces cheroot's thread pool, whose threads all exist from the start.

    A thread is started when a connection has a request and no thread is idle. The
    thread that was idle for the shortest time is reused first, so that the others end.

    Parameters
    ----------
    server : ConnectionServer
        Server of the connections.
    max_threads : int
        Number of threads beyond which connections wait.
    name : str
        Start of the names of the threads.
    idle_timeout_s : float, default=WORKER_IDLE_TIMEOUT_S
        Time without work after which a thread ends.
    """

    def __init__(
        self,
        server: ConnectionServer,
        max_threads: int,
        name: str,
        idle_timeout_s: float = WORKER_IDLE_TIMEOUT_S,
    ) -> None:
        self.server = server
        self.max_threads = max_threads
        self.name = name
        self.idle_timeout_s = idle_timeout_s
        self.workers: set[_Worker] = set()
        self.idle_workers: list[_Worker] = []
        self.waiting: deque[Connection] = deque()
        self.stopped = False
        self._lock = threading.Lock()

    @property
    def idle(self) -> int:
        """Return the number of idle threads."""
        return len(self.idle_workers)

    @property
    def qsize(self) -> int:
        """Return the number of connections that wait for a thread."""
        return len(self.waiting)

    def start(self) -> None:
        """Do nothing; threads are started when they are needed."""

    def put(self, connection: Connection) -> None:
        """Process a connection in an idle or a new thread, or when one is free."""
        with self._lock:
            if self.idle_workers:
                self.idle_workers.pop().handover.put(connection)
                return
            if self.stopped or len(self.workers) >= self.max_threads:
                self.waiting.append(connection)
                return
            worker = _Worker(self, connection)
            self.workers.add(worker)
        self._start_worker(worker)

    def _start_worker(self, worker: _Worker) -> None:
        try:
            worker.start()
        except RuntimeError as error:
            # The system has no room for another thread; one in progress takes over.
            self.server.error_log(f"no thread was started: {error}", logging.WARNING)
            with self._lock:
                self.workers.discard(worker)
                self.waiting.append(worker.connection)

    def process(self, connection: Connection) -> None:
        """Process one request; close the connection, or give it back to the server."""
        keep_open = False
        try:
            keep_open = connection.communicate()
        except Exception as error:
            self._log_failure("request", error)
        try:
            if keep_open:
                self.server.put_conn(connection)
            else:
                connection.close()
        except Exception as error:
            # Without this, the thread would end and still count as one of the pool.
            self._log_failure("end of a connection", error)

    def _log_failure(self, what: str, error: Exception) -> None:
        message = f"{what} failed: {error!r}"
        self.server.error_log(message, logging.ERROR, traceback=True)

    def next_connection(self, worker: _Worker) -> Connection | None:
        """Return the next connection for a thread; None if the thread must end."""
        with self._lock:
            if self.waiting:
                return self.waiting.popleft()
            if self.stopped:
                self.workers.discard(worker)
                return None
            worker.connection = None
            self.idle_workers.append(worker)
        with contextlib.suppress(queue.Empty):
            return worker.handover.get(timeout=self.idle_timeout_s)
        with self._lock:
            if worker in self.idle_workers:
                self.idle_workers.remove(worker)
                self.workers.discard(worker)
                return None
        # A connection was handed over just after the timeout.
        return worker.handover.get()

    def stop(self, timeout: float = 0.0) -> None:
        """End all threads; requests that last longer than `timeout` are cut.

        Parameters
        ----------
        timeout : float, default=0.0
            Time in seconds for requests in progress to end.
        """
        with self._lock:
            self.stopped = True
            workers = list(self.workers)
            while self.idle_workers:
                self._dismiss(self.idle_workers.pop())
        deadline_s = time.monotonic() + timeout
        own_thread = threading.current_thread()
        for worker in workers:
            if worker is own_thread:
                continue
            worker.join(max(deadline_s - time.monotonic(), 0.0))
            if worker.is_alive():
                _stop_reading(worker.connection)
                worker.join()

    def _dismiss(self, worker: _Worker) -> None:
        self.workers.discard(worker)
        worker.handover.put(None)


def _stop_reading(connection: Connection | None) -> None:
    if connection is not None:
        with contextlib.suppress(OSError):
            connection.socket.shutdown(socket.SHUT_RD)
