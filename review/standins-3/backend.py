"""Stand-in for a backend: runs requests, and writes its entry into the store."""

import contextlib
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

LOST_HEARTBEATS = 6
# Time after which a server notices that it is to end.
POLL_INTERVAL_S = 0.02


class Backend:
    """Backend of one service.

    Parameters
    ----------
    record : Record
        Receives each request that arrives.
    store : Store
        Where the backend registers itself.
    host, instance_id, service, zone : str
        Loopback address, ID, and what the entry says of it.
    clock_offset_ms : int, default=0
        Offset of the time of day of its machine.
    work_s : float, default=0.02
        Time that a request takes.
    slots : int, default=4
        Requests that it runs concurrently.
    """

    def __init__(
        self,
        record,
        store,
        host,
        instance_id,
        service,
        zone,
        clock_offset_ms=0,
        work_s=0.02,
        slots=4,
        port=0,
    ):
        self.record = record
        self.store = store
        self.instance_id = instance_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.free = threading.BoundedSemaphore(slots)
        self.queue = threading.BoundedSemaphore(slots + 8)
        self.born = int(time.time() * 1000) + clock_offset_ms
        self.state = "ready"
        self.sequence = 0
        self.entry_lock = threading.Lock()
        self.stopped = threading.Event()
        self.sockets = set()
        handler = type("Handler", (_Handler,), {"backend": self})
        self.server = _Server((host, port), handler)
        self.server.backend = self
        threading.Thread(
            target=self.server.serve_forever, args=(POLL_INTERVAL_S,), daemon=True
        ).start()

    @property
    def address(self):
        host, port = self.server.server_address
        return f"{host}:{port}"

    @property
    def port(self):
        return self.server.server_address[1]

    def register(self):
        """Write the entry; return the time of the acknowledgement."""
        with self.entry_lock:
            self.sequence += 1
            entry = {
                "address": self.address,
                "born": self.born,
                "server_info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "sequence": self.sequence,
                    "warmup_remaining_ms": 0,
                },
            }
            return self.store.put(f"servers/{self.instance_id}", entry)

    def drain(self):
        """Report that it leaves; return the time of the acknowledgement."""
        self.state = "draining"
        return self.register()

    def write_again(self):
        """Write the entry after heartbeats that have not reached the store."""
        self.sequence += LOST_HEARTBEATS
        return self.register()

    def deregister(self):
        """Remove the entry; return the time of the acknowledgement."""
        return self.store.remove(f"servers/{self.instance_id}")

    def end(self):
        """End at once, with all connections."""
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    backend: Backend

    def process_request(self, request, client_address):
        self.backend.sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.backend.sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore the end of a connection, which may come at any time."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    backend: Backend
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        """Suppress the request log of the base class."""

    def do_GET(self):
        self._serve()

    def do_POST(self):
        self._serve()

    def _serve(self):
        backend = self.backend
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        expected = self.headers.get("Expected-Instance", backend.instance_id)
        request_id = self.headers.get("Request-Id", "")
        if expected != backend.instance_id:
            self._answer(421, b"", {"Instance-Id": backend.instance_id})
            return
        if not backend.queue.acquire(blocking=False):
            self._answer(503, b"", {"Not-Executed": "1"})
            return
        try:
            with backend.free:
                backend.record.run(
                    request_id,
                    backend.instance_id,
                    backend.state,
                    self.headers.get("Tenant"),
                    self.path,
                )
                time.sleep(backend.work_s)
        finally:
            backend.queue.release()
        answer = f"{request_id} {len(body)}".encode()
        self._answer(200, answer, {"Server-Signature": f"s.{backend.instance_id}"})

    def _answer(self, status, body, headers):
        self.send_response(status)
        self.send_header("Request-Id", self.headers.get("Request-Id", ""))
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
