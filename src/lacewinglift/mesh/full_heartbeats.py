"""Selects the instances that get a full heartbeat.

A full heartbeat holds the description of its sender, addresses of peers and all counts,
and is ten times as long as a brief one. In a large fleet, one to all instances would
occupy a slow link for tenths of a second.
"""

import threading
import zlib
from collections.abc import Sequence

from attrs import define, field

# The first heartbeats of an instance are full ones to all, since nobody knows it yet.
INITIAL_FULL_HEARTBEATS = 6
# The first of these go to all instances at once also in a large fleet; the second one
# covers the loss of the first.
INITIAL_HEARTBEATS_TO_ALL = 2
# Afterwards each n-th heartbeat to an instance is a full one, in case an earlier one
# was lost.
FULL_HEARTBEAT_EVERY = 12


@define(eq=False)
class FullHeartbeatSchedule:
    """Selects the recipients of full heartbeats among those of each heartbeat."""

    sent: int = 0
    """Number of periodic heartbeats that were sent."""
    counts: dict[str, int] = field(factory=dict)
    """Heartbeats since the last full one, by the address of the recipient."""
    newcomers: set[str] = field(factory=set)
    """Addresses of instances that joined and have got no full heartbeat since."""
    lock: threading.Lock = field(factory=threading.Lock)

    def add_newcomer(self, address: str) -> None:
        """Note that an instance needs a full heartbeat soon."""
        with self.lock:
            self.newcomers.add(address)

    def take_newcomers(self) -> list[str]:
        """Return the instances that joined since the last call."""
        with self.lock:
            newcomers, self.newcomers = self.newcomers, set()
        return sorted(newcomers)

    def is_next_for_all(self) -> bool:
        """Return whether the next heartbeat goes to all instances at once."""
        return self.sent < INITIAL_HEARTBEATS_TO_ALL

    def split(self, addresses: Sequence[str]) -> tuple[list[str], list[str]]:
        """Return the recipients of a full and those of a brief heartbeat."""
        if self.sent <= INITIAL_FULL_HEARTBEATS:
            return list(addresses), []
        full, brief = [], []
        for address in addresses:
            (full if self._is_turn(address) else brief).append(address)
        return full, brief

    def _is_turn(self, address: str) -> bool:
        # The first turns are spread by a hash of the address.
        default = zlib.crc32(address.encode())
        count = (self.counts.get(address, default) + 1) % FULL_HEARTBEAT_EVERY
        self.counts[address] = count
        return count == 0
