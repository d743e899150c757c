import contextlib
import json
import resource
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, EndsWith, Equals, GreaterThan, LessThan, Not

from lacewinglift.access import Access
from lacewinglift.configuration import DEFAULT_MAX_ATTEMPTS, Route
from lacewinglift.outcomes import OutcomeKind
from testing.standins.proxy_harness import (
    AUTHORIZATION,
    call,
    receive_all,
    request_bytes,
    running_proxy,
    send_and_receive,
    wait_until,
)
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    read_body,
    read_head,
    reset_connection,
    serve_bytes,
    serve_responses,
)

SOLD = serve_bytes(make_response(200, b"sold"))


@contextlib.contextmanager
def proxy_with_targets(*scripts, **fields):
    """Run a proxy in front of one target for each script."""
    targets = [ScriptedTarget(script) for script in scripts]
    try:
        with running_proxy([target.address for target in targets], **fields) as proxy:
            yield proxy, *targets
    finally:
        for target in targets:
            target.close()


def refusal(reply):
    fields = json.loads(reply.partition(b"\r\n\r\n")[2])
    return fields["code"], fields["verdict"]


def send_and_close(data):
    """Return a script that sends `data` after one request and closes the connection."""

    def script(target, sock, stream):
        read_body(stream, received := read_head(stream))
        target.received.append(received)
        sock.sendall(data)

    return script


def hang(target, sock, stream):
    read_body(stream, received := read_head(stream))
    target.received.append(received)
    target.wait_until_closed(sock)


def send_head_bytewise(target, sock, stream):
    read_head(stream)
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":
        sock.sendall(bytes([byte]))
        time.sleep(0.2)


def reset_during_upload(target, sock, stream):
    read_head(stream)
    target.received.append(stream.read(200_000))
    reset_connection(sock, stream)


TRUNCATED_RESPONSES = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nfffg\r\n",
]


@pytest.mark.parametrize("data", TRUNCATED_RESPONSES)
def test_truncated_response_is_truncated_for_the_caller(data):
    """Guards against a truncated response that the caller receives as complete."""
    with proxy_with_targets(send_and_close(data)) as (proxy, _):
        reply = call(proxy)
        assert_that(reply, Contains(b"abc"))
        assert_that(reply, Not(EndsWith(b"0\r\n\r\n")))
        request = b"GET /cassa HTTP/1.0\r\n" + AUTHORIZATION.encode() + b"\r\n\r\n"
        reply = send_and_receive(proxy, request)
        if b"Content-Length" not in reply:
            assert_that(reply, EndsWith(b"<reset>"))
        assert_that(proxy.selector.kinds(), Equals([OutcomeKind.CUT] * 2))


def test_request_goes_to_no_target_outside_its_regions(monkeypatch):
    """Guards against a limited request that reaches a target of another region."""
    monkeypatch.setattr(Access, "allowed_regions", lambda access: frozenset({"south"}))
    with proxy_with_targets(SOLD, SOLD) as (proxy, first, second):
        outside = proxy.components.forwarder
        outside.targets_outside = lambda service, regions: {"t0"}
        assert_that(call(proxy), Contains(b"sold"))
        outside.targets_outside = lambda service, regions: {"t0", "t1"}
        assert_that(refusal(call(proxy)), Equals(("no_target", "not_run")))
        assert_that((len(first.received), len(second.received)), Equals((0, 1)))


COMPLETE_RESPONSES = [
    (b"HTTP/1.1 200 OK\r\n\r\nabc", b"3\r\nabc\r\n0\r\n\r\n"),
    (b"HTTP/1.0 200 OK\r\n\r\n", b"0\r\n\r\n"),
    (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3;x=1\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n",
        b"3\r\nabc\r\n0\r\n\r\n",
    ),
    (
        b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Go\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        b"\r\n\r\nabc",
    ),
]


@pytest.mark.parametrize(("data", "end"), COMPLETE_RESPONSES)
def test_complete_response_is_complete_for_the_caller(data, end):
    """Guards against framing that is lost or changed by the proxy."""
    with proxy_with_targets(send_and_close(data)) as (proxy, _):
        assert_that(call(proxy), EndsWith(end))
        assert_that(proxy.selector.kinds(), Equals([OutcomeKind.SUCCESS]))


INVALID_RESPONSES = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nX: a\n b\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 101 Switching\r\n\r\n",
    b"garbage\r\n\r\n",
]


@pytest.mark.parametrize("data", INVALID_RESPONSES)
def test_invalid_response_is_not_forwarded(data):
    """Guards against a response whose end or headers are ambiguous."""
    with proxy_with_targets(send_and_close(data)) as (proxy, _):
        reply = call(proxy, "POST", body=b"x")
        assert_that(refusal(reply), Equals(("target_failed", "may_have_run")))


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    "status",
    ["000", "0200", "+200", "2_00", "020", "20", "600", "999", "1000", "-200", "abc"],
)
def test_status_that_does_not_exist_is_not_forwarded(status, idempotent):
    """Guards against an answer that the target never gave, or that has no meaning."""
    data = f"HTTP/1.1 {status} Odd\r\nContent-Length: 3\r\n\r\nabc".encode()
    with proxy_with_targets(send_and_close(data), send_and_close(data)) as (proxy, *_):
        proxy.publish(routes=(Route("/cassa", "cassa", idempotent=idempotent),))
        reply = call(proxy, "POST", body=b"x")
        assert_that(refusal(reply), Equals(("target_failed", "may_have_run")))
        assert_that(reply, Not(Contains(b"abc")))


def test_bytes_after_a_response_are_not_the_next_response():
    """Guards against a late or duplicated response that reaches another caller."""
    doubled = make_response(200, b"first") + make_response(200, b"stray")
    with proxy_with_targets(serve_bytes(doubled)) as (proxy, target):
        for _ in range(3):
            assert_that(call(proxy), EndsWith(b"first"))
        assert_that(target.connections, Equals(3))


@pytest.mark.parametrize("method", ["HEAD", "GET"])
@pytest.mark.parametrize("status", [204, 304])
def test_responses_without_body(method, status):
    """Guards against a caller that waits for a body that is never sent."""

    def reply(received):
        length = b"" if status == 204 else b"Content-Length: 4\r\n"
        return b"HTTP/1.1 %d Reason\r\n%b\r\n" % (status, length)

    with (
        proxy_with_targets(serve_responses(reply)) as (proxy, target),
        proxy.connect() as sock,
    ):
        sock.sendall(request_bytes(method) + request_bytes(method))
        sock.sendall(request_bytes(method, "/cassa", "Connection: close"))
        received = receive_all(sock)
        assert_that(received.count(b"HTTP/1.1"), Equals(3))
        assert_that(received, EndsWith(b"\r\n\r\n"))
        assert_that(received.count(b"Content-Length: 4"), Equals(3 * (status == 304)))
        assert_that(target.connections, Equals(1))


def test_request_is_retried_after_a_refused_connection():
    """Guards against a refusal although another target could run the request."""
    with proxy_with_targets(SOLD, SOLD) as (proxy, closed, target):
        closed.close()
        assert_that(call(proxy, "POST", body=b"x"), EndsWith(b"sold"))
        kinds = [OutcomeKind.CONNECT_FAILED, OutcomeKind.SUCCESS]
        assert_that(proxy.selector.kinds(), Equals(kinds))
        assert_that(len(target.received), Equals(1))
        target.close()
        assert_that(
            refusal(call(proxy, "POST", body=b"x")),
            Equals(("target_failed", "not_run")),
        )


def test_lost_connection_is_retried_only_if_idempotent():
    """Guards against a non-idempotent request that runs twice."""
    with proxy_with_targets(send_and_close(b""), SOLD) as (proxy, first, second):
        assert_that(
            refusal(call(proxy, "POST", body=b"x")),
            Equals(("target_failed", "may_have_run")),
        )
        assert_that((len(first.received), len(second.received)), Equals((1, 0)))
        assert_that(call(proxy, "PUT", body=b"x"), EndsWith(b"sold"))
        assert_that(second.received[0].body, Equals(b"x"))


def test_shed_request_is_retried_at_another_target():
    """Guards against a `not_run` refusal of a target that is counted as a run."""
    shed = serve_bytes(
        make_response(503, b"", "X-Lacewinglift-Not-Run: 1", "Retry-After: 7")
    )
    with proxy_with_targets(shed, SOLD) as (proxy, _, target):
        assert_that(call(proxy, "POST", body=b"x"), EndsWith(b"sold"))
        kinds = [OutcomeKind.SHED, OutcomeKind.SUCCESS]
        assert_that(proxy.selector.kinds(), Equals(kinds))
        target.close()
        proxy.selector.targets.pop()
        reply = call(proxy, "POST", body=b"x")
        assert_that(refusal(reply), Equals(("no_target", "not_run")))
        assert_that(reply, Contains(b"Retry-After: 7"))


def test_untrusted_503_is_forwarded():
    """Guards against a retry of a request that may have run at a target."""
    with proxy_with_targets(serve_bytes(make_response(503, b"down")), SOLD) as (
        proxy,
        _,
        target,
    ):
        assert_that(call(proxy, "POST", body=b"x"), EndsWith(b"down"))
        assert_that(target.received, Equals([]))
        assert_that(proxy.selector.kinds(), Equals([OutcomeKind.ERROR]))


@pytest.mark.parametrize("script", [hang, send_head_bytewise])
def test_deadline_covers_the_whole_response_head(script):
    """Guards against a target that extends a request by sending byte after byte."""
    with proxy_with_targets(script, request_timeout_s=0.5) as (proxy, _):
        started = time.monotonic()
        reply = call(proxy, "POST", body=b"x")
        assert_that(time.monotonic() - started, LessThan(0.8))
        assert_that(refusal(reply), Equals(("target_timeout", "may_have_run")))
        assert_that(proxy.selector.kinds(), Equals([OutcomeKind.TIMEOUT]))


def test_callers_deadline_is_forwarded_and_is_not_evidence():
    """Guards against healthy targets that are ejected for callers' short deadlines."""
    with proxy_with_targets(hang) as (proxy, target):
        reply = call(proxy, "POST", "/cassa", "X-Request-Timeout-Ms: 200", body=b"x")
        assert_that(refusal(reply), Equals(("target_timeout", "may_have_run")))
        left_ms = int(target.received[0].values("x-lacewinglift-deadline-ms")[0])
        assert 0 < left_ms <= 200
        assert_that(proxy.selector.kinds(), Equals([OutcomeKind.CANCELLED]))
        reply = call(proxy, "POST", "/cassa", "X-Request-Timeout-Ms: 0", body=b"x")
        assert_that(refusal(reply), Equals(("target_timeout", "not_run")))
        assert_that(len(target.received), Equals(1))


def test_disconnected_caller_cancels_the_request():
    """Guards against work at a target for a caller that has disconnected."""
    with proxy_with_targets(hang) as (proxy, target):
        sock = proxy.connect()
        # With a pipelined second request, a peek at the first unread byte does not
        # show the end of the stream.
        sock.sendall(request_bytes("POST", body=b"x") + request_bytes())
        assert wait_until(lambda: target.received)
        gone_at = time.monotonic()
        sock.close()
        assert wait_until(lambda: target.closed_at is not None)
        assert_that(target.closed_at - gone_at, LessThan(0.1))
        assert wait_until(lambda: proxy.selector.kinds() == [OutcomeKind.CANCELLED])


def test_withdrawn_key_truncates_a_long_response():
    """Guards against a withdrawn key that works until its response ends."""

    def endless(target, sock, stream):
        read_head(stream)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
        target.wait_until_closed(sock)

    with proxy_with_targets(endless) as (proxy, target), proxy.connect() as sock:
        sock.sendall(request_bytes())
        assert_that(sock.recv(65536), Contains(b"200"))
        proxy.publish()
        time.sleep(0.2)
        assert_that(target.closed_at, Equals(None))
        proxy.publish(workspaces={})
        assert_that(receive_all(sock), Not(Contains(b"0\r\n\r\n")))
        assert wait_until(lambda: target.closed_at is not None)


@pytest.mark.parametrize("caller", ["HTTP/1.0", "slow"])
def test_withdrawn_key_truncates_detectably_and_at_once(caller):
    """Guards against a truncation that looks complete or waits for a slow caller.

    To an HTTP/1.0 caller, a FIN would look like the end of the response.
    """

    def flood(target, sock, stream):
        read_head(stream)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * 1000)
        if caller == "slow":
            sock.sendall(b"a" * 30_000_000)
        target.wait_until_closed(sock)

    with proxy_with_targets(flood) as (proxy, _), proxy.connect() as sock:
        version = "1.0" if caller == "HTTP/1.0" else "1.1"
        sock.sendall(request_bytes().replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
        assert wait_until(lambda: proxy.components.exchange_monitor.in_progress())
        time.sleep(0.2)
        proxy.publish(workspaces={})
        assert wait_until(
            lambda: proxy.selector.kinds() == [OutcomeKind.CANCELLED], 1.0
        )
        received = receive_all(sock)
        assert_that(received, Contains(b"aaa"))
        assert_that(received, Not(EndsWith(b"0\r\n\r\n")))
        assert received.endswith(b"<reset>") or version == "1.1"


@pytest.mark.parametrize("lost", ["key", "standing"])
def test_lost_access_cancels_a_long_upload(lost):
    """Guards against an upload that continues after access was lost."""

    def swallow(target, sock, stream):
        read_head(stream)
        target.received.append(stream.read(1))
        target.wait_until_closed(sock)

    with proxy_with_targets(swallow) as (proxy, target), proxy.connect() as sock:
        head = (
            f"POST /cassa HTTP/1.1\r\nHost: h\r\n{AUTHORIZATION}\r\n"
            "Content-Length: 9999999"
        )
        sock.sendall(head.encode() + b"\r\n\r\nabc")
        assert wait_until(lambda: target.received)
        if lost == "key":
            proxy.publish(workspaces={})
        else:
            proxy.standing.code = "isolated"
        lost_at = time.monotonic()
        assert_that(receive_all(sock), Equals(b""))
        assert wait_until(lambda: target.closed_at is not None)
        assert_that(target.closed_at - lost_at, LessThan(1.5))


def test_continue_is_sent_only_when_the_body_is_needed():
    """Guards against callers that wait forever or upload a refused body."""
    with proxy_with_targets(SOLD) as (proxy, target):
        head = (
            "POST /cassa HTTP/1.1\r\nHost: h\r\n{}"
            "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
        )
        with proxy.connect() as sock:
            sock.sendall(
                head.format(f"Connection: close\r\n{AUTHORIZATION}\r\n").encode()
            )
            assert_that(sock.recv(25), Equals(b"HTTP/1.1 100 Continue\r\n\r\n"))
            sock.sendall(b"abc")
            assert_that(receive_all(sock), EndsWith(b"sold"))
        assert_that(target.received[0].values("expect"), Equals([]))
        reply = send_and_receive(proxy, head.format("").encode())
        assert_that(refusal(reply), Equals(("key_missing", "not_run")))


def test_early_response_ends_the_upload():
    """Guards against an upload that blocks although the target has responded."""

    def reject(target, sock, stream):
        read_head(stream)
        sock.sendall(b"HTTP/1.1 102 Wait\r\n\r\n")
        target.received.append(stream.read(100_000))
        sock.sendall(make_response(413, b"too long"))
        target.wait_until_closed(sock)

    with proxy_with_targets(reject) as (proxy, target), proxy.connect() as sock:
        head = (
            f"POST /cassa HTTP/1.1\r\nHost: h\r\n{AUTHORIZATION}\r\n"
            "Content-Length: 99999999"
        )
        sock.sendall(head.encode() + b"\r\n\r\n" + b"a" * 100_000)
        assert wait_until(lambda: target.received)

        def upload():
            with contextlib.suppress(OSError):
                for _ in range(200):
                    sock.sendall(b"a" * 100_000)

        thread = threading.Thread(target=upload)
        thread.start()
        assert_that(receive_all(sock), Contains(b"too long"))
        sock.close()
        thread.join()
        # On a reused connection, the target would read the next request as the rest
        # of the upload.
        assert wait_until(lambda: target.closed_at is not None, 0.5)


def test_bodies_stream_in_bounded_memory():
    """Guards against bodies that are buffered completely before they are forwarded."""
    block, count = b"x" * 65536, 1024

    def mirror(target, sock, stream):
        while (received := read_head(stream)) is not None:
            if received.line.startswith("GET"):
                length = len(block) * count
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
                for _ in range(count):
                    sock.sendall(block)
                continue
            total = 0
            while size := int(stream.readline(), 16):
                while size:
                    size -= (got := len(stream.read(min(size, 65536))))
                    total += got
                stream.readline()
            stream.readline()
            sock.sendall(make_response(200, str(total).encode()))

    with proxy_with_targets(mirror) as (proxy, _):
        call(proxy)
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        with proxy.connect() as sock:
            sock.sendall(
                f"POST /cassa HTTP/1.1\r\nHost: h\r\n{AUTHORIZATION}\r\n".encode()
                + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            for _ in range(count):
                sock.sendall(b"%x\r\n%b\r\n" % (len(block), block))
            sock.sendall(b"0\r\n\r\n")
            reply = receive_all(sock)
            assert_that(reply, EndsWith(str(len(block) * count).encode()))
        with proxy.connect() as sock:
            sock.sendall(request_bytes("GET", "/cassa", "Connection: close"))
            total = 0
            while got := sock.recv(65536):
                total += len(got)
        assert_that(total, GreaterThan(len(block) * count))
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
        assert_that(grown_kb, LessThan(8 * 1024))


def test_large_body_is_not_retried_after_a_partial_upload():
    """Guards against a retry that lacks the start of the body."""
    with proxy_with_targets(reset_during_upload, SOLD) as (proxy, _, target):
        body = b"a" * 500_000
        assert_that(
            refusal(call(proxy, "PUT", body=body)),
            Equals(("target_failed", "may_have_run")),
        )
        assert_that(target.received, Equals([]))
        proxy.selector.targets[0] = proxy.selector.targets[1]
        assert_that(call(proxy, "PUT", body=body), EndsWith(b"sold"))
        assert_that(target.received[0].body, Equals(body))


def test_get_is_retried_when_its_target_is_ejected():
    """Guards against an idempotent request that waits for an ejected target."""
    with (
        proxy_with_targets(hang, SOLD, request_timeout_s=3.0) as (
            proxy,
            first,
            _,
        ),
        ThreadPoolExecutor() as pool,
    ):
        reply = pool.submit(call, proxy, "GET")
        assert wait_until(lambda: first.received)
        proxy.selector.attempts[0].on_ejected()
        assert_that(reply.result(1.0), EndsWith(b"sold"))
        # The abandoned attempt is not further evidence against the target.
        kinds = [OutcomeKind.CANCELLED, OutcomeKind.SUCCESS]
        assert_that(proxy.selector.kinds(), Equals(kinds))


def respond_late(gate):
    """Return a script that responds to one request when a gate opens."""

    def script(target, sock, stream):
        target.received.append(read_head(stream))
        gate.wait(5.0)
        sock.sendall(make_response(200, b"sold"))

    return script


def test_last_attempt_is_not_abandoned_when_its_target_is_ejected():
    """Guards against giving up a request at which its target works.

    Without an attempt left, abandoning the target only turns its response into a 502.
    """
    lost = [send_and_close(b"")] * (DEFAULT_MAX_ATTEMPTS - 1)
    gate = threading.Event()
    with (
        proxy_with_targets(*lost, respond_late(gate), SOLD) as (proxy, *targets),
        ThreadPoolExecutor() as pool,
    ):
        reply = pool.submit(call, proxy, "GET")
        last = DEFAULT_MAX_ATTEMPTS - 1
        assert wait_until(lambda: targets[last].received)
        on_ejected = proxy.selector.attempts[last].on_ejected
        if on_ejected is not None:
            on_ejected()
        gate.set()
        assert_that(reply.result(5.0), EndsWith(b"sold"))


def test_request_without_retry_budget_is_not_abandoned_when_its_target_is_ejected():
    """Guards against giving up a request at which its target works.

    While the budget grants no retry, abandoning the target only turns its response
    into a 502.
    """
    gate = threading.Event()
    with (
        proxy_with_targets(respond_late(gate), SOLD) as (proxy, first, second),
        ThreadPoolExecutor() as pool,
    ):
        budget = proxy.components.forwarder.retry_budget("cassa")
        budget.try_acquire = lambda: False
        reply = pool.submit(call, proxy, "GET")
        assert wait_until(lambda: first.received)
        assert wait_until(lambda: proxy.selector.attempts[0].on_ejected is not None)
        proxy.selector.attempts[0].on_ejected()
        gate.set()
        assert_that(reply.result(5.0), EndsWith(b"sold"))
        assert_that(second.received, Equals([]))


def test_retry_after_an_abandoned_attempt_is_counted_once():
    """Guards against a budget that is charged twice for one retry."""
    with (
        proxy_with_targets(hang, SOLD, request_timeout_s=3.0) as (proxy, first, _),
        ThreadPoolExecutor() as pool,
    ):
        budget = proxy.components.forwarder.retry_budget("cassa")
        granted = []
        budget.try_acquire = lambda: not granted.append(1)
        reply = pool.submit(call, proxy, "GET")
        assert wait_until(lambda: first.received)
        proxy.selector.attempts[0].on_ejected()
        assert_that(reply.result(2.0), EndsWith(b"sold"))
        assert_that(granted, Equals([1]))


def test_post_is_not_retried_when_its_target_is_ejected():
    """Guards against a non-idempotent request that is sent twice after an ejection."""
    with (
        proxy_with_targets(hang, SOLD, request_timeout_s=0.5) as (
            proxy,
            first,
            second,
        ),
        ThreadPoolExecutor() as pool,
    ):
        reply = pool.submit(call, proxy, "POST", body=b"x")
        assert wait_until(lambda: first.received)
        assert proxy.selector.attempts[0].on_ejected is None
        refused = refusal(reply.result(3.0))
        assert_that(refused, Equals(("target_timeout", "may_have_run")))
        assert_that(second.received, Equals([]))


def test_started_response_continues_after_an_ejection():
    """Guards against a response that is truncated because its target was ejected."""
    started = threading.Event()
    gate = threading.Event()

    def respond_in_two_parts(target, sock, stream):
        read_head(stream)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
        started.set()
        gate.wait(5.0)
        sock.sendall(b"half")

    with (
        proxy_with_targets(respond_in_two_parts) as (proxy, _),
        ThreadPoolExecutor() as pool,
    ):
        reply = pool.submit(call, proxy, "GET")
        assert started.wait(5.0)
        assert wait_until(lambda: proxy.selector.attempts[0].response_started)
        proxy.selector.attempts[0].on_ejected()
        gate.set()
        assert_that(reply.result(3.0), EndsWith(b"halfhalf"))
