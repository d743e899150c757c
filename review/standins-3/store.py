"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import base64
import itertools
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HISTORY_S = 20.0
# Time after which a server notices that it is to end.
POLL_INTERVAL_S = 0.02
RESERVED_PREFIXES = ("op/", "servers/")


class Store:
    """Key-value store on a loopback address, with a port for each machine.

    All processes on loopback call from the same address; the port tells them apart.

    Parameters
    ----------
    host : str
        Loopback address to listen on.
    """

    def __init__(self, host):
        self.revision = 100
        self.entries = {}
        self.events = []
        self.leases = {}
        self.lease_ids = itertools.count(77001)
        self.condition = threading.Condition()
        self.lose_response = lambda path, query, fields, machine: False
        """Returns whether the response to a call is lost; its connection stays open."""
        self.response_delay_s = lambda path, query, machine: 0.0
        """Returns the time between the execution of a call and its response."""
        self.page_items = 500
        self.on_call = lambda path, query, machine: None
        """Called when a call arrives."""
        self.watchers = {}
        """Machine that was the last one to watch each prefix."""
        self.stopping = threading.Event()
        self.host = host
        self.servers = []
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def listen(self, machine):
        """Serve a machine, and return the address for it."""
        handler = type("Handler", (_Handler,), {"store": self, "machine": machine})
        server = _Server((self.host, 0), handler)
        self.servers.append(server)
        threading.Thread(
            target=server.serve_forever, args=(POLL_INTERVAL_S,), daemon=True
        ).start()
        host, port = server.server_address
        return f"{host}:{port}"

    def close(self):
        self.stopping.set()
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def put(self, key, fields, lease=0):
        """Write a key as the operator or a backend does; return the time of the ack."""
        with self.condition:
            self._write(key, json.dumps(fields).encode(), lease)
            return time.monotonic()

    def remove(self, key):
        """Remove a key; return the time of the acknowledgement."""
        with self.condition:
            if self.entries.pop(key, None) is not None:
                self.revision += 1
                event = {"key": key, "rev": self.revision, "removed": True}
                self._add_event(event)
            return time.monotonic()

    def _write(self, key, data, lease):
        self.revision += 1
        previous = self.entries.get(key)
        created = self.revision if previous is None else previous["create_revision"]
        self.entries[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self.revision,
            "create_revision": created,
            "lease": lease,
        }
        self._add_event(self.entries[key])

    def _add_event(self, event):
        self.events.append((time.monotonic(), event))
        self.condition.notify_all()

    def _expire_leases(self):
        while not self.stopping.wait(0.1):
            now = time.monotonic()
            with self.condition:
                ended = [lease for lease, end in self.leases.items() if now > end]
                for lease in ended:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, e in self.entries.items() if e["lease"] == lease]:
            self.remove(key)

    # Calls; each returns the status and the fields of its response.

    def call(self, method, path, query, body):
        with self.condition:
            if (method, path) == ("GET", "/kv-key"):
                entry = self.entries.get(query["key"])
                if entry is None:
                    return 404, {}
                return 200, {**entry, "store_revision": self.revision}
            if (method, path) == ("GET", "/kv-range"):
                return self._range(query)
            if (method, path) == ("GET", "/kv-watch"):
                return self._watch(query)
            if (method, path) == ("POST", "/kv-txn"):
                return self._commit(body)
            if (method, path) == ("POST", "/kv-lease"):
                lease = next(self.lease_ids)
                self.leases[lease] = time.monotonic() + body["ttl_ms"] / 1000
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            return self._call_lease(method, path)

    def _call_lease(self, method, path):
        verb, _, number = path[1:].partition("/")
        lease = int(number) if number.isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if (method, verb) == ("POST", "kv-keep"):
            self.leases[lease] = time.monotonic() + 60.0
            return 200, {"ttl_ms": 60_000}
        if (method, verb) == ("DELETE", "kv-lease-end"):
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    def _range(self, query):
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > after)
        page = keys[: self.page_items]
        return 200, {
            "items": [self.entries[key] for key in page],
            "truncated": len(keys) > len(page),
            "store_revision": self.revision,
        }

    def _watch(self, query):
        after = int(query["after"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            now = time.monotonic()
            while self.events and now - self.events[0][0] > HISTORY_S:
                self.events.pop(0)
            oldest = self.events[0][1]["rev"] - 1 if self.events else self.revision
            if after < oldest:
                return 410, {}
            events = [
                event
                for _, event in self.events
                if event["rev"] > after and event["key"].startswith(query["prefix"])
            ]
            if events or now >= until_s:
                return 200, {"events": events, "store_revision": self.revision}
            self.condition.wait(until_s - now)

    def _commit(self, body):
        for row in body["precondition"]:
            entry = self.entries.get(row["key"])
            if (0 if entry is None else entry["rev"]) != row["rev"]:
                return 412, {"items": []}
        keys = [put["key"] for put in body["puts"]] + body["deletes"]
        if any(key.startswith(RESERVED_PREFIXES) for key in keys):
            return 403, {}
        if any(put["lease"] not in {0, *self.leases} for put in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            self._write(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["deletes"]:
            self.remove(key)
        return 200, {"rev": self.revision}


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore the end of a caller, which may come at any time."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    store: Store
    machine: str

    def log_message(self, *arguments):
        """Suppress the request log of the base class."""

    def do_GET(self):
        self._serve()

    def do_POST(self):
        self._serve()

    def do_DELETE(self):
        self._serve()

    def _serve(self):
        length = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(length) or b"{}")
        path, _, text = self.path.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        if path == "/kv-watch":
            self.store.watchers[query["prefix"]] = self.machine
        self.store.on_call(path, query, self.machine)
        status, fields = self.store.call(self.command, path, query, body)
        if self.store.lose_response(path, query, fields, self.machine):
            # The connection stays open and returns nothing further.
            self.store.stopping.wait()
            self.close_connection = True
            return
        time.sleep(self.store.response_delay_s(path, query, self.machine))
        data = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
