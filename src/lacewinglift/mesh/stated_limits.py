"""The rate that one target states it takes, and what this instance has left of it."""

import math

from attrs import define

# An unused share adds up to this many requests. With less, requests that come unevenly
# leave a part of the rate unused; with more, a target in need would get bursts.
MAX_TOKENS = 2.0
# The same while the target is cold. Up to four instances have a share, on each side of
# a partition, and what they have saved may arrive within the same second.
MAX_WARMING_TOKENS = 1.0


@define
class StatedLimit:
    """What a target last stated, to any instance, about the rate that it takes."""

    limit_per_s: float | None = None
    """Requests a second from the whole fleet; None if it states no limit."""
    stated_at_s: float = -math.inf
    """Time of the response with the statement."""
    heard_at_s: float = -math.inf
    """Time of the last response to this instance with the statement."""
    tokens: float = 0.0
    refilled_at_s: float = 0.0
    warming: bool = False
    """Whether the target is cold, so that its requests are counted."""

    def set_warming(self, warming: bool, now_s: float) -> bool:
        """Record whether the target is cold; return whether that changes.

        A cold target gets nothing for what was saved before.
        """
        if warming == self.warming:
            return False
        self.warming = warming
        self.tokens = 0.0
        self.refilled_at_s = now_s
        return True

    def update(self, limit_per_s: float | None, stated_at_s: float) -> bool:
        """Accept a statement unless a later one is known; return whether it differs."""
        if stated_at_s <= self.stated_at_s:
            return False
        self.stated_at_s = stated_at_s
        if limit_per_s == self.limit_per_s:
            return False
        if self.limit_per_s is None:
            self.tokens = 0.0
            self.refilled_at_s = stated_at_s
        self.limit_per_s = limit_per_s
        return True

    def has_token(self, now_s: float, rate_per_s: float) -> bool:
        """Return whether a request may be sent now, at a share of the rate."""
        gained = (now_s - self.refilled_at_s) * rate_per_s
        max_tokens = MAX_WARMING_TOKENS if self.warming else MAX_TOKENS
        self.tokens = min(self.tokens + gained, max_tokens)
        self.refilled_at_s = now_s
        return self.tokens >= 1.0

    def is_share_unused(self) -> bool:
        """Return whether a limit holds and the share has gone unused for a while."""
        return self.limit_per_s is not None and self.tokens >= MAX_TOKENS

    def take_token(self) -> None:
        """Count a request that is sent."""
        if self.limit_per_s is not None or self.warming:
            self.tokens -= 1.0
