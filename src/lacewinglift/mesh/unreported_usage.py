"""Estimate of what other instances have admitted and not reported yet.

Reports of the others arrive late, in a large fleet by most of a second. When a
workspace surges, all instances admit its requests from the same tokens until they hear
of each other. Callers spread over the instances, so the others see the same surge: an
instance assumes that their use has risen as its own has.

Load: one workspace sends several times its usual rate, through tens of instances.
"""

from attrs import define, field, frozen

from lacewinglift.admission import DemandMeter
from lacewinglift.mesh.members import DIRECT_MEMBER_TIMEOUT_S

# Time over which the usual rates of the others and of this instance are averaged.
USUAL_TIME_CONSTANT_S = 5.0
# Requests that are added to both sides of the comparison of the recent use with the
# usual one. With few requests, a second one is no sign of a surge.
SURGE_DAMPING = 1.0
# Part of the tolerated excess that unreported use may take. The rest covers requests
# that wait for a token, and reports that are lost.
USABLE_TOLERANCE = 0.5


@frozen
class RateTolerance:
    """Requests of a workspace that may exceed its rate and burst in any window.

    They are `fraction` of the rate over the window and the burst, plus `slack`.
    """

    fraction: float
    slack: float
    window_s: float

    def usable(self, rate_per_s: float, burst: float) -> float:
        """Return how many unreported requests are admitted beyond the tokens."""
        allowed = self.fraction * (rate_per_s * self.window_s + burst) + self.slack
        return USABLE_TOLERANCE * allowed


NO_TOLERANCE = RateTolerance(fraction=0.0, slack=0.0, window_s=0.0)


@define(eq=False)
class UnreportedUsage:
    """Recent and usual use of one workspace.

    Attributes
    ----------
    peers : DemandMeter
        Requests that other instances report.
    own : DemandMeter
        Requests that this instance has admitted, the recent ones excepted.
    total : DemandMeter
        Requests of both kinds, over the time until a lost instance is missed.
    recent_s : list of float
        Times at which this instance has admitted requests that others may not know.
    """

    peers: DemandMeter
    own: DemandMeter
    total: DemandMeter
    # An empty deque takes ten times as much memory, for each workspace in use.
    recent_s: list[float] = field(factory=list)

    @classmethod
    def since(cls, now_s: float) -> "UnreportedUsage":
        """Return the use of a workspace that has not been used before `now_s`."""
        return cls(
            DemandMeter(USUAL_TIME_CONSTANT_S, now_s),
            DemandMeter(USUAL_TIME_CONSTANT_S, now_s),
            DemandMeter(DIRECT_MEMBER_TIMEOUT_S, now_s),
        )

    def record_own(self, now_s: float) -> None:
        """Count a request that this instance has admitted."""
        self.recent_s.append(now_s)
        self.total.record(now_s)

    def record_peers(self, now_s: float, increase: int) -> None:
        """Count requests that another instance reports."""
        self.peers.record(now_s, increase)
        self.total.record(now_s, increase)

    def spent_until_missed(self, now_s: float) -> float:
        """Return about what was admitted in the time until a loss is noticed."""
        return self.total.average_at(now_s) * DIRECT_MEMBER_TIMEOUT_S

    def estimate(self, now_s: float, report_delay_s: float) -> float:
        """Return what the others have probably admitted and not reported yet.

        Parameters
        ----------
        now_s : float
            Present time.
        report_delay_s : float
            Time that the reports of the others take, in seconds.
        """
        while self.recent_s and self.recent_s[0] <= now_s - report_delay_s:
            self.own.record(self.recent_s.pop(0))
        usual = self.own.average_at(now_s) * report_delay_s
        growth = (len(self.recent_s) + SURGE_DAMPING) / (usual + SURGE_DAMPING)
        return self.peers.average_at(now_s) * report_delay_s * max(growth, 1.0)
