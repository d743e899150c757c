"""Priorities of the requests of a service, and how much load each may add.

Load: requests of several priorities for one service, whose sum exceeds its capacity.
"""

from bisect import bisect_left
from collections import defaultdict

from attrs import frozen

from lacewinglift.configuration import Configuration, Route, Workspace
from lacewinglift.mesh.target_state import MAX_LOAD

# Load of a target from which on it gets no request of the least urgent priority. What
# queues behind the slots delays urgent requests, since a target serves its queue in
# order. With less, old loads let all instances choose the same few targets.
LEAST_URGENT_LOAD = 2.0
# Bounds of the mean load that is kept in overload. With less, some slots are idle while
# requests queue at other targets, since loads are known late.
WANTED_LOAD_MIN = 1.2
WANTED_LOAD_MAX = 2.2
# Part of the time that urgent requests can spare that they may queue at a target.
QUEUE_FRACTION = 0.6
# Least part of the fleet that is assumed to report its load.
REPORTING_FRACTION_MIN = 0.5


@frozen
class PriorityLevels:
    """Priorities of the routes that lead to one service, the most urgent first."""

    levels: tuple[int, ...]
    urgent_objective_s: float | None = None
    """Shortest objective of the most urgent routes."""

    def wanted_load(self, response_s: float) -> float:
        """Return the mean load to be kept in overload.

        Above a load of 1, a request waits about one response time for each unit.
        """
        if self.urgent_objective_s is None:
            return WANTED_LOAD_MIN
        spare = self.urgent_objective_s / response_s - 1
        return min(max(1 + QUEUE_FRACTION * spare, WANTED_LOAD_MIN), WANTED_LOAD_MAX)

    def rank(self, priority: int) -> int:
        """Return the position of a priority; 0 is the most urgent.

        The priority of a workspace that no route has counts as the next less urgent.
        """
        return min(bisect_left(self.levels, priority), len(self.levels) - 1)

    def urgency(self, rank: int) -> float:
        """Return 1 for the most urgent rank, and 0 for the least urgent one."""
        return 1 - rank / (len(self.levels) - 1)

    def max_load(self, rank: int, reporting_fraction: float = 1.0) -> float:
        """Return the load from which on a target gets no requests of a rank.

        Parameters
        ----------
        rank : int
            Rank of the request. The most urgent ones may fill targets to `MAX_LOAD`,
            as in services without control.
        reporting_fraction : float, default=1.0
            Fraction of the instances whose load is known here. The load of the others
            is assumed to be like theirs.
        """
        if rank == 0:
            return MAX_LOAD
        step = (MAX_LOAD - LEAST_URGENT_LOAD) / (len(self.levels) - 1)
        known = max(reporting_fraction, REPORTING_FRACTION_MIN)
        return (MAX_LOAD - step * rank) * min(known, 1.0)


def effective_priority(route: Route, workspace: Workspace | None) -> int:
    """Return the priority of the workspace, or that of the route if it has none."""
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def find_controlled_services(
    configuration: Configuration,
) -> dict[str, PriorityLevels]:
    """Return the services to which routes of different priority lead."""
    routes: dict[str, list[Route]] = defaultdict(list)
    for route in configuration.routes:
        for service in route.services():
            routes[service].append(route)
    return {
        service: _levels_of(each)
        for service, each in routes.items()
        if len({route.priority for route in each}) > 1
    }


def _levels_of(routes: list[Route]) -> PriorityLevels:
    levels = sorted({route.priority for route in routes})
    objectives_s = [
        route.objective_s
        for route in routes
        if route.priority == levels[0] and route.objective_s is not None
    ]
    return PriorityLevels(tuple(levels), min(objectives_s, default=None))
