"""Model of what a fleet serves: services, targets, routes and workspaces."""

import hashlib
from collections.abc import Mapping

from attrs import field, frozen


def digest_key(key: str) -> bytes:
    """Return the SHA-256 digest under which a caller's key is stored."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


@frozen
class Target:
    """One back end of a service."""

    name: str
    address: str
    data_centre: str
    slots: int
    connections: int
    leaving: bool = False


@frozen
class Service:
    """A group of equivalent targets."""

    name: str
    targets: tuple[Target, ...]
    floor: float = 0.5
    """Fraction of the targets that stays in use whatever is ejected."""
    connect_timeout_s: float = 0.25
    request_timeout_s: float = 5.0
    max_concurrent: int = 32
    """Requests in progress at one instance."""
    health_path: str = "/health"
    slow_start_s: float = 10.0


@frozen
class Route:
    """A path prefix that leads to a service."""

    prefix: str
    service: str
    open: bool = False
    """Whether the route needs no key."""
    workspaces: tuple[str, ...] = ()
    """Workspaces that may use the route; empty allows all."""

    def allows(self, workspace: str) -> bool:
        """Return whether `workspace` may use this route."""
        return not self.workspaces or workspace in self.workspaces


@frozen
class Workspace:
    """A tenant with its fleet-wide limits."""

    name: str
    rate_per_s: float
    burst: int
    key_digests: tuple[bytes, ...] = ()
    max_concurrent: int = 32
    """Requests in progress at one instance."""


@frozen
class Fleet:
    """Settings that hold for the fleet as a whole."""

    name: str
    data_centres: tuple[str, ...] = ()
    cells: tuple[str, ...] = ("main",)
    address_lifetime_s: float = 10.0
    homes_per_data_centre: int = 2
    instances: int = 40
    """Instances that share the targets' slots and connections."""


def _workspaces_by_digest(
    configuration: "Configuration",
) -> dict[bytes, Workspace]:
    return {
        digest: workspace
        for workspace in configuration.workspaces.values()
        for digest in workspace.key_digests
    }


def _routes_by_prefix(configuration: "Configuration") -> dict[str, Route]:
    return {route.prefix: route for route in configuration.routes}


@frozen(eq=False)
class Configuration:
    """One generation of the configuration; immutable.

    Workspaces and their key digests may be mappings that decode entries on use,
    see `segments`.
    """

    generation: int
    fleet: Fleet
    services: Mapping[str, Service]
    routes: tuple[Route, ...]
    workspaces: Mapping[str, Workspace]
    digest_index: Mapping[bytes, Workspace] | None = field(default=None, repr=False)
    """Index to use in place of one built from `workspaces`."""
    by_digest: Mapping[bytes, Workspace] = field(init=False, repr=False)
    by_prefix: dict[str, Route] = field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Build the indexes that were not given."""
        by_digest = self.digest_index
        if by_digest is None:
            by_digest = _workspaces_by_digest(self)
        object.__setattr__(self, "by_digest", by_digest)
        object.__setattr__(self, "by_prefix", _routes_by_prefix(self))

    def route_for(self, path: str) -> Route | None:
        """Return the route with the longest prefix of whole segments of `path`."""
        prefix = path.split("?", 1)[0].rstrip("/") or "/"
        while True:
            route = self.by_prefix.get(prefix)
            if route is not None:
                return route
            if prefix == "/":
                return None
            prefix = prefix.rsplit("/", 1)[0] or "/"

    def workspace_for_digest(self, digest: bytes) -> Workspace | None:
        """Return the workspace that a key digest belongs to."""
        return self.by_digest.get(digest)
