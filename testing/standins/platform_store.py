"""Stand-in for the platform's metadata store, with the faults it documents."""

import base64
import itertools
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from attrs import define, field

MAX_TXN_ENTRIES = 32
# Stands for a connection that is closed instead of a response.
NO_RESPONSE = (None, None)


@define
class _Entry:
    value: bytes
    rev: int
    created: int
    lease: int = 0


@define(eq=False, slots=False)
class PlatformStoreStandIn:
    """Metadata store on a loopback address, with faults to inject.

    The fields `unresponsive` to `lost_reply_write_delay_s` set the faults.

    Parameters
    ----------
    host : str
        Loopback address to listen on.
    """

    host: str = "127.0.0.1"
    page_size: int = 500
    era: int = 1
    """Number of times that the store was restored from a copy, plus one."""
    revision: int = 100
    oldest_revision: int = 100
    """Oldest revision from which a watch may start; earlier history is dropped."""
    unresponsive: bool = False
    """Whether the store accepts calls and never responds."""
    forced_status: int | None = None
    """Status of all responses, such as 503 or 429; None for regular responses."""
    lost_replies_left: int = 0
    """Number of further writes that are applied without a response."""
    lost_reply_write_delay_s: float = 0.0
    """Delay until a write without a response is applied."""
    lost_watch_responses: list = field(factory=list)
    """Prefixes of watches of which the next response is lost; the connection stays."""
    watch_cuts: int = 0
    """Number of times that all waiting watches were cut."""
    entries: dict = field(factory=dict)
    events: list = field(factory=list)
    leases: dict = field(factory=dict)
    calls: list = field(factory=list)
    lease_ids: object = field(factory=lambda: itertools.count(77001))
    closed: threading.Event = field(factory=threading.Event)
    condition: threading.Condition = field(factory=threading.Condition)

    def __attrs_post_init__(self):
        handler = type("Handler", (_Handler,), {"store": self})
        self.server = ThreadingHTTPServer((self.host, 0), handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    @property
    def address(self):
        host, port = self.server.server_address
        return f"{host}:{port}"

    def close(self):
        self.closed.set()
        self.server.shutdown()
        self.server.server_close()

    def put(self, key, fields, lease=0):
        """Write a key as the operator or a target does, without transaction checks."""
        data = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        with self.condition:
            self._write(key, data, lease)

    def remove(self, key):
        """Remove a key."""
        with self.condition:
            if self.entries.pop(key, None) is not None:
                self.revision += 1
                event = {"key": key, "rev": self.revision, "removed": True}
                self.events.append(event)
                self.condition.notify_all()

    def forget_history(self):
        """Drop the history of all changes so far, so that older watches fail."""
        with self.condition:
            self.events.clear()
            self.oldest_revision = self.revision
            self.condition.notify_all()

    def cut_watches(self):
        """Close the connections of the watches that wait now."""
        with self.condition:
            self.watch_cuts += 1
            self.condition.notify_all()

    def copy(self):
        """Return a copy to restore the store from."""
        with self.condition:
            return self.revision, dict(self.entries), dict(self.leases)

    def restore(self, copy, rewritten=()):
        """Return to a copy; the owners of keys write some of them again at once.

        Parameters
        ----------
        copy : tuple
            Copy of the store.
        rewritten : iterable of (str, dict)
            Keys and fields that are written before anybody else calls.
        """
        with self.condition:
            self.revision, entries, leases = copy
            self.entries, self.leases = dict(entries), dict(leases)
            self.events = [e for e in self.events if e["rev"] <= self.revision]
            self.era += 1
            for key, fields in rewritten:
                self._write(key, json.dumps(fields).encode(), 0)
            self.condition.notify_all()

    def expire_leases(self):
        """Remove expired leases together with their keys."""
        now = time.monotonic()
        for lease, expires_at_s in list(self.leases.items()):
            if now > expires_at_s:
                del self.leases[lease]
                for key, entry in list(self.entries.items()):
                    if entry.lease == lease:
                        self.remove(key)

    def _write(self, key, data, lease):
        self.revision += 1
        previous = self.entries.get(key)
        created = self.revision if previous is None else previous.created
        self.entries[key] = _Entry(data, self.revision, created, lease)
        self.events.append(self._item(key))
        self.condition.notify_all()

    def _item(self, key):
        entry = self.entries[key]
        return {
            "key": key,
            "value": base64.b64encode(entry.value).decode(),
            "rev": entry.rev,
            "create_revision": entry.created,
            "lease": entry.lease,
        }

    # Store operations; each returns the status and the fields of its response.

    def range(self, query):
        with self.condition:
            keys = sorted(
                key
                for key in self.entries
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            page = keys[: self.page_size]
            return 200, {
                "items": [self._item(key) for key in page],
                "truncated": len(keys) > len(page),
                "store_revision": self.revision,
            }

    def watch(self, query):
        after = int(query["after"])
        deadline_s = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.condition:
            cuts = self.watch_cuts
            while True:
                if not self.oldest_revision <= after <= self.revision:
                    return 410, {}
                events = [
                    event
                    for event in self.events
                    if event["rev"] > after and event["key"].startswith(query["prefix"])
                ]
                remaining_s = deadline_s - time.monotonic()
                if self.watch_cuts > cuts and not events:
                    return NO_RESPONSE
                if events or remaining_s <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                self.condition.wait(remaining_s)

    def txn(self, body):
        operations = [*body["precondition"], *body["puts"], *body["deletes"]]
        if len(operations) > MAX_TXN_ENTRIES:
            return 400, {}
        with self.condition:
            for row in body["precondition"]:
                entry = self.entries.get(row["key"])
                if (0 if entry is None else entry.rev) != row["rev"]:
                    return 412, {"items": []}
            if any(put["key"].startswith(("op/", "servers/")) for put in body["puts"]):
                return 403, {}
            if any(put["lease"] not in {0, *self.leases} for put in body["puts"]):
                return 404, {}
            for put in body["puts"]:
                data = base64.b64decode(put["value"], validate=True)
                self._write(put["key"], data, put["lease"])
        for key in body["deletes"]:
            self.remove(key)
        return 200, {"rev": self.revision}

    def grant_lease(self, body):
        lease = next(self.lease_ids)
        self.leases[lease] = time.monotonic() + body["ttl_ms"] / 1000
        return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}

    def renew_lease(self, lease):
        if lease not in self.leases:
            return 404, {}
        self.leases[lease] = time.monotonic() + 60
        return 200, {"ttl_ms": 60_000}


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    store: PlatformStoreStandIn

    def log_message(self, *arguments):
        """Suppress the request log of the base class."""

    def do_GET(self):
        self._serve(None)

    def do_POST(self):
        length = int(self.headers.get("Content-Length", 0))
        self._serve(json.loads(self.rfile.read(length) or b"{}"))

    def _serve(self, body):
        store = self.store
        store.calls.append((self.command, self.path))
        if store.unresponsive:
            time.sleep(30)
            self.close_connection = True
            return
        if store.forced_status is not None:
            self._send_json(store.forced_status, {})
            return
        if self.path == "/kv-txn" and store.lost_replies_left:
            store.lost_replies_left -= 1
            threading.Timer(store.lost_reply_write_delay_s, store.txn, (body,)).start()
            self.close_connection = True
            return
        path, _, text = self.path.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        answer = self._dispatch(path, query, body)
        if path == "/kv-watch" and query["prefix"] in store.lost_watch_responses:
            store.lost_watch_responses.remove(query["prefix"])
            store.closed.wait()
            self.close_connection = True
            return
        self._send_json(*answer)

    def _dispatch(self, path, query, body):
        store = self.store
        if path == "/kv-range":
            return store.range(query)
        if path == "/kv-watch":
            return store.watch(query)
        if path == "/kv-txn":
            return store.txn(body)
        if path == "/kv-lease":
            return store.grant_lease(body)
        if path.startswith("/kv-keep/"):
            return store.renew_lease(int(path.rpartition("/")[2]))
        return 404, {}

    def _send_json(self, status, fields):
        if (status, fields) == NO_RESPONSE:
            self.close_connection = True
            return
        data = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Store-Era", str(self.store.era))
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
