"""Collects all faults of a value; a generated validator reports only the first."""

import copy
import difflib
import re
from collections.abc import Callable, Collection, Iterator
from typing import Any

from attrs import define, field
from fastjsonschema import JsonSchemaValueException

from lacewinglift.jsonc import Path

Finding = tuple[Path, str]
"""Path of a value and the message of its fault."""

_UNIT_SUFFIX = re.compile(
    r"(_per_(s|min|minute|h|hour|second)|_(us|ms|s|sec|secs|seconds|min|minutes|h"
    r"|hours|percent|pct|ppm|requests|bytes|kb|mb))$"
)
_SECRET_NAMES = frozenset({"key_digests"})
"""Names whose values are never shown in a message, as they may be clear-text keys."""


def suggest_name(name: str, known: Collection[str]) -> str:
    """Return a hint with the known name most similar to `name`, or an empty string."""
    if name.lower() in known:
        return f"; did you mean {name.lower()!r}?"
    close = difflib.get_close_matches(name, known, n=1, cutoff=0.6)
    return f"; did you mean {close[0]!r}?" if close else ""


def collect_findings(validate: Callable[[Any], Any], value: Any) -> list[Finding]:
    """Return everything that `validate` finds wrong with `value`."""
    return repair(validate, value)[0]


def repair(validate: Callable[[Any], Any], value: Any) -> tuple[list[Finding], Any]:
    """Return everything that is wrong with `value`, and a copy without faults.

    The validator stops at the first fault. Each faulty part is therefore removed
    from the copy, each missing one is added from the schema's examples, and the copy
    is validated again until it has no fault. The copy is None if that fails.
    """
    collector = _FindingCollector(copy.deepcopy(value))
    while True:
        try:
            validate(collector.repaired)
        except JsonSchemaValueException as error:
            if not collector.record_and_repair(error):
                return collector.findings, None
        else:
            return collector.findings, collector.repaired


@define
class _FindingCollector:
    repaired: Any
    findings: list[Finding] = field(factory=list)
    removed: set[Path] = field(factory=set)
    """Paths of removed faulty members; these are not reported as missing."""
    original_indexes: dict[Path, list[int]] = field(factory=dict)
    """Indexes that the remaining entries of a list have in the original value."""

    def record_and_repair(self, error: JsonSchemaValueException) -> bool:
        """Record a fault and repair it; return whether validation can continue."""
        path = _resolve(error.name.removeprefix("data"), self.repaired)
        if path is None:
            self.findings.append(((), f"does not agree with the schema: {error.rule}"))
            return False
        if error.rule == "required":
            self._add_missing(error, path)
        elif error.rule == "additionalProperties":
            self._drop_unknown(error, path)
        elif error.rule == "minItems" and path in self.original_indexes:
            return self._remove(path)
        else:
            self.findings.append(
                (self._original_path(path), _value_message(error, path))
            )
            return self._remove(path)
        return True

    def _add_missing(self, error: JsonSchemaValueException, path: Path) -> None:
        found = _value_at(self.repaired, path)
        for name in error.rule_definition:
            if name in found:
                continue
            schema = error.definition["properties"][name]
            found[name] = copy.deepcopy(schema.get("examples", [{}])[0])
            if (*path, name) not in self.removed:
                message = _missing_message(name, path, schema)
                self.findings.append((self._original_path(path), message))

    def _drop_unknown(self, error: JsonSchemaValueException, path: Path) -> None:
        found = _value_at(self.repaired, path)
        for name in _unknown_names(error):
            message = _unknown_message(name, error.definition)
            self.findings.append((self._original_path((*path, name)), message))
            del found[name]

    def _remove(self, path: Path) -> bool:
        if not path:
            return False
        parent = _value_at(self.repaired, path[:-1])
        if isinstance(parent, list):
            known = self.original_indexes.setdefault(
                path[:-1], list(range(len(parent)))
            )
            del known[int(path[-1])]
        else:
            self.removed.add(path)
        del parent[path[-1]]
        return True

    def _original_path(self, path: Path) -> Path:
        """Return `path` with the list indexes of the original value."""
        first: list[str | int] = []
        for depth, part in enumerate(path):
            known = self.original_indexes.get(path[:depth])
            first.append(known[int(part)] if known else part)
        return tuple(first)


def _resolve(rest: str, value: Any) -> Path | None:
    """Return the path that the validator wrote as `rest`, or None.

    Names may contain dots, so the path is matched against the members of `value`.
    """
    if not rest:
        return ()
    for key, prefix, child in _children(value):
        if not rest.startswith(prefix):
            continue
        below = _resolve(rest[len(prefix) :], child)
        if below is not None:
            return (key, *below)
    return None


def _children(value: Any) -> Iterator[tuple[str | int, str, Any]]:
    if isinstance(value, dict):
        for key, child in value.items():
            yield key, f".{key}", child
    elif isinstance(value, list):
        for index, child in enumerate(value):
            yield index, f"[{index}]", child


def _missing_message(name: str, path: Path, schema: dict[str, Any]) -> str:
    owner = f"{path[-1]!r}: " if path else ""
    wanted = schema.get("description", "")
    return f"{owner}{name!r} is missing{': ' if wanted else ''}{wanted}"


def _unknown_names(error: JsonSchemaValueException) -> list[str]:
    known = error.definition.get("properties", {})
    patterns = error.definition.get("patternProperties", {})
    return [
        name
        for name in error.value
        if name not in known
        and not any(re.search(pattern, name) for pattern in patterns)
    ]


def _unknown_message(name: str, definition: dict[str, Any]) -> str:
    if "patternProperties" in definition:
        return f"{name!r} cannot be a name here; {_pattern_hint(definition)}"
    known = definition.get("properties", {})
    for candidate, schema in known.items():
        if candidate != name and _without_unit(candidate) == _without_unit(name):
            wanted = schema.get("description", "")
            return f"{name!r} is not known; use {candidate!r}: {wanted}"
    hint = suggest_name(name, known) or f"; known are {', '.join(sorted(known))}"
    return f"{name!r} is not known{hint}"


def _pattern_hint(definition: dict[str, Any]) -> str:
    if "path prefix" in definition.get("description", ""):
        return (
            "a route is a path such as /orders: '/' first, none at the end, "
            "no empty segments, no '%', '?' or '#'"
        )
    return "names have lower-case letters, digits, '.', '_' and '-', at most 63"


def _without_unit(name: str) -> str:
    return _UNIT_SUFFIX.sub("", name)


def _value_message(error: JsonSchemaValueException, path: Path) -> str:
    names = [part for part in path if isinstance(part, str)]
    name = names[-1] if names else "the file"
    wanted = error.definition.get("description", "")
    if not wanted:
        wanted = f"must be {error.rule} {error.rule_definition}"
    shown = "" if _SECRET_NAMES & set(names) else f" cannot be {_shorten(error.value)}"
    if error.rule == "uniqueItems":
        return f"{name!r} has an entry twice; remove one ({wanted})"
    return f"{name!r}{shown}; it is {wanted}{_unit_hint(error, names)}"


def _unit_hint(error: JsonSchemaValueException, names: list[str]) -> str:
    if error.rule == "type" and isinstance(error.value, str):
        if error.rule_definition in ("number", "integer"):
            return "; write a number without quotes and without a unit"
        return ""
    if names[-1:] == ["floor"] and error.rule == "maximum" and error.value <= 100:
        return f"; for {error.value} percent write {error.value / 100:g}"
    return ""


def _shorten(value: Any) -> str:
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    if value is None or isinstance(value, bool):
        return {None: "null", True: "true", False: "false"}[value]
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _value_at(value: Any, path: Path) -> Any:
    for part in path:
        value = value[part]
    return value
