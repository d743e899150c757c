"""Parses the log lines that `lacewinglift.logs` writes."""

import json
import re
from collections.abc import Iterable, Iterator

from attrs import define, field, frozen

# A log collector may put a prefix before each line.
_LINE_START = re.compile(r"\btime=\d")
_FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)(?=\s|$)')


@frozen
class LogLine:
    """One event that an instance logged."""

    time_s: float
    """Wall-clock time of the instance, in seconds since 1970."""
    instance: str
    event: str
    fields: dict[str, str]

    def number(self, name: str, default: float = 0.0) -> float:
        """Return a field as a number, or `default` if it is missing or not a number."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return default


@define(eq=False)
class LogSet:
    """Parsed lines of all files, and the number of unreadable ones."""

    lines: list[LogLine] = field(factory=list)
    unreadable: dict[str, int] = field(factory=dict)
    """Number of lines that could not be parsed, by file."""

    def add_file(self, name: str, texts: Iterable[str]) -> None:
        """Add the lines of one file; ignore lines that contain no event."""
        for text in texts:
            if _LINE_START.search(text) is None and "event=" not in text:
                continue
            line = parse_line(text)
            if line is None:
                self.unreadable[name] = self.unreadable.get(name, 0) + 1
            else:
                self.lines.append(line)


def parse_line(text: str) -> LogLine | None:
    """Return the parsed line, or None if it is truncated or in another format."""
    start = _LINE_START.search(text)
    if start is None or not text.endswith("\n"):
        return None
    fields = dict(_read_pairs(text[start.start() :]))
    try:
        time_s = float(fields.pop("time"))
        event = fields.pop("event")
    except (KeyError, ValueError):
        return None
    fields.pop("level", None)
    return LogLine(time_s, fields.pop("instance", "-"), event, fields)


def _read_pairs(text: str) -> Iterator[tuple[str, str]]:
    for name, value in _FIELD.findall(text):
        yield name, _unquote(value)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except json.JSONDecodeError:
        return value
