"""Regions that routes and workspaces allow, for the directory and the log."""

from collections.abc import Collection, Mapping

from lacewinglift.access import intersect_regions
from lacewinglift.configuration import Configuration
from lacewinglift.logs import log_warning


def regions_of_caller(
    configuration: Configuration | None, query: Mapping[str, str]
) -> frozenset[str] | None:
    """Return the regions of the instances that a caller may use; None allows all.

    Parameters
    ----------
    configuration : Configuration or None
        Configuration in force.
    query : mapping
        What the caller says of its requests: ``workspace`` by name, ``path`` and
        ``host``. A name or path that is not known allows all.
    """
    if configuration is None:
        return None
    workspace = configuration.workspaces.get(query.get("workspace", ""))
    route = configuration.route_for(query.get("path", ""), query.get("host", ""))
    return intersect_regions(
        None if workspace is None else workspace.allowed_regions,
        None if route is None else route.allowed_regions,
    )


def report_unknown_regions(
    configuration: Configuration, regions: Collection[str]
) -> None:
    """Log the allowed regions that no data centre is in, each once."""
    allowed: set[str] = set()
    for owner in (*configuration.routes, *configuration.workspaces.values()):
        allowed |= owner.allowed_regions or frozenset()
    for name in sorted(allowed.difference(regions)):
        log_warning("region_unknown", region=name, generation=configuration.generation)
