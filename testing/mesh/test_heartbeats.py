"""Rate of the heartbeats of one instance."""

import socket

import pytest
from attrs import define, field
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.heartbeats import (
    ACTIVE_DATAGRAMS_BURST,
    BATCH_DELAY_S,
    MAX_ACTIVE_DATAGRAMS_PER_S,
    HeartbeatExchange,
    OutgoingHeartbeat,
    Recipients,
)
from lacewinglift.mesh.traffic import MeshTraffic
from lacewinglift.timers import ManualTimers, ThreadTimers
from testing.standins.proxy_harness import wait_until

STEP_S = 0.005


@define
class Peers:
    """Handler with a number of active instances; stands in for the socket too."""

    active: int
    sent: list = field(factory=list)

    def build_heartbeats(self, recipients):
        count = self.active if recipients is Recipients.ACTIVE else 0
        addresses = [f"10.0.0.{number}:81" for number in range(count)]
        heartbeat = beats_pb2.Beat(instance="f1", sequence=1)
        return [OutgoingHeartbeat(heartbeat, addresses)]

    def sendto(self, data, address):
        self.sent.append(address)


@pytest.fixture
def timers():
    return ManualTimers()


def make_exchange(timers, active):
    peers = Peers(active)
    exchange = HeartbeatExchange("10.0.0.250:81", peers, timers, MeshTraffic())
    exchange.socket.close()
    exchange.socket = peers
    exchange.take_due()
    return exchange, peers


def advance(exchange, timers, duration_s):
    """Advance time in steps and send what is due in each."""
    for _ in range(round(duration_s / STEP_S)):
        timers.advance(STEP_S)
        recipients = exchange.take_due()
        if recipients is not None:
            exchange.send(recipients)


def test_evidence_is_sent_at_once_to_a_few_instances(timers):
    """Guards against evidence that waits for the interval of the heartbeats."""
    exchange, peers = make_exchange(timers, active=10)
    timers.advance(0.5)
    exchange.send_to_active_soon()
    advance(exchange, timers, BATCH_DELAY_S + STEP_S)
    assert_that(len(peers.sent), Equals(10))


def test_many_failures_do_not_exceed_the_datagram_rate(timers):
    """Load: an instance sees a failure each 5 ms and sends to 60 instances.

    Guards against evidence that fills the link while many targets fail.
    """
    exchange, peers = make_exchange(timers, active=60)
    for _ in range(1000):
        exchange.send_to_active_soon()
        advance(exchange, timers, STEP_S)
    allowed = 5.0 * MAX_ACTIVE_DATAGRAMS_PER_S + ACTIVE_DATAGRAMS_BURST + 60
    assert_that(len(peers.sent), LessThan(allowed + 1))


def test_periodic_heartbeats_leave_half_of_the_rate_to_evidence(timers):
    """Load: 60 instances serve callers, and none of the targets fails.

    Guards against periodic heartbeats that use the whole rate, so that evidence waits.
    """
    exchange, peers = make_exchange(timers, active=60)
    for _ in range(1000):
        exchange.schedule_active_heartbeat()
        advance(exchange, timers, STEP_S)
    # The first two follow each other sooner, as the recipients are not counted yet.
    first = 2 * 60
    assert_that(
        len(peers.sent), LessThan(5.0 * MAX_ACTIVE_DATAGRAMS_PER_S / 2 + first + 1)
    )


def test_heartbeat_to_all_replaces_one_to_the_data_centre(timers):
    """Guards against an observer that sends the same news twice to its neighbours."""
    exchange, _ = make_exchange(timers, active=0)
    exchange.send_to_data_centre()
    assert_that(exchange.take_due(), Equals(Recipients.DATA_CENTRE))
    exchange.send_to_data_centre()
    exchange.send_soon(delay_s=0.0)
    assert_that(exchange.take_due(), Equals(Recipients.ALL))
    assert_that(exchange.take_due(), Equals(None))


@define
class FailingOnce:
    """Handler that fails the first time it builds and processes a heartbeat."""

    address: str = ""
    built: int = 0
    received: int = 0

    def build_heartbeats(self, recipients):
        self.built += 1
        if self.built == 1:
            raise ValueError("out of range")
        heartbeat = beats_pb2.Beat(instance="f1", sequence=self.built)
        return [OutgoingHeartbeat(heartbeat, [self.address])]

    def receive_heartbeat(self, heartbeat):
        self.received += 1
        if self.received == 1:
            raise ValueError("out of range")


def test_heartbeats_go_on_after_one_that_could_not_be_built_or_processed():
    """Guards against an instance that no other hears again, and that hears no other.

    Both would grant the whole rate of a workspace.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"
    handler = FailingOnce(address)
    exchange = HeartbeatExchange(address, handler, ThreadTimers(), MeshTraffic())
    exchange.start()
    try:
        for count in (2, 3, 4):
            exchange.send_soon()
            assert wait_until(lambda count=count: handler.built >= count)
        assert wait_until(lambda: handler.received >= 2)
    finally:
        exchange.stop()
