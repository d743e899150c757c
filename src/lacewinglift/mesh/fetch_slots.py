"""Limits the fetches that are in progress at once."""

import threading

from attrs import define, field

from lacewinglift.timers import Timers

# A fetch that has not ended after this time gets company from another one, to another
# instance, but goes on: on a full link it may be about to end.
HEDGE_DELAY_S = 1.0
# While no source answers, a further one is asked after each `HEDGE_DELAY_S`.
MAX_FETCHES = 4


@define(eq=False)
class FetchSlots:
    """Permits a further fetch only while none is young, up to `MAX_FETCHES`."""

    timers: Timers
    in_progress: int = 0
    last_started_at_s: float = float("-inf")
    lock: threading.Lock = field(factory=threading.Lock)

    def try_start(self) -> bool:
        """Return whether a fetch may start now; count it if so."""
        now = self.timers.now()
        with self.lock:
            young = now - self.last_started_at_s < HEDGE_DELAY_S
            if self.in_progress and (young or self.in_progress >= MAX_FETCHES):
                return False
            self.in_progress += 1
            self.last_started_at_s = now
            return True

    def end(self) -> None:
        """Count the end of a fetch."""
        with self.lock:
            self.in_progress -= 1
