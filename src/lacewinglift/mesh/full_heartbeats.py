"""Selects the instances that get a full heartbeat.

A full heartbeat holds the description of its sender, addresses of peers and all counts,
and is ten times as long as a brief one. In a large fleet, one to all instances would
occupy a slow link for tenths of a second.
"""

import threading
from collections.abc import Sequence

from attrs import define, field

# The first heartbeats of an instance are full ones to all, since nobody knows it yet.
INITIAL_FULL_HEARTBEATS = 6
# Afterwards each heartbeat is a full one for every n-th instance in turn, in case an
# earlier one was lost.
FULL_HEARTBEAT_EVERY = 6


@define(eq=False)
class FullHeartbeatSchedule:
    """Selects the recipients of full heartbeats among those of each heartbeat."""

    sent: int = 0
    """Number of heartbeats that were sent to all instances."""
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

    def split(self, addresses: Sequence[str]) -> tuple[list[str], list[str]]:
        """Return the recipients of a full and those of a brief heartbeat."""
        self.sent += 1
        if self.sent <= INITIAL_FULL_HEARTBEATS:
            return list(addresses), []
        turn = self.sent % FULL_HEARTBEAT_EVERY
        full = list(addresses[turn::FULL_HEARTBEAT_EVERY])
        chosen = set(full)
        return full, [each for each in addresses if each not in chosen]
