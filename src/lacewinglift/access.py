"""Which service a request leads to, and whether its caller may use it."""

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
    """The part of the distribution that requests use."""

    def current(self) -> Configuration | None:
        """Return the configuration in force."""
        ...


class Standing(Protocol):
    """Tells whether keyed routes may be served."""

    def refusal(self) -> str | None:
        """Return None, or the code to refuse keyed routes with."""
        ...


@frozen
class Access:
    """What a request may use."""

    configuration: Configuration
    route: Route
    service: Service
    workspace: Workspace | None
    digest: bytes | None


def find_workspace(configuration: Configuration, head: RequestHead) -> Workspace | None:
    """Return the workspace of the key of a request; None if there is no key."""
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
        message = "the path leads to another route without its ; parameters"
        raise refuse("bad_request", message)
    route = routes.pop()
    known = configuration.services
    if route is None or not all(name in known for name in route.services()):
        raise refuse("no_route", f"no route leads to {head.path}")
    return route


def authorize(configuration: Configuration, head: RequestHead) -> Access:
    """Return what a request may use.

    Raises
    ------
    RefusalError
        If the path has no route, or the key does not allow it.
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
    """Refuse a keyed request while this instance may not serve any."""
    code = standing.refusal()
    if code is not None:
        message = "this instance is cut off from the fleet; use another address"
        if code == "starting":
            message = "this instance has not started yet; use another address"
        raise refuse(code, message, retry_after_s=1)


class AccessCheck:
    """Tells during a long request whether its caller may go on.

    Parameters
    ----------
    access : Access
        What the request was allowed to use when it started.
    distribution : Distribution
        Gives the configuration in force.
    standing : Standing
        Tells whether keyed routes may be served.
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
        """Return whether the caller may no longer use the service.

        Parameters
        ----------
        full : bool
            Whether to check the standing also; the configuration is checked
            whenever another one is in force.
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
        # Only the key and the right to the route count: a request in progress
        # goes on if its route leads elsewhere from now on.
        workspace = configuration.workspace_for_digest(self.access.digest)
        if workspace is None or workspace.name != self.access.workspace.name:
            return False
        try:
            return _find_route(configuration, self.head).allows(workspace.name)
        except RefusalError:
            return True
