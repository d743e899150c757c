"""Converts between configuration objects and the protobuf records in segments.

The `*_from_record` functions validate what they read.
"""

import math
import sys

from lacewinglift.configuration import (
    DEFAULT_MAX_ATTEMPTS,
    Fleet,
    Route,
    Service,
    ServiceWeight,
    Target,
    Workspace,
)
from lacewinglift.errors import ConfigurationError
from lacewinglift.generated.configuration_pb2 import (
    FleetRecord,
    RouteRecord,
    ServiceRecord,
    ServiceWeightRecord,
    TargetRecord,
    WorkspaceRecord,
)

DIGEST_BYTES = 32
MAX_ROUTE_ATTEMPTS = 10


def fleet_record(fleet: Fleet) -> FleetRecord:
    """Return the record of `fleet`."""
    return FleetRecord(
        name=fleet.name,
        data_centres=fleet.data_centres,
        cells=fleet.cells,
        address_lifetime_s=fleet.address_lifetime_s,
        homes_per_data_centre=fleet.homes_per_data_centre,
        instances=fleet.instances,
    )


def fleet_from_record(record: FleetRecord) -> Fleet:
    """Return the fleet in `record`."""
    _require(bool(record.name), "a fleet has no name")
    _require(bool(record.cells), "a fleet has no cells")
    _require(record.instances > 0, "instances of a fleet is 0")
    _require(record.homes_per_data_centre > 0, "homes_per_data_centre of a fleet is 0")
    _require(_positive(record.address_lifetime_s), "an address lifetime is not valid")
    return Fleet(
        name=record.name,
        data_centres=tuple(record.data_centres),
        cells=tuple(record.cells),
        address_lifetime_s=record.address_lifetime_s,
        homes_per_data_centre=record.homes_per_data_centre,
        instances=record.instances,
    )


def service_record(service: Service) -> ServiceRecord:
    """Return the record of `service`."""
    data_centres = sorted({target.data_centre for target in service.targets})
    numbers = {name: number for number, name in enumerate(data_centres)}
    return ServiceRecord(
        name=service.name,
        data_centres=data_centres,
        targets=[
            TargetRecord(
                name=target.name,
                address=target.address,
                data_centre=numbers[target.data_centre],
                slots=target.slots,
                connections=target.connections,
                leaving=target.leaving,
            )
            for target in service.targets
        ],
        floor=service.floor,
        connect_timeout_s=service.connect_timeout_s,
        request_timeout_s=service.request_timeout_s,
        max_concurrent=service.max_concurrent,
        health_path=service.health_path,
        slow_start_s=service.slow_start_s,
    )


def service_from_record(record: ServiceRecord) -> Service:
    """Return the service in `record`."""
    _require(bool(record.name), "a service has no name")
    _require(0 <= record.floor <= 1, "a floor is not valid")
    _require(_positive(record.connect_timeout_s), "a connect timeout is not valid")
    _require(_positive(record.request_timeout_s), "a request timeout is not valid")
    _require(record.max_concurrent > 0, "a concurrency limit is not valid")
    _require(record.health_path.startswith("/"), "a health path is not valid")
    _require(0 <= record.slow_start_s < math.inf, "a slow start time is not valid")
    # All targets share a few data centre names; interning keeps one copy of each.
    data_centres = [sys.intern(name) for name in record.data_centres]
    targets = tuple(
        _target_from_record(target, data_centres) for target in record.targets
    )
    names = {target.name for target in targets}
    _require(len(names) == len(targets), "two targets of a service have the same name")
    return Service(
        name=record.name,
        targets=targets,
        floor=record.floor,
        connect_timeout_s=record.connect_timeout_s,
        request_timeout_s=record.request_timeout_s,
        max_concurrent=record.max_concurrent,
        health_path=record.health_path,
        slow_start_s=record.slow_start_s,
    )


def _target_from_record(record: TargetRecord, data_centres: list[str]) -> Target:
    host, _, port = record.address.rpartition(":")
    _require(bool(record.name), "a target has no name")
    _require(bool(host) and _is_port(port), "a target has no valid address")
    _require(record.data_centre < len(data_centres), "a data centre is not listed")
    _require(record.slots > 0, "a target has no slots")
    _require(record.connections > 0, "a target has no connections")
    return Target(
        name=record.name,
        address=record.address,
        data_centre=data_centres[record.data_centre],
        slots=record.slots,
        connections=record.connections,
        leaving=record.leaving,
    )


def route_record(route: Route) -> RouteRecord:
    """Return the record of `route`."""
    return RouteRecord(
        prefix=route.prefix,
        service=route.service,
        open=route.open,
        workspaces=route.workspaces,
        host=route.host or "",
        idempotent=route.idempotent,
        max_attempts=_zero_if_default(route.max_attempts, DEFAULT_MAX_ATTEMPTS),
        timeout_s=route.timeout_s or 0.0,
        split=[
            ServiceWeightRecord(service=part.service, weight=part.weight)
            for part in route.split
        ],
    )


def _zero_if_default(value: int, default: int) -> int:
    return 0 if value == default else value


def route_from_record(record: RouteRecord) -> Route:
    """Return the route in `record`."""
    _require(record.prefix.startswith("/"), "a route has no valid prefix")
    _require(bool(record.service), "a route has no service")
    restricted = bool(record.workspaces)
    _require(
        not (record.open and restricted), "an open route is restricted to workspaces"
    )
    _require(
        record.max_attempts <= MAX_ROUTE_ATTEMPTS,
        "max_attempts of a route is too large",
    )
    _require(0 <= record.timeout_s < math.inf, "a route has no valid timeout")
    return Route(
        prefix=record.prefix,
        service=sys.intern(record.service),
        open=record.open,
        workspaces=tuple(sys.intern(name) for name in record.workspaces),
        host=record.host or None,
        idempotent=record.idempotent if record.HasField("idempotent") else None,
        max_attempts=record.max_attempts or DEFAULT_MAX_ATTEMPTS,
        timeout_s=record.timeout_s or None,
        split=tuple(_weight_from_record(part) for part in record.split),
    )


def _weight_from_record(record: ServiceWeightRecord) -> ServiceWeight:
    _require(bool(record.service), "an entry of a route's split has no service")
    _require(
        0 < record.weight < math.inf, "an entry of a route's split has no valid weight"
    )
    return ServiceWeight(sys.intern(record.service), record.weight)


def workspace_record(workspace: Workspace) -> WorkspaceRecord:
    """Return the record of `workspace`."""
    return WorkspaceRecord(
        name=workspace.name,
        rate_per_s=workspace.rate_per_s,
        burst=workspace.burst,
        max_concurrent=workspace.max_concurrent,
        key_digests=workspace.key_digests,
    )


def workspace_from_record(record: WorkspaceRecord) -> Workspace:
    """Return the workspace in `record`."""
    _require(bool(record.name), "a workspace has no name")
    _require(_positive(record.rate_per_s), "a rate is not valid")
    _require(record.burst > 0, "a burst is not valid")
    _require(record.max_concurrent > 0, "a concurrency limit is not valid")
    digests = tuple(record.key_digests)
    _require(all(map(is_digest, digests)), "a key digest has a wrong length")
    return Workspace(
        name=record.name,
        rate_per_s=record.rate_per_s,
        burst=record.burst,
        key_digests=digests,
        max_concurrent=record.max_concurrent,
    )


def is_digest(digest: bytes) -> bool:
    """Return whether `digest` has the length of a SHA-256 digest."""
    return len(digest) == DIGEST_BYTES


def _positive(number: float) -> bool:
    return 0 < number < math.inf


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdecimal() and 0 < int(text[:6]) <= 65535


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise ConfigurationError(f"segment: {message}")
