"""Recipients of the periodic heartbeats of one instance.

One heartbeat a second from each instance to all others makes the traffic of a fleet
grow with the square of its size. In a large fleet, an instance sends to a part of the
others at a time, and states how long a round takes.
"""

import math
from collections.abc import Collection, Sequence

from attrs import define, frozen

# Interval of the periodic heartbeats.
HEARTBEAT_INTERVAL_S = 1.0
# Bound of the recipients of one periodic heartbeat, and so of the traffic that each
# instance causes, whatever the size of the fleet. Those that get every heartbeat come
# on top; their number follows the load of the fleet and not its size.
MAX_PERIODIC_RECIPIENTS = 100


@frozen
class PeriodicRecipients:
    """Addresses that get one periodic heartbeat."""

    each_time: Sequence[str]
    """Addresses that get every periodic heartbeat."""
    in_turn: Sequence[str]
    """Addresses whose turn it is."""


def round_duration_s(count: int) -> float:
    """Return the time in which each of `count` addresses gets its turn."""
    turns = max(math.ceil(count / MAX_PERIODIC_RECIPIENTS), 1)
    return turns * HEARTBEAT_INTERVAL_S


@define(eq=False)
class HeartbeatRounds:
    """Selects the recipients of each periodic heartbeat.

    Attributes
    ----------
    own_address : str
        Address of this instance, after which its rounds begin. If those of all
        instances began at the same address, each would hear all others at once, and
        then none for the rest of the round.
    """

    own_address: str = ""
    last_address: str | None = None
    """Last address that got a heartbeat in its turn; None before the first."""

    def next_recipients(
        self, addresses: Collection[str], preferred: Collection[str], to_all: bool
    ) -> PeriodicRecipients:
        """Return the recipients of the next periodic heartbeat.

        Parameters
        ----------
        addresses : collection of str
            Addresses of all other instances.
        preferred : collection of str
            Addresses that get every heartbeat also in a large fleet.
        to_all : bool
            Whether all get this one, whatever their number.
        """
        if to_all or len(addresses) <= MAX_PERIODIC_RECIPIENTS:
            self.last_address = None
            return PeriodicRecipients(sorted(addresses), ())
        each_time = sorted(set(preferred) & set(addresses))
        # All have their turn, so that none waits longer when it is no longer preferred.
        in_turn = self._take_turn(addresses)
        return PeriodicRecipients(
            each_time, [each for each in in_turn if each not in set(each_time)]
        )

    def _take_turn(self, addresses: Collection[str]) -> list[str]:
        """Return the next addresses in the order that begins after the own one."""
        ordered = sorted(addresses, key=self._place)
        left = ordered
        if self.last_address is not None:
            last = self._place(self.last_address)
            left = [each for each in ordered if self._place(each) > last]
        if self.last_address is None or len(left) < MAX_PERIODIC_RECIPIENTS:
            left = [*left, *ordered]
        taken = left[:MAX_PERIODIC_RECIPIENTS]
        self.last_address = taken[-1]
        return taken

    def _place(self, address: str) -> tuple[bool, str]:
        return address <= self.own_address, address
