import threading
import time

import pytest
from attrs import evolve
from testtools.assertions import assert_that
from testtools.matchers import Contains, EndsWith, Equals, LessThan, Not, StartsWith

from lacewinglift.addresses import AddressBook
from lacewinglift.admission import Decision
from lacewinglift.concurrency import ConcurrencyLimiter
from lacewinglift.configuration import Route, Service, Workspace
from lacewinglift.generated import fleet_pb2
from lacewinglift.homes import home_instances
from lacewinglift.refusals import RefusalError
from testing.standins.proxy_harness import (
    call,
    make_configuration,
    make_member,
    request_bytes,
    running_proxy,
    wait_until,
)
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    serve_with_gate,
)


@pytest.fixture
def gate():
    return threading.Event()


@pytest.fixture
def proxy(gate):
    response = make_response(200, b"sold", "X-Lacewinglift-Verdict: not_run")
    target = ScriptedTarget(serve_with_gate(gate, response))
    with running_proxy([target.address], worker_threads=8) as proxy:
        yield proxy
    gate.set()
    target.close()


def test_slow_service_does_not_use_all_threads(proxy, gate):
    """Guards against a slow service that occupies all worker threads."""
    sockets = [proxy.connect() for _ in range(6)]
    for sock in sockets:
        sock.sendall(request_bytes("GET", "/cassa/slow"))
    assert wait_until(lambda: proxy.components.concurrency_limiter.in_progress == 4)
    reply = call(proxy)
    assert_that(reply, StartsWith(b"HTTP/1.1 503"))
    assert_that(reply, Contains(b'"code": "concurrency", "verdict": "not_run"'))
    assert_that(
        call(proxy, path="/.lacewinglift/addresses"), StartsWith(b"HTTP/1.1 200")
    )
    gate.set()
    for sock in sockets:
        sock.recv(65536)
        sock.close()
    assert wait_until(lambda: proxy.components.concurrency_limiter.in_progress == 0)
    assert_that(
        proxy.components.concurrency_limiter.in_progress_by_workspace, Equals({})
    )


@pytest.mark.parametrize("start", [b"", b"GET /cassa HTT"])
def test_slow_connections_block_no_threads(proxy, start):
    """Guards against callers that block others by sending no or a partial head."""
    sockets = [proxy.connect() for _ in range(20)]
    for sock in sockets:
        sock.sendall(start)
    started = time.monotonic()
    assert_that(call(proxy), EndsWith(b"sold"))
    assert_that(time.monotonic() - started, LessThan(1.0))
    for sock in sockets:
        if start:
            sock.sendall(request_bytes("GET", "/cassa")[len(start) :])
            assert_that(sock.recv(65536), EndsWith(b"sold"))
        sock.close()


def test_connection_with_incomplete_head_is_closed(proxy, monkeypatch):
    """Guards against callers that keep connections open with a partial head."""
    monkeypatch.setattr("lacewinglift.frontend.HEAD_TIMEOUT_S", 0.2)
    with proxy.connect() as sock:
        sock.sendall(b"GET /cassa HTTP/1.1\r\n")
        assert_that(sock.recv(100), Equals(b""))


def test_limits_bound_services_and_workspaces():
    """Guards against a workspace or service that exceeds its concurrency limit."""
    limits = ConcurrencyLimiter(worker_threads=16)
    service = Service("cassa", (), max_concurrent=5)
    small = Workspace("kiosk", 1.0, 1, max_concurrent=2)
    held = [limits.request_slot(service, small) for _ in range(2)]
    for each in held:
        each.__enter__()
    with pytest.raises(RefusalError), limits.request_slot(service, small):
        pass
    others = [limits.request_slot(service, None) for _ in range(3)]
    for each in others:
        each.__enter__()
    with pytest.raises(RefusalError), limits.request_slot(service, None):
        pass
    with limits.request_slot(Service("archivio", ()), None):
        assert_that(limits.in_progress, Equals(6))


def test_standing_and_admission_are_checked_before_forwarding(proxy):
    """Guards against keyed requests that are served without standing or quota."""
    proxy.standing.code = "isolated"
    assert_that(call(proxy), Contains(b'"code": "isolated", "verdict": "not_run"'))
    assert_that(proxy.admission.requested_workspaces, Equals([]))
    assert_that(call(proxy, path="/open", authorization=None), EndsWith(b"sold"))
    proxy.standing.code = None
    proxy.admission.decision = Decision(
        admitted=False, code="over_limit", retry_after_s=1.2
    )
    reply = call(proxy, "POST", body=b"x" * 5000)
    assert_that(reply, StartsWith(b"HTTP/1.1 429"))
    assert_that(reply, Contains(b"Retry-After: 2\r\n"))
    assert_that(proxy.selector.outcomes, Not(Contains("cassa")))


def test_refused_upload_keeps_the_connection(proxy):
    """Guards against a new connection for each request over the rate limit."""
    proxy.admission.decision = Decision(
        admitted=False, code="over_limit", retry_after_s=None
    )
    with proxy.connect() as sock:
        for _ in range(3):
            sock.sendall(request_bytes("POST", body=b"x" * 5000))
            assert_that(sock.recv(65536), StartsWith(b"HTTP/1.1 429"))


def test_targets_cannot_send_refusal_headers(proxy):
    """Guards against a response of a target that looks like a refusal."""
    assert_that(call(proxy), Not(Contains(b"X-Lacewinglift")))


def test_path_parameters_do_not_change_the_route(proxy):
    """Guards against a path that a target reads as the path of another route."""
    routes = (Route("/", "cassa", open=True), Route("/cassa", "cassa"))
    proxy.publish(routes=routes)
    for path in ("/cassa;x/sale", "/%63assa/sale"):
        reply = call(proxy, path=path, authorization=None)
        assert_that(reply, Not(StartsWith(b"HTTP/1.1 200")))


def test_instance_without_configuration_refuses(proxy):
    """Guards against requests that are served without a configuration."""
    proxy.distribution.configuration = None
    assert_that(call(proxy), Contains(b'"code": "starting"'))


def test_metrics_are_served_to_operators_only(proxy):
    """Guards against metrics that any caller can read."""
    call(proxy)
    reply = call(proxy, path="/metrics", authorization=None)
    assert_that(
        reply,
        Contains(b'lacewinglift_requests_total{service="cassa",status="2xx"} 1.0'),
    )
    proxy.frontend.handler.operator_networks = []
    assert_that(call(proxy, path="/metrics"), Contains(b'"code": "no_route"'))


def test_home_instances_stay_when_others_leave():
    """Guards against home instances that all change when one is replaced."""
    centres = {f"i{n}": "milano" if n % 2 else "torino" for n in range(12)}
    homes = home_instances("kiosk", centres, 2)
    assert_that(len(set(homes)), Equals(4))
    others = [name for name in centres if name not in homes]
    kept = {name: centres[name] for name in homes + others[:3]}
    assert_that(home_instances("kiosk", kept, 2), Equals(homes))


def test_address_list_omits_leaving_and_starting_instances():
    """Guards against callers that are directed to instances that cannot serve them."""
    members = [
        make_member("a", "milano"),
        make_member("b", "milano", fleet_pb2.LEAVING),
        make_member("c", "milano", fleet_pb2.STARTING),
    ]
    book = AddressBook("milano", lambda: members)
    configuration = make_configuration(1, ())
    for workspace in (None, "kiosk"):
        text = book.build_response(configuration, workspace, None).decode()
        assert_that(text, Contains('"a:80"'))
        assert_that(text, Not(Contains('"b:80"')))
        assert_that(text, Not(Contains('"c:80"')))
    with pytest.raises(RefusalError):
        book.build_response(configuration, None, "roma")
    members[:] = [evolve(members[0], state=fleet_pb2.LEAVING)]
    with pytest.raises(RefusalError):
        book.build_response(configuration, None, None)
