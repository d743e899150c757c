"""Data model of the configuration: fleet, services, targets, routes, workspaces."""

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
    """A backend server of a service."""

    name: str
    address: str
    data_centre: str
    slots: int
    connections: int
    leaving: bool = False


@frozen
class Service:
    """A group of interchangeable targets and the limits that apply to them."""

    name: str
    targets: tuple[Target, ...]
    floor: float = 0.5
    """Minimum fraction of the targets that ejections leave in use."""
    connect_timeout_s: float = 0.25
    request_timeout_s: float = 5.0
    max_concurrent: int = 32
    """Maximum number of requests in progress at one instance."""
    health_path: str = "/health"
    slow_start_s: float = 10.0
    warmup_s: float = 0.0
    """Time for which a target is cold after its start."""
    warmup_per_s: float = 0.0
    """Requests a second that a cold target takes from the whole fleet; 0: any."""


@frozen
class ServiceWeight:
    """Weight with which a service receives requests of a route."""

    service: str
    weight: float


@frozen
class Route:
    """Routes requests whose path has a given prefix to a service.

    A prefix that ends with a slash matches only paths that contain this slash. Any
    other prefix matches whole path segments.
    """

    prefix: str
    service: str
    open: bool = False
    """Whether the route needs no key."""
    workspaces: tuple[str, ...] = ()
    """Workspaces that may use the route; empty allows all."""
    host: str | None = None
    """Host name that requests must have, in lower case; None matches any host."""
    idempotent: bool | None = None
    """Whether requests may run more than once; if None, the method decides."""
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    """Maximum number of targets to which one request may be sent."""
    free_refusals: int = 0
    """Refusals by targets that do not count as attempts of a request."""
    timeout_s: float | None = None
    """Time until the response must begin; None uses the timeout of the service."""
    timeout_covers_body: bool = False
    """Whether the response must be complete, and not only begin, within the timeout."""
    objective_s: float | None = None
    """Response time after which a response is worth less to the caller."""
    priority: int = 0
    """Priority under load; requests with 0 are served first."""
    allowed_regions: frozenset[str] | None = None
    """Regions whose targets may get the requests; None allows all."""
    split: tuple[ServiceWeight, ...] = ()
    """Services that share the requests by weight; if not empty, replaces `service`."""

    def services(self) -> tuple[str, ...]:
        """Return the names of all services that requests of this route may go to."""
        if not self.split:
            return (self.service,)
        return tuple(part.service for part in self.split)

    def pick_service(self, random: Random) -> str:
        """Return the service for one request, chosen at random by weight."""
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
    """Maximum number of requests in progress at one instance."""
    priority: int | None = None
    """Priority that replaces that of the route; None uses the priority of the route."""
    allowed_regions: frozenset[str] | None = None
    """Regions whose targets may get the requests; None allows all."""


@frozen
class Fleet:
    """Settings of the whole fleet."""

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

    `workspaces` and `digest_index` may be mappings that decode an entry when it is
    looked up, see `segments`.
    """

    generation: int
    fleet: Fleet
    services: Mapping[str, Service]
    routes: tuple[Route, ...]
    workspaces: Mapping[str, Workspace]
    digest_index: Mapping[bytes, Workspace] | None = field(default=None, repr=False)
    """Workspaces by key digest; if None, the index is built from `workspaces`."""
    by_digest: Mapping[bytes, Workspace] = field(init=False, repr=False)
    by_prefix: dict[tuple[str | None, str], Route] = field(init=False, repr=False)
    idle_timeout_s: float | None = None
    """Time after which idle caller connections are closed; None uses the default."""

    def __attrs_post_init__(self) -> None:
        """Build the indexes by key digest, unless given, and by prefix."""
        by_digest = self.digest_index
        if by_digest is None:
            by_digest = _workspaces_by_digest(self)
        object.__setattr__(self, "by_digest", by_digest)
        object.__setattr__(self, "by_prefix", _routes_by_prefix(self))

    def route_for(self, path: str, host: str = "") -> Route | None:
        """Return the route with the longest prefix of `path`.

        Of two routes with the same prefix, the one for `host` is preferred to the one
        for any host.
        """
        for prefix in _prefixes(path.split("?", 1)[0]):
            for key in ((host, prefix), (None, prefix)):
                route = self.by_prefix.get(key)
                if route is not None:
                    return route
        return None

    def workspace_for_digest(self, digest: bytes) -> Workspace | None:
        """Return the workspace that owns a key digest, or None."""
        return self.by_digest.get(digest)
