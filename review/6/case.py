"""A backend that has left goes on getting requests while the store cuts watches.

Exit code 1 if the rule DRAIN was broken, 0 if it held, 2 if the case could not run.
"""

import collections
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from backend import Backend  # noqa: E402
from clients import Clients  # noqa: E402
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
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# Requests that the backend that leaves has to have run before.
MIN_RUN_BEFORE = 20
# The store cuts all waiting watches a few times.
CUTS, CUT_INTERVAL_S = 12, 1.0
SENT_PER_S, WORK_S, SLOTS = 60, 0.05, 2
# The backend that leaves serves on for this long, "at times many seconds".
SERVES_ON_S = 10.0
STEADY_S = 4.0
# The backend leaves this long after the first cut.
CUT_BEFORE_S = 4.0


def cut_watches(store, stop, record):
    for _ in range(CUTS):
        store.cut_all_watches()
        record.write("store: all waiting watches are cut")
        if stop.wait(CUT_INTERVAL_S):
            return


def main():
    record = Record(FOLDER / "record.txt")
    store = Store()
    runs = []
    stop = threading.Event()

    def on_run(backend, line, headers, body):
        request_id = headers["request-id"]
        runs.append((request_id, backend.name, time.monotonic()))
        record.write(f"run {request_id} at {backend.name}")

    deployment = Deployment(store.address, 2, record)
    backends = [
        Backend(f"i-{n}", SERVICE, ZONES[n % 3], on_run, WORK_S, SLOTS)
        for n in range(8)
    ]
    clients = Clients(deployment, record, HOST, PREFIX + "1", KEY, SENT_PER_S)
    try:
        tenant = {"api_keys": [KEY], "priority": 0}
        routes = [{"host": HOST, "prefix": PREFIX, "service": SERVICE}]
        fields = configuration(1, HOST, routes, {TENANT: tenant}, [SERVICE])
        store.write("op/config", fields)
        for backend in backends:
            store.write(f"servers/{backend.name}", backend.entry())
        deployment.start_all()
        time.sleep(STABLE_WINDOW_S)
        clients.start()
        time.sleep(STEADY_S)
        if TROUBLE:
            arguments = (store, stop, record)
            threading.Thread(target=cut_watches, args=arguments, daemon=True).start()
        time.sleep(CUT_BEFORE_S)
        # The busiest backend leaves.
        before = collections.Counter(name for _, name, _ in runs)
        leaving = before.most_common(1)[0][0]
        acknowledged = store.remove(f"servers/{leaving}")
        record.write(f"store: the entry of {leaving} is removed; it serves on")
        time.sleep(SERVES_ON_S)
    finally:
        stop.set()
        clients.stop()
        deployment.close()
        store.close()
    late = [at - acknowledged for _, name, at in runs if name == leaving]
    late = sorted(after for after in late if after > DRAIN_S)
    record.write(f"run before the removal: {dict(before)}")
    record.write(f"watches cut: {store.cut_watches}")
    result = "broken" if late else "held"
    text = (
        f"DRAIN {result}: {len(late)} requests reached {leaving} later than "
        f"{DRAIN_S} s after its removal"
        + (f", the last one after {late[-1]:.1f} s" if late else "")
    )
    record.write(text)
    record.close()
    print(text)
    if before[leaving] < MIN_RUN_BEFORE:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRunError as error:
        print(f"cannot run: {error}")
        sys.exit(2)
