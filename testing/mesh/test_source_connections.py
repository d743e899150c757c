"""Connections to the first of several instances that answers."""

import asyncio
import contextlib
import socket
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from lacewinglift.mesh.source_connections import (
    NEXT_CONNECTION_DELAY_S,
    connect_to_first,
)

PENDING_CONNECTIONS = 3


def listen(backlog):
    listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
    return listener, f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.fixture
def answering():
    """Address of an instance that accepts connections."""
    listener, address = listen(16)
    with listener:
        yield address


@pytest.fixture
def silent():
    """Address whose new connections hang, as those to a machine that is cut off."""
    listener, address = listen(0)
    with listener, contextlib.ExitStack() as stack:
        for _ in range(PENDING_CONNECTIONS):
            pending = stack.enter_context(socket.socket())
            pending.setblocking(False)
            pending.connect_ex(listener.getsockname())
        yield address


@pytest.fixture
def refusing():
    """Address at which nobody listens."""
    listener, address = listen(16)
    listener.close()
    return address


def connect(addresses):
    """Return the port that was connected to, and the time that it took."""

    async def run():
        started_s = time.monotonic()
        channel = await connect_to_first(addresses)
        took_s = time.monotonic() - started_s
        port = channel._port
        channel.close()
        return f"127.0.0.1:{port}", took_s

    return asyncio.run(run())


def test_instance_that_is_cut_off_is_passed_over(silent, answering):
    """Guards against a fetch that waits for a machine that does not answer."""
    address, took_s = connect([silent, answering])
    assert_that(address, Equals(answering))
    assert_that(took_s, LessThan(3 * NEXT_CONNECTION_DELAY_S))


def test_instance_that_refuses_is_passed_over_at_once(refusing, answering):
    """Guards against waiting after a refused connection."""
    address, took_s = connect([refusing, answering])
    assert_that(address, Equals(answering))
    assert_that(took_s, LessThan(NEXT_CONNECTION_DELAY_S))


def test_first_instance_is_asked_if_it_answers(answering, refusing):
    """Guards against a fetch that leaves the data centre without need."""
    address, _ = connect([answering, refusing])
    assert_that(address, Equals(answering))


def test_no_instance_that_answers_is_an_error(refusing):
    """Guards against a fetch that never ends."""
    with pytest.raises(ConnectionRefusedError):
        connect([refusing])
