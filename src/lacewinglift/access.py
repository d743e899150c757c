"""Routes requests to services and authorizes their callers."""

from random import Random
from typing import Protocol

from attrs import frozen

from lacewinglift.configuration import (
    Configuration,
    Route,
    Service,
    Workspace,
    digest_key,
)
from lacewinglift.headers import RequestHead, routing_paths
from lacewinglift.refusals import RefusalError, refuse

_random = Random()


class Distribution(Protocol):
    """Provides the configuration in force."""

    def current(self) -> Configuration | None:
        """Return the configuration in force, or None if there is none yet."""
        ...


class Standing(Protocol):
    """Decides whether this instance may serve keyed routes, which need a key."""

    def refusal(self) -> str | None:
        """Return the code to refuse keyed routes with; None if they may be served."""
        ...


@frozen
class Access:
    """Route, service and workspace that a request was authorized for."""

    configuration: Configuration
    route: Route
    service: Service
    workspace: Workspace | None
    digest: bytes | None

    def allowed_regions(self) -> frozenset[str] | None:
        """Return the regions that route and workspace allow; None if all are."""
        of_workspace = (
            None if self.workspace is None else self.workspace.allowed_regions
        )
        return intersect_regions(self.route.allowed_regions, of_workspace)


def intersect_regions(
    first: frozenset[str] | None, second: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that both allow, where None allows all."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


def find_workspace(configuration: Configuration, head: RequestHead) -> Workspace | None:
    """Return the workspace that owns the key of a request; None without a key.

    Raises
    ------
    RefusalError
        If the key is unknown or the Authorization header is not a bearer key.
    """
    key = head.bearer_key()
    if key is None:
        if head.values("authorization"):
            raise refuse("key_unknown", "send the key as Authorization: Bearer KEY")
        return None
    workspace = configuration.workspace_for_digest(digest_key(key))
    if workspace is None:
        raise refuse("key_unknown", "the key is not known or was withdrawn")
    return workspace


def _find_route(configuration: Configuration, head: RequestHead) -> Route:
    paths = routing_paths(head.path)
    routes = {configuration.route_for(path, head.host) for path in paths}
    if len(routes) > 1:
        message = "the path matches another route if its ; parameters are removed"
        raise refuse("bad_request", message)
    route = routes.pop()
    known = configuration.services
    if route is None or not all(name in known for name in route.services()):
        raise refuse("no_route", f"no route leads to {head.path}")
    return route


def authorize(configuration: Configuration, head: RequestHead) -> Access:
    """Authorize a request and return its route, service and workspace.

    Raises
    ------
    RefusalError
        If no route matches the path, or the route needs a key and the request has
        none, an unknown one, or one of a workspace that may not use the route.
    """
    route = _find_route(configuration, head)
    service = configuration.services[route.pick_service(_random)]
    if route.open:
        return Access(configuration, route, service, None, None)
    workspace = find_workspace(configuration, head)
    if workspace is None:
        raise refuse("key_missing", "send the key as Authorization: Bearer KEY")
    if not route.allows(workspace.name):
        message = f"{workspace.name} may not use {route.prefix}"
        raise refuse("workspace_forbidden", message)
    digest = digest_key(head.bearer_key() or "")
    return Access(configuration, route, service, workspace, digest)


def check_standing(standing: Standing) -> None:
    """Refuse a keyed request if this instance may not serve keyed routes."""
    code = standing.refusal()
    if code is not None:
        message = "this instance is cut off from the fleet; use another address"
        if code == "starting":
            message = "this instance has not started yet; use another address"
        raise refuse(code, message, retry_after_s=1)


class AccessCheck:
    """Checks during a long request whether its caller is still authorized.

    Parameters
    ----------
    access : Access
        Result of the authorization when the request started.
    distribution : Distribution
        Provides the configuration in force.
    standing : Standing
        Decides whether this instance may serve keyed routes.
    head : RequestHead
        Head of the request.
    """

    def __init__(
        self,
        access: Access,
        distribution: Distribution,
        standing: Standing,
        head: RequestHead,
    ) -> None:
        self.access = access
        self.distribution = distribution
        self.standing = standing
        self.head = head
        self.checked_configuration = access.configuration

    def is_access_lost(self, full: bool) -> bool:
        """Return whether the caller is no longer authorized.

        Parameters
        ----------
        full : bool
            Whether to check the standing too. The configuration is checked in any
            case, if it changed since the last check.
        """
        if self.access.workspace is None:
            return False
        configuration = self.distribution.current()
        if configuration is not self.checked_configuration:
            if configuration is None or not self._is_still_allowed(configuration):
                return True
            self.checked_configuration = configuration
        return full and self.standing.refusal() is not None

    def _is_still_allowed(self, configuration: Configuration) -> bool:
        # A request in progress continues if its route was removed or changed to
        # another service, as long as the key is valid and may use the route.
        workspace = configuration.workspace_for_digest(self.access.digest)
        if workspace is None or workspace.name != self.access.workspace.name:
            return False
        try:
            return _find_route(configuration, self.head).allows(workspace.name)
        except RefusalError:
            return True
