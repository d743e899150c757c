"""Configurations that call for balancing under load."""

from lacewinglift.configuration import Configuration
from lacewinglift.errors import SettingsError
from lacewinglift.mesh.choice_registry import (
    COMPLETION_TIME,
    LEAST_LOADED,
    TARGET_CHOICES,
)
from lacewinglift.overload.priorities import find_controlled_services


def choice_for(
    configuration: Configuration, stated: str | None, large_fleet: bool
) -> str:
    """Return the way of choosing targets that a configuration calls for.

    Targets differ in what they bear if a service limits the requests of its cold
    targets, or if routes of different priority share a service. The latter counts in a
    large fleet only: with few targets in each data centre, requests that stay near
    wait for a slot more often than others are saved a long way.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    stated : str or None
        Way of choosing that the settings state; it takes precedence.
    large_fleet : bool
        Whether the fleet is large enough for relays of heartbeats.
    """
    if stated is not None:
        return stated
    limits_cold = any(each.warmup_per_s for each in configuration.services.values())
    if limits_cold:
        return COMPLETION_TIME
    if large_fleet and find_controlled_services(configuration):
        return COMPLETION_TIME
    return LEAST_LOADED


def check_choice(stated: str | None) -> None:
    """Raise SettingsError if the settings state an unknown way of choosing."""
    if stated is None or stated in TARGET_CHOICES:
        return
    known = ", ".join(sorted(TARGET_CHOICES))
    raise SettingsError(f"target_choice {stated!r} is not known; use one of {known}")
