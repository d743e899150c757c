"""Targets on raw sockets whose behaviour is defined by a script of the test."""

import contextlib
import socket
import struct
import threading
import time

from attrs import define, field

# Limit for a test that does not open its gate.
GATE_TIMEOUT_S = 10


@define
class ReceivedRequest:
    """A request as received by a target."""

    line: str
    headers: list
    body: bytes = b""

    def values(self, name):
        return [value for key, value in self.headers if key.lower() == name.lower()]


def read_head(stream):
    line = stream.readline()
    if not line:
        return None
    headers = []
    while (row := stream.readline()) not in (b"\r\n", b""):
        name, _, value = row.decode("latin-1").rstrip("\r\n").partition(": ")
        headers.append((name, value))
    return ReceivedRequest(line.decode().rstrip("\r\n"), headers)


def read_chunked(stream):
    body = bytearray()
    while size := int(stream.readline(), 16):
        body += stream.read(size)
        stream.readline()
    stream.readline()
    return bytes(body)


def read_body(stream, received):
    if received.values("transfer-encoding"):
        received.body = read_chunked(stream)
    else:
        received.body = stream.read(int((received.values("content-length") or [0])[0]))


def make_response(status, body=b"", *headers):
    lines = [f"HTTP/1.1 {status} Reason", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


def reset_connection(sock, stream):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.close()
    sock.close()


@define(eq=False)
class ScriptedTarget:
    """A listening target; `script(target, sock, stream)` serves each connection."""

    script: object
    received: list = field(factory=list)
    connections: int = 0
    closed_at: float | None = None
    """Time at which `wait_until_closed` saw the connection end."""
    listener: socket.socket = field(init=False)
    sockets: list = field(factory=list)

    def __attrs_post_init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def close(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def wait_until_closed(self, sock):
        """Block until the peer closes `sock`, and record the time."""
        with contextlib.suppress(OSError):
            while sock.recv(65536):
                pass
        self.closed_at = time.monotonic()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            self.sockets.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError, ValueError), sock, sock.makefile("rb") as f:
            self.script(self, sock, f)


def serve_responses(reply):
    """Return a script that responds to each request with `reply(received)`."""

    def script(target, sock, stream):
        while (received := read_head(stream)) is not None:
            read_body(stream, received)
            target.received.append(received)
            sock.sendall(reply(received))

    return script


def serve_bytes(data):
    """Return a script that responds to each request with the same bytes."""
    return serve_responses(lambda received: data)


def serve_with_gate(gate, data):
    """Return a script that holds requests to paths with `slow` until a gate opens.

    Each request gets the same bytes; `gate` is a `threading.Event`.
    """

    def reply(received):
        if "slow" in received.line:
            gate.wait(GATE_TIMEOUT_S)
        return data

    return serve_responses(reply)
