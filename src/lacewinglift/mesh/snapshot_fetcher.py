"""Schedules the fetches of snapshots, so that the instances of a fleet share the work.

All instances learn of a change within milliseconds. If all fetched at once from the
instance that announced it, their transfers would share its link until they time out.
"""

import threading
from collections.abc import Callable
from random import Random

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.members import Member, MemberTable
from lacewinglift.mesh.snapshot_fetch_policy import SnapshotFetchPolicy
from lacewinglift.timers import Timers

# The fetches of a fleet are spread over this time for each instance. Those that come
# later find more instances to fetch from.
SPREAD_PER_INSTANCE_S = 0.004
# Instances that one fetch may turn to, as some may have been cut off just now.
MAX_SOURCES = 3
# The last one is of another data centre, if there is one: the own one may be cut off.
MAX_NEAR_SOURCES = MAX_SOURCES - 1


class SnapshotFetcher:
    """Fetches a snapshot some time after another instance has reported newer state.

    Parameters
    ----------
    timers : Timers
        Clock and scheduler.
    data_centre : str
        Data centre of this instance; snapshots are fetched within it if possible.
    members : MemberTable
        The other instances.
    policy : SnapshotFetchPolicy
        Decides whether an instance has newer state.
    fetch : callable
        Fetches a snapshot from the first of some instances that answers, given their
        descriptions.
    is_urgent : callable
        Returns whether callers are waiting for the state, so that it is fetched at
        once.
    random : random.Random
        Source of the delays and of the choice among instances.
    """

    def __init__(
        self,
        timers: Timers,
        data_centre: str,
        members: MemberTable,
        policy: SnapshotFetchPolicy,
        fetch: Callable[[list[beats_pb2.Description]], None],
        is_urgent: Callable[[], bool],
        random: Random | None = None,
    ) -> None:
        self.timers = timers
        self.data_centre = data_centre
        self.members = members
        self.policy = policy
        self.fetch = fetch
        self.is_urgent = is_urgent
        self.random = random or Random()
        self.scheduled = False
        self.lock = threading.Lock()

    def process_heartbeat(self, heartbeat: beats_pb2.Beat) -> None:
        """Schedule a fetch if the sender of a heartbeat has newer state to fetch."""
        if not self.policy.should_fetch(heartbeat):
            return
        with self.lock:
            if self.scheduled:
                return
            self.scheduled = True
        self.timers.call_later(self._delay_s(), self._fetch_from_one)

    def _delay_s(self) -> float:
        if self.is_urgent():
            return 0.0
        spread_s = SPREAD_PER_INSTANCE_S * len(self.members.reachable())
        return self.random.uniform(0.0, spread_s)

    def _fetch_from_one(self) -> None:
        with self.lock:
            self.scheduled = False
        sources = self._choose_sources()
        if sources:
            self.fetch([source.description for source in sources])

    def _choose_sources(self) -> list[Member]:
        """Return instances with newer state, those of this data centre first."""
        newer = [
            member
            for member in self.members.reachable()
            if self.policy.has_newer_state(member.heartbeat)
        ]
        self.random.shuffle(newer)
        near = [each for each in newer if self._is_near(each)][:MAX_NEAR_SOURCES]
        far = [each for each in newer if not self._is_near(each)]
        return [*near, *far][:MAX_SOURCES]

    def _is_near(self, member: Member) -> bool:
        return member.description.data_centre == self.data_centre
