import contextlib
import json
import resource
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, EndsWith, Equals, GreaterThan, LessThan, Not

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
    """Run a request half in front of targets with these scripts."""
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


def close_after(data):
    """Return a script that sends `data` and closes the connection."""

    def script(target, sock, stream):
        read_body(stream, received := read_head(stream))
        target.received.append(received)
        sock.sendall(data)

    return script


def hang(target, sock, stream):
    read_body(stream, received := read_head(stream))
    target.received.append(received)
    target.wait_until_closed(sock)


def drip(target, sock, stream):
    read_head(stream)
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":
        sock.sendall(bytes([byte]))
        time.sleep(0.2)


def cut_upload(target, sock, stream):
    read_head(stream)
    target.received.append(stream.read(200_000))
    reset_connection(sock, stream)


CUT_ANSWERS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nfffg\r\n",
]


@pytest.mark.parametrize("data", CUT_ANSWERS)
def test_cut_answer_is_cut_for_the_caller(data):
    """Guards against half an answer that a caller takes for a whole one."""
    with proxy_with_targets(close_after(data)) as (proxy, _):
        reply = call(proxy)
        assert_that(reply, Contains(b"abc"))
        assert_that(reply, Not(EndsWith(b"0\r\n\r\n")))
        old = b"GET /cassa HTTP/1.0\r\n" + AUTHORIZATION.encode() + b"\r\n\r\n"
        old_reply = send_and_receive(proxy, old)
        if b"Content-Length" not in old_reply:
            assert_that(old_reply, EndsWith(b"<reset>"))
        assert_that(proxy.table.kinds(), Equals([OutcomeKind.CUT] * 2))


WHOLE_ANSWERS = [
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


@pytest.mark.parametrize(("data", "end"), WHOLE_ANSWERS)
def test_whole_answer_is_whole_for_the_caller(data, end):
    """Guards against framing that is lost or changed on the way."""
    with proxy_with_targets(close_after(data)) as (proxy, _):
        assert_that(call(proxy), EndsWith(end))
        assert_that(proxy.table.kinds(), Equals([OutcomeKind.SUCCESS]))


BAD_ANSWERS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nX: a\n b\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 101 Switching\r\n\r\n",
    b"garbage\r\n\r\n",
]


@pytest.mark.parametrize("data", BAD_ANSWERS)
def test_invalid_answer_is_not_passed_on(data):
    """Guards against an answer whose end or headers could be read in two ways."""
    with proxy_with_targets(close_after(data)) as (proxy, _):
        reply = call(proxy, "POST", body=b"x")
        assert_that(refusal(reply), Equals(("target_failed", "may_have_run")))


def test_bytes_after_an_answer_are_not_the_next_answer():
    """Guards against a late or doubled answer that reaches another caller."""
    doubled = make_response(200, b"first") + make_response(200, b"stray")
    with proxy_with_targets(serve_bytes(doubled)) as (proxy, target):
        for _ in range(3):
            assert_that(call(proxy), EndsWith(b"first"))
        assert_that(target.connections, Equals(3))


@pytest.mark.parametrize("method", ["HEAD", "GET"])
@pytest.mark.parametrize("status", [204, 304])
def test_answers_without_body(method, status):
    """Guards against a caller that waits for a body that never comes."""

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


def test_refused_connection_is_resent_and_not_run():
    """Guards against a sale that is refused although another target could run it."""
    with proxy_with_targets(SOLD, SOLD) as (proxy, gone, target):
        gone.close()
        assert_that(call(proxy, "POST", body=b"x"), EndsWith(b"sold"))
        kinds = [OutcomeKind.CONNECT_FAILED, OutcomeKind.SUCCESS]
        assert_that(proxy.table.kinds(), Equals(kinds))
        assert_that(len(target.received), Equals(1))
        target.close()
        assert_that(
            refusal(call(proxy, "POST", body=b"x")),
            Equals(("target_failed", "not_run")),
        )


def test_cut_after_sending_is_resent_only_if_idempotent():
    """Guards against a sale that runs twice."""
    with proxy_with_targets(close_after(b""), SOLD) as (proxy, first, second):
        assert_that(
            refusal(call(proxy, "POST", body=b"x")),
            Equals(("target_failed", "may_have_run")),
        )
        assert_that((len(first.received), len(second.received)), Equals((1, 0)))
        assert_that(call(proxy, "PUT", body=b"x"), EndsWith(b"sold"))
        assert_that(second.received[0].body, Equals(b"x"))


def test_shed_request_is_sent_elsewhere():
    """Guards against a target's trusted refusal that is taken for a run."""
    shed = serve_bytes(
        make_response(503, b"", "X-Lacewinglift-Not-Run: 1", "Retry-After: 7")
    )
    with proxy_with_targets(shed, SOLD) as (proxy, _, target):
        assert_that(call(proxy, "POST", body=b"x"), EndsWith(b"sold"))
        kinds = [OutcomeKind.SHED, OutcomeKind.SUCCESS]
        assert_that(proxy.table.kinds(), Equals(kinds))
        target.close()
        proxy.table.targets.pop()
        reply = call(proxy, "POST", body=b"x")
        assert_that(refusal(reply), Equals(("no_target", "not_run")))
        assert_that(reply, Contains(b"Retry-After: 7"))


def test_untrusted_503_is_an_answer():
    """Guards against a resend of a request that a target ran and failed."""
    with proxy_with_targets(serve_bytes(make_response(503, b"down")), SOLD) as (
        proxy,
        _,
        target,
    ):
        assert_that(call(proxy, "POST", body=b"x"), EndsWith(b"down"))
        assert_that(target.received, Equals([]))
        assert_that(proxy.table.kinds(), Equals([OutcomeKind.ERROR]))


@pytest.mark.parametrize("script", [hang, drip])
def test_deadline_holds_in_total(script):
    """Guards against a target that keeps a request with one byte at a time."""
    with proxy_with_targets(script, request_timeout_s=0.5) as (proxy, _):
        started = time.monotonic()
        reply = call(proxy, "POST", body=b"x")
        assert_that(time.monotonic() - started, LessThan(0.8))
        assert_that(refusal(reply), Equals(("target_timeout", "may_have_run")))
        assert_that(proxy.table.kinds(), Equals([OutcomeKind.TIMEOUT]))


def test_callers_deadline_is_passed_on_and_is_no_evidence():
    """Guards against callers whose short deadlines eject healthy targets."""
    with proxy_with_targets(hang) as (proxy, target):
        reply = call(proxy, "POST", "/cassa", "X-Request-Timeout-Ms: 200", body=b"x")
        assert_that(refusal(reply), Equals(("target_timeout", "may_have_run")))
        left_ms = int(target.received[0].values("x-lacewinglift-deadline-ms")[0])
        assert 0 < left_ms <= 200
        assert_that(proxy.table.kinds(), Equals([OutcomeKind.CANCELLED]))
        reply = call(proxy, "POST", "/cassa", "X-Request-Timeout-Ms: 0", body=b"x")
        assert_that(refusal(reply), Equals(("target_timeout", "not_run")))
        assert_that(len(target.received), Equals(1))


def test_caller_that_goes_away_cancels_the_request():
    """Guards against work that goes on for nobody."""
    with proxy_with_targets(hang) as (proxy, target):
        sock = proxy.connect()
        # A second request behind the first hides the end of the stream from a
        # look at the first unread byte.
        sock.sendall(request_bytes("POST", body=b"x") + request_bytes())
        assert wait_until(lambda: target.received)
        gone_at = time.monotonic()
        sock.close()
        assert wait_until(lambda: target.closed_at is not None)
        assert_that(target.closed_at - gone_at, LessThan(0.1))
        assert wait_until(lambda: proxy.table.kinds() == [OutcomeKind.CANCELLED])


def test_withdrawn_key_cuts_a_long_answer():
    """Guards against a withdrawn key that works for as long as an answer lasts."""

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
def test_withdrawn_key_cuts_answers_that_fin_would_not(caller):
    """Guards against a cut that looks like an end, or that waits for the caller."""

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
        assert wait_until(lambda: proxy.table.kinds() == [OutcomeKind.CANCELLED], 1.0)
        received = receive_all(sock)
        assert_that(received, Contains(b"aaa"))
        assert_that(received, Not(EndsWith(b"0\r\n\r\n")))
        assert received.endswith(b"<reset>") or version == "1.1"


@pytest.mark.parametrize("lost", ["key", "standing"])
def test_lost_access_cuts_a_long_upload(lost):
    """Guards against an upload that goes on without the right to it."""

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


def test_expect_continue_is_answered_only_when_the_body_is_wanted():
    """Guards against callers that wait for ever, or send a refused body."""
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


def test_early_answer_ends_the_upload():
    """Guards against an upload that blocks on a target that has answered."""

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
        # On a kept connection, the next request would be read as the upload's rest.
        assert wait_until(lambda: target.closed_at is not None, 0.5)


def test_bodies_stream_in_bounded_memory():
    """Guards against bodies that are collected before they are passed on."""
    piece, count = b"x" * 65536, 1024

    def mirror(target, sock, stream):
        while (received := read_head(stream)) is not None:
            if received.line.startswith("GET"):
                length = len(piece) * count
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
                for _ in range(count):
                    sock.sendall(piece)
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
                sock.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
            sock.sendall(b"0\r\n\r\n")
            reply = receive_all(sock)
            assert_that(reply, EndsWith(str(len(piece) * count).encode()))
        with proxy.connect() as sock:
            sock.sendall(request_bytes("GET", "/cassa", "Connection: close"))
            total = 0
            while got := sock.recv(65536):
                total += len(got)
        assert_that(total, GreaterThan(len(piece) * count))
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
        assert_that(grown_kb, LessThan(8 * 1024))


def test_large_body_is_resent_only_while_it_is_kept():
    """Guards against a resend that lacks the start of its body."""
    with proxy_with_targets(cut_upload, SOLD) as (proxy, _, target):
        body = b"a" * 500_000
        assert_that(
            refusal(call(proxy, "PUT", body=body)),
            Equals(("target_failed", "may_have_run")),
        )
        assert_that(target.received, Equals([]))
        proxy.table.targets[0] = proxy.table.targets[1]
        assert_that(call(proxy, "PUT", body=body), EndsWith(b"sold"))
        assert_that(target.received[0].body, Equals(body))


def test_lookup_leaves_an_ejected_target():
    """Guards against a lookup that waits for a target known to hang."""
    with (
        proxy_with_targets(hang, SOLD, request_timeout_s=3.0) as (proxy, first, _),
        ThreadPoolExecutor() as pool,
    ):
        reply = pool.submit(call, proxy, "GET")
        assert wait_until(lambda: first.received)
        proxy.table.attempts[0].on_ejected()
        assert_that(reply.result(1.0), EndsWith(b"sold"))
        # What was given up is no further evidence against the target.
        kinds = [OutcomeKind.CANCELLED, OutcomeKind.SUCCESS]
        assert_that(proxy.table.kinds(), Equals(kinds))


def test_sale_waits_for_an_ejected_target():
    """Guards against a sale that is sent twice because its target was ejected."""
    with (
        proxy_with_targets(hang, SOLD, request_timeout_s=0.5) as (proxy, first, second),
        ThreadPoolExecutor() as pool,
    ):
        reply = pool.submit(call, proxy, "POST", body=b"x")
        assert wait_until(lambda: first.received)
        assert proxy.table.attempts[0].on_ejected is None
        refused = refusal(reply.result(3.0))
        assert_that(refused, Equals(("target_timeout", "may_have_run")))
        assert_that(second.received, Equals([]))


def test_answer_that_has_begun_survives_an_ejection():
    """Guards against a whole answer that is cut because its target was ejected."""
    started = threading.Event()
    gate = threading.Event()

    def answer_in_two(target, sock, stream):
        read_head(stream)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
        started.set()
        gate.wait(5.0)
        sock.sendall(b"half")

    with proxy_with_targets(answer_in_two) as (proxy, _), ThreadPoolExecutor() as pool:
        reply = pool.submit(call, proxy, "GET")
        assert started.wait(5.0)
        assert wait_until(lambda: proxy.table.attempts[0].response_started)
        proxy.table.attempts[0].on_ejected()
        gate.set()
        assert_that(reply.result(3.0), EndsWith(b"halfhalf"))
