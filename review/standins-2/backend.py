"""Stand-in for a sound backend: HTTP/1.1, one request at a time on a connection."""

import contextlib
import itertools
import socket
import threading
import time


class Backend:
    """Backend with an instance id; `on_run` is told of each request that it runs.

    It works on `slots` requests at a time, keeps `queue` more waiting and rejects the
    rest.
    """

    def __init__(self, name, service, zone, on_run, work_s=0.03, slots=64, queue=8):
        self.name, self.service, self.zone = name, service, zone
        self.on_run, self.work_s = on_run, work_s
        self.slots, self.queue = slots, queue
        self.held = 0
        self.free_slots = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.sequence = itertools.count(1)
        self.born_ms = int(time.time() * 1000)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, state="ready"):
        """Return what the backend writes to the store about itself."""
        return {
            "address": self.address,
            "born": self.born_ms,
            "server_info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": state,
                "sequence": next(self.sequence),
                "warmup_remaining_ms": 0,
            },
        }

    def close(self):
        with contextlib.suppress(OSError):
            self.listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError, ValueError), connection:
            stream = connection.makefile("rb")
            while (request := read_request(stream)) is not None:
                connection.sendall(self._answer(request))

    def _answer(self, request):
        line, headers, body = request
        request_id = headers.get("request-id", "")
        if headers.get("expected-instance", self.name) != self.name:
            return response(421, b"", request_id, **{"Instance-Id": self.name})
        if not request_id:
            extra = {"Instance-Id": self.name}
            if line.split(" ")[1] == "/health":
                return response(200, b"", "", **extra)
            return response(400, b"", "", **{"Not-Executed": "1"})
        with self.lock:
            if self.held >= self.slots + self.queue:
                return response(503, b"", request_id, **{"Not-Executed": "1"})
            self.held += 1
        try:
            with self.free_slots:
                self.on_run(self, line, headers, body)
                time.sleep(self.work_s)
        finally:
            with self.lock:
                self.held -= 1
        signature = {"Server-Signature": f"{self.name}.{request_id}"}
        return response(
            200, f"answer to {request_id}".encode(), request_id, **signature
        )


def response(status, body, request_id, **headers):
    """Return the bytes of an answer."""
    if request_id:
        headers["Request-Id"] = request_id
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def read_request(stream):
    """Return line, headers and body of the next request; None at the end."""
    line = stream.readline().decode("latin-1").rstrip("\r\n")
    if not line:
        return None
    headers = {}
    while (row := stream.readline()) not in (b"\r\n", b""):
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return line, headers, _read_chunks(stream)
    return line, headers, stream.read(int(headers.get("content-length", 0)))


def _read_chunks(stream):
    body = b""
    while size := int(stream.readline().split(b";")[0], 16):
        body += stream.read(size)
        stream.readline()
    while stream.readline() not in (b"\r\n", b""):
        pass
    return body
