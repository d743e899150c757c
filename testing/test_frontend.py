import json
import time

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not, StartsWith

from lacewinglift.outcomes import OutcomeKind
from testing.standins.proxy_harness import (
    AUTHORIZATION,
    KEY,
    call,
    receive_all,
    request_bytes,
    running_proxy,
    send_and_receive,
)
from testing.standins.scripted_targets import ScriptedTarget, make_response, serve_bytes


@pytest.fixture
def target():
    target = ScriptedTarget(
        serve_bytes(make_response(200, b"sold", "X-Till: 1", "X-Till: 2"))
    )
    yield target
    target.close()


@pytest.fixture
def proxy(target):
    with running_proxy([target.address]) as proxy:
        yield proxy


def test_request_reaches_target_and_response_returns(proxy, target):
    """Guards against request or response parts lost between caller and target."""
    reply = call(proxy, "POST", "/cassa/sale?n=1", "X-A: 1", "X-A: 2", body=b"beer")
    assert_that(reply, StartsWith(b"HTTP/1.1 200 "))
    assert_that(reply, Contains(b"X-Till: 1\r\nX-Till: 2\r\n"))
    assert reply.endswith(b"\r\n\r\nsold")
    (received,) = target.received
    assert_that(received.line, Equals("POST /cassa/sale?n=1 HTTP/1.1"))
    assert_that(received.values("x-a"), Equals(["1", "2"]))
    assert_that(received.body, Equals(b"beer"))
    assert_that(proxy.selector.kinds(), Equals([OutcomeKind.SUCCESS]))


def test_key_never_reaches_target(proxy, target):
    """Guards against a caller's key that is forwarded to a target."""
    call(proxy, "GET", "/cassa")
    call(proxy, "GET", "/open")
    for received in target.received:
        assert_that(str(received), Not(Contains(KEY)))
    assert_that(
        [received.values("x-lacewinglift-workspace") for received in target.received],
        Equals([["kiosk"], []]),
    )


def test_trusted_and_hop_by_hop_headers_are_dropped(proxy, target):
    """Guards against callers that forge trusted headers or control the connection."""
    call(
        proxy,
        "GET",
        "/cassa",
        "X-Lacewinglift-Workspace: vip",
        "X-Lacewinglift-Later: 1",
        "Connection: X-Named, Host",
        "X-Named: 1",
        "TE: trailers",
        "Keep-Alive: 5",
    )
    names = {name.lower() for name, _ in target.received[0].headers}
    # A name of the prefix is reserved also if this build does not use it.
    reserved = {"x-lacewinglift-later"}
    assert not names & {"x-named", "te", "keep-alive", "connection", *reserved}
    assert_that(
        target.received[0].values("x-lacewinglift-workspace"), Equals(["kiosk"])
    )
    assert_that(target.received[0].values("host"), Equals(["fleet.example"]))
    # On an open route the proxy sets no value of its own for the header.
    call(proxy, "GET", "/open", "X-Lacewinglift-Workspace: vip", authorization=None)
    assert_that(target.received[1].values("x-lacewinglift-workspace"), Equals([]))


REFUSED_KEYS = [
    ("/cassa", None, "401", "key_missing"),
    ("/cassa", "Authorization: Bearer wrong", "401", "key_unknown"),
    ("/cassa", f"Authorization: Basic {KEY}", "401", "key_unknown"),
    ("/vip", f"Authorization: Bearer {KEY}", "403", "workspace_forbidden"),
    ("/nowhere", f"Authorization: Bearer {KEY}", "404", "no_route"),
    ("/.lacewinglift/other", None, "404", "no_route"),
]


@pytest.mark.parametrize(("path", "authorization", "status", "code"), REFUSED_KEYS)
def test_unauthorized_requests_are_refused(
    proxy, target, path, authorization, status, code
):
    """Guards against a request that runs for no workspace or for the wrong one."""
    reply = call(proxy, "GET", path, authorization=authorization)
    head, _, body = reply.partition(b"\r\n\r\n")
    assert_that(head, StartsWith(f"HTTP/1.1 {status} ".encode()))
    fields = json.loads(body)
    assert_that((fields["code"], fields["verdict"]), Equals((code, "not_run")))
    assert_that(target.received, Equals([]))


BAD_REQUESTS = [
    "POST /cassa HTTP/1.1\nHost: h\nContent-Length: 1\nContent-Length: 2\n\n",
    "POST /cassa HTTP/1.1\nHost: h\nContent-Length: 1\nTransfer-Encoding: chunked\n\n",
    "POST /cassa HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\nzz\n",
    "POST /cassa HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n3\nabcd\n0\n\n",
    "GET /cassa HTTP/1.1\nHost: h\nX_A: 1\n\n",
    "GET /cassa/../open HTTP/1.1\nHost: h\n\n",
    "GET /cassa HTTP/1.1\nHost: h\nX: " + "a" * 17000 + "\n\n",
    "GET http://h/cassa HTTP/1.1\nHost: h\n\n",
]


@pytest.mark.parametrize("text", BAD_REQUESTS)
def test_ambiguous_requests_are_refused_and_closed(proxy, target, text):
    """Guards against requests that a target may interpret differently."""
    reply = send_and_receive(
        proxy,
        text.replace("\n", "\r\n")
        .replace("Host", f"Authorization: Bearer {KEY}\r\nHost")
        .encode(),
    )
    assert_that(reply, StartsWith(b"HTTP/1.1 400 "))
    assert_that(reply, Contains(b"Connection: close"))
    assert_that(target.received, Equals([]))


def test_connection_carries_several_requests(proxy, target):
    """Guards against wrong framing of a response, which loses the next response."""
    with proxy.connect() as sock:
        sock.sendall(request_bytes() * 2)
        sock.sendall(request_bytes("GET", "/cassa", "Connection: close"))
        reply = receive_all(sock)
    assert_that(reply.count(b"sold"), Equals(3))
    assert_that(target.connections, Equals(1))


def test_pooled_target_connection_is_used_only_when_recent(proxy, target):
    """Guards against requests sent on idle connections that may be dead."""
    call(proxy)
    time.sleep(1.3)
    call(proxy)
    assert_that(target.connections, Equals(2))


def test_address_list(proxy):
    """Guards against an address list that callers cannot use."""
    reply = call(
        proxy, "GET", "/.lacewinglift/addresses?data_centre=torino", authorization=None
    )
    fields = json.loads(reply.partition(b"\r\n\r\n")[2])
    assert_that(
        fields,
        Equals(
            {
                "workspace": None,
                "generation": 1,
                "lifetime_s": 10.0,
                "addresses": [
                    {"address": "b:80", "data_centre": "torino"},
                    {"address": "a:80", "data_centre": "milano"},
                ],
            }
        ),
    )


REQUEST = st.tuples(
    st.sampled_from(["none", "length", "chunked", "continue"]),
    st.binary(max_size=300),
    st.integers(1, 400),
)
SMUGGLED = b"GET /cassa HTTP/1.1\r\nHost: h\r\nX-Id: smuggled\r\n\r\n"


def encode_request(number, framing, body, piece):
    head = f"POST /cassa HTTP/1.1\r\nHost: h\r\n{AUTHORIZATION}\r\nX-Id: {number}\r\n"
    if framing == "none":
        return head.encode() + b"\r\n", b""
    body += SMUGGLED
    if framing == "chunked":
        pieces = [body[at : at + piece] for at in range(0, len(body), piece)]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in pieces)
        head += "Transfer-Encoding: chunked\r\n\r\n"
        return head.encode() + chunks + b"0\r\n\r\n", body
    if framing == "continue":
        head += "Expect: 100-continue\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body, body


@settings(
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.lists(REQUEST, min_size=1, max_size=5), st.integers(1, 900), st.booleans())
def test_target_sees_the_requests_that_were_sent(proxy, target, requests, cut, bad):
    """Guards against bodies parsed as requests, by the proxy or by the target."""
    target.received.clear()
    encoded = [encode_request(index, *each) for index, each in enumerate(requests)]
    data = b"".join(each for each, _ in encoded)
    if bad:
        data += b"POST /cassa HTTP/1.1\r\nHost: h\r\nX_A: 1\r\n\r\n" + SMUGGLED
    else:
        data += request_bytes("GET", "/nowhere", "Connection: close")
    with proxy.connect() as sock:
        for start in range(0, len(data), cut):
            sock.sendall(data[start : start + cut])
        received = receive_all(sock)
    seen = [(each.values("x-id"), each.body) for each in target.received]
    sent = [([str(index)], body) for index, (_, body) in enumerate(encoded)]
    assert_that(seen, Equals(sent))
    assert_that(received.count(b"HTTP/1.1 200"), Equals(len(sent)))
    assert_that(received.count(b"HTTP/1.1 400"), Equals(int(bad)))
