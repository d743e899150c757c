"""Targets that write an earlier refusal again on a kept connection."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import HasLength, StartsWith

from lacewinglift.dialects import Dialect
from testing.standins.proxy_harness import call
from testing.standins.scripted_targets import make_response, read_body, read_head
from testing.test_forwarder import proxy_with_targets, send_and_close

DIALECT = Dialect(
    request_id_header="request-id",
    not_run_header="not-executed",
    expected_target_header="Expected-Instance",
    not_run_status=503,
)
NOT_EXECUTED = "Not-Executed: 1"
FIRST_ID = "Request-Id: first"
REFUSALS = {
    "named": make_response(503, b"full", FIRST_ID, NOT_EXECUTED),
    "unnamed": make_response(503, b"full", NOT_EXECUTED),
    "wrong target, named": make_response(421, b"not me", FIRST_ID),
    "wrong target, unnamed": make_response(421, b"not me"),
}


def serve_after_refusal(refusal):
    """Serve a request, and write `refusal` before the response to each later one."""

    def script(target, sock, stream):
        while (received := read_head(stream)) is not None:
            read_body(stream, received)
            if target.received:
                sock.sendall(refusal)
            target.received.append(received)
            own_id = f"Request-Id: {received.values('request-id')[0]}"
            sock.sendall(make_response(200, b"sold", own_id, "Keep-Alive: timeout=9"))

    return script


@pytest.mark.parametrize("name", REFUSALS)
def test_refusal_that_is_written_again_is_not_believed(name):
    """Guards against "not run" for a request that runs, or that runs again elsewhere.

    The target repeats a refusal on the kept connection and then runs the request.
    """
    script = serve_after_refusal(REFUSALS[name])
    other = serve_after_refusal(b"")
    with proxy_with_targets(script, other, dialect=DIALECT) as (proxy, first, second):
        call(proxy, "POST", "/cassa", FIRST_ID, body=b"x")
        reply = call(proxy, "POST", "/cassa", "Request-Id: second", body=b"x")
        assert_that(first.received, HasLength(2))
        assert_that(second.received, HasLength(0))
    expected = b"HTTP/1.1 502" if "unnamed" in name else b"HTTP/1.1 200"
    assert_that(reply, StartsWith(expected))


def test_unnamed_refusal_on_a_new_connection_is_believed():
    """Guards against a lost request that a target without IDs turned away."""
    refuse = send_and_close(make_response(503, b"full", NOT_EXECUTED))
    serve = serve_after_refusal(b"")
    with proxy_with_targets(refuse, serve, dialect=DIALECT) as (proxy, _, second):
        reply = call(proxy, "POST", "/cassa", FIRST_ID, body=b"x")
        assert_that(reply, StartsWith(b"HTTP/1.1 200"))
        assert_that(second.received, HasLength(1))
