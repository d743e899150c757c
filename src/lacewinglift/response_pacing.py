"""Leaves a part of an instance's link to its control traffic.

Responses share the link with heartbeats, snapshots, calls to the store and readiness
checks. If bulk data could fill the link, an instance would not hear of changes.
"""

import threading

from attrs import define, field

from lacewinglift.timers import Timers

# Share of the link that responses may use.
RESPONSE_LINK_SHARE = 0.75
# The first bytes of each response are not delayed, so that short responses do not wait
# behind long ones; they count against the rate of the others.
UNPACED_BYTES = 64 * 1024
# Time for which the rate may be saved up.
BURST_S = 0.1


@define(eq=False)
class ResponsePacer:
    """Limits the rate at which an instance reads long responses of targets.

    Reading slower makes the target send slower, since its unread data is bounded.

    Attributes
    ----------
    timers : Timers
        Clock.
    link_bytes_per_s : float or None
        Speed of the link of this instance; None if it is not known.
    """

    timers: Timers
    link_bytes_per_s: float | None = None
    free_at_s: float = float("-inf")
    """Time until which the rate is used up."""
    lock: threading.Lock = field(factory=threading.Lock)

    def reserve(self, size: int, received: int) -> float:
        """Count bytes that were read; return the time to wait before the next read.

        Parameters
        ----------
        size : int
            Bytes that were read.
        received : int
            Bytes of the same response up to now, these included.
        """
        if self.link_bytes_per_s is None:
            return 0.0
        rate_per_s = self.link_bytes_per_s * RESPONSE_LINK_SHARE
        with self.lock:
            now = self.timers.now()
            self.free_at_s = max(self.free_at_s, now - BURST_S) + size / rate_per_s
            return 0.0 if received <= UNPACED_BYTES else max(self.free_at_s - now, 0.0)
