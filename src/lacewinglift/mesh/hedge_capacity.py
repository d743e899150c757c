"""Targets of a service that have no capacity for a hedge.

Load: a service near the capacity of its targets, where each hedge would take the slot
of a request.
"""

from lacewinglift.mesh.target_choice import SUSPECT_HOLD_OFF_S
from lacewinglift.mesh.target_state import TargetState
from lacewinglift.mesh.target_table import MeshTargetTable

# Part of the slots of the usable targets in use from which on a service counts as full.
# Loads are heard up to a second late, and targets slow down when they are nearly full.
FULL_FRACTION = 0.8


def crowded_targets(
    table: MeshTargetTable, service: str, avoided_data_centres: set[str]
) -> set[str] | None:
    """Return the targets that may not get a hedge; None if the service is full.

    Parameters
    ----------
    table : MeshTargetTable
        Targets and their loads over the fleet.
    service : str
        Name of the service.
    avoided_data_centres : set of str
        Data centres whose targets may not get a hedge.
    """
    now = table.timers.now()
    crowded = set()
    slots = in_flight = 0.0
    with table.lock:
        for state in table.by_service.get(service, []):
            if not _is_usable(table, state, now):
                crowded.add(state.target.name)
                continue
            own_slots = max(state.registered.slots, 1)
            own_in_flight = state.load(now) * own_slots
            slots += own_slots
            in_flight += own_in_flight
            avoided = state.target.data_centre in avoided_data_centres
            if avoided or own_in_flight + 1 > own_slots:
                crowded.add(state.target.name)
    return None if in_flight >= FULL_FRACTION * slots else crowded


def _is_usable(table: MeshTargetTable, state: TargetState, now_s: float) -> bool:
    return (
        not state.registered.leaving
        and not state.is_suspected()
        and now_s >= state.paused_until_s
        and table.choice.is_eligible(state, now_s, SUSPECT_HOLD_OFF_S)
    )
