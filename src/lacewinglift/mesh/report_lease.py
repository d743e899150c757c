"""Lease on the use of limits that an instance has not reported yet.

All instances admit from the same tokens, and each knows of the others' use only what
they have reported. Each therefore holds a lease on its share of the tokens that are
left, and of what the users' rule tolerates beyond them. Each report renews the lease;
use beyond it is reported at once.

Load: one workspace surges, in a fleet whose instances have little else to do and so
report once a second.
"""

from collections.abc import Callable

from attrs import define

from lacewinglift.timers import Timers

# An instance counts as one that shares limits for this long after use beyond its lease.
SHARING_TIMEOUT_S = 3.0
# Unreported requests of an instance that does not share limits. The occasional requests
# by which operators test each instance are no reason to report.
MIN_LEASE = 1.0


@define(eq=False)
class ReportLease:
    """Decides when an instance has to report its use of limits at once.

    Attributes
    ----------
    timers : Timers
        Clock.
    reports_directly : callable
        Returns whether reports go to all instances directly, so that one more is soon
        there. Relays pass reports on at fixed times.
    fleet_size : callable
        Returns the number of instances, this one included.
    report_to_all : callable
        Sends a report to all instances soon.
    report_to_sharing : callable
        Sends a report soon to the instances that serve callers or share limits.
    sharing_until_s : float
        Time until which the others have to report their use to this instance.
    """

    timers: Timers
    reports_directly: Callable[[], bool]
    fleet_size: Callable[[], int]
    report_to_all: Callable[[], None]
    report_to_sharing: Callable[[], None]
    sharing_until_s: float = float("-inf")

    def is_sharing(self) -> bool:
        """Return whether the others should report their use to this instance soon."""
        return self.timers.now() <= self.sharing_until_s

    def record_unreported(self, unreported: int, left: float) -> None:
        """Report at once if this instance has used more than its share.

        Parameters
        ----------
        unreported : int
            Requests of a workspace that this instance has admitted and not reported.
        left : float
            Requests that the fleet may still admit, as far as this instance knows.
        """
        if not self.reports_directly():
            return
        is_sharing = self.is_sharing()
        lease = max(left, 0.0) / self.fleet_size()
        if not is_sharing:
            lease = max(lease, MIN_LEASE)
        if unreported <= lease:
            return
        self.sharing_until_s = self.timers.now() + SHARING_TIMEOUT_S
        if is_sharing:
            self.report_to_sharing()
        else:
            self.report_to_all()
