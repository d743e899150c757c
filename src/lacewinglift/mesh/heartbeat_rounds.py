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
# instance causes, whatever the size of the fleet.
MAX_PERIODIC_RECIPIENTS = 100
# Part of the bound that is left for the others while many instances get each heartbeat.
MIN_RECIPIENTS_IN_TURN = 25


@frozen
class PeriodicRecipients:
    """Addresses that get one periodic heartbeat."""

    each_time: Sequence[str]
    """Addresses that get every periodic heartbeat."""
    in_turn: Sequence[str]
    """Addresses whose turn it is."""
    round_s: float
    """Time until the addresses in turn get the next one."""


@define(eq=False)
class HeartbeatRounds:
    """Selects the recipients of each periodic heartbeat."""

    rounds: int = 0
    """Number of rounds that have begun."""
    last_address: str = ""
    """Last address that got a heartbeat in its turn."""

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
            self.rounds += 1
            self.last_address = ""
            return PeriodicRecipients(sorted(addresses), (), HEARTBEAT_INTERVAL_S)
        each_time = sorted(set(preferred) & set(addresses))
        others = sorted(set(addresses).difference(each_time))
        size = max(MAX_PERIODIC_RECIPIENTS - len(each_time), MIN_RECIPIENTS_IN_TURN)
        round_s = math.ceil(len(others) / size) * HEARTBEAT_INTERVAL_S
        return PeriodicRecipients(each_time, self._take_turn(others, size), round_s)

    def _take_turn(self, others: list[str], size: int) -> list[str]:
        """Return the next addresses in order; a round ends with the last of them."""
        left = [address for address in others if address > self.last_address]
        if not left:
            left = others
        if left is others or not self.last_address:
            self.rounds += 1
        taken = left[:size]
        self.last_address = taken[-1] if taken else ""
        return taken
