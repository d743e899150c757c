"""Selection of the instances that callers are sent to.

Only some of the ready instances are selected. Each of these then sends more requests
to each target, so that it detects failures sooner and reuses its connections more
often. The others are standbys.
"""

import math
from collections.abc import Callable
from random import Random

from attrs import frozen

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.instance_capacities import (
    StatedCapacity,
    draw_addresses,
    relative_capacities,
    select_by_capacity,
)
from lacewinglift.mesh.members import MemberTable, select_across_data_centres
from lacewinglift.mesh.request_rate import RateEstimate
from lacewinglift.mesh.settings import MeshSettings
from lacewinglift.timers import Timers

MAX_SELECTED_INSTANCES = 64
# Fraction of the ready instances that are selected at least while there are no requests
# or their rate is not settled, since callers keep their addresses for seconds.
INITIAL_FRACTION = 1 / 3
# Whether this instance is selected is computed again after this time. Callers use the
# addresses that they were given for seconds anyway.
OWN_SELECTION_LIFETIME_S = 0.2
# With this many selected instances in its own data centre, a caller gets no others:
# its traffic then stays in the data centre, and one instance may still fail.
NEAR_INSTANCES_MIN = 2


@frozen
class Resolution:
    """Addresses of the instances that a caller may use, and their lifetime."""

    addresses: tuple[str, ...]
    lifetime_s: float


@frozen
class _Candidate:
    name: str
    data_centre: str
    caller_address: str
    observer: bool
    capacity: StatedCapacity


class Directory:
    """Resolves the addresses of the instances that callers use.

    Parameters
    ----------
    settings : MeshSettings
        Identity of this instance and limits of the selection.
    members : MemberTable
        The other instances.
    is_ready : callable
        Returns whether this instance can serve requests.
    is_observer : callable
        Returns whether this instance watches the store for the others.
    request_rate : callable
        Returns the estimated request rate of the whole fleet.
    timers : Timers
        Clock.
    """

    def __init__(
        self,
        settings: MeshSettings,
        members: MemberTable,
        is_ready: Callable[[], bool],
        is_observer: Callable[[], bool],
        request_rate: Callable[[], RateEstimate],
        timers: Timers,
    ) -> None:
        self.settings = settings
        self.members = members
        self.is_ready = is_ready
        self.is_observer = is_observer
        self.request_rate = request_rate
        self.timers = timers
        self.by_capacity: Callable[[], bool] = bool
        """Returns whether instances are selected by what each can carry."""
        self.random = Random()
        self.own_selected = False
        self.checked_at_s = -math.inf

    def resolve(
        self, data_centre: str | None, regions: frozenset[str] | None = None
    ) -> Resolution | None:
        """Return the addresses for a caller; None while no ready instance is known.

        Parameters
        ----------
        data_centre : str or None
            Data centre of the caller, if it named one.
        regions : frozenset of str, default=None
            Regions of the instances that the caller may use; all by default.
        """
        chosen = self._select_instances()
        if regions is not None:
            region_of = self.settings.regions
            chosen = [c for c in chosen if region_of.get(c.data_centre) in regions]
        if not chosen:
            return None
        near = [each for each in chosen if each.data_centre == data_centre]
        if len(near) >= NEAR_INSTANCES_MIN:
            chosen = near
        if self.by_capacity():
            chosen = self._draw(chosen)
        addresses = tuple(candidate.caller_address for candidate in chosen)
        return Resolution(addresses, self.settings.address_lifetime_s)

    def selects_own_instance(self) -> bool:
        """Return whether callers are sent to this instance."""
        now = self.timers.now()
        if now - self.checked_at_s > OWN_SELECTION_LIFETIME_S:
            own_name = self.settings.instance
            self.own_selected = own_name in {c.name for c in self._select_instances()}
            self.checked_at_s = now
        return self.own_selected

    def _select_instances(self) -> list[_Candidate]:
        candidates = {c.name: c for c in self._ready_candidates()}
        if not candidates:
            return []
        if self.by_capacity():
            return self._select_by_capacity(candidates)
        data_centres = {c.data_centre for c in candidates.values()}
        minimum = self.settings.min_selected_per_data_centre * len(data_centres)
        needed = self._needed_instances(len(candidates))
        count = min(max(minimum, math.ceil(needed)), MAX_SELECTED_INSTANCES)
        # Observers already have the work of watching the store, so they are selected
        # only if there are too few others.
        others = [name for name, c in candidates.items() if not c.observer]
        names = others if len(others) >= count else list(candidates)
        chosen = select_across_data_centres(
            "callers", names, lambda name: candidates[name].data_centre, count
        )
        return [candidates[name] for name in chosen]

    def _select_by_capacity(
        self, candidates: dict[str, _Candidate]
    ) -> list[_Candidate]:
        capacities = _capacities(candidates)
        data_centres = sorted({c.data_centre for c in candidates.values()})
        needed = self._needed_instances(sum(capacities.values()))
        selected = []
        for data_centre in data_centres:
            selected += select_by_capacity(
                {
                    name: capacities[name]
                    for name, candidate in candidates.items()
                    if candidate.data_centre == data_centre
                },
                lambda name: candidates[name].observer,
                needed / len(data_centres),
                self.settings.min_selected_per_data_centre,
                max(MAX_SELECTED_INSTANCES // len(data_centres), 1),
            )
        return [candidates[name] for name in selected]

    def _draw(self, chosen: list[_Candidate]) -> list[_Candidate]:
        """Return the instances that one answer names."""
        by_name = {candidate.name: candidate for candidate in chosen}
        drawn = draw_addresses(_capacities(by_name), self.random)
        return [by_name[name] for name in drawn]

    def _needed_instances(self, ready: float) -> float:
        rate = self.request_rate()
        needed = rate.per_s / self.settings.instance_rate_per_s
        return needed if rate.settled else max(needed, INITIAL_FRACTION * ready)

    def _ready_candidates(self) -> list[_Candidate]:
        candidates = [
            _Candidate(
                member.name,
                member.description.data_centre,
                member.description.caller_address,
                member.heartbeat.observer,
                StatedCapacity(
                    member.description.processor_millicores / 1000,
                    float(member.description.link_bytes_per_s),
                ),
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
                    StatedCapacity(
                        settings.processor_cores or 0.0,
                        settings.link_bytes_per_s or 0.0,
                    ),
                )
            )
        return candidates


def _capacities(candidates: dict[str, _Candidate]) -> dict[str, float]:
    stated = [candidate.capacity for candidate in candidates.values()]
    return dict(zip(candidates, relative_capacities(stated), strict=True))
