import io
import socket
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from lacewinglift.bodies import (
    MAX_REPLAY_BYTES,
    CallerGoneError,
    RequestBody,
    iter_chunked,
)
from lacewinglift.headers import BadRequestError, parse_head


def encode_chunked(chunks, upper, extension, trailers):
    form = "%X" if upper else "%x"
    data = b""
    for chunk in chunks:
        data += (form % len(chunk)).encode() + extension + b"\r\n" + chunk + b"\r\n"
    return data + b"0\r\n" + trailers + b"\r\n"


CHUNKED_BODIES = st.builds(
    lambda chunks, *rest: (b"".join(chunks), encode_chunked(chunks, *rest)),
    st.lists(st.binary(min_size=1, max_size=40), max_size=4),
    st.booleans(),
    st.sampled_from([b"", b";a", b' ;a="b"']),
    st.sampled_from([b"", b"X-T: 1\r\n"]),
)


@given(CHUNKED_BODIES, st.binary(max_size=5), st.data())
def test_chunked_body_is_read_exactly(body, following, data):
    """Guards against a body that includes bytes of the next request."""
    content, encoded = body
    reader = io.BufferedReader(io.BytesIO(encoded + following), buffer_size=7)
    assert_that(b"".join(iter_chunked(reader)), Equals(content))
    assert_that(reader.read(), Equals(following))
    length = data.draw(st.integers(0, len(encoded) - 1))
    with pytest.raises(CallerGoneError):
        list(iter_chunked(io.BufferedReader(io.BytesIO(encoded[:length]))))


INVALID_CHUNKED_BODIES = [
    b"0x1\r\na\r\n0\r\n\r\n",
    b"+1\r\na\r\n0\r\n\r\n",
    b"-1\r\na\r\n0\r\n\r\n",
    b"1_0\r\n",
    b" 1\r\na\r\n0\r\n\r\n",
    b"\r\n",
    b"1\na\r\n0\r\n\r\n",
    b"1\r\nab\r\n0\r\n\r\n",
    b"1000001\r\n",
    b"100000000\r\n",
    b"1;" + b"a" * 300 + b"\r\na\r\n0\r\n\r\n",
    b"0\r\nX_T: 1\r\n\r\n",
    b"0\r\n folded\r\n\r\n",
    b"0\r\n" + b"X: 1\r\n" * 102 + b"\r\n",
]


@pytest.mark.parametrize("data", INVALID_CHUNKED_BODIES)
def test_invalid_chunks_are_refused(data):
    """Guards against chunks that a target may parse differently."""
    with pytest.raises(BadRequestError):
        list(iter_chunked(io.BufferedReader(io.BytesIO(data))))


def make_body(content, length=None):
    """Return a body of `content`; of chunks if its length is not stated."""
    framing = "Transfer-Encoding: chunked"
    if length is not None:
        framing = f"Content-Length: {length}"
    head = parse_head(f"POST /a HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n".encode())
    reader = io.BufferedReader(io.BytesIO(content), buffer_size=16384)
    return RequestBody(head, reader, socket.socket(), 1.0, lambda: None)


def test_truncated_body_never_counts_as_finished():
    """Guards against the rest of a body that is parsed as the next request."""
    body = make_body(b"abc", 5)
    for _ in range(2):
        with pytest.raises(CallerGoneError):
            body.preload(lambda: 1.0)
    assert_that(body.finished, Equals(False))


@given(st.integers(1, 3 * MAX_REPLAY_BYTES), st.integers(0, 6))
def test_body_is_replayed_completely_or_not_at_all(length, blocks_read):
    """Guards against a retry without the bytes that the first attempt has read."""
    content = bytes(index % 251 for index in range(length))
    body = make_body(content, length)
    first = body.iter_content()
    bytes_read = sum(len(next(first, b"")) for _ in range(blocks_read))
    assert_that(body.replayable, Equals(bytes_read <= MAX_REPLAY_BYTES))
    if body.replayable:
        assert_that(b"".join(body.iter_content()), Equals(content))


def test_memory_of_a_buffered_body_of_small_chunks_is_that_of_its_bytes():
    """Guards against a process that runs out of memory for the bytes of one caller.

    An object for each chunk of a few bytes would take many times the size of the body.
    """
    size = MAX_REPLAY_BYTES // 2
    encoded = encode_chunked([b"xy"] * (size // 2), False, b"", b"")
    body = make_body(encoded)
    tracemalloc.start()
    try:
        body.preload(lambda: 1.0)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert_that(b"".join(body.iter_content()), Equals(b"xy" * (size // 2)))
    assert_that(held_bytes, LessThan(3 * size))
