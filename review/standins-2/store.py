"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import base64
import itertools
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

# Answer of a watch whose connection is closed without one.
CUT = (None, None)


class Store:
    """Store on a loopback address; `write` is what the operator and servers do."""

    def __init__(self, host="127.0.0.1"):
        self.revision = 100
        self.entries = {}
        self.events = []
        self.leases = {}
        self.lease_ids = itertools.count(77001)
        self.condition = threading.Condition()
        self.watch_epoch = 0
        self.cut_watches = 0
        handler = type("Handler", (_Handler,), {"store": self})
        self.server = ThreadingHTTPServer((host, 0), handler)
        self.server.daemon_threads = True
        # Connections of processes that were ended are no errors of the store.
        self.server.handle_error = lambda request, address: None
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    @property
    def address(self):
        host, port = self.server.server_address
        return f"{host}:{port}"

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def write(self, key, fields, lease=0):
        """Write a key; return the time of the acknowledgement."""
        data = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        with self.condition:
            self._write(key, data, lease)
        return time.monotonic()

    def remove(self, key):
        """Remove a key; return the time of the acknowledgement."""
        with self.condition:
            self._remove(key)
        return time.monotonic()

    def cut_all_watches(self):
        """Cut the watches that wait now; they get no answer."""
        with self.condition:
            self.watch_epoch += 1
            self.condition.notify_all()

    def _write(self, key, data, lease):
        self.revision += 1
        before = self.entries.get(key)
        created = self.revision if before is None else before["create_revision"]
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self.revision,
            "create_revision": created,
            "lease": lease,
        }
        self.entries[key] = item
        self.events.append(item)
        self.condition.notify_all()

    def _remove(self, key):
        if self.entries.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"key": key, "rev": self.revision, "removed": True})
        self.condition.notify_all()

    def _expire(self):
        now = time.monotonic()
        for lease, (ends_at, _) in list(self.leases.items()):
            if now > ends_at:
                del self.leases[lease]
                for key in [k for k, e in self.entries.items() if e["lease"] == lease]:
                    self._remove(key)

    def range(self, query):
        with self.condition:
            self._expire()
            prefix, after = query.get("prefix", ""), query.get("after", "")
            items = [
                self.entries[key]
                for key in sorted(self.entries)
                if key.startswith(prefix) and key > after
            ]
            fields = {"items": items[:500], "truncated": len(items) > 500}
            return 200, {**fields, "store_revision": self.revision}

    def item(self, query):
        with self.condition:
            self._expire()
            item = self.entries.get(query.get("key", ""))
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self.revision}

    def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        deadline = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        with self.condition:
            epoch = self.watch_epoch
            while True:
                self._expire()
                events = [
                    event
                    for event in self.events
                    if event["rev"] > after and event["key"].startswith(prefix)
                ]
                left = deadline - time.monotonic()
                if epoch != self.watch_epoch and not events:
                    self.cut_watches += 1
                    return CUT
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                self.condition.wait(min(left, 0.5))

    def txn(self, body):
        with self.condition:
            self._expire()
            rows = body["precondition"]
            current = [self.entries.get(row["key"]) for row in rows]
            for row, entry in zip(rows, current, strict=True):
                if (0 if entry is None else entry["rev"]) != row["rev"]:
                    return 412, {"items": [e for e in current if e is not None]}
            keys = [put["key"] for put in body["puts"]] + list(body["deletes"])
            if any(key.startswith(("op/", "servers/")) for key in keys):
                return 403, {}
            if any(put["lease"] not in {0, *self.leases} for put in body["puts"]):
                return 404, {}
            for put in body["puts"]:
                data = base64.b64decode(put["value"], validate=True)
                self._write(put["key"], data, put["lease"])
            for key in body["deletes"]:
                self._remove(key)
            return 200, {"rev": self.revision}

    def grant(self, body):
        with self.condition:
            lease, ttl = next(self.lease_ids), body["ttl_ms"]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}

    def renew(self, lease):
        with self.condition:
            self._expire()
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}

    def end(self, lease):
        with self.condition:
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = (0.0, 0)
            self._expire()
            return 200, {}


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    store: Store

    def log_message(self, *arguments):
        """Write no log."""

    def do_GET(self):
        self._serve()

    def do_POST(self):
        self._serve()

    def do_DELETE(self):
        self._serve()

    def _serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length) or b"{}")
        path, _, text = self.path.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        status, fields = self._dispatch(path, query, body)
        if status is None:
            self.close_connection = True
            return
        data = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def _dispatch(self, path, query, body):
        store = self.store
        if path == "/kv-range":
            return store.range(query)
        if path == "/kv-key":
            return store.item(query)
        if path == "/kv-watch":
            return store.watch(query)
        if path == "/kv-txn":
            return store.txn(body)
        if path == "/kv-lease":
            return store.grant(body)
        if path.startswith("/kv-keep/"):
            return store.renew(int(path.rpartition("/")[2]))
        if path.startswith("/kv-lease-end/"):
            return store.end(int(path.rpartition("/")[2]))
        return 404, {}
