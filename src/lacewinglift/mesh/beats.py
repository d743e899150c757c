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
IDLE_INTERVAL_S = 1.0
# Interval of datagrams among the instances that have requests in progress.
BUSY_INTERVAL_S = 0.1
# Time that evidence waits for more of it.
URGENT_DELAY_S = 0.005
RECEIVE_TIMEOUT_S = 0.5
MAX_DATAGRAM_BYTES = 60_000


class Audience(enum.Enum):
    """Whom a datagram is for."""

    ALL = "all"
    ACTIVE = "active"
    """Instances that had requests in progress lately."""


class BeatSource(Protocol):
    """What datagrams are made of, and who takes them in."""

    def make_beat(self, audience: "Audience") -> beats_pb2.Beat:
        """Return the next datagram of this instance."""
        ...

    def take_beat(self, beat: beats_pb2.Beat) -> None:
        """Take in a datagram of another instance."""
        ...

    def beat_addresses(self, audience: "Audience") -> list[str]:
        """Return the addresses that a datagram goes to."""
        ...


class BeatExchange:
    """Sends and receives datagrams on two threads.

    Parameters
    ----------
    address : str
        ``host:port`` that datagrams come to.
    source : BeatSource
        Makes and takes in datagrams.
    timers : Timers
        Clock.
    """

    def __init__(self, address: str, source: BeatSource, timers: Timers) -> None:
        self.address = address
        self.source = source
        self.timers = timers
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.condition = threading.Condition()
        self.stopped = False
        self.due_s = {audience: 0.0 for audience in Audience}
        self.unsent: dict[str, str] = {}
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

    def send_soon(self, delay_s: float = URGENT_DELAY_S) -> None:
        """Send the next datagram after `delay_s` at the latest."""
        self._schedule(Audience.ALL, delay_s)

    def tell_active_soon(self) -> None:
        """Send evidence to the instances that have requests in progress."""
        self._schedule(Audience.ACTIVE, URGENT_DELAY_S)

    def note_use(self) -> None:
        """Tell active instances of requests in progress within the busy interval."""
        self._schedule(Audience.ACTIVE, BUSY_INTERVAL_S)

    def _schedule(self, audience: Audience, delay_s: float) -> None:
        due_s = self.timers.now() + delay_s
        with self.condition:
            if due_s < self.due_s[audience]:
                self.due_s[audience] = due_s
                self.condition.notify()

    def _send_loop(self) -> None:
        while True:
            with self.condition:
                audience = self._wait_for_due()
                stopped = self.stopped
            self._send(audience)
            if stopped:
                return

    def _wait_for_due(self) -> Audience:
        while True:
            now = self.timers.now()
            if self.stopped or now >= self.due_s[Audience.ALL]:
                self.due_s[Audience.ALL] = now + IDLE_INTERVAL_S
                self.due_s[Audience.ACTIVE] = math.inf
                return Audience.ALL
            if now >= self.due_s[Audience.ACTIVE]:
                self.due_s[Audience.ACTIVE] = math.inf
                return Audience.ACTIVE
            self.condition.wait(max(min(self.due_s.values()) - now, 0.0))

    def _send(self, audience: Audience) -> None:
        data = self.source.make_beat(audience).SerializeToString()
        if len(data) > MAX_DATAGRAM_BYTES:
            log_warning("beat_too_long", bytes=len(data))
            return
        for address in self.source.beat_addresses(audience):
            try:
                self.socket.sendto(data, split_address(address))
            except OSError as error:
                self._note_unsent(address, error)
            else:
                self.unsent.pop(address, None)

    def _note_unsent(self, address: str, error: OSError) -> None:
        reason = str(error)
        if self.unsent.get(address) != reason:
            self.unsent[address] = reason
            log_info("beat_unsent", peer=address, reason=reason)

    def _receive_loop(self) -> None:
        while not self.stopped:
            data = self._receive()
            if data is not None:
                self._take(data)
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

    def _take(self, data: bytes) -> None:
        try:
            beat = beats_pb2.Beat.FromString(data)
        except DecodeError as error:
            log_warning("beat_invalid", reason=error)
            return
        if beat.instance:
            self.source.take_beat(beat)
