"""Checks the events that the code logs against their schema."""

import ast
import pathlib

import pytest

from lacewinglift.generated.log_events import LOG_EVENTS

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOG_FUNCTIONS = {"log_info", "log_warning", "log_exception"}
# Written by `LogOutput` itself after lines were dropped from a full queue.
EVENTS_WITHOUT_LOG_CALL = {"log_lines_dropped"}


def logging_calls():
    for folder in ("src", "platform"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if (
                    isinstance(node, ast.Call)
                    and _function_name(node.func) in LOG_FUNCTIONS
                ):
                    yield f"{path.name}:{node.lineno}", node


def _function_name(function):
    return function.id if isinstance(function, ast.Name) else None


CALLS = list(logging_calls())


@pytest.mark.parametrize(("place", "call"), CALLS, ids=[place for place, _ in CALLS])
def test_events_and_fields_are_in_the_schema(place, call):
    """Guards against log lines that operators cannot look up in the schema."""
    event = call.args[0]
    assert isinstance(event, ast.Constant), "the event must be a literal"
    assert event.value in LOG_EVENTS
    named = {keyword.arg for keyword in call.keywords if keyword.arg is not None}
    assert named <= set(LOG_EVENTS[event.value]["fields"])


def test_schema_has_no_event_that_is_never_logged():
    """Guards against outdated events in the schema."""
    logged = {call.args[0].value for _, call in CALLS}
    assert set(LOG_EVENTS) == logged | EVENTS_WITHOUT_LOG_CALL
