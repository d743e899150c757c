"""Structured logs: one line of key=value pairs for each event.

The events and their fields stand in ``schema/log_events.json``.
"""

import json
import re
import threading
import time
from collections.abc import Callable

from absl import logging
from attrs import define, field

from lacewinglift.generated.log_events import LOG_EVENTS

# Lines of an event that its schema gives no rate; twice as many may come at once.
DEFAULT_LINES_PER_S = 10.0
BURST_S = 2.0
LEFT_OUT_REPORT_INTERVAL_S = 1.0

_UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9_.:/@%+\-]+")


def format_value(value: object) -> str:
    """Return `value` as it stands in a log line, quoted where needed."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return the log line of one event."""
    pairs = [f"event={event}"]
    pairs += [f"{key}={format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


@define(eq=False)
class _EventBucket:
    """Lines of one event."""

    lines_per_s: float
    tokens: float
    refilled_at_s: float
    written: int = 0
    left_out: int = 0
    unreported: int = 0


@define(eq=False)
class LogRateLimiter:
    """Bounds the lines of each event per second, and counts those left out."""

    clock: Callable[[], float] = time.monotonic
    buckets: dict[str, _EventBucket] = field(factory=dict)
    # A signal handler may log while its thread holds the lock.
    lock: threading.RLock = field(factory=threading.RLock)

    dropped_count: Callable[[], int] = lambda: 0
    """Returns how many lines the output has dropped."""

    def admit(self, event: str) -> bool:
        """Return whether a line of an event may be written, and count it."""
        now = self.clock()
        with self.lock:
            count = self.buckets.get(event)
            if count is None:
                count = self.buckets[event] = _new_bucket(event, now)
            most = count.lines_per_s * BURST_S
            gained = (now - count.refilled_at_s) * count.lines_per_s
            count.tokens = min(count.tokens + gained, most)
            count.refilled_at_s = now
            if count.tokens < 1.0:
                count.left_out += 1
                count.unreported += 1
                return False
            count.tokens -= 1.0
            count.written += 1
            return True

    def pop_unreported(self) -> dict[str, int]:
        """Return how many lines were left out since the last call, by event."""
        with self.lock:
            found = {
                event: count.unreported
                for event, count in self.buckets.items()
                if count.unreported
            }
            for event in found:
                self.buckets[event].unreported = 0
        return found

    def totals(self) -> dict[str, tuple[int, int]]:
        """Return the lines written and left out of each event."""
        with self.lock:
            return {
                event: (count.written, count.left_out)
                for event, count in self.buckets.items()
            }


def _new_bucket(event: str, now_s: float) -> _EventBucket:
    known = LOG_EVENTS.get(event, {})
    lines_per_s = known.get("lines_per_s", DEFAULT_LINES_PER_S)
    return _EventBucket(lines_per_s, lines_per_s * BURST_S, now_s)


LOG_RATE_LIMITER = LogRateLimiter()


def log_info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    if LOG_RATE_LIMITER.admit(event):
        logging.info("%s", format_event(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Log an event that an operator may have to look at."""
    if LOG_RATE_LIMITER.admit(event):
        logging.warning("%s", format_event(event, fields))


def log_exception(event: str, **fields: object) -> None:
    """Log an event with the traceback of the exception being handled."""
    if LOG_RATE_LIMITER.admit(event):
        logging.exception("%s", format_event(event, fields))


def report_left_out() -> None:
    """Log how many lines were left out since the last call."""
    for event, count in LOG_RATE_LIMITER.pop_unreported().items():
        log_info("log_lines_left_out", of=event, count=count)
