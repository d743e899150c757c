"""Tests of the rate limits of log lines and of the non-blocking log output."""

import io
import logging as standard_logging
import subprocess
import sys
import threading

import pytest

from lacewinglift import log_output
from lacewinglift.log_output import LineFormatter, LogOutput
from lacewinglift.logs import BURST_S, DEFAULT_LINES_PER_S, LogRateLimiter


class StalledReader(io.StringIO):
    """Output whose writes block until `resumed` is set."""

    def __init__(self):
        super().__init__()
        self.reached = threading.Event()
        self.resumed = threading.Event()

    def write(self, text):
        self.reached.set()
        self.resumed.wait(10)
        return super().write(text)


@pytest.fixture
def clock():
    class Clock:
        now_s = 100.0

        def __call__(self):
            return self.now_s

    return Clock()


def test_stalled_reader_blocks_no_writer_and_dropped_lines_are_reported(monkeypatch):
    """Guards against requests that block because the log reader is slow."""
    monkeypatch.setattr(log_output, "MAX_QUEUED_LINES", 10)
    raw = StalledReader()
    output = LogOutput(raw)
    output.write("first\n")
    assert raw.reached.wait(5)
    for number in range(25):
        output.write(f"line {number}\n")
    assert output.dropped == 15
    raw.resumed.set()
    output.drain(5.0)
    lines = raw.getvalue().splitlines()
    assert lines[:2] == ["first", "line 0"]
    assert lines[-1].endswith("level=warning event=log_lines_dropped count=15")


def test_lines_go_to_standard_output_only():
    """Guards against log lines on standard error, where writes can block."""
    program = (
        "import sys\n"
        "from lacewinglift.log_output import start_logging\n"
        "from lacewinglift.logs import log_warning\n"
        "start_logging('a', sys.stdout)\n"
        "log_warning('store_lost', code='x', reason='y')\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert done.stderr == ""
    assert done.stdout.endswith("instance=a event=store_lost code=x reason=y\n")


def test_closed_output_does_not_end_the_writer_thread():
    """Guards against a process that fails after the reader closes its output."""
    raw = io.StringIO()
    output = LogOutput(raw)
    raw.close()
    output.write("lost\n")
    output.drain(5.0)
    assert output.dropped == 1


def test_lines_of_an_event_are_limited_and_left_out_lines_are_counted(clock):
    """Guards against logs that grow with the request rate."""
    limits = LogRateLimiter(clock)
    written = sum(limits.admit("request_flood") for _ in range(1000))
    assert written == DEFAULT_LINES_PER_S * BURST_S
    assert limits.pop_unreported() == {"request_flood": 1000 - written}
    assert limits.pop_unreported() == {}
    clock.now_s += 1.0
    assert (
        sum(limits.admit("request_flood") for _ in range(1000)) == DEFAULT_LINES_PER_S
    )


def test_flood_of_one_event_does_not_limit_others(clock):
    """Guards against a `store_lost` line being left out because of many requests."""
    limits = LogRateLimiter(clock)
    for _ in range(1000):
        limits.admit("request_flood")
    assert limits.admit("store_lost")


def test_traceback_is_part_of_the_line():
    """Guards against multi-line entries that log tools cannot parse."""
    try:
        raise ValueError("two\nlines")
    except ValueError as error:
        trace = (ValueError, error, error.__traceback__)
    record = standard_logging.LogRecord(
        "", standard_logging.ERROR, "", 1, "event=endpoint_failed", (), trace
    )
    record.created = 12.5
    line = LineFormatter("a").format(record)
    assert line.startswith(
        "time=12.500000 level=error instance=a event=endpoint_failed tr"
    )
    assert "\n" not in line
