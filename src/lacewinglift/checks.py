"""Loads a configuration from its files, validates it and builds the objects.

The JSON schema validates each value; the functions in `CHECKS` validate what depends
on several values.
"""

import hashlib
import math
import pathlib
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from attrs import define, field, fields
from fastjsonschema import JsonSchemaValueException

from lacewinglift._validation import Finding, repair, suggest_name
from lacewinglift.configuration import (
    Configuration,
    Fleet,
    Route,
    Service,
    ServiceWeight,
    Target,
    Workspace,
)
from lacewinglift.errors import ConfigurationError, Fault
from lacewinglift.generated.configuration_schema import validate
from lacewinglift.jsonc import Path, read_document
from lacewinglift.overlays import Sources
from lacewinglift.segments import MAX_SEGMENT_BYTES

SECTIONS = ("services", "routes", "workspaces")
VALIDATION_GROUP_SIZE = 64
"""Entries in one run of the validator when the configuration has faults."""
EMPTY_KEY_DIGEST = hashlib.sha256(b"").hexdigest()
RESERVED_PREFIXES = ("/.lacewinglift", "/metrics")
"""Prefixes of the paths that every instance serves itself; no route may use them."""

# Upper bounds of the size of a serialized record without the text in it.
TARGET_OVERHEAD_BYTES = 32
NAME_OVERHEAD_BYTES = 2
RECORD_BASE_BYTES = 8 * 1024
"""Covers the settings, name and data centres of a service."""
MAX_RECORD_BYTES = MAX_SEGMENT_BYTES // 2 - RECORD_BASE_BYTES


@define
class Draft:
    """A merged configuration that may have faults.

    Parameters
    ----------
    value : dict
        The merged files. Parts that violate the schema are removed or replaced by
        examples of the schema, so that all values have the right types.
    invalid_paths : set of tuple
        Paths of the parts that violate the schema, and all their parent paths.
    """

    value: dict[str, Any]
    invalid_paths: set[Path] = field(factory=set)

    def names(self, section: str) -> dict[str, Any]:
        """Return all entries of a section, for checks of references to their names."""
        return self.value[section]

    def entries(
        self, section: str, *below: str
    ) -> Iterator[tuple[str, dict[str, Any]]]:
        """Yield the entries whose part at the path `below` has no fault."""
        for name, entry in self.value[section].items():
            if (section, name, *below) not in self.invalid_paths:
                yield name, entry

    def targets(self) -> Iterator[tuple[Path, str, dict[str, Any], dict[str, Any]]]:
        """Yield path, name, own values and values with defaults of valid targets."""
        for name, service in self.value["services"].items():
            defaults = service.get("target_defaults", {})
            for target, values in service["targets"].items():
                path = ("services", name, "targets", target)
                if path not in self.invalid_paths:
                    yield path, target, values, {**defaults, **values}

    @property
    def data_centres(self) -> list[str] | None:
        """Data centres of the fleet; None if they are missing or invalid."""
        if ("fleet", "data_centres") in self.invalid_paths:
            return None
        return self.value["fleet"].get("data_centres")


Check = Callable[[Draft], Iterable[Finding]]
CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Register a check of whole configurations."""
    CHECKS.append(function)
    return function


def load_configuration(
    base_path: str | pathlib.Path, *overlay_paths: str | pathlib.Path
) -> Configuration:
    """Return the configuration in the base file merged with its overlays.

    Raises
    ------
    ConfigurationError
        If the files have faults; the error contains all of them.
    """
    base = read_document(base_path)
    sources = Sources(base, [read_document(path) for path in overlay_paths])
    faults = [*sources.faults, *_site_faults(sources)]
    if base.is_readable:
        faults += [
            sources.fault(*finding) for finding in validate_merged(sources.merged)
        ]
    if faults:
        raise ConfigurationError(faults=sorted(set(faults)))
    return build_configuration(sources.merged)


def listed_overlay_paths(base_path: str | pathlib.Path) -> list[pathlib.Path]:
    """Return the paths of the overlays that the base file lists under `sites`."""
    base = read_document(base_path)
    folder = pathlib.Path(base_path).parent
    return [folder / f"site-{site}.jsonc" for site in _sites(base.value)]


def validate_merged(merged: Any) -> list[Finding]:
    """Return the faults of merged files with their paths."""
    findings, draft = _build_draft(merged)
    for function in CHECKS:
        findings += function(draft)
    return findings


def build_configuration(merged: dict[str, Any]) -> Configuration:
    """Return the configuration of merged files, which must have no faults."""
    return Configuration(
        generation=0,
        fleet=_build_fleet(merged["fleet"]),
        services={
            name: _build_service(name, entry)
            for name, entry in sorted(merged["services"].items())
        },
        routes=tuple(
            _build_route(prefix, entry)
            for prefix, entry in sorted(merged["routes"].items())
        ),
        workspaces={
            name: _build_workspace(name, entry)
            for name, entry in sorted(merged["workspaces"].items())
        },
    )


def _sites(value: Any) -> list[str]:
    fleet = value.get("fleet") if isinstance(value, dict) else None
    sites = fleet.get("sites") if isinstance(fleet, dict) else None
    return [str(site) for site in sites] if isinstance(sites, list) else []


def _site_faults(sources: Sources) -> Iterator[Fault]:
    """Yield a fault for each overlay that is missing or not listed in the base file.

    Without this check, a forgotten overlay would remove the targets of its site from
    the published configuration.
    """
    sites = _sites(sources.base.value)
    if not sites:
        return
    expected = {f"site-{site}.jsonc": site for site in sites}
    given = {pathlib.Path(overlay.file).name for overlay in sources.overlays}
    line = sources.base.line(("fleet", "sites"))
    for name in sorted(expected.keys() - given):
        message = f"the overlay {name!r} of site {expected[name]!r} was not given"
        yield Fault(sources.base.file, line, message)
    for overlay in sources.overlays:
        name = pathlib.Path(overlay.file).name
        if name not in expected:
            hint = suggest_name(name, expected)
            message = f"{name!r} is not the overlay of a site in 'sites'{hint}"
            yield Fault(overlay.file, 1, message)


def _build_draft(merged: Any) -> tuple[list[Finding], Draft]:
    """Return the violations of the schema and the draft for the other checks.

    The entries of a faulty configuration are validated in small groups, because each
    fault requires another run of the validator.
    """
    if not isinstance(merged, dict):
        finding = ((), 'the file must be an object such as {"fleet": {}, ...}')
        return [finding], Draft({"fleet": {}} | {each: {} for each in SECTIONS})
    if not _violates_schema(merged):
        return [], Draft(merged)
    findings, value = _repair_outline(merged)
    for section in SECTIONS:
        entries = merged.get(section)
        if isinstance(entries, dict):
            found, value[section] = _repair_entries(section, entries)
            findings += found
    invalid_paths = {path[:end] for path, _ in findings for end in range(len(path) + 1)}
    return findings, Draft(value, invalid_paths)


def _repair_outline(merged: dict[str, Any]) -> tuple[list[Finding], dict[str, Any]]:
    """Return findings and repaired value of everything except the entries."""
    outline = dict(merged)
    for section in SECTIONS:
        if isinstance(merged.get(section), dict):
            outline[section] = {}
    return repair(validate, outline)


def _repair_entries(
    section: str, entries: dict[str, Any]
) -> tuple[list[Finding], dict[str, Any]]:
    findings: list[Finding] = []
    repaired: dict[str, Any] = {}
    names = list(entries)
    for start in range(0, len(names), VALIDATION_GROUP_SIZE):
        group = {
            name: entries[name] for name in names[start : start + VALIDATION_GROUP_SIZE]
        }
        if not _violates_schema(_minimal_configuration(section, group)):
            repaired |= group
            continue
        for name, entry in group.items():
            found, left = repair(
                validate, _minimal_configuration(section, {name: entry})
            )
            findings += found
            repaired |= left[section]
    return findings, repaired


def _minimal_configuration(section: str, entries: dict[str, Any]) -> dict[str, Any]:
    """Return a valid configuration whose only entries are `entries` in `section`."""
    piece: dict[str, Any] = {"fleet": {"name": "f", "data_centres": ["d"]}}
    return piece | {each: {} for each in SECTIONS} | {section: entries}


def _violates_schema(value: Any) -> bool:
    try:
        validate(value)
    except JsonSchemaValueException:
        return True
    return False


def _with_tuples(entry: dict[str, Any]) -> dict[str, Any]:
    return {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in entry.items()
    }


def _build_fleet(entry: dict[str, Any]) -> Fleet:
    known = {name: value for name, value in entry.items() if name != "sites"}
    return _build_with_number_types(Fleet, _with_tuples(known))


def _build_service(name: str, entry: dict[str, Any]) -> Service:
    defaults = entry.get("target_defaults", {})
    targets = tuple(
        _build_with_number_types(Target, {"name": target, **defaults, **values})
        for target, values in sorted(entry["targets"].items())
    )
    known = {
        key: value
        for key, value in entry.items()
        if key not in ("targets", "target_defaults")
    }
    return _build_with_number_types(
        Service, {"name": name, "targets": targets, **known}
    )


def _build_route(prefix: str, entry: dict[str, Any]) -> Route:
    known = _with_tuples(entry)
    weights = sorted(entry.get("split", {}).items())
    known["split"] = tuple(ServiceWeight(name, float(each)) for name, each in weights)
    if "max_attempts" in known:
        known["max_attempts"] = int(known["max_attempts"])
    if "timeout_s" in known:
        known["timeout_s"] = float(known["timeout_s"])
    return Route(prefix=prefix, **known)


def _build_workspace(name: str, entry: dict[str, Any]) -> Workspace:
    digests = tuple(bytes.fromhex(digest) for digest in entry.get("key_digests", ()))
    known = {**entry, "name": name, "key_digests": tuple(sorted(digests))}
    return _build_with_number_types(Workspace, known)


_NUMBER_CONVERTERS = {float: float, int: int}


def _build_with_number_types(model: type, values: dict[str, Any]) -> Any:
    """Build `model` with its numbers converted: JSON allows 5 for 5.0 and 5.0 for 5."""
    for attribute in fields(model):
        convert = _NUMBER_CONVERTERS.get(attribute.type)
        if convert and attribute.name in values:
            values[attribute.name] = convert(values[attribute.name])
    return model(**values)


# ---- checks of whole configurations ----


@check
def _check_target_addresses(draft: Draft) -> Iterator[Finding]:
    seen: dict[tuple[Any, str], str] = {}
    for path, target, values, _ in draft.targets():
        address = values["address"]
        if int(address.rsplit(":", 1)[1]) > 65535:
            yield (*path, "address"), "the port of an address is at most 65535"
        first = seen.setdefault((path[1], address), target)
        if first != target:
            message = f"{address!r} is already the address of {first!r}"
            yield (*path, "address"), message


@check
def _check_data_centres(draft: Draft) -> Iterator[Finding]:
    known = draft.data_centres
    if known is None:
        return
    for path, _, values, _ in draft.targets():
        wrong = values["data_centre"]
        if wrong not in known:
            yield (
                (*path, "data_centre"),
                f"{wrong!r} is not in 'data_centres' of the fleet"
                f"{suggest_name(wrong, known)}",
            )


@check
def _check_slots(draft: Draft) -> Iterator[Finding]:
    # Capacity has no default: a value that is too high would overload the targets.
    for path, target, _, capacity in draft.targets():
        if (*path[:2], "target_defaults") in draft.invalid_paths:
            continue
        missing = [each for each in ("slots", "connections") if each not in capacity]
        for each in missing:
            yield path, f"{target!r} has no {each!r}; set it or 'target_defaults'"
        if not missing and capacity["connections"] < capacity["slots"]:
            yield (
                path,
                f"{target!r} has {capacity['slots']} slots but only "
                f"{capacity['connections']} connections; a slot needs a "
                "connection, raise 'connections'",
            )


@check
def _check_floors(draft: Draft) -> Iterator[Finding]:
    for name, service in draft.entries("services"):
        message = _floor_message(service)
        if message:
            yield ("services", name, "floor"), f"{name!r}: {message}"


def _floor_message(service: dict[str, Any]) -> str | None:
    targets = service["targets"]
    if not targets:
        return "has no targets; add them here or in an overlay"
    floor = service.get("floor", fields(Service).floor.default)
    defaults = service.get("target_defaults", {})
    usable = [each for each in targets.values() if not each.get("leaving", False)]
    needed = math.ceil(floor * len(targets))
    if len(usable) < max(needed, 1):
        return (
            f"the floor {floor:g} needs {max(needed, 1)} of {len(targets)} targets, "
            f"but only {len(usable)} are not leaving; lower the floor, add targets "
            "or let fewer targets leave at a time"
        )
    slots = sum({**defaults, **each}.get("slots", 0) for each in targets.values())
    left = sum({**defaults, **each}.get("slots", 0) for each in usable)
    if left < floor * slots:
        return (
            f"the floor {floor:g} needs {math.ceil(floor * slots)} of {slots} slots, "
            f"but the targets that are not leaving have {left}; lower the floor or "
            "let smaller targets leave first"
        )
    return None


@check
def _check_record_sizes(draft: Draft) -> Iterator[Finding]:
    for name, service in draft.entries("services"):
        targets = service["targets"].items()
        size = sum(len(target) + len(each["address"]) for target, each in targets)
        size += len(targets) * TARGET_OVERHEAD_BYTES
        if size > MAX_RECORD_BYTES:
            message = (
                f"{name!r} has more targets than one record in the store holds "
                f"({MAX_RECORD_BYTES} bytes); divide it into several services"
            )
            yield ("services", name, "targets"), message
    for prefix, route in draft.entries("routes"):
        listed = route.get("workspaces", ())
        size = sum(len(name) + NAME_OVERHEAD_BYTES for name in listed)
        if size > MAX_RECORD_BYTES:
            message = (
                f"{prefix!r} lists more workspaces than one record in the store "
                f"holds ({MAX_RECORD_BYTES} bytes); divide it into several routes"
            )
            yield ("routes", prefix, "workspaces"), message


@check
def _check_prefixes(draft: Draft) -> Iterator[Finding]:
    for prefix in draft.names("routes"):
        if any(part in (".", "..") for part in prefix.split("/")):
            yield ("routes", prefix), f"{prefix!r} has a '.' or '..' segment; remove it"
        for reserved in RESERVED_PREFIXES:
            if prefix == reserved or prefix.startswith(f"{reserved}/"):
                message = f"{reserved!r} is answered by the instances; use another"
                yield ("routes", prefix), message


@check
def _check_route_references(draft: Draft) -> Iterator[Finding]:
    services = draft.names("services")
    for prefix, route in draft.entries("routes"):
        if route["service"] not in services:
            hint = suggest_name(route["service"], services)
            message = f"no service is named {route['service']!r}{hint}"
            yield ("routes", prefix, "service"), message
        split = route.get("split", {})
        for name in sorted(split.keys() - services):
            message = f"no service is named {name!r}{suggest_name(name, services)}"
            yield ("routes", prefix, "split", name), message
        if split and route["service"] not in split:
            yield (
                ("routes", prefix, "split"),
                f"'split' has no weight for {route['service']!r}; add it, or name one "
                "of its services in 'service'",
            )
        if route.get("open") and "workspaces" in route:
            yield (
                ("routes", prefix, "workspaces"),
                f"{prefix!r} is open, so it cannot be restricted to workspaces; "
                "remove 'open' or 'workspaces'",
            )


@check
def _check_route_workspaces(draft: Draft) -> Iterator[Finding]:
    known = draft.names("workspaces")
    for prefix, route in draft.entries("routes"):
        for index, name in enumerate(route.get("workspaces", ())):
            if name not in known:
                path = ("routes", prefix, "workspaces", index)
                yield path, f"no workspace is named {name!r}{suggest_name(name, known)}"


@check
def _check_key_digests(draft: Draft) -> Iterator[Finding]:
    owners: dict[str, list[str]] = defaultdict(list)
    for name, workspace in draft.entries("workspaces", "key_digests"):
        for index, digest in enumerate(workspace.get("key_digests", ())):
            path = ("workspaces", name, "key_digests", index)
            if digest == EMPTY_KEY_DIGEST:
                yield path, "this is the digest of an empty key; use another key"
            elif owners[digest]:
                yield path, f"the key is already one of {owners[digest][0]!r}"
            owners[digest].append(name)
