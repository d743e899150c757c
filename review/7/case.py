"""A limit that was lifted and set again is granted by each instance on its own.

Exit code 1 if the rule QUOTA was broken, 0 if it held, 2 if the case could not run.
"""

import http.client
import itertools
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from backend import Backend  # noqa: E402
from deployment import (  # noqa: E402
    ZONES,
    CannotRunError,
    Deployment,
    Record,
    configuration,
)
from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX, SERVICE = "orders.example", "/deposit/", "order-ledger"
TENANT, KEY = "workshop-1", "key-of-workshop-1"
# Bounds of the deployment; the rule counts requests in any window of this length.
WINDOW_S, OVER, SLACK, PROPAGATION_S = 5.0, 0.1, 20, 2.0
HIGH_PER_S, LOW_PER_S, BURST = 90, 20, 20
# Clients send this much all the time, evenly over the instances.
SENT_PER_S = 60
HIGH_PHASE_S, LIFTED_PHASE_S, LOW_PHASE_S = 30.0, 4.0, 30.0
SENDERS = 30


class Clients:
    """Clients of one tenant, that each send a request at a fixed interval."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.numbers = itertools.count(1)
        self.sent = {}
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._send_all, args=(n,), daemon=True)
            for n in range(SENDERS)
        ]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join(5.0)

    def _send_all(self, number):
        hosts = self.deployment.hosts
        interval_s = SENDERS / SENT_PER_S
        due = time.monotonic() + interval_s * number / SENDERS
        addresses, asked = [], -10.0
        for turn in itertools.count(number):
            if self.stopped.wait(max(due - time.monotonic(), 0.0)):
                return
            due += interval_s
            if time.monotonic() - asked > 2.0:
                host = hosts[number % len(hosts)]
                addresses = self.deployment.resolve(host, HOST) or addresses
                asked = time.monotonic()
            if addresses:
                self._send(addresses[turn % len(addresses)])

    def _send(self, address):
        request_id = f"{next(self.numbers):016x}"
        self.sent[request_id] = time.monotonic()
        connection = http.client.HTTPConnection(address, timeout=4)
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Request-Deadline": "3000",
            "Authorization": f"Bearer {KEY}",
        }
        try:
            connection.request("POST", PREFIX + "1", b"one donkey", headers)
            answer = connection.getresponse()
            answer.read()
            outcome = answer.status
        except (OSError, http.client.HTTPException) as error:
            outcome = repr(error)
        finally:
            connection.close()
        self.record.write(f"sent {request_id} to {address}: {outcome}")


def publish(store, record, version, limit):
    tenant = {"api_keys": [KEY], "priority": 0, **limit}
    routes = [{"host": HOST, "prefix": PREFIX, "service": SERVICE}]
    fields = configuration(version, HOST, routes, {TENANT: tenant}, [SERVICE])
    acknowledged = store.write("op/config", fields)
    record.write(f"operator: version r{version} acknowledged, limit {limit or 'none'}")
    return acknowledged


def worst_window(arrivals, since):
    """Return most requests that were both sent and run within a window."""
    times = sorted((sent, run) for sent, run in arrivals if sent >= since)
    worst = 0
    for start, _ in times:
        end = start + WINDOW_S
        worst = max(worst, sum(start <= sent and run <= end for sent, run in times))
    return worst


def main():
    record = Record(FOLDER / "record.txt")
    store = Store()
    runs = []

    def on_run(backend, line, headers, body):
        request_id = headers["request-id"]
        runs.append((request_id, headers.get("tenant"), time.monotonic()))
        record.write(
            f"run {request_id} at {backend.name}, tenant {headers.get('tenant')}"
        )

    deployment = Deployment(store.address, 2, record)
    backends = [Backend(f"i-{n}", SERVICE, ZONES[n % 3], on_run) for n in range(6)]
    clients = Clients(deployment, record)
    high = {"rate_per_s": HIGH_PER_S, "burst": BURST}
    low = {"rate_per_s": LOW_PER_S, "burst": BURST}
    try:
        publish(store, record, 1, high)
        for backend in backends:
            store.write(f"servers/{backend.name}", backend.entry())
        deployment.start_all()
        time.sleep(3.0)
        clients.start()
        time.sleep(HIGH_PHASE_S)
        publish(store, record, 2, {} if TROUBLE else high)
        time.sleep(LIFTED_PHASE_S)
        acknowledged = publish(store, record, 3, low)
        time.sleep(LOW_PHASE_S)
    finally:
        clients.stop()
        deployment.close()
        store.close()
    # A lower limit binds one window after all machines have had the time to apply it.
    since = acknowledged + PROPAGATION_S + WINDOW_S
    arrivals = [(clients.sent[i], at) for i, _, at in runs if i in clients.sent]
    worst = worst_window(arrivals, since)
    allowed = (LOW_PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK
    served = sum(sent >= since for sent, _ in arrivals)
    total = sum(sent >= since for sent in clients.sent.values())
    record.write(f"since the limit binds: {served} of {total} requests have run")
    result = "broken" if worst > allowed else "held"
    text = f"QUOTA {result}: {worst} run in a window, {allowed:.0f} allowed"
    record.write(text)
    record.close()
    print(text)
    if served == 0:
        return 2
    return 1 if worst > allowed else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRunError as error:
        print(f"cannot run: {error}")
        sys.exit(2)
