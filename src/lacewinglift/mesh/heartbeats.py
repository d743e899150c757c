"""Heartbeat datagrams between instances.

UDP is used because there is no connection that could hang unnoticed. A lost heartbeat
needs no retransmission: counts are cumulative and events are repeated in later ones.
"""

import enum
import math
import socket
import threading
from collections.abc import Callable, Sequence
from typing import Protocol

from attrs import define, frozen
from google.protobuf.message import DecodeError

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_exception, log_info, log_warning
from lacewinglift.mesh.heartbeat_rounds import HEARTBEAT_INTERVAL_S
from lacewinglift.mesh.traffic import Direction, MeshTraffic, MessageKind
from lacewinglift.socket_addresses import split_address
from lacewinglift.timers import Timers

# Shortest interval of heartbeats between instances that serve callers.
ACTIVE_HEARTBEAT_INTERVAL_S = 0.1
# Rate of the datagrams to the instances that serve callers. It bounds the share of the
# link and of the processor that a heartbeat to many of them takes. The periodic ones
# use half of it, so that evidence rarely waits.
MAX_ACTIVE_DATAGRAMS_PER_S = 200.0
PERIODIC_DATAGRAMS_PER_S = MAX_ACTIVE_DATAGRAMS_PER_S / 2
# Number of these datagrams that may be sent at once after a pause.
ACTIVE_DATAGRAMS_BURST = 100.0
# Delay before evidence is sent, so that events close together share a datagram.
BATCH_DELAY_S = 0.005
# Delay of the heartbeat to instances that joined, so that one serves all that join
# within this time.
JOIN_BATCH_DELAY_S = 0.1
RECEIVE_TIMEOUT_S = 0.5
MAX_DATAGRAM_BYTES = 60_000


class Recipients(enum.Enum):
    """Group of instances that a heartbeat is sent to."""

    ALL = "all"
    ACTIVE = "active"
    """Instances that recently had a share of the callers' requests."""
    NEWCOMERS = "newcomers"
    """Instances that have just joined."""
    DATA_CENTRE = "data centre"
    """Instances of the own data centre, for which this one watches the store."""
    RELAYED = "relayed"
    """Instances that get heartbeats of others through this one."""


@frozen
class OutgoingHeartbeat:
    """A heartbeat and the addresses to send it to."""

    heartbeat: beats_pb2.Beat
    addresses: Sequence[str]


class HeartbeatHandler(Protocol):
    """Builds the heartbeats to send and processes the received ones."""

    def build_heartbeats(self, recipients: "Recipients") -> list["OutgoingHeartbeat"]:
        """Return the next heartbeats of this instance to a group of instances."""
        ...

    def receive_heartbeat(self, heartbeat: beats_pb2.Beat) -> None:
        """Process a heartbeat of another instance."""
        ...


@define(eq=False)
class DatagramBudget:
    """Token bucket for datagrams; the last send may overdraw it."""

    level: float = ACTIVE_DATAGRAMS_BURST
    refilled_at_s: float = 0.0

    def refill(self, now_s: float) -> None:
        """Add the tokens since the last refill."""
        increase = (now_s - self.refilled_at_s) * MAX_ACTIVE_DATAGRAMS_PER_S
        self.level = min(self.level + increase, ACTIVE_DATAGRAMS_BURST)
        self.refilled_at_s = now_s

    def spend(self, count: int, now_s: float) -> None:
        """Record that datagrams were sent."""
        self.refill(now_s)
        self.level -= count

    def available_at_s(self, now_s: float) -> float:
        """Return the time from which datagrams may be sent again."""
        self.refill(now_s)
        return now_s + max(-self.level, 0.0) / MAX_ACTIVE_DATAGRAMS_PER_S


class HeartbeatExchange:
    """Sends and receives heartbeats, each on its own thread.

    Parameters
    ----------
    address : str
        ``host:port`` to receive heartbeats on.
    handler : HeartbeatHandler
        Builds the heartbeats to send and processes the received ones.
    timers : Timers
        Clock.
    traffic : MeshTraffic
        Counts the datagrams.
    """

    def __init__(
        self,
        address: str,
        handler: HeartbeatHandler,
        timers: Timers,
        traffic: MeshTraffic,
    ) -> None:
        self.address = address
        self.handler = handler
        self.timers = timers
        self.traffic = traffic
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.condition = threading.Condition()
        self.stopped = False
        self.due_s = {recipients: math.inf for recipients in Recipients}
        self.due_s[Recipients.ALL] = 0.0
        self.active_budget = DatagramBudget()
        self.min_active_interval_s = ACTIVE_HEARTBEAT_INTERVAL_S
        self.active_interval_s = ACTIVE_HEARTBEAT_INTERVAL_S
        self.send_errors: dict[str, str] = {}
        """Error of the last heartbeat, by address that it could not be sent to."""
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start both threads; raises OSError if the address is in use."""
        self.socket.bind(split_address(self.address))
        self.socket.settimeout(RECEIVE_TIMEOUT_S)
        loops: list[tuple[str, Callable[[], None]]] = [
            ("beat-sender", self._send_loop),
            ("beat-receiver", self._receive_loop),
        ]
        for name, loop in loops:
            thread = threading.Thread(target=loop, name=name, daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        """Send a last heartbeat; the receiver thread ends within its timeout."""
        with self.condition:
            self.stopped = True
            self.condition.notify()
        sender = self.threads[0]
        sender.join()

    def send_soon(self, delay_s: float = BATCH_DELAY_S) -> None:
        """Send the next heartbeat to all instances within `delay_s`."""
        self._schedule(Recipients.ALL, delay_s)

    def send_to_active_soon(self) -> None:
        """Send evidence to the active instances without waiting for the interval."""
        self._schedule(Recipients.ACTIVE, BATCH_DELAY_S)

    def schedule_active_heartbeat(self) -> None:
        """Send a heartbeat to the active instances within their interval."""
        self._schedule(Recipients.ACTIVE, self.active_interval_s)

    def send_to_newcomers_soon(self) -> None:
        """Send a heartbeat to the instances that have joined, several at once."""
        self._schedule(Recipients.NEWCOMERS, JOIN_BATCH_DELAY_S)

    def send_to_data_centre(self) -> None:
        """Send a heartbeat to the instances of the own data centre."""
        self._schedule(Recipients.DATA_CENTRE, 0.0)

    def schedule_relayed(self, delay_s: float) -> None:
        """Send what is to be relayed within `delay_s`."""
        self._schedule(Recipients.RELAYED, delay_s)

    def _schedule(self, recipients: Recipients, delay_s: float) -> None:
        now = self.timers.now()
        due_s = now + delay_s
        with self.condition:
            if recipients is Recipients.ACTIVE:
                due_s = max(due_s, self.active_budget.available_at_s(now))
            if due_s < self.due_s[recipients]:
                self.due_s[recipients] = due_s
                self.condition.notify()

    def _send_loop(self) -> None:
        while True:
            with self.condition:
                recipients = self._wait_for_due()
                stopped = self.stopped
            try:
                self.send(recipients)
            except Exception:
                # The thread goes on: the others would take this instance for lost.
                log_exception("beat_not_built")
            if stopped:
                return

    def _wait_for_due(self) -> Recipients:
        while True:
            recipients = self.take_due()
            if recipients is not None:
                return recipients
            left_s = min(self.due_s.values()) - self.timers.now()
            self.condition.wait(max(left_s, 0.0))

    def take_due(self) -> Recipients | None:
        """Return the recipients of the heartbeat that is due now, and schedule on.

        Returns None if no heartbeat is due.
        """
        now = self.timers.now()
        with self.condition:
            if self.stopped or now >= self.due_s[Recipients.ALL]:
                self.due_s[Recipients.ALL] = now + HEARTBEAT_INTERVAL_S
                self.due_s[Recipients.ACTIVE] = math.inf
                self.due_s[Recipients.DATA_CENTRE] = math.inf
                return Recipients.ALL
            for recipients in (
                Recipients.RELAYED,
                Recipients.DATA_CENTRE,
                Recipients.ACTIVE,
                Recipients.NEWCOMERS,
            ):
                if now >= self.due_s[recipients]:
                    self.due_s[recipients] = math.inf
                    return recipients
        return None

    def send(self, recipients: Recipients) -> None:
        """Send a heartbeat to each instance of a group."""
        for outgoing in self.handler.build_heartbeats(recipients):
            if recipients is Recipients.ACTIVE:
                self._spend_on_active(len(outgoing.addresses))
            self._send_to_each(outgoing)

    def _send_to_each(self, outgoing: OutgoingHeartbeat) -> None:
        data = outgoing.heartbeat.SerializeToString()
        kind = _kind_of(outgoing.heartbeat)
        if len(data) > MAX_DATAGRAM_BYTES:
            log_warning("beat_too_long", bytes=len(data))
            return
        for address in outgoing.addresses:
            try:
                self.socket.sendto(data, split_address(address))
            except OSError as error:
                self._record_send_error(address, error)
            else:
                self.send_errors.pop(address, None)
                self.traffic.record(kind, Direction.SENT, len(data))

    def _spend_on_active(self, count: int) -> None:
        with self.condition:
            self.active_budget.spend(count, self.timers.now())
            self.active_interval_s = max(
                self.min_active_interval_s, count / PERIODIC_DATAGRAMS_PER_S
            )

    def _record_send_error(self, address: str, error: OSError) -> None:
        reason = str(error)
        if self.send_errors.get(address) != reason:
            self.send_errors[address] = reason
            log_info("beat_unsent", peer=address, reason=reason)

    def _receive_loop(self) -> None:
        while not self.stopped:
            data = self._receive()
            if data is not None:
                try:
                    self.dispatch(data)
                except Exception:
                    log_exception("beat_not_processed")
        self.socket.close()

    def _receive(self) -> bytes | None:
        try:
            return self.socket.recv(MAX_DATAGRAM_BYTES + 1)
        except TimeoutError:
            return None
        except OSError as error:
            # The kernel reports here that an earlier heartbeat was sent to a port on
            # which nobody listens.
            log_info("beat_receive_failed", reason=error)
            return None

    def dispatch(self, data: bytes) -> None:
        """Decode a datagram and pass the heartbeat to the handler."""
        try:
            heartbeat = beats_pb2.Beat.FromString(data)
        except DecodeError as error:
            log_warning("beat_invalid", reason=error)
            return
        self.traffic.record(_kind_of(heartbeat), Direction.RECEIVED, len(data))
        if heartbeat.instance or heartbeat.HasField("bundle"):
            self.handler.receive_heartbeat(heartbeat)


def _kind_of(heartbeat: beats_pb2.Beat) -> MessageKind:
    if not heartbeat.HasField("bundle"):
        return MessageKind.HEARTBEAT
    if heartbeat.bundle.kind == beats_pb2.BETWEEN_DATA_CENTRES:
        return MessageKind.BUNDLE_BETWEEN
    return MessageKind.BUNDLE_WITHIN
