"""Merges overlays into the base file; an overlay holds only what differs for a site."""

from collections.abc import Iterator, Sequence
from typing import Any

from attrs import define, field

from lacewinglift._validation import suggest_name
from lacewinglift.errors import Fault
from lacewinglift.jsonc import Document, Path

ANY_NAME = "*"
OVERRIDABLE_PATHS: tuple[Path, ...] = (
    ("fleet", "data_centres"),
    ("fleet", "cells"),
    ("fleet", "address_lifetime_s"),
    ("fleet", "homes_per_data_centre"),
    ("fleet", "instances"),
    ("services", ANY_NAME, ANY_NAME),
    ("workspaces", ANY_NAME, "rate_per_s"),
    ("workspaces", ANY_NAME, "burst"),
    ("workspaces", ANY_NAME, "max_concurrent"),
)
"""Paths that an overlay may set, each including everything below it.

Names, routes and keys control access. An overlay cannot change them, so that the
base file alone shows who has access to what, at all sites.
"""

REMOVABLE_PATHS: tuple[Path, ...] = (
    ("services", ANY_NAME, "targets", ANY_NAME),
    ("services", ANY_NAME, "targets", ANY_NAME, ANY_NAME),
    ("services", ANY_NAME, "target_defaults", ANY_NAME),
    ("services", ANY_NAME, ANY_NAME),
    ("workspaces", ANY_NAME, "max_concurrent"),
)
"""Paths that an overlay may remove with null; a removed setting has its default."""

_BASE_ONLY_REASONS: dict[str, str] = {
    "key_digests": "keys are only in the base file",
    "open": "routes are only in the base file",
    "name": "the name of the fleet is only in the base file",
    "sites": "the list of sites is only in the base file",
}


@define(eq=False)
class Sources:
    """The base document and the overlays that change it.

    Parameters
    ----------
    base : Document
        The base file.
    overlays : sequence of Document
        One overlay for each site.
    """

    base: Document
    overlays: Sequence[Document]
    merged: Any = field(init=False)
    faults: list[Fault] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Merge the overlays."""
        documents = [self.base, *self.overlays]
        self.faults = [fault for document in documents for fault in document.faults]
        self.merged = self.base.value if self.base.is_readable else {}
        settings: dict[Path, Document] = {}
        for overlay in self.overlays:
            if overlay.is_readable:
                self._merge(overlay, settings)

    def locate(self, path: Path) -> tuple[str, int]:
        """Return the file and line that set the merged value at `path`."""
        documents = [*reversed(self.overlays), self.base]
        known = [(len(each.longest_known_path(path)), each) for each in documents]
        longest = max(length for length, _ in known)
        if longest <= 1 or not self.overlays:
            return self.base.file, self.base.line(path)
        document = next(each for length, each in known if length == longest)
        return document.file, document.line(path)

    def fault(self, path: Path, message: str) -> Fault:
        """Return a fault of the merged value at `path`."""
        file, line = self.locate(path)
        return Fault(file, line, message)

    def _merge(self, overlay: Document, settings: dict[Path, Document]) -> None:
        if not isinstance(self.merged, dict):
            return
        for path, value in _leaves(overlay.value, ()):
            message = self._rejection_message(path, value) or _conflict_message(
                path, overlay, settings
            )
            if message:
                fault = Fault(overlay.file, overlay.line(path), message)
                self.faults.append(fault)
                continue
            settings[path] = overlay
            self.merged = _with_value(self.merged, path, value)

    def _rejection_message(self, path: Path, value: Any) -> str | None:
        """Return the message of a fault if an overlay may not set `value` at `path`."""
        if len(path) <= 1 and isinstance(value, dict):
            return None
        unknown = self._unknown_entry_message(path)
        if unknown is not None:
            return unknown
        if not _is_allowed(path, OVERRIDABLE_PATHS):
            return _not_overridable_message(path)
        if value is not None:
            return None
        if not _is_allowed(path, REMOVABLE_PATHS, exactly=True):
            return f"an overlay cannot remove {path[-1]!r}; remove it in the base file"
        parent = _find(self.merged, path[:-1])
        if not isinstance(parent, dict) or path[-1] not in parent:
            hint = suggest_name(
                str(path[-1]), parent if isinstance(parent, dict) else ()
            )
            return (
                f"{path[-1]!r} is not in the base file, so it cannot be removed{hint}"
            )
        return None

    def _unknown_entry_message(self, path: Path) -> str | None:
        """Return a message if the service or workspace is not in the base file."""
        if not path or path[0] not in ("services", "workspaces") or len(path) < 2:
            return None
        known = _find(self.base.value, path[:1])
        if isinstance(known, dict) and path[1] in known:
            return None
        names = known if isinstance(known, dict) else ()
        return (
            f"{path[1]!r} is not in {path[0]!r} of the base file, "
            f"and an overlay cannot add it{suggest_name(str(path[1]), names)}"
        )


def _leaves(value: Any, path: Path) -> Iterator[tuple[Path, Any]]:
    """Yield path and value of each leaf; an empty object is a leaf."""
    if isinstance(value, dict) and value:
        for name, child in value.items():
            yield from _leaves(child, (*path, name))
    else:
        yield path, value


def _conflict_message(
    path: Path, overlay: Document, settings: dict[Path, Document]
) -> str | None:
    for length in range(1, len(path) + 1):
        other = settings.get(path[:length])
        if other is not None and other is not overlay:
            line = other.line(path[:length])
            return (
                f"{path[-1]!r} is also set by {other.file}:{line}; set it in one only"
            )
    return None


def _is_allowed(path: Path, rules: tuple[Path, ...], exactly: bool = False) -> bool:
    return any(
        (len(path) == len(rule) if exactly else len(path) >= len(rule))
        and all(
            want in (ANY_NAME, part) for want, part in zip(rule, path, strict=False)
        )
        for rule in rules
    )


def _not_overridable_message(path: Path) -> str:
    reason = next(
        (_BASE_ONLY_REASONS[str(part)] for part in path if part in _BASE_ONLY_REASONS),
        None,
    )
    if reason is None and path and path[0] == "routes":
        reason = _BASE_ONLY_REASONS["open"]
    if reason is None:
        reason = "an overlay may set targets, data centres and limits"
    shown = ".".join(map(str, path)) or "the whole file"
    return f"an overlay cannot change {shown!r}: {reason}"


def _find(value: Any, path: Path) -> Any:
    for part in path:
        if not isinstance(value, dict) or part not in value:
            return None
        value = value[part]
    return value


def _with_value(merged: dict[str, Any], path: Path, value: Any) -> dict[str, Any]:
    """Return `merged` with `value` at `path`; only the objects on `path` are copied."""
    if not path:
        return merged
    changed = dict(merged)
    name = str(path[0])
    below = changed.get(name)
    if len(path) > 1:
        below = below if isinstance(below, dict) else {}
        changed[name] = _with_value(below, path[1:], value)
    elif value is None:
        changed.pop(name, None)
    elif value != {} or not isinstance(below, dict):
        changed[name] = value
    return changed
