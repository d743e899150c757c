"""CONFIG: a key that was taken away still works after the loss of the observers."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import harness  # noqa: E402

PROPAGATION_S = harness.BOUNDS["config_propagation_ms"] / 1000
ZONES = ("milano", "torino", "verona") * 2
# Machines that lose power stay dark for this long.
DARK_S = 2.0
RATE_PER_S = 60
LAST_S = 4.0


def observers(instances):
    """Return the instances that read the store for the others."""
    found = []
    for each in instances:
        duties = [
            line
            for line in each.log_path.read_text().splitlines()
            if "event=observer_duty" in line
        ]
        if duties and "on=True" in duties[-1]:
            found.append(each)
    return found


def main(record, scratch, trouble, instances):
    store = harness.Store(record)
    store.put("op/config", harness.make_configuration(1, keys=("kept", "taken")))
    backends = [
        harness.Backend(f"i-{number}", store, record, slots=8, zone=ZONES[number])
        for number in range(6)
    ]
    instances += harness.start_fleet(scratch, store, ZONES)
    time.sleep(5)
    lost = observers(instances)
    if not 0 < len(lost) <= len(instances) / 2:
        raise harness.CannotRunError(f"{len(lost)} instances read the store")
    left = [each for each in instances if each not in lost]
    stopping = threading.Event()
    sent = {}

    def send_one(number):
        identity = f"r-{number}"
        sent[identity] = time.monotonic()
        address = left[number % len(left)].address("frontend")
        harness.send(record, address, identity, key="taken")

    def send_all():
        number = 0
        while not stopping.wait(1 / RATE_PER_S):
            number += 1
            threading.Thread(target=send_one, args=(number,), daemon=True).start()

    threading.Thread(target=send_all, daemon=True).start()
    time.sleep(1)
    # A change that all machines have before the trouble.
    store.put("op/config", harness.make_configuration(2, keys=("kept", "taken")))
    time.sleep(0.3)
    if trouble:
        for each in lost:
            each.process.kill()
            record("lost", instance=each.name)
    taken_at = store.put("op/config", harness.make_configuration(3, keys=("kept",)))
    record("key_taken", acknowledged=True)
    time.sleep(DARK_S)
    if trouble:
        for each in lost:
            each.start()
            record("started", instance=each.name)
    time.sleep(LAST_S - DARK_S)
    stopping.set()
    time.sleep(2)
    late = sorted(
        sent[identity] - taken_at
        for backend in backends
        for _, identity, _ in backend.runs
        if sent[identity] - taken_at > PROPAGATION_S
    )
    for after in late:
        record("ran_with_key_taken_away", sent_after_s=f"{after:.3f}")
    last = late[-1] if late else 0.0
    print(
        f"{len(late)} runs with the key, the last sent {last:.3f} s after it was taken"
    )
    return bool(late)


harness.run_case(main, FOLDER)
