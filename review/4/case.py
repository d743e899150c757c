"""DRAIN: a backend that is gone after an outage gets requests for too long."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import harness  # noqa: E402

DRAIN_S = harness.BOUNDS["drain_ms"] / 1000
STABLE_S = harness.BOUNDS["stable_window_ms"] / 1000
OUTAGE_S = 4.5
# Times after the store is stable again at which one backend each leaves.
REMOVALS_S = (0.05, 0.35, 0.65, 0.95)
# A backend that leaves serves for `drain_ms` and a little longer, then it exits.
EXIT_S = DRAIN_S + 1.0
RATE_PER_S = 160


def main(record, scratch, trouble, instances):
    store = harness.Store(record)
    store.put("op/config", harness.make_configuration(1))
    backends = [
        harness.Backend(f"i-{number}", store, record, slots=4, work_s=0.1)
        for number in range(10)
    ]
    instances += harness.start_fleet(scratch, store, ["milano", "milano"])
    stopping = threading.Event()
    sent = {}

    def send_one(number):
        identity = f"r-{number}"
        sent[identity] = time.monotonic()
        address = instances[number % 2].address("frontend")
        harness.send(record, address, identity)

    def send_all():
        number = 0
        while not stopping.wait(1 / RATE_PER_S):
            number += 1
            threading.Thread(target=send_one, args=(number,), daemon=True).start()

    threading.Thread(target=send_all, daemon=True).start()
    time.sleep(6)
    record("store", silent=trouble)
    store.silent = trouble
    time.sleep(OUTAGE_S)
    store.silent = False
    back = time.monotonic()
    record("store", silent=False)
    left = []

    def leave(backend, at):
        time.sleep(max(at - time.monotonic(), 0))
        removed = backend.remove_entry()
        record("removed", backend=backend.name)
        left.append((backend, removed))
        time.sleep(EXIT_S)
        backend.exit()
        record("exited", backend=backend.name)

    leavers = [
        threading.Thread(target=leave, args=(backend, back + STABLE_S + delay))
        for backend, delay in zip(backends, REMOVALS_S, strict=False)
    ]
    for each in leavers:
        each.start()
    for each in leavers:
        each.join()
    time.sleep(2)
    stopping.set()
    time.sleep(4)
    late = [
        (backend.name, identity, arrived - removed)
        for backend, removed in left
        for arrived, identity in backend.arrivals
        if arrived - removed > DRAIN_S and sent[identity] - removed > DRAIN_S
    ]
    for name, identity, after in late:
        record("late", backend=name, id=identity, after_s=f"{after:.3f}")
    worst = max((after for _, _, after in late), default=0.0)
    print(f"{len(late)} late requests, the last {worst:.3f} s after the removal")
    return bool(late)


harness.run_case(main, FOLDER)
