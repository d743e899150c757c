"""Lets the tests of KNOWN-RED.txt fail, and compares logs with their schema."""

import pathlib
import re

import pytest

from lacewinglift import logs
from lacewinglift.generated.log_events import LOG_EVENTS

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
_TEST = re.compile(r"^test: (\S+)$", re.MULTILINE)


def listed_tests(text):
    """Return the ids of the tests that a text lists as red."""
    return set(_TEST.findall(text))


def pytest_collection_modifyitems(items):
    listed = listed_tests(KNOWN_RED.read_text())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    for name in sorted(listed_tests(KNOWN_RED.read_text())):
        terminalreporter.write_line(f"known red: {name}")


def unknown_in_line(event, fields):
    """Return what the schema of the logs does not have of a line."""
    if event not in LOG_EVENTS:
        return [event]
    return [f"{event}.{name}" for name in fields.keys() - LOG_EVENTS[event]["fields"]]


@pytest.fixture(autouse=True)
def lines_follow_their_schema(monkeypatch):
    """Fails a test in whose process a line is logged that the schema does not have."""
    unknown = []
    format_event = logs.format_event

    def check(event, fields):
        unknown.extend(unknown_in_line(event, fields))
        return format_event(event, fields)

    monkeypatch.setattr(logs, "format_event", check)
    yield
    assert unknown == []
