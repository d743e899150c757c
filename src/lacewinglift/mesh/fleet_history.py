"""How long the fleet can have kept the counts that its limits are based on."""

import math

from lacewinglift.mesh.members import MemberTable
from lacewinglift.timers import Timers

# After this time a new process has heard from all instances that it can reach.
HEARD_ALL_AFTER_S = 1.5
# Part of the instances heard that are new when the fleet restarts as a whole. It is
# above what instances that restart in turn, a sixth of the fleet a second, show.
MOSTLY_NEW_FRACTION = 0.75
# Fewer instances than this may be heard before the size of the fleet is known, as
# seeds that restart together hear each other first.
MIN_NEW = 3
# Reported by an instance that knows that nothing was counted before its start.
MAX_HISTORY_MS = 2**32 - 1


class FleetHistory:
    """Time for which the instances have counted what the fleet does.

    A process that starts does not know what its predecessor did. Its peers do, if they
    have not been restarted too.

    Parameters
    ----------
    timers : Timers
        Clock.
    members : MemberTable
        Other instances.
    first_start : bool
        Whether the whole fleet starts for the first time, so that there is nothing
        before the start to be known.
    """

    def __init__(self, timers: Timers, members: MemberTable, first_start: bool) -> None:
        self.timers = timers
        self.members = members
        self.started_at_s = -math.inf if first_start else timers.now()

    def own_s(self) -> float:
        """Return the time for which this instance has counted."""
        return self.timers.now() - self.started_at_s

    def own_ms(self) -> int:
        """Return the time for which this instance has counted, as it is reported."""
        # 0 stands for a sender that does not report it.
        return int(max(min(self.own_s() * 1000, MAX_HISTORY_MS), 1))

    def has_heard_all(self) -> bool:
        """Return whether this instance has had the time to hear from all others."""
        return self.own_s() >= HEARD_ALL_AFTER_S

    def has_heard_any(self) -> bool:
        """Return whether this instance has heard from another one."""
        return bool(self.members.known())

    def is_mostly_new(self) -> bool:
        """Return whether this instance and most others that it hears just started."""
        if self.has_heard_all():
            return False
        limit_ms = HEARD_ALL_AFTER_S * 1000
        histories_ms = [each.heartbeat.history_ms for each in self.members.known()]
        # 0 stands for a sender that does not report it.
        new = sum(0 < history_ms < limit_ms for history_ms in histories_ms)
        return new >= MIN_NEW and new > MOSTLY_NEW_FRACTION * len(histories_ms)

    def fleet_s(self) -> float:
        """Return the time for which at least half of the fleet has counted."""
        own_s = self.own_s()
        if not self.has_heard_all():
            return own_s
        reported_s = [
            member.heartbeat.history_ms / 1000 for member in self.members.reachable()
        ]
        histories_s = sorted([own_s, *reported_s])
        return histories_s[len(histories_s) // 2]
