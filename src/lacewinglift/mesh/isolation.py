"""Detects that an instance hears none of the others, sooner than by their timeouts.

Timeouts of single members bear the longest pause between two of their heartbeats. All
of them together are rarely silent for long, in a fleet that serves callers. How long
is usual depends on its size and its callers, so it is observed.

Load: one workspace sends several times its rate while instances are cut off.
"""

from attrs import define

# Time in which usual gaps between heartbeats are observed; at most twice as long.
OBSERVATION_S = 3.0
# Longest gap that is assumed before any was observed.
INITIAL_GAP_S = 1.25
# Multiple of the longest usual gap, and shortest silence, that mean isolation.
ISOLATION_GAPS = 2.0
ISOLATION_MIN_S = 0.5


@define(eq=False)
class HeartbeatGaps:
    """Gaps between the heartbeats of all other instances together."""

    last_heard_at_s: float | None = None
    period_began_at_s: float = 0.0
    longest_s: float = 0.0
    """Longest gap in the present period."""
    previous_longest_s: float = INITIAL_GAP_S
    """Longest gap in the period before."""

    def record(self, now_s: float) -> None:
        """Record a heartbeat of any other instance."""
        if self.last_heard_at_s is None:
            self.period_began_at_s = now_s
        else:
            self.longest_s = max(self.longest_s, now_s - self.last_heard_at_s)
        self.last_heard_at_s = now_s
        if now_s - self.period_began_at_s >= OBSERVATION_S:
            self.previous_longest_s = self.longest_s
            self.longest_s = 0.0
            self.period_began_at_s = now_s

    def is_isolated(self, now_s: float) -> bool:
        """Return whether the silence is much longer than usual."""
        if self.last_heard_at_s is None:
            return False
        usual_s = max(self.longest_s, self.previous_longest_s)
        timeout_s = max(ISOLATION_GAPS * usual_s, ISOLATION_MIN_S)
        return now_s - self.last_heard_at_s > timeout_s
