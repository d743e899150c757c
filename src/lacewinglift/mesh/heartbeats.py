"""Datagrams between instances.

Datagrams need no connection that could go silent, and a lost one is made good by the
next: counts are cumulative and events are repeated.
"""

import enum
import math
import socket
import threading
from collections.abc import Callable
from typing import Protocol

from google.protobuf.message import DecodeError

from lacewinglift.generated import beats_pb2
from lacewinglift.logs import log_info, log_warning
from lacewinglift.socket_addresses import split_address
from lacewinglift.timers import Timers

# Interval of datagrams to all instances.
HEARTBEAT_INTERVAL_S = 1.0
# Interval of datagrams among the instances that have requests in progress.
ACTIVE_HEARTBEAT_INTERVAL_S = 0.1
# Time that evidence waits for more of it.
BATCH_DELAY_S = 0.005
RECEIVE_TIMEOUT_S = 0.5
MAX_DATAGRAM_BYTES = 60_000


class Recipients(enum.Enum):
    """Whom a datagram is for."""

    ALL = "all"
    ACTIVE = "active"
    """Instances that had requests in progress lately."""


class HeartbeatHandler(Protocol):
    """What datagrams are made of, and who takes them in."""

    def build_heartbeat(self, recipients: "Recipients") -> beats_pb2.Beat:
        """Return the next datagram of this instance."""
        ...

    def receive_heartbeat(self, heartbeat: beats_pb2.Beat) -> None:
        """Take in a datagram of another instance."""
        ...

    def recipient_addresses(self, recipients: "Recipients") -> list[str]:
        """Return the addresses that a datagram goes to."""
        ...


class HeartbeatExchange:
    """Sends and receives heartbeats on two threads.

    Parameters
    ----------
    address : str
        ``host:port`` that datagrams come to.
    handler : HeartbeatHandler
        Makes and takes in datagrams.
    timers : Timers
        Clock.
    """

    def __init__(self, address: str, handler: HeartbeatHandler, timers: Timers) -> None:
        self.address = address
        self.handler = handler
        self.timers = timers
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.condition = threading.Condition()
        self.stopped = False
        self.due_s = {recipients: 0.0 for recipients in Recipients}
        self.send_errors: dict[str, str] = {}
        """Addresses that the last datagram could not be sent to, and why."""
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Listen; raises OSError for an address in use."""
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
        """Send a last datagram; the receiver ends within its timeout."""
        with self.condition:
            self.stopped = True
            self.condition.notify()
        sender = self.threads[0]
        sender.join()

    def send_soon(self, delay_s: float = BATCH_DELAY_S) -> None:
        """Send the next datagram after `delay_s` at the latest."""
        self._schedule(Recipients.ALL, delay_s)

    def send_to_active_soon(self) -> None:
        """Send evidence to the instances that have requests in progress."""
        self._schedule(Recipients.ACTIVE, BATCH_DELAY_S)

    def schedule_to_active(self) -> None:
        """Tell active instances of requests in progress within the busy interval."""
        self._schedule(Recipients.ACTIVE, ACTIVE_HEARTBEAT_INTERVAL_S)

    def _schedule(self, recipients: Recipients, delay_s: float) -> None:
        due_s = self.timers.now() + delay_s
        with self.condition:
            if due_s < self.due_s[recipients]:
                self.due_s[recipients] = due_s
                self.condition.notify()

    def _send_loop(self) -> None:
        while True:
            with self.condition:
                recipients = self._wait_for_due()
                stopped = self.stopped
            self._send(recipients)
            if stopped:
                return

    def _wait_for_due(self) -> Recipients:
        while True:
            now = self.timers.now()
            if self.stopped or now >= self.due_s[Recipients.ALL]:
                self.due_s[Recipients.ALL] = now + HEARTBEAT_INTERVAL_S
                self.due_s[Recipients.ACTIVE] = math.inf
                return Recipients.ALL
            if now >= self.due_s[Recipients.ACTIVE]:
                self.due_s[Recipients.ACTIVE] = math.inf
                return Recipients.ACTIVE
            self.condition.wait(max(min(self.due_s.values()) - now, 0.0))

    def _send(self, recipients: Recipients) -> None:
        data = self.handler.build_heartbeat(recipients).SerializeToString()
        if len(data) > MAX_DATAGRAM_BYTES:
            log_warning("beat_too_long", bytes=len(data))
            return
        for address in self.handler.recipient_addresses(recipients):
            try:
                self.socket.sendto(data, split_address(address))
            except OSError as error:
                self._record_send_error(address, error)
            else:
                self.send_errors.pop(address, None)

    def _record_send_error(self, address: str, error: OSError) -> None:
        reason = str(error)
        if self.send_errors.get(address) != reason:
            self.send_errors[address] = reason
            log_info("beat_unsent", peer=address, reason=reason)

    def _receive_loop(self) -> None:
        while not self.stopped:
            data = self._receive()
            if data is not None:
                self._dispatch(data)
        self.socket.close()

    def _receive(self) -> bytes | None:
        try:
            return self.socket.recv(MAX_DATAGRAM_BYTES + 1)
        except TimeoutError:
            return None
        except OSError as error:
            # A datagram to a port that nobody listens on is reported here.
            log_info("beat_receive_failed", reason=error)
            return None

    def _dispatch(self, data: bytes) -> None:
        try:
            heartbeat = beats_pb2.Beat.FromString(data)
        except DecodeError as error:
            log_warning("beat_invalid", reason=error)
            return
        if heartbeat.instance:
            self.handler.receive_heartbeat(heartbeat)
