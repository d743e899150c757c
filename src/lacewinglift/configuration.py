"""Model of what a fleet serves: services, targets, routes and workspaces."""

import hashlib
from collections.abc import Iterator, Mapping
from random import Random

from attrs import field, frozen


def digest_key(key: str) -> bytes:
    """Return the SHA-256 digest under which a caller's key is stored."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


DEFAULT_MAX_ATTEMPTS = 3


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
class ServiceWeight:
    """Part of a route's requests that a service gets."""

    service: str
    weight: float


@frozen
class Route:
    """A path prefix that leads to a service.

    A prefix that ends with a slash needs that slash in the path; any other matches
    whole segments.
    """

    prefix: str
    service: str
    open: bool = False
    """Whether the route needs no key."""
    workspaces: tuple[str, ...] = ()
    """Workspaces that may use the route; empty allows all."""
    host: str | None = None
    """Host of the route, in lower case; None stands for any."""
    idempotent: bool | None = None
    """Whether requests may run more than once; None judges by the method."""
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    """Targets to which one request may be sent."""
    free_refusals: int = 0
    """Targets that may refuse to run a request before attempts are charged."""
    timeout_s: float | None = None
    """Time for the answer; None takes that of the service."""
    objective_s: float | None = None
    """Time within which an answer is worth most to the caller."""
    priority: int = 0
    """Rank under load; 0 is served first."""
    split: tuple[ServiceWeight, ...] = ()
    """Services among which the requests are divided, in place of `service`."""

    def services(self) -> tuple[str, ...]:
        """Return the names of all services that the route leads to."""
        if not self.split:
            return (self.service,)
        return tuple(part.service for part in self.split)

    def pick_service(self, random: Random) -> str:
        """Return the service for one request."""
        if not self.split:
            return self.service
        weights = [part.weight for part in self.split]
        return random.choices(self.split, weights)[0].service

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
    priority: int | None = None
    """Rank under load in place of the route's."""


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


def _routes_by_prefix(
    configuration: "Configuration",
) -> dict[tuple[str | None, str], Route]:
    return {(route.host, route.prefix): route for route in configuration.routes}


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end with a segment, longest first."""
    end = len(path)
    while end > 0:
        yield path[:end]
        if path[end - 1] == "/":
            end -= 1
        else:
            end = path.rfind("/", 0, end) + 1


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
    by_prefix: dict[tuple[str | None, str], Route] = field(init=False, repr=False)
    idle_timeout_s: float | None = None
    """Time that callers may leave a connection idle; None takes the default."""

    def __attrs_post_init__(self) -> None:
        """Build the indexes that were not given."""
        by_digest = self.digest_index
        if by_digest is None:
            by_digest = _workspaces_by_digest(self)
        object.__setattr__(self, "by_digest", by_digest)
        object.__setattr__(self, "by_prefix", _routes_by_prefix(self))

    def route_for(self, path: str, host: str = "") -> Route | None:
        """Return the route of a host with the longest prefix of `path`."""
        for prefix in _prefixes(path.split("?", 1)[0]):
            for key in ((host, prefix), (None, prefix)):
                route = self.by_prefix.get(key)
                if route is not None:
                    return route
        return None

    def workspace_for_digest(self, digest: bytes) -> Workspace | None:
        """Return the workspace that a key digest belongs to."""
        return self.by_digest.get(digest)
