"""Structured logs: one line of key=value pairs for each event."""

import json
import re

from absl import logging

_PLAIN = re.compile(r"[A-Za-z0-9_.:/@%+\-]+")


def format_value(value: object) -> str:
    """Return `value` as it stands in a log line, quoted where needed."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return the log line of one event."""
    pairs = [f"event={event}"]
    pairs += [f"{key}={format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def log_info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    logging.info("%s", format_event(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Log an event that an operator may have to look at."""
    logging.warning("%s", format_event(event, fields))


def log_exception(event: str, **fields: object) -> None:
    """Log an event with the traceback of the exception being handled."""
    logging.exception("%s", format_event(event, fields))
