"""Which instances callers are told to use.

Fewer instances than there are see more of each target: evidence comes sooner, and
connections to targets are reused more. The others stay ready to take over.
"""

import math
from collections.abc import Callable

from attrs import frozen

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.members import MemberTable, select_across_data_centres
from lacewinglift.mesh.settings import MeshSettings

MAX_ADDRESSES = 64
# Instances in the caller's data centre with which it needs no others: answers then
# stay in the data centre, and one instance may fail.
MIN_NEAR_INSTANCES = 2


@frozen
class Resolution:
    """Instances that a caller may use, and for how long."""

    addresses: tuple[str, ...]
    lifetime_s: float


@frozen
class _Candidate:
    name: str
    data_centre: str
    caller_address: str
    observer: bool


class Directory:
    """Gives address answers.

    Parameters
    ----------
    settings : MeshSettings
        This instance, and how callers are spread.
    members : MemberTable
        The other instances.
    is_ready : callable
        Tells whether this instance can serve requests.
    is_observer : callable
        Tells whether this instance watches the store for the others.
    request_rate_per_s : callable
        Returns the requests of the whole fleet per second.
    """

    def __init__(
        self,
        settings: MeshSettings,
        members: MemberTable,
        is_ready: Callable[[], bool],
        is_observer: Callable[[], bool],
        request_rate_per_s: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.members = members
        self.is_ready = is_ready
        self.is_observer = is_observer
        self.request_rate_per_s = request_rate_per_s

    def resolve(self, data_centre: str | None) -> Resolution | None:
        """Return an answer; None while no instance is known to be ready.

        Parameters
        ----------
        data_centre : str or None
            Where the caller is, if it said so.
        """
        chosen = self._select_instances()
        if not chosen:
            return None
        near = [each for each in chosen if each.data_centre == data_centre]
        if len(near) >= MIN_NEAR_INSTANCES:
            chosen = near
        addresses = tuple(candidate.caller_address for candidate in chosen)
        return Resolution(addresses, self.settings.address_lifetime_s)

    def _select_instances(self) -> list[_Candidate]:
        candidates = {c.name: c for c in self._ready_candidates()}
        if not candidates:
            return []
        data_centres = {c.data_centre for c in candidates.values()}
        least = self.settings.min_active_per_data_centre * len(data_centres)
        needed = self.request_rate_per_s() / self.settings.requests_per_instance_s
        count = min(max(least, math.ceil(needed)), MAX_ADDRESSES)
        # Observers are busy with the store, so others go first.
        others = [name for name, c in candidates.items() if not c.observer]
        names = others if len(others) >= count else list(candidates)
        chosen = select_across_data_centres(
            "callers", names, lambda name: candidates[name].data_centre, count
        )
        return [candidates[name] for name in chosen]

    def _ready_candidates(self) -> list[_Candidate]:
        candidates = [
            _Candidate(
                member.name,
                member.description.data_centre,
                member.description.caller_address,
                member.heartbeat.observer,
            )
            for member in self.members.reachable()
            if member.heartbeat.state == beats_pb2.SERVING
        ]
        if self.is_ready():
            settings = self.settings
            candidates.append(
                _Candidate(
                    settings.instance,
                    settings.data_centre,
                    settings.caller_address,
                    self.is_observer(),
                )
            )
        return candidates
