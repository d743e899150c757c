"""Targets that shed requests, as the whole fleet knows them.

Answers this load: most targets of a service shed a part of their requests at random,
while a few take all that they get. An instance that sees one request in a hundred of
a target learns of it only after many refused requests, and each further attempt is
paid for by the retry budget of the fleet. So an instance that is refused reports it,
and all prefer other targets for some time.
"""

import math
from collections.abc import Iterable

from attrs import define, field

from lacewinglift.generated import beats_pb2
from lacewinglift.timers import Timers

# Time after a refused request during which a target counts as shedding. A target that
# goes on shedding costs one refused request in this time, and a sound one is used again
# after it.
SHEDDING_HOLD_S = 2.0
# A target is reported again after this time at the earliest, so that the reports of
# the fleet are bounded by the number of its targets and not by that of its requests.
REPORT_INTERVAL_S = 1.0
# Time for which a report is repeated in heartbeats, since datagrams can be lost.
REPORT_REPEAT_S = 1.0

# Name and start of one incarnation of a target.
TargetKey = tuple[str, int]


@define(eq=False)
class SheddingReports:
    """Times at which targets shed requests, from all instances."""

    timers: Timers
    shed_at_s: dict[TargetKey, float] = field(factory=dict)
    """Last time at which a target shed a request of any instance."""
    own_reports: dict[TargetKey, float] = field(factory=dict)
    """Times of the reports of this instance."""

    def record(self, target: str, born_ms: int) -> bool:
        """Record that a request was shed; return whether others must be told."""
        now = self.timers.now()
        key = target, born_ms
        known_at_s = self.shed_at_s.get(key, -math.inf)
        if now - known_at_s < REPORT_INTERVAL_S:
            return False
        self.shed_at_s[key] = now
        self.own_reports[key] = now
        return True

    def receive(self, reports: Iterable[beats_pb2.SheddingReport]) -> None:
        """Apply the reports of another instance."""
        now = self.timers.now()
        for report in reports:
            key = report.target, report.born_ms
            at_s = now - report.age_ms / 1000
            self.shed_at_s[key] = max(at_s, self.shed_at_s.get(key, -math.inf))

    def messages(self) -> list[beats_pb2.SheddingReport]:
        """Return the recent reports of this instance, to send to the others."""
        now = self.timers.now()
        self.own_reports = {
            key: at_s
            for key, at_s in self.own_reports.items()
            if now - at_s <= REPORT_REPEAT_S
        }
        return [
            beats_pb2.SheddingReport(
                target=target, born_ms=born_ms, age_ms=int((now - at_s) * 1000)
            )
            for (target, born_ms), at_s in self.own_reports.items()
        ]

    def is_shedding(self, target: str, born_ms: int) -> bool:
        """Return whether a target has shed a request of any instance recently."""
        at_s = self.shed_at_s.get((target, born_ms), -math.inf)
        return self.timers.now() - at_s <= SHEDDING_HOLD_S

    def remove_expired(self) -> None:
        """Forget targets that have not shed a request for the hold time."""
        oldest_s = self.timers.now() - SHEDDING_HOLD_S
        self.shed_at_s = {
            key: at_s for key, at_s in self.shed_at_s.items() if at_s >= oldest_s
        }
