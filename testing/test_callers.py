"""Sending to callers."""

from socket import socketpair

import pytest

from lacewinglift.bodies import CallerGoneError
from lacewinglift.callers import CallerStream
from lacewinglift.timers import ManualTimers


@pytest.fixture
def sockets():
    pair = socketpair()
    yield pair
    for each in pair:
        each.close()


@pytest.fixture
def stream(sockets):
    stream = CallerStream(None, sockets[0], "10.0.0.1", ManualTimers())
    stream.cancelled = lambda: True
    return stream


def test_data_that_can_be_sent_at_once_is_sent_after_a_deadline(stream, sockets):
    """Guards against a timeout of a target that is taken for a caller who left.

    The deadline may pass between the read of a block and its sending.
    """
    stream.send(b"block")
    assert sockets[1].recv(100) == b"block"


def test_caller_that_does_not_read_is_given_up_after_a_deadline(stream):
    """Guards against a thread that waits for a slow caller beyond the deadline."""
    with pytest.raises(CallerGoneError):
        stream.send(b"x" * 10_000_000)
