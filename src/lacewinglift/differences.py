"""Compares two generations of a configuration."""

from collections.abc import Iterable

from attrs import frozen

from lacewinglift.errors import ConfigurationError
from lacewinglift.generated.configuration_pb2 import SegmentContent

MAX_NAMES_SHOWN = 10


@frozen
class Changes:
    """Names of the entries that were added, removed or changed."""

    fleet: bool = False
    """Whether a setting of the fleet as a whole changed."""
    services: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()

    def __str__(self) -> str:
        parts = ["fleet settings"] if self.fleet else []
        for kind in ("services", "routes", "workspaces"):
            names = getattr(self, kind)
            if names:
                parts.append(f"{kind} {_join(names)}")
        return "; ".join(parts) or "nothing"

    def as_dict(self) -> dict[str, object]:
        """Return the changes as a dictionary that can be written as JSON."""
        return {
            "fleet": self.fleet,
            "services": list(self.services),
            "routes": list(self.routes),
            "workspaces": list(self.workspaces),
        }


def compare_segments(before: Iterable[bytes], after: Iterable[bytes]) -> Changes:
    """Return the differences between two generations, given their segments.

    Segments that both generations contain may be omitted from both arguments.
    """
    old, new = _records_by_name(before), _records_by_name(after)
    changed: dict[str, list[str]] = {}
    for kind, name in sorted(old.keys() | new.keys()):
        if old.get((kind, name)) != new.get((kind, name)):
            changed.setdefault(kind, []).append(name)
    return Changes(
        fleet="fleet" in changed,
        services=tuple(changed.get("services", ())),
        routes=tuple(changed.get("routes", ())),
        workspaces=tuple(changed.get("workspaces", ())),
    )


def _records_by_name(contents: Iterable[bytes]) -> dict[tuple[str, str], bytes]:
    """Return the serialized records by kind and name.

    Records of keys are ignored, as the workspaces contain the key digests.
    """
    found: dict[tuple[str, str], bytes] = {}
    for data in contents:
        content = _parse(data)
        if content.HasField("fleet"):
            found["fleet", ""] = content.fleet.SerializeToString()
        for service in content.services:
            found["services", service.name] = service.SerializeToString()
        for route in content.routes:
            found["routes", route.prefix] = route.SerializeToString()
        for workspace in content.workspaces:
            found["workspaces", workspace.name] = workspace.SerializeToString()
    return found


def _parse(data: bytes) -> SegmentContent:
    try:
        return SegmentContent.FromString(data)
    except Exception as error:
        raise ConfigurationError(f"a segment cannot be decoded: {error}") from None


def _join(names: tuple[str, ...]) -> str:
    shown = ", ".join(names[:MAX_NAMES_SHOWN])
    more = len(names) - MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown
