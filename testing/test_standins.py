import asyncio
import concurrent.futures
import hashlib
import json
import socket
import time

import pytest
import urllib3
from grpclib.client import Channel
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from lacewinglift.generated.etcd_grpc import KVStub, LeaseStub
from lacewinglift.generated.etcd_pb2 import LeaseGrantRequest, PutRequest
from testing.standins.control import ControlServer, call_control
from testing.standins.instances_list import INSTANCES_PREFIX, InstancesList
from testing.standins.store import StoreStandIn
from testing.standins.target import TargetGroup
from testing.standins.tcp_relay import LoopThread, Relay


@pytest.fixture
def group():
    group = TargetGroup()
    yield group
    group.close()


@pytest.fixture
def target(group):
    return group.add("t1", health_delay_ms=0)


@pytest.fixture
def pool():
    with urllib3.PoolManager(maxsize=50) as pool:
        yield pool


@pytest.fixture
def ask(pool, target):
    def ask(path="/x", method="GET", timeout=2.0, **options):
        url = f"http://{target.address}{path}"
        return pool.request(method, url, retries=False, timeout=timeout, **options)

    return ask


@pytest.fixture
def store():
    store = StoreStandIn()
    yield store
    store.close()


def test_target_reports_the_request_as_received(ask):
    """Guards against header and body checks that look at altered requests."""
    headers = urllib3.HTTPHeaderDict([("X-Two", "a"), ("X-Two", "b")])
    reply = ask("/p/q?a=1", "POST", body=b"abc", headers=headers).json()
    assert_that(reply["method"], Equals("POST"))
    assert_that(reply["path"], Equals("/p/q?a=1"))
    assert_that(reply["body_sha256"], Equals(hashlib.sha256(b"abc").hexdigest()))
    pairs = [pair for pair in reply["headers"] if pair[0] == "X-Two"]
    assert_that(pairs, Equals([["X-Two", "a"], ["X-Two", "b"]]))


def test_target_reads_chunked_bodies(ask):
    """Guards against a target that takes chunk framing for the next request."""
    body = [b"abc", b"defg"]
    reply = ask("/x", "POST", body=iter(body), headers={"Transfer-Encoding": "chunked"})
    digest = hashlib.sha256(b"abcdefg").hexdigest()
    assert_that(reply.json()["body_sha256"], Equals(digest))
    assert_that(ask().json()["seq"], Equals(2))


@pytest.mark.parametrize("chunked", ["", "&chunked=1"])
@pytest.mark.parametrize("size", [10, 200_000])
def test_target_sends_the_asked_size(ask, size, chunked):
    """Guards against answers whose length a test cannot rely on."""
    assert_that(len(ask(f"/x?size={size}{chunked}").data), Equals(size))


def test_target_pads_answers_with_its_name_and_sequence_number(ask):
    """Guards against mixed up answers that look the same."""
    data = ask("/x?size=300000").data
    body, _, _ = data.partition(b"}t1-1.")
    assert_that(json.loads(body + b"}")["seq"], Equals(1))
    padding = data[len(body) + 1 :]
    expected = b"t1-1." * (len(padding) // 5 + 1)
    assert_that(padding, Equals(expected[: len(padding)]))


def test_target_cuts_the_answer(ask):
    """Guards against a cut that is a complete answer."""
    with pytest.raises(urllib3.exceptions.ProtocolError):
        ask("/x?size=1000&cut_after=500")


def test_target_counts_executions_by_request_id(ask, group):
    """Guards against duplicates that are not seen."""
    ask(headers={"X-Request-Id": "one"})
    ask(headers={"X-Request-Id": "two"})
    ask(headers={"X-Request-Id": "two"})
    assert_that(group.duplicates(), Equals({"two": 2}))


@pytest.mark.parametrize("behaviour", ["shed", "drain"])
def test_refused_request_does_not_run(ask, target, behaviour):
    """Guards against a stand-in whose refusal is untrue."""
    target.set(**{behaviour: True})
    reply = ask()
    assert_that(reply.status, Equals(503))
    assert_that(reply.headers["X-Lacewinglift-Not-Run"], Equals("1"))
    assert_that(target.report()["executed"], Equals(0))


def test_slots_limit_what_runs_at_once(ask, target):
    """Guards against a target without the queueing of a real one."""
    target.set(slots=2, delay_ms=100)
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(6) as executor:
        list(executor.map(lambda _: ask(), range(6)))
    assert_that(time.monotonic() - started, GreaterThan(0.29))
    assert_that(target.report()["most_running"], Equals(2))


def test_request_that_waits_past_its_deadline_does_not_run(ask, target):
    """Guards against a target that ignores the deadline of a request."""
    target.set(slots=1, delay_ms=500)
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        first = executor.submit(ask)
        time.sleep(0.1)
        second = ask(headers={"X-Lacewinglift-Deadline-Ms": "100"})
        first.result()
    assert_that(second.status, Equals(503))
    assert_that(target.report()["executed"], Equals(1))


def test_target_notices_cancellation(ask, target):
    """Guards against slots that stay taken by callers that have gone."""
    target.set(slots=1)
    with pytest.raises(urllib3.exceptions.TimeoutError):
        ask("/x?delay_ms=5000", timeout=0.2)
    started = time.monotonic()
    ask()
    assert_that(time.monotonic() - started, LessThan(1.0))
    assert_that(target.report()["cancelled"], Equals(1))


def test_hanging_target_never_answers(ask, target):
    """Guards against a hang that ends by itself."""
    target.set(hang=True)
    with pytest.raises(urllib3.exceptions.TimeoutError):
        ask(timeout=0.3)
    assert_that(target.report()["executed"], Equals(1))
    target.set(hang=False)
    assert_that(ask().status, Equals(200))


def test_silent_connection_stays_silent_and_new_ones_work(ask, target, pool):
    """Guards against tests of silent connections that do not have one."""
    ask()
    target.silence_connections()
    with pytest.raises(urllib3.exceptions.TimeoutError):
        ask(timeout=0.3)
    pool.clear()
    assert_that(ask().status, Equals(200))


def test_half_open_connection_is_reset(ask, target):
    """Guards against tests of half-open connections that do not have one."""
    ask()
    target.forget_connections()
    with pytest.raises(urllib3.exceptions.ProtocolError):
        ask()


def test_new_connections_can_be_silent(target):
    """Guards against a connect check that takes an accept for an answer."""
    target.set(accept_silent=True)
    with socket.create_connection(("127.0.0.1", target.port)) as caller:
        caller.settimeout(0.3)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: t\r\n\r\n")
        with pytest.raises(TimeoutError):
            caller.recv(1)


def test_cold_target_gets_faster(ask, target):
    """Guards against a cold start that does not end."""
    target.set(cold_s=0.5, cold_delay_ms=400)
    started = time.monotonic()
    ask()
    cold = time.monotonic() - started
    time.sleep(0.5)
    started = time.monotonic()
    ask()
    assert_that(cold, GreaterThan(0.2))
    assert_that(time.monotonic() - started, LessThan(0.2))


def test_health_report_lags_and_can_mislead(ask, target):
    """Guards against a stand-in whose health report is better than the real one."""
    target.set(health_lag_s=0.4)
    target.set(drain=True)
    assert_that(ask("/health").status, Equals(200))
    time.sleep(0.5)
    assert_that(ask("/health").status, Equals(503))
    target.set(health_honest=False, hang=True)
    assert_that(ask("/health").status, Equals(200))


def test_refusing_target_can_listen_again(ask, target):
    """Guards against a target that comes back at another address."""
    ask()
    target.refuse()
    with pytest.raises(urllib3.exceptions.HTTPError):
        ask()
    target.listen()
    assert_that(ask().status, Equals(200))


def test_targets_obey_their_control_paths(ask, target, group):
    """Guards against fault commands that other processes cannot give."""
    reply = ask("/__control?delay_ms=5&shed=true").json()
    assert_that(reply["behaviour"]["delay_ms"], Equals(5))
    assert_that(target.behaviour.shed, Equals(True))
    assert_that(ask("/__control?unknown=1").status, Equals(400))
    control = ControlServer(group.commands())
    try:
        call_control(control.address, "set", target="t1", shed=False)
        assert_that(target.behaviour.shed, Equals(False))
    finally:
        control.close()


def test_lease_expires_with_its_entries(store):
    """Guards against entries of dead instances that stay in the store."""

    async def scenario():
        host, port = store.address.split(":")
        async with Channel(host, int(port)) as channel:
            grant = await LeaseStub(channel).LeaseGrant(LeaseGrantRequest(TTL=1))
            request = PutRequest(key=b"k", value=b"v", lease=grant.ID)
            await KVStub(channel).Put(request)

    asyncio.run(scenario())
    assert_that(store.values(), Equals({"k": b"v"}))
    time.sleep(1.4)
    assert_that(store.values(), Equals({}))


def test_instances_list_lags(store):
    """Guards against tests that rely on a list without its lag."""
    instances = InstancesList(store, lag_s=0.3)
    instances.enter("i1", "127.0.0.1:1", "127.0.0.1:2", "milano")
    assert_that(store.values(INSTANCES_PREFIX), Equals({}))
    time.sleep(0.5)
    entry = json.loads(store.values(INSTANCES_PREFIX)[INSTANCES_PREFIX + "i1"])
    assert_that(entry["state"], Equals("live"))
    instances.mark_leaving("i1")
    time.sleep(0.5)
    entry = json.loads(store.values(INSTANCES_PREFIX)[INSTANCES_PREFIX + "i1"])
    assert_that(entry["state"], Equals("leaving"))
    instances.remove("i1")
    time.sleep(0.5)
    assert_that(store.values(INSTANCES_PREFIX), Equals({}))


def test_relay_holds_one_direction_and_delivers_later(target):
    """Guards against one-way partitions that also cut the other way."""
    thread = LoopThread("relay")
    relay = Relay("127.0.0.1", target.port)
    thread.run(relay.start())
    try:
        thread.loop.call_soon_threadsafe(relay.forward_to_caller.clear)
        with socket.create_connection(("127.0.0.1", relay.port)) as caller:
            caller.settimeout(0.4)
            caller.sendall(b"GET / HTTP/1.1\r\nHost: t\r\n\r\n")
            with pytest.raises(TimeoutError):
                caller.recv(1)
            assert_that(target.report()["executed"], Equals(1))
            thread.loop.call_soon_threadsafe(relay.forward_to_caller.set)
            assert_that(caller.recv(8), Equals(b"HTTP/1.1"))
        thread.run(relay.refuse())
    finally:
        thread.stop()
