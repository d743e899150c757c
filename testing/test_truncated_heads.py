"""Targets that stop within the head of a response, or right after it, and close."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not, StartsWith

from lacewinglift.configuration import Route
from testing.standins.proxy_harness import call
from testing.test_forwarder import proxy_with_targets, send_and_close
from testing.test_repeated_refusals import DIALECT, FIRST_ID

HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Server-Signature: s\r\n"
    b"Request-Id: first\r\n"
    b"Content-Length: 4\r\n\r\n"
)
CHUNKED_HEAD = HEAD.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")
INTERIM = b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"
HEADS = {
    "length": HEAD,
    "chunked": CHUNKED_HEAD,
    "to the close": HEAD.replace(b"Content-Length: 4\r\n", b""),
    "after an interim one": INTERIM + HEAD,
}
CUT_HEADS = {
    f"{name} {size}": head[:size]
    for name, head in HEADS.items()
    for size in [*range(0, len(head), 7), len(head) - 2, len(head) - 1]
}


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("name", CUT_HEADS)
def test_head_that_is_cut_short_is_no_response(name, idempotent):
    """Guards against a 200 with an empty or short body that looks complete."""
    script = send_and_close(CUT_HEADS[name])
    with proxy_with_targets(script, dialect=DIALECT) as (proxy, _):
        proxy.publish(routes=(Route("/cassa", "cassa", idempotent=idempotent),))
        reply = call(proxy, "POST", "/cassa", FIRST_ID, body=b"x")
    assert_that(reply, StartsWith(b"HTTP/1.1 502"))
    assert_that(reply, Not(Contains(b"Server-Signature")))


@pytest.mark.parametrize("name", ["length", "chunked"])
def test_body_that_is_cut_after_its_head_does_not_look_complete(name):
    """Guards against an empty body that is framed as a whole one."""
    script = send_and_close(HEADS[name])
    with proxy_with_targets(script, dialect=DIALECT) as (proxy, _):
        reply = call(proxy, "POST", "/cassa", FIRST_ID, body=b"x")
    head, _, body = reply.partition(b"\r\n\r\n")
    if head.startswith(b"HTTP/1.1 200"):
        assert_that(head, Not(Contains(b"Content-Length: 0")))
        assert_that(body, Equals(b""))
