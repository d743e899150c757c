"""CONFIG after the store has given one of three machines no response for a moment."""

import pathlib
import sys
import time

from backend import Backend
from deployment import Deployment, NotRunError, Traffic, run_case, with_trouble

# Bounds of the pages.
CONFIG_PROPAGATION_S = 2.0
STABLE_WINDOW_S = 3.0
KEPT, REVOKED = "key-kept", "key-revoked"
ROUTES = [{"prefix": "/look/", "service": "shop"}]
SETTLE_S = 3.0
VERSION_GAP_S = 0.33
# Time for which the store gives one machine no response.
SILENT_S = 0.5
# Time from its end to the version that withdraws the key.
REVOCATION_AFTER_S = STABLE_WINDOW_S + 0.2
OBSERVED_S = 9.0
REQUESTS_PER_S = 15


def play(stack):
    deployment = Deployment(["zone-a"] * 3)
    stack.callback(deployment.close)
    record, store = deployment.record, deployment.store
    for name in ("i-1", "i-2"):
        backend = Backend(record, store, deployment.peer_host, name, "shop", "zone-a")
        backend.register()
        stack.callback(backend.end)

    def put(version, keys):
        tenants = {"house": {"api_keys": keys, "rate_per_s": 0, "burst": 0}}
        return deployment.put_configuration(version, ROUTES, tenants)

    put(1, [KEPT, REVOKED])
    deployment.start_all()
    deployment.wait_joined()
    time.sleep(SETTLE_S)
    # Two versions come in quick succession; the store answers the watch for the first.
    put(2, [KEPT, REVOKED])
    time.sleep(VERSION_GAP_S)
    # The machine that watches the store for the others.
    turned_away = store.watchers.get("op/")
    if turned_away not in deployment.hosts:
        raise NotRunError("no instance watches the store")
    silent_until_s = time.monotonic() + SILENT_S

    def give_no_response(path, query, fields, machine):
        if machine != turned_away or time.monotonic() >= silent_until_s:
            return False
        record.note(f"store   gives {machine} no response to {path} {query}")
        return True

    if with_trouble():
        store.lose_response = give_no_response
        record.note(f"store   turns {turned_away} away for {SILENT_S} s")
    put(3, [KEPT, REVOKED])
    time.sleep(SILENT_S)
    record.note("store   serves all machines")
    time.sleep(REVOCATION_AFTER_S)
    revoked_s = put(4, [KEPT])

    def send(number):
        host = deployment.hosts[number % len(deployment.hosts)]
        deployment.send(host, f"/look/{number}", REVOKED)

    traffic = Traffic(REQUESTS_PER_S, send)
    time.sleep(OBSERVED_S)
    traffic.stop()
    sent_s = {answer.request_id: answer.sent_s for answer in record.answers}
    late = [
        (run, sent_s[run.request_id] - revoked_s)
        for run in record.runs
        if sent_s[run.request_id] > revoked_s + CONFIG_PROPAGATION_S
    ]
    record.note(f"runs that were sent too late: {len(late)}")
    return record, [
        f"{run.request_id} ran with a withdrawn key, sent {after_s:.3f} s after the "
        "acknowledgement of the version without it"
        for run, after_s in sorted(late, key=lambda each: -each[1])
    ]


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, play))
