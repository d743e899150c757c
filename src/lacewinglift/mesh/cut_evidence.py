"""Tells targets that close connections from a broken path of this instance.

Answers this load: failing targets accept connections and close them in place of a
response, nine times in ten, while their health check is good. A broken path is silent
instead, or all connections of an instance break together.
"""

from collections import deque

from attrs import define, field

# Time within which cuts and responses are compared.
COMPARISON_WINDOW_S = 0.5


@define(eq=False)
class CutEvidence:
    """Recent cuts of connections that were opened for their request, and responses."""

    cuts: deque[tuple[float, str]] = field(factory=deque)
    """Times and targets."""
    responses: deque[tuple[float, str]] = field(factory=deque)

    def record_response(self, target: str, now_s: float) -> None:
        """Record that a target sent a response, of whatever status."""
        self.responses.append((now_s, target))
        _drop_old(self.responses, now_s)

    def is_fault_of_target(self, target: str, now_s: float) -> bool:
        """Record a cut, and return whether it speaks against the target.

        If connections to more targets break than others respond, the path of this
        instance is the likely cause.
        """
        self.cuts.append((now_s, target))
        _drop_old(self.cuts, now_s)
        _drop_old(self.responses, now_s)
        cut = {name for _, name in self.cuts}
        responding = {name for _, name in self.responses} - cut
        return len(cut) <= len(responding) + 1


def _drop_old(events: deque[tuple[float, str]], now_s: float) -> None:
    while events and now_s - events[0][0] > COMPARISON_WINDOW_S:
        events.popleft()
