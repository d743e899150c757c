"""Stand-in for targets: HTTP/1.1 servers that answer, queue, shed and fail.

Run many of them in one process with `python -m testing.standins.target FILE`; the
file is a JSON list of objects with `name`, and optionally `port` and `behaviour`.
The process prints one JSON line with the addresses.

A request is answered with a JSON object that has `target`, `seq` (count of executed
requests), `method`, `path`, `headers` (list of [name, value]) and `body_sha256`.
Query parameters of a request: `delay_ms`, `status`, `size` (bytes of the body),
`cut_after` (bytes of the body before the connection is closed), `chunked`.
`/__control?NAME=VALUE` on a target sets fields of `Behaviour` and answers with the
statistics.
"""

import argparse
import hashlib
import http.server
import json
import pathlib
import random
import select
import socket
import struct
import threading
import time
import urllib.parse
from collections import Counter
from typing import Any

from attrs import asdict, define, evolve, field, fields

from testing.standins.control import ControlServer, parse_value
from testing.standins.store import wait_for_signal

CONTROL_PATH = "/__control"
NOT_RUN_HEADER = "X-Lacewinglift-Not-Run"
DEADLINE_HEADER = "X-Lacewinglift-Deadline-Ms"
REQUEST_ID_HEADER = "X-Request-Id"

_CHUNK_BYTES = 65536
# The answer to a health request costs a target about this much.
HEALTH_DELAY_MS = 25.0


@define(kw_only=True)
class Behaviour:
    """How a target treats requests; the defaults are those of a good target."""

    delay_ms: float = 0.0
    """Added to the time that each request takes."""
    jitter_ms: float = 0.0
    """Mean of a random addition to `delay_ms`."""
    slots: int = 0
    """Requests that run at once; the others queue. 0 means no limit."""
    queue: int = 1000
    """Requests that may wait for a slot; the others are shed."""
    drain: bool = False
    """Refuse new requests, report draining, close connections after answers."""
    shed: bool = False
    """Refuse requests, stating that they did not run."""
    error_fraction: float = 0.0
    """Fraction of requests that run and are answered with status 500."""
    reset_fraction: float = 0.0
    """Fraction of requests that run and end with a reset connection."""
    hang: bool = False
    """Run requests and never answer."""
    hang_before_run: bool = False
    """Never run requests and never answer."""
    accept_silent: bool = False
    """Accept new connections and never answer on them; open ones work."""
    cold_s: float = 0.0
    """Duration of a cold start, counted from the moment that it is set."""
    cold_delay_ms: float = 200.0
    """Added delay at the beginning of a cold start; falls to 0 over `cold_s`."""
    health_lag_s: float = 0.0
    """Age of the state that the health report gives."""
    health_honest: bool = True
    """Whether the report shows faults; otherwise it always says "ok"."""
    health_delay_ms: float = HEALTH_DELAY_MS
    """Time that a health report takes."""


@define
class Statistics:
    """Counts of one target."""

    requests: int = 0
    executed: int = 0
    refused: int = 0
    errors: int = 0
    cancelled: int = 0
    """Requests whose caller closed the connection before the answer."""
    health_reports: int = 0
    connections_opened: int = 0
    connections: int = 0
    most_connections: int = 0
    running: int = 0
    most_running: int = 0


@define(eq=False)
class _Connection:
    silent: bool = False
    half_open: bool = False


class _DisconnectedError(Exception):
    """The connection is not used any more."""


class _NotRunError(Exception):
    """The request is refused without having run."""


class TargetStandIn:
    """One target on a port of its own.

    Parameters
    ----------
    name : str
        Name that answers give as `target`.
    port : int, default=0
        Port; 0 chooses a free one.
    **behaviour
        Fields of `Behaviour`.
    """

    def __init__(self, name: str, port: int = 0, **behaviour: Any) -> None:
        self.name = name
        self.behaviour = Behaviour(**behaviour)
        self.changed_s = time.monotonic()
        self.changes: list[tuple[float, Behaviour]] = [(0.0, self.behaviour)]
        self.statistics = Statistics()
        self.executions: Counter[str] = Counter()
        self.condition = threading.Condition()
        self.waiting = 0
        self.connections: set[_Connection] = set()
        self.port = port
        self.listen()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"127.0.0.1:{self.port}"

    def listen(self) -> None:
        """Accept connections, again after `refuse`."""
        self.server = _Server(("127.0.0.1", self.port), _handler_class(self))
        self.port = self.server.server_address[1]
        self.thread = threading.Thread(
            target=self.server.serve_forever, args=(0.1,), daemon=True
        )
        self.thread.start()

    def refuse(self) -> None:
        """Refuse new connections; open ones are reset at the next request."""
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()
        self.forget_connections()

    close = refuse

    def set(self, **changes: Any) -> None:
        """Change fields of the behaviour."""
        unknown = set(changes) - {entry.name for entry in fields(Behaviour)}
        if unknown:
            raise ValueError(f"unknown behaviour: {', '.join(sorted(unknown))}")
        with self.condition:
            self.behaviour = evolve(self.behaviour, **changes)
            self.changed_s = time.monotonic()
            self.changes.append((self.changed_s, self.behaviour))
            self.condition.notify_all()

    def silence_connections(self) -> None:
        """Never answer again on the connections that are open now."""
        for connection in list(self.connections):
            connection.silent = True

    def forget_connections(self) -> None:
        """Leave the open connections half open: the next request is reset."""
        for connection in list(self.connections):
            connection.half_open = True

    def duplicates(self) -> dict[str, int]:
        """Return the ids of requests that ran more than once, with counts."""
        with self.condition:
            return {name: n for name, n in self.executions.items() if n > 1}

    def report(self) -> dict[str, Any]:
        """Return behaviour and counts."""
        with self.condition:
            return {
                "target": self.name,
                "address": self.address,
                "behaviour": asdict(self.behaviour),
                "duplicates": sum(n - 1 for n in self.executions.values()),
                **asdict(self.statistics),
            }

    def behaviour_at(self, moment_s: float) -> Behaviour:
        """Return the behaviour that was in force at a time."""
        with self.condition:
            past = [entry for since, entry in self.changes if since <= moment_s]
        return past[-1]

    def cold_delay_s(self) -> float:
        """Return the delay that a cold start adds now."""
        behaviour = self.behaviour
        if behaviour.cold_s <= 0:
            return 0.0
        age = (time.monotonic() - self.changed_s) / behaviour.cold_s
        return max(1.0 - age, 0.0) * behaviour.cold_delay_ms / 1000

    def delay_s(self) -> float:
        """Return how long the next request takes."""
        behaviour = self.behaviour
        delay_ms = behaviour.delay_ms
        if behaviour.jitter_ms:
            delay_ms += random.expovariate(1 / behaviour.jitter_ms)
        return delay_ms / 1000 + self.cold_delay_s()

    def start_request(self, deadline_s: float | None) -> None:
        """Wait for a slot; refuse when there is none in time."""
        with self.condition:
            behaviour = self.behaviour
            if behaviour.shed or behaviour.drain:
                raise _NotRunError("draining" if behaviour.drain else "shedding")
            if self._is_full():
                self._wait_for_slot(deadline_s)
            self.statistics.running += 1
            self.statistics.most_running = max(
                self.statistics.most_running, self.statistics.running
            )

    def finish_request(self) -> None:
        """Free the slot of a request."""
        with self.condition:
            self.statistics.running -= 1
            self.condition.notify()

    def note_execution(self, request_id: str | None) -> int:
        """Count one execution; return the count."""
        with self.condition:
            self.statistics.executed += 1
            if request_id is not None:
                self.executions[request_id] += 1
            return self.statistics.executed

    def count(self, name: str, amount: int = 1) -> None:
        """Add to one of the statistics."""
        with self.condition:
            setattr(self.statistics, name, getattr(self.statistics, name) + amount)

    def open_connection(self) -> _Connection:
        """Take note of a new connection."""
        connection = _Connection(silent=self.behaviour.accept_silent)
        with self.condition:
            self.connections.add(connection)
            self.statistics.connections_opened += 1
            self.statistics.connections += 1
            self.statistics.most_connections = max(
                self.statistics.most_connections, self.statistics.connections
            )
        return connection

    def drop_connection(self, connection: _Connection) -> None:
        """Take note of a closed connection."""
        with self.condition:
            self.connections.discard(connection)
            self.statistics.connections -= 1

    def _is_full(self) -> bool:
        slots = self.behaviour.slots
        return slots > 0 and self.statistics.running >= slots

    def _wait_for_slot(self, deadline_s: float | None) -> None:
        if self.waiting >= self.behaviour.queue:
            raise _NotRunError("queue full")
        self.waiting += 1
        try:
            timeout = None if deadline_s is None else deadline_s - time.monotonic()
            if not self.condition.wait_for(lambda: not self._is_full(), timeout):
                raise _NotRunError("deadline passed in the queue")
        finally:
            self.waiting -= 1


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: Any, client_address: Any) -> None:
        # Callers close connections at any moment; that is not worth a traceback.
        pass


def _handler_class(target: TargetStandIn) -> type["_Handler"]:
    return type("_TargetHandler", (_Handler,), {"target": target})


class _Handler(http.server.BaseHTTPRequestHandler):
    target: TargetStandIn
    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True

    def setup(self) -> None:
        super().setup()
        self.state = self.target.open_connection()

    def finish(self) -> None:
        self.target.drop_connection(self.state)
        super().finish()

    def __getattr__(self, name: str) -> Any:
        if name.startswith("do_"):
            return self._answer_any
        raise AttributeError(name)

    def log_message(self, format: str, *args: Any) -> None:
        pass

    def _answer_any(self) -> None:
        try:
            self._answer()
        except _DisconnectedError:
            self.close_connection = True
        except OSError:
            self.target.count("cancelled")
            self.close_connection = True

    def _answer(self) -> None:
        self.raw_path = self.raw_requestline.split()[1].decode("latin-1")
        parts = urllib.parse.urlsplit(self.raw_path)
        self.query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == CONTROL_PATH:
            self._answer_control()
            return
        self._act_out_connection_faults()
        body_sha256 = self._read_body()
        if parts.path == "/health":
            self._answer_health()
            return
        self._run(body_sha256)

    def _answer_control(self) -> None:
        self._read_body()
        try:
            self.target.set(
                **{name: parse_value(text) for name, text in self.query.items()}
            )
        except (TypeError, ValueError) as error:
            self._send_json(400, {"error": str(error)})
            return
        self._send_json(200, self.target.report())

    def _act_out_connection_faults(self) -> None:
        if self.state.half_open:
            self._reset()
        if self.state.silent or self.target.behaviour.hang_before_run:
            self._hang()

    def _answer_health(self) -> None:
        self.target.count("health_reports")
        behaviour = self.target.behaviour
        if behaviour.hang and behaviour.health_honest:
            self._hang()
        self._pause(behaviour.health_delay_ms / 1000)
        lag_s = behaviour.health_lag_s
        reported = self.target.behaviour_at(time.monotonic() - lag_s)
        failing = reported.drain or reported.shed or reported.error_fraction > 0
        healthy = not (behaviour.health_honest and failing)
        load = self.target.statistics.running / max(behaviour.slots, 1)
        status = "ok" if healthy else "draining" if reported.drain else "failing"
        self._send_json(200 if healthy else 503, {"status": status, "load": load})

    def _run(self, body_sha256: str) -> None:
        self.target.count("requests")
        deadline_s = self._deadline_s()
        try:
            self.target.start_request(deadline_s)
        except _NotRunError as error:
            self.target.count("refused")
            self.close_connection |= self.target.behaviour.drain
            self._send_json(503, {"error": str(error)}, {NOT_RUN_HEADER: "1"})
            return
        try:
            seq = self.target.note_execution(self.headers.get(REQUEST_ID_HEADER))
            delay_s = self.target.delay_s() + self._number("delay_ms", 0.0) / 1000
            in_time = self._work(delay_s, deadline_s)
            if self.state.silent or self.target.behaviour.hang:
                self._hang()
        finally:
            self.target.finish_request()
        if random.random() < self.target.behaviour.reset_fraction:
            self._reset()
        if not in_time:
            self._send_json(504, {"error": "deadline passed"})
            return
        self._send_answer(seq, body_sha256)

    def _work(self, delay_s: float, deadline_s: float | None) -> bool:
        """Take as long as the request takes; return False at its deadline."""
        end = time.monotonic() + delay_s
        if deadline_s is not None and deadline_s < end:
            self._pause(deadline_s - time.monotonic())
            return False
        self._pause(delay_s)
        return True

    def _send_answer(self, seq: int, body_sha256: str) -> None:
        behaviour = self.target.behaviour
        status = int(self._number("status", 200))
        if random.random() < behaviour.error_fraction:
            status = 500
        if status >= 500:
            self.target.count("errors")
        self.close_connection |= behaviour.drain
        answer = {
            "target": self.target.name,
            "seq": seq,
            "method": self.command,
            "path": self.raw_path,
            "headers": [list(pair) for pair in self.headers.items()],
            "body_sha256": body_sha256,
        }
        self._send_sized(status, answer)

    def _send_sized(self, status: int, answer: dict[str, Any]) -> None:
        body = json.dumps(answer).encode()
        size = int(self._number("size", len(body)))
        pad = f"{self.target.name}-{answer['seq']}.".encode()
        cut_after = self.query.get("cut_after")
        chunked = bool(self.query.get("chunked"))
        self._start_answer(status, None if chunked else size)
        if self.command == "HEAD":
            return
        sent = 0
        limit = size if cut_after is None else min(size, int(cut_after))
        while sent < limit:
            piece = padded_body(body, size, pad, sent, min(_CHUNK_BYTES, limit - sent))
            self._write_piece(piece, chunked)
            sent += len(piece)
        if cut_after is not None and limit < size:
            self.wfile.flush()
            raise _DisconnectedError
        if chunked:
            self.wfile.write(b"0\r\n\r\n")
        self.wfile.flush()

    def _write_piece(self, piece: bytes, chunked: bool) -> None:
        if chunked:
            piece = b"%x\r\n%s\r\n" % (len(piece), piece)
        self.wfile.write(piece)

    def _start_answer(
        self, status: int, size: int | None, headers: dict[str, str] | None = None
    ) -> None:
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        if size is None:
            self.send_header("Transfer-Encoding", "chunked")
        elif status >= 200 and status not in (204, 304):
            self.send_header("Content-Length", str(size))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        if self.close_connection:
            self.send_header("Connection", "close")
        self.end_headers()

    def _send_json(
        self, status: int, answer: Any, headers: dict[str, str] | None = None
    ) -> None:
        body = json.dumps(answer).encode()
        self._start_answer(status, len(body), headers)
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()

    def _read_body(self) -> str:
        digest = hashlib.sha256()
        if "chunked" in self.headers.get("Transfer-Encoding", "").lower():
            for piece in self._read_chunks():
                digest.update(piece)
        else:
            left = int(self.headers.get("Content-Length") or 0)
            while left:
                piece = self._read_exactly(min(left, _CHUNK_BYTES))
                digest.update(piece)
                left -= len(piece)
        return digest.hexdigest()

    def _read_chunks(self) -> Any:
        while True:
            size = int(self.rfile.readline().split(b";")[0], 16)
            if size == 0:
                break
            yield self._read_exactly(size)
            self.rfile.readline()
        while self.rfile.readline() not in (b"\r\n", b"\n", b""):
            pass

    def _read_exactly(self, size: int) -> bytes:
        data = self.rfile.read(size)
        if len(data) < size:
            self.target.count("cancelled")
            raise _DisconnectedError
        return data

    def _deadline_s(self) -> float | None:
        text = self.headers.get(DEADLINE_HEADER)
        return None if text is None else time.monotonic() + float(text) / 1000

    def _number(self, name: str, default: float) -> float:
        return float(self.query.get(name, default))

    def _pause(self, duration_s: float) -> None:
        """Wait, and end the request when the caller disconnects meanwhile."""
        if duration_s <= 0:
            return
        end = time.monotonic() + duration_s
        readable, _, _ = select.select([self.connection], [], [], duration_s)
        if not readable:
            return
        if self.connection.recv(1, socket.MSG_PEEK) == b"":
            self.target.count("cancelled")
            raise _DisconnectedError
        time.sleep(max(end - time.monotonic(), 0.0))

    def _hang(self) -> None:
        """Answer nothing until the caller gives up."""
        while self.connection.recv(_CHUNK_BYTES):
            pass
        self.target.count("cancelled")
        raise _DisconnectedError

    def _reset(self) -> None:
        linger = struct.pack("ii", 1, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.connection.close()
        raise _DisconnectedError


def padded_body(body: bytes, size: int, pad: bytes, start: int, length: int) -> bytes:
    """Return a part of the body of an answer.

    The JSON object comes first. After it the padding repeats target and sequence
    number, so that mixed up answers are seen at any position.
    """
    end = min(start + length, size)
    piece = body[start:end]
    at = start + len(piece)
    if at >= end:
        return piece
    offset = (at - len(body)) % len(pad)
    repeats = (end - at + offset) // len(pad) + 1
    return piece + (pad * repeats)[offset : offset + end - at]


@define(eq=False)
class TargetGroup:
    """Many targets in one process, with one control port."""

    targets: dict[str, TargetStandIn] = field(factory=dict)

    def add(self, name: str, port: int = 0, **behaviour: Any) -> TargetStandIn:
        """Start a target."""
        target = TargetStandIn(name, port, **behaviour)
        self.targets[name] = target
        return target

    def commands(self) -> dict[str, Any]:
        """Return the commands of the control port."""
        return {
            "set": lambda target, **changes: self._find(target).set(**changes),
            "refuse": lambda target: self._find(target).refuse(),
            "listen": lambda target: self._find(target).listen(),
            "silence_connections": lambda target: self._find(
                target
            ).silence_connections(),
            "forget_connections": lambda target: self._find(
                target
            ).forget_connections(),
            "report": lambda target: self._find(target).report(),
            "reports": lambda: [each.report() for each in self.targets.values()],
            "executions": self.executions,
            "duplicates": self.duplicates,
        }

    def executions(self) -> dict[str, int]:
        """Return how often requests ran at all targets together, by id."""
        total: Counter[str] = Counter()
        for target in self.targets.values():
            with target.condition:
                total.update(target.executions)
        return dict(total)

    def duplicates(self) -> dict[str, int]:
        """Return the ids that ran more than once at all targets together."""
        return {name: n for name, n in self.executions().items() if n > 1}

    def close(self) -> None:
        """Stop all targets."""
        for target in self.targets.values():
            target.close()

    def _find(self, name: str) -> TargetStandIn:
        if name not in self.targets:
            raise ValueError(f"unknown target {name}")
        return self.targets[name]


def main() -> None:
    """Run the targets of a file until signalled."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=pathlib.Path)
    options = parser.parse_args()
    group = TargetGroup()
    for entry in json.loads(options.file.read_text()):
        group.add(entry["name"], entry.get("port", 0), **entry.get("behaviour", {}))
    control = ControlServer(group.commands())
    addresses = {name: target.address for name, target in group.targets.items()}
    ready = {"targets": addresses, "control": control.address}
    print(json.dumps(ready), flush=True)
    wait_for_signal()
    control.close()
    group.close()


if __name__ == "__main__":
    main()
