import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.headers import (
    HOP_BY_HOP,
    BadRequestError,
    headers_to_caller,
    headers_to_target,
    parse_head,
    routing_paths,
)

TOKEN = st.text("abcXYZ019-!~", min_size=1, max_size=8)
VALUE = st.text("abc \t,;=\xe9", max_size=12).map(str.strip)
HEADER = st.tuples(st.one_of(TOKEN, st.sampled_from(sorted(HOP_BY_HOP))), VALUE)
PIECES = [
    b"GET / HTTP/1.1\r\n",
    b"POST /a HTTP/1.1\r\n",
    b"Host: h\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: 6\r\n",
    b"Content-Length:\t5\r\n",
    b"Content-Length: +5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked, chunked\r\n",
    b"Transfer-Encoding: xchunked\r\n",
    b"Transfer-Encoding : chunked\r\n",
    b"Content_Length: 5\r\n",
    b" folded\r\n",
    b"X: a\rb\r\n",
    b"X: a\0b\r\n",
    b"X: a\nContent-Length: 9\r\n",
]


def block(*lines):
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


@given(st.lists(st.sampled_from(PIECES), max_size=4), st.booleans(), st.binary())
def test_framing_is_never_ambiguous(pieces, started, noise):
    """Guards against request smuggling: two parties see different ends of a request."""
    start = b"POST /a HTTP/1.1\r\nHost: h\r\n" if started else b""
    data = b"".join([start, *pieces, noise[:6], b"\r\n"])
    try:
        head = parse_head(data)
    except BadRequestError:
        return
    lines = data[:-4].lower().split(b"\r\n")[1:]
    names = [line.partition(b":")[0].strip().replace(b"_", b"-") for line in lines]
    lengths = names.count(b"content-length")
    codings = names.count(b"transfer-encoding")
    assert lengths + codings <= 1
    assert_that(head.chunked, Equals(codings == 1))
    if lengths:
        value = lines[names.index(b"content-length")].partition(b":")[2]
        assert_that(value.strip(), Equals(str(head.content_length).encode()))
    assert_that(names.count(b"host"), Equals(1))
    assert not any(byte < 32 and byte != 9 for line in lines for byte in line)


@given(st.lists(HEADER, max_size=8))
def test_end_to_end_headers_pass_in_order(headers):
    """Guards against repeated headers that are lost, joined or reordered."""
    rows = [f"{name}: {value}" for name, value in headers]
    rows = [row for row in rows if not row.lower().startswith("transfer-encoding")]
    head = parse_head(block("GET /a?b HTTP/1.1", "Host: h", *rows))
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    expected = [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in named
    ]
    assert_that(headers_to_target(head.headers)[1:], Equals(expected))
    assert_that(headers_to_caller(head.headers)[1:], Equals(expected))


@given(st.text("aA./%25cCfF0eE;?\\#", max_size=12))
def test_routed_path_is_the_path_that_a_decoding_target_sees(text):
    """Guards against a path that a target resolves outside the route's prefix."""
    try:
        head = parse_head(block(f"GET /a/{text} HTTP/1.1", "Host: h"))
    except BadRequestError:
        return
    for path in routing_paths(head.path):
        segments = path.split("/")
        assert "" not in segments[1:-1]
        assert not {".", ".."} & {segment.split(";")[0] for segment in segments}
        assert_that(len(segments), Equals(head.path.count("/") + 1))


REFUSED = [
    block("GET /a HTTP/1.1"),
    block("GET /a HTTP/1.1", "Host: a", "Host: a"),
    block("GET /a HTTP/1.1", "Host: a/b"),
    block("GET /a HTTP/1.1", "Host: a", "Content-Length: 1", "content-length: 1"),
    block("GET /a HTTP/1.1", "Host: a", "Content-Length: 1, 1"),
    block("GET /a HTTP/1.1", "Host: a", "Transfer-Encoding: gzip, chunked"),
    block("GET /a HTTP/1.1", "Host: a", "Transfer-Encoding: chunked;a=b"),
    block("GET  /a HTTP/1.1", "Host: a"),
    block("GET /a HTTP/1.2", "Host: a"),
    block("GET * HTTP/1.1", "Host: a"),
    block("CONNECT a:1 HTTP/1.1", "Host: a"),
    block("TRACE /a HTTP/1.1", "Host: a"),
    block("GET /a%2Fb HTTP/1.1", "Host: a"),
    block("GET /a%5cb HTTP/1.1", "Host: a"),
    block("GET /a%00 HTTP/1.1", "Host: a"),
    block("GET /a/%2e%2E/b HTTP/1.1", "Host: a"),
    block("GET /a/..;x/b HTTP/1.1", "Host: a"),
    block("GET //a HTTP/1.1", "Host: a"),
    block("GET /a\xe9 HTTP/1.1", "Host: a"),
    block("GET /a HTTP/1.0", "Transfer-Encoding: chunked"),
    block("GET /a HTTP/1.1", "Host: a", "Expect: magic"),
    block("GET /a HTTP/1.1", "Host: a", "Authorization: Bearer a", "authorization: b"),
    block("GET /a HTTP/1.1", "Host: a", "X-Request-Timeout-Ms: soon"),
    block("GET /a HTTP/1.1", "Host: a", *["X: 1"] * 100),
    block("GET /a HTTP/1.1", "Host: a", "X: " + "a" * 16384),
]


@pytest.mark.parametrize("data", REFUSED)
def test_invalid_heads_are_refused(data):
    """Guards against heads that targets may interpret differently."""
    with pytest.raises(BadRequestError):
        parse_head(data)
