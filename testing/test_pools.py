import random
import threading
import time

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.pools import TargetPools
from lacewinglift.timers import ManualTimers
from testing.standins.proxy_harness import call, running_proxy
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    read_body,
    read_head,
    serve_bytes,
)

FAULTS = [
    "none",
    "late",
    "duplicated",
    "trailing_bytes",
    "truncated",
    "early_hints",
    "small_writes",
    "body_after_head",
]


class FaultyTarget:
    """Responds with the ID of the request, with faults that can mix up responses."""

    def __init__(self):
        self.faults = ["none"]
        self.random = random.Random(0)
        self.target = ScriptedTarget(self.serve)

    def serve(self, target, sock, stream):
        while (received := read_head(stream)) is not None:
            read_body(stream, received)
            fault = self.random.choice(self.faults)
            name = received.values("x-id")[0].encode()
            head = received.line.startswith("HEAD")
            data = make_response(200, name * 50, f"X-Id: {name.decode()}")
            if head and fault != "body_after_head":
                data = data.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
            if fault == "late":
                time.sleep(0.12)
            elif fault == "duplicated":
                data += data
            elif fault == "trailing_bytes":
                data += b"HTTP/1.1 200 Stray\r\nContent-Length: 5\r\n\r\nstray"
            elif fault == "early_hints":
                data = b"HTTP/1.1 103 Hints\r\nX-Id: none\r\n\r\n" + data
            elif fault == "truncated":
                sock.sendall(data[: self.random.randrange(len(data))])
                return
            if fault == "small_writes":
                for start in range(0, len(data), 97):
                    sock.sendall(data[start : start + 97])
            else:
                sock.sendall(data)


@pytest.fixture(scope="module")
def faulty_targets():
    targets = [FaultyTarget() for _ in range(2)]
    addresses = [each.target.address for each in targets]
    with running_proxy(addresses, worker_threads=16, request_timeout_s=0.1) as proxy:
        yield proxy, targets
    for each in targets:
        each.target.close()


def check_own_response(proxy, name, method):
    reply = call(proxy, method, "/cassa", f"X-Id: {name}", body=b"x" * 10)
    head, end, body = reply.partition(b"\r\n\r\n")
    assert end, (name, reply)
    if b"X-Lacewinglift-Refusal" in head:
        return
    own = f"X-Id: {name}\r\n".encode()
    assert own in head + b"\r\n", (name, reply)
    whole = name.encode() * 50
    assert f"Content-Length: {len(whole)}".encode() in head
    assert whole.startswith(body), (name, reply)


@settings(
    max_examples=25,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    st.lists(st.sampled_from(FAULTS), min_size=1, max_size=4),
    st.integers(0, 99),
    st.lists(st.sampled_from(["GET", "POST", "HEAD"]), min_size=1, max_size=3),
)
def test_callers_get_their_own_responses(faulty_targets, faults, seed, methods):
    """Guards against late, duplicated or truncated responses to another caller."""
    proxy, targets = faulty_targets
    proxy.components.forwarder.retry_budgets.clear()
    for each in targets:
        each.faults = faults
        each.random.seed(seed)
    failures = []

    def run(caller):
        try:
            for number, method in enumerate(methods):
                check_own_response(proxy, f"{seed}-{caller}-{number}", method)
        except AssertionError as error:
            failures.append(error)

    threads = [threading.Thread(target=run, args=(caller,)) for caller in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert_that(failures, Equals([]))


def test_idle_connections_are_closed_and_unused_pools_removed():
    """Guards against idle connections that use up a target's connection budget."""
    target = ScriptedTarget(serve_bytes(make_response(200)))
    timers = ManualTimers()
    pools = TargetPools(timers)
    pool, connection = pools.checkout(target.address)
    connection.connect()
    pool.checkin(connection)
    timers.advance(0.9)
    again = pools.checkout(target.address)[1]
    assert again is connection and again.sock is not None
    pool.checkin(connection)
    timers.advance(2.1)
    assert_that(connection.sock, Equals(None))
    timers.advance(61)
    assert_that(pools.pools, Equals({}))
    pools.close()
    target.close()
