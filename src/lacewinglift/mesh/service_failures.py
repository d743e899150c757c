"""Share of the requests of a service that the targets in use do not serve.

Load: a service loses so many targets to failures, sheds and broken paths that the
others cannot serve everything, while an instance sees a few requests a second.
"""

from collections import deque

from attrs import define, field, frozen

# While more than this share of a service's requests fail, each of its targets is tried.
FAILING_SHARE = 0.1
# Time over which requests are counted. An instance sees three to ten requests a second
# of a service.
FAILURE_WINDOW_S = 3.0
# Failures from this many sources, where a request without any target is a source of its
# own. One target with a gray failure is no reason to try it with other requests.
FAILING_SOURCES_MIN = 2


@frozen
class _End:
    at_s: float
    failed_at: str | None
    """Target that did not serve the request; empty if there was none."""


@define(eq=False)
class ServiceFailures:
    """Recent ends of the attempts of one service at targets that are in use.

    Attempts at targets that are tried only because others fail do not count, or the
    failures of those would be the reason to try them again.
    """

    ends: deque[_End] = field(factory=deque)
    failed: int = 0

    def record(self, at_s: float, failed_at: str | None) -> None:
        """Record the end of an attempt, and the target that failed if it did."""
        self.ends.append(_End(at_s, failed_at))
        self.failed += failed_at is not None

    def is_failing(self, now_s: float, several_held_off: bool = False) -> bool:
        """Return whether the targets in use cannot serve everything.

        Parameters
        ----------
        now_s : float
            Present time.
        several_held_off : bool, default=False
            Whether several targets are not in use at once. One failure at the others
            is then enough, as an instance sees few requests of its own.
        """
        while self.ends and now_s - self.ends[0].at_s > FAILURE_WINDOW_S:
            self.failed -= self.ends.popleft().failed_at is not None
        if self.failed <= FAILING_SHARE * len(self.ends):
            return False
        if several_held_off:
            return True
        sources = {end.failed_at for end in self.ends if end.failed_at is not None}
        return len(sources) >= FAILING_SOURCES_MIN or "" in sources
