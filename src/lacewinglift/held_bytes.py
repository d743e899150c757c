"""Memory for responses that a target has sent and the caller has not read.

Load: tens of callers read slowly at the same time, from an instance with 200 MB. Each
response held may use a part of what is left, so that no number of slow callers takes
all of it from the others.
"""

import threading

from attrs import define, field

# Bound of the bytes that are held for one response. It is one block more than is held
# for a retry, since that block shows that a response is larger.
MAX_HELD_PER_RESPONSE = 1024 * 1024 + 64 * 1024
# Bound of the bytes that are held for all responses of an instance. Its threads,
# modules and connections use half of the 200 MB of the smallest instances.
MAX_HELD_PER_INSTANCE = 24 * 1024 * 1024
# Part of the bytes left that one response may hold. With N slow callers, a share of
# 1 / (1 + N / 8) of the memory is still left for the next one.
SHARE_OF_FREE = 1 / 8


@define(eq=False)
class HeldBytes:
    """Counts the bytes of responses that are held at an instance.

    Attributes
    ----------
    limit : int
        Bound of the bytes that are held at the same time.
    """

    limit: int = MAX_HELD_PER_INSTANCE
    total: int = 0
    released_early: int = 0
    """Responses whose target was released before the caller had read them."""
    lock: threading.Lock = field(factory=threading.Lock)

    def try_hold(self, size: int, held: int) -> bool:
        """Reserve further bytes for a response; return whether they may be held.

        Parameters
        ----------
        size : int
            Further bytes.
        held : int
            Bytes that are already held for the response.
        """
        with self.lock:
            free = self.limit - self.total
            allowed = min(MAX_HELD_PER_RESPONSE, (free + held) * SHARE_OF_FREE)
            if held + size > allowed or size > free:
                return False
            self.total += size
            return True

    def release(self, size: int) -> None:
        """Return bytes that are no longer held."""
        with self.lock:
            self.total -= size

    def count_early_release(self) -> None:
        """Count a response whose target was released before the caller had read it."""
        with self.lock:
            self.released_early += 1
