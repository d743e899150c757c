"""Structured logs: one line of key=value pairs for each event.

``schema/log_events.json`` lists the events and their fields.
"""

import json
import re
import threading
import time
from collections.abc import Callable

from absl import logging
from attrs import define, field

from lacewinglift.generated.log_events import LOG_EVENTS

# Rate limit of events for which the schema sets no `lines_per_s`.
DEFAULT_LINES_PER_S = 10.0
# A burst may contain as many lines as the rate allows in this time.
BURST_S = 2.0
LEFT_OUT_REPORT_INTERVAL_S = 1.0

_UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9_.:/@%+\-]+")


def format_value(value: object) -> str:
    """Return `value` formatted for a log line, as a JSON string where needed."""
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
    """Token bucket and line counts of one event."""

    lines_per_s: float
    tokens: float
    refilled_at_s: float
    written: int = 0
    left_out: int = 0
    unreported: int = 0
    """Lines left out since `pop_unreported` was last called."""


@define(eq=False)
class LogRateLimiter:
    """Limits the rate of log lines of each event and counts the lines left out."""

    clock: Callable[[], float] = time.monotonic
    buckets: dict[str, _EventBucket] = field(factory=dict)
    # Reentrant: a signal handler may log while its thread holds the lock.
    lock: threading.RLock = field(factory=threading.RLock)

    dropped_count: Callable[[], int] = lambda: 0
    """Return the number of lines that the log output has dropped."""

    def admit(self, event: str) -> bool:
        """Return whether a line of `event` may be written now, and count the line."""
        now = self.clock()
        with self.lock:
            bucket = self.buckets.get(event)
            if bucket is None:
                bucket = self.buckets[event] = _new_bucket(event, now)
            capacity = bucket.lines_per_s * BURST_S
            refill = (now - bucket.refilled_at_s) * bucket.lines_per_s
            bucket.tokens = min(bucket.tokens + refill, capacity)
            bucket.refilled_at_s = now
            if bucket.tokens < 1.0:
                bucket.left_out += 1
                bucket.unreported += 1
                return False
            bucket.tokens -= 1.0
            bucket.written += 1
            return True

    def pop_unreported(self) -> dict[str, int]:
        """Return the number of lines left out since the last call, by event."""
        with self.lock:
            found = {
                event: bucket.unreported
                for event, bucket in self.buckets.items()
                if bucket.unreported
            }
            for event in found:
                self.buckets[event].unreported = 0
        return found

    def totals(self) -> dict[str, tuple[int, int]]:
        """Return the number of lines written and left out, by event."""
        with self.lock:
            return {
                event: (bucket.written, bucket.left_out)
                for event, bucket in self.buckets.items()
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
    """Log an event that may need an operator's attention."""
    if LOG_RATE_LIMITER.admit(event):
        logging.warning("%s", format_event(event, fields))


def log_exception(event: str, **fields: object) -> None:
    """Log an event with the traceback of the exception being handled."""
    if LOG_RATE_LIMITER.admit(event):
        logging.exception("%s", format_event(event, fields))


def report_left_out() -> None:
    """Log for each event how many lines were left out since the last call."""
    for event, count in LOG_RATE_LIMITER.pop_unreported().items():
        log_info("log_lines_left_out", of=event, count=count)
