"""HTTP/1.1 server for callers, built on cheroot."""

import contextlib
import logging
import socket
import threading
from typing import Any

from cheroot.errors import acceptable_sock_shutdown_exceptions
from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer

from lacewinglift.bodies import CallerGoneError
from lacewinglift.callers import HEAD_TIMEOUT_S, CallerStream
from lacewinglift.exchanges import CancelReason
from lacewinglift.headers import MAX_HEAD_BYTES, BadRequestError
from lacewinglift.listeners import drop_new_connections
from lacewinglift.logs import log_exception, log_warning
from lacewinglift.request_handler import RequestComponents, RequestHandler
from lacewinglift.socket_addresses import split_address
from lacewinglift.worker_pool import WorkerPool

LISTEN_BACKLOG = 1024
MAX_CONNECTIONS = 4096
IDLE_TIMEOUT_S = 30.0
# While the instance drains, an idle connection stays open for this long so that the
# caller can send one more request, which gets a response with "Connection: close".
DRAINING_IDLE_TIMEOUT_S = 2.0
# Time for TCP handshakes in progress to complete, which takes one round trip to the
# caller.
HANDSHAKE_TIMEOUT_S = 0.05


class CallerRequest(HTTPRequest):
    """Request that is parsed by the module `headers` instead of cheroot.

    cheroot's parser treats `X_A` as `X-A`, keeps only one of several headers with the
    same name and accepts ambiguous framing.
    """

    def parse_request(self) -> None:
        """Read and parse the head of the next request, as far as it has arrived."""
        # Prevents cheroot from sending its own error responses.
        self.sent_headers = True
        stream = self.conn.stream
        try:
            self.head = stream.poll_head()
        except BadRequestError as error:
            self.server.handler.refuse_invalid_head(stream, error)
            return
        except CallerGoneError:
            return
        self.ready = self.head is not None
        self.conn.rfile.head_incomplete = not self.ready

    def respond(self) -> None:
        """Process the request."""
        self.server.gateway(self).respond()


class CallerGateway(Gateway):
    """Passes requests to the request handler of the server."""

    def respond(self) -> None:
        """Process the request; close the connection if the handler says so."""
        request = self.req
        handler = request.server.handler
        keep = handler.handle(request.conn.stream, request.head)
        request.close_connection = not keep


class CallerReader(StreamReader):
    """Reader that reports no data while a request head is incomplete."""

    head_incomplete = False

    def has_data(self) -> bool:
        """Return whether buffered data can be processed without another read."""
        return super().has_data() and not self.head_incomplete


def _make_file(sock: socket.socket, mode: str, size: int) -> Any:
    return CallerReader(sock, mode, size) if "r" in mode else MakeFile(sock, mode, size)


class CallerConnection(HTTPConnection):
    """Connection of a caller, registered with the server while it is open."""

    RequestHandlerClass = CallerRequest
    rbufsize = MAX_HEAD_BYTES

    def __init__(self, server: "CallerServer", sock: socket.socket, *args: Any) -> None:
        super().__init__(server, sock, _make_file)
        self.idle = False
        self.closed = False
        self.used_at_s: float | None = None
        """Time of the last use, in seconds since the epoch; None before the first."""
        self.stream = CallerStream(
            self.rfile, sock, "", server.handler.components.timers
        )
        server.add_connection(self)

    @property
    def last_used(self) -> float | None:
        """Return the time of the last use, as cheroot is to see it.

        cheroot closes connections that are unused for `timeout`. An incomplete head
        must time out after HEAD_TIMEOUT_S instead.
        """
        if self.used_at_s is None or not self.rfile.head_incomplete:
            return self.used_at_s
        return self.used_at_s - max(self.server.timeout - HEAD_TIMEOUT_S, 0.0)

    @last_used.setter
    def last_used(self, time_s: float) -> None:
        self.used_at_s = time_s

    def communicate(self) -> bool:
        """Process one request; return whether to keep the connection open.

        A worker thread does not wait for the rest of an incomplete head: the
        connection goes back to the selector, so that slow callers block no threads.
        """
        self.idle = False
        self.stream.address = self.remote_addr or ""
        self.rfile.head_incomplete = False
        return super().communicate() or self.rfile.head_incomplete

    def close(self) -> None:
        """Close the connection, unless it was idle and a request has just arrived."""
        if self.idle and self.server.ready and self._has_request():
            self.server.process_conn(self)
            return
        if self.closed:
            return
        self.closed = True
        self.server.remove_connection(self)
        # An exception here would terminate cheroot's worker thread and its server.
        with contextlib.suppress(OSError, *acceptable_sock_shutdown_exceptions):
            if not self.stream.reset_on_close:
                self.socket.shutdown(socket.SHUT_RDWR)
        for each in (self.rfile, self.wfile, self.socket):
            with contextlib.suppress(OSError, ValueError):
                each.close()

    def _has_request(self) -> bool:
        try:
            self.socket.settimeout(0)
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False


class CallerServer(HTTPServer):
    """Server that assigns a worker thread to a connection only when it has data."""

    ConnectionClass = CallerConnection
    request_queue_size = LISTEN_BACKLOG
    keep_alive_conn_limit = None
    timeout = IDLE_TIMEOUT_S
    draining_idle_timeout_s = DRAINING_IDLE_TIMEOUT_S
    # Also the time that `stop` waits for the thread that accepts connections.
    expiration_interval = 0.1

    def __init__(
        self, address: tuple[str, int], worker_threads: int, handler: RequestHandler
    ) -> None:
        super().__init__(address, CallerGateway, server_name="lacewinglift")
        self.requests = WorkerPool(self, worker_threads, "frontend")
        self.handler = handler
        self.accepting = True
        self.connections: set[CallerConnection] = set()
        self._connections_lock = threading.Lock()

    def add_connection(self, connection: CallerConnection) -> None:
        """Register an accepted connection and update the connection metric."""
        with self._connections_lock:
            self.connections.add(connection)
        self.handler.components.metrics.caller_connections.inc()

    def remove_connection(self, connection: CallerConnection) -> None:
        """Unregister a closed connection and update the connection metric."""
        with self._connections_lock:
            self.connections.discard(connection)
        self.handler.components.metrics.caller_connections.dec()

    def process_conn(self, conn: CallerConnection) -> None:
        """Pass a connection to a worker thread once the caller has sent data."""
        if conn.last_used is not None:
            conn.idle = False
            conn.stream.queued_at_s = self.handler.components.timers.now()
            super().process_conn(conn)
        elif len(self.connections) > MAX_CONNECTIONS:
            conn.close()
        else:
            # cheroot would let a new connection without data occupy a worker
            # thread until the timeout.
            self.put_conn(conn)

    def put_conn(self, conn: CallerConnection) -> None:
        """Return a connection to the selector until its next request arrives."""
        try:
            conn.idle = True
            # Another thread may take the connection as soon as it is put back, so
            # nothing of it may be changed afterwards.
            super().put_conn(conn)
        except (OSError, ValueError, KeyError):
            conn.idle = False
            conn.close()

    def stop_accepting(self) -> None:
        """Close the listening socket; connections made before are still served."""
        if not self.accepting:
            return
        self.accepting = False
        listener = self.socket
        self._connections._selector.unregister(listener.fileno())
        now = self.handler.components.timers.now
        if drop_new_connections(listener):
            self._accept_until(listener, now() + HANDSHAKE_TIMEOUT_S)
        self._accept_until(listener, now())
        listener.close()
        self.timeout = self.draining_idle_timeout_s

    def _accept_until(self, listener: socket.socket, end_s: float) -> None:
        """Accept the connections in the backlog and those added until `end_s`."""
        while True:
            left_s = end_s - self.handler.components.timers.now()
            listener.settimeout(max(left_s, 0.0))
            connection = self._connections._from_server_socket(listener)
            if connection is None:
                return
            self.process_conn(connection)

    def _serve_unservicable(self) -> None:
        """End at once; no connection is rejected because of a full queue."""

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log a warning or an error of cheroot as `server_error`."""
        if traceback:
            log_exception("server_error", message=msg)
        elif level >= logging.WARNING:
            log_warning("server_error", message=msg)


class Frontend:
    """Accepts connections of callers and processes their requests.

    Parameters
    ----------
    settings : Settings
        `caller_address` and `worker_threads` are used.
    components : RequestComponents
        Components that process a request.
    """

    def __init__(self, settings: Any, components: RequestComponents) -> None:
        self.components = components
        self.handler = RequestHandler(components)
        self.server = CallerServer(
            split_address(settings.caller_address),
            settings.worker_threads,
            self.handler,
        )
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Return the address of the listening socket."""
        host, port = self.server.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Listen and start the worker threads."""
        self.server.prepare()
        self.components.exchange_monitor.start()
        self._thread = threading.Thread(
            target=self.server.serve, name="frontend", daemon=True
        )
        self._thread.start()

    def stop_accepting(self) -> None:
        """Refuse new connections; those accepted before are still served."""
        self.server.stop_accepting()

    def open_connections(self) -> int:
        """Return the number of open connections of callers."""
        return len(self.server.connections)

    def cancel_requests(self) -> int:
        """Cancel all requests in progress and return their number."""
        return self.components.exchange_monitor.cancel_all(CancelReason.STOPPED)

    def stop(self) -> None:
        """Close all connections and stop the worker threads."""
        self.server.stop()
        if self._thread is not None:
            self._thread.join()
        self.components.exchange_monitor.stop()
        self.components.forwarder.close()
