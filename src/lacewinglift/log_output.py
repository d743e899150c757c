"""Log output that never blocks the thread that logs."""

import json
import logging as standard_logging
import threading
import time
from collections import deque
from typing import TextIO

from absl import flags, logging

from lacewinglift.logs import LOG_RATE_LIMITER

MAX_QUEUED_LINES = 4000
# Bounds the lines that one write to the stream contains.
MAX_BATCH_LINES = 200
DRAIN_TIMEOUT_S = 0.2


class LogOutput:
    """Stream that queues lines for a thread that writes them.

    A line is dropped and counted when the queue is full. The number of dropped lines is
    logged with the next batch that is written.

    Parameters
    ----------
    stream : TextIO
        Stream that receives the lines; its writes may block.
    """

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream
        self.lines: deque[str] = deque()
        self.dropped = 0
        self.written = 0
        self._reported_dropped = 0
        self._writing = False
        # Reentrant: a signal handler may log while its thread holds the lock.
        self._condition = threading.Condition(threading.RLock())
        thread = threading.Thread(target=self._run, name="log-output", daemon=True)
        thread.start()

    def write(self, text: str) -> int:
        """Queue `text`, or drop it if the queue is full."""
        with self._condition:
            if len(self.lines) >= MAX_QUEUED_LINES:
                self.dropped += 1
            else:
                self.lines.append(text)
                self._condition.notify()
        return len(text)

    def flush(self) -> None:
        """Do nothing; the writer thread flushes after each batch."""

    def close(self) -> None:
        """Wait until the queue is written; called when the process exits."""
        self.drain()

    def drain(self, timeout_s: float = DRAIN_TIMEOUT_S) -> None:
        """Wait until all queued lines are written, for at most `timeout_s`."""
        with self._condition:
            self._condition.wait_for(
                lambda: not self.lines and not self._writing, timeout_s
            )

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            try:
                self.stream.write("".join(batch))
                self.stream.flush()
            except (OSError, ValueError):
                # The reader has closed the stream, so the error cannot be logged.
                with self._condition:
                    self.dropped += len(batch)
            else:
                self.written += len(batch)

    def _next_batch(self) -> list[str]:
        with self._condition:
            self._writing = False
            self._condition.notify_all()
            self._condition.wait_for(lambda: self.lines)
            self._writing = True
            count = min(len(self.lines), MAX_BATCH_LINES)
            batch = [self.lines.popleft() for _ in range(count)]
            dropped = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
        if dropped:
            batch.append(
                f"time={time.time():.3f} level=warning event=log_lines_dropped "
                f"count={dropped}\n"
            )
        return batch


class LineFormatter(standard_logging.Formatter):
    """Formats each log record as one line of key=value pairs.

    Parameters
    ----------
    instance : str
        Name of this instance; if empty, lines have no `instance` field.
    """

    def __init__(self, instance: str) -> None:
        super().__init__()
        self.prefix = f" instance={instance}" if instance else ""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the log line for a record."""
        line = (
            f"time={record.created:.6f} level={record.levelname.lower()}"
            f"{self.prefix} {record.getMessage()}"
        )
        if record.exc_info:
            line += f" traceback={json.dumps(self.formatException(record.exc_info))}"
        return line


def start_logging(instance: str, stream: TextIO, level: str = "info") -> LogOutput:
    """Send the logs of this process to a stream.

    Parameters
    ----------
    instance : str
        Name of this instance; if empty, lines have no `instance` field.
    stream : TextIO
        Stream that receives the lines.
    level : {"info", "warning", "error"}
        Lowest level that is written.
    """
    output = LogOutput(stream)
    # absl logs to standard error until its flags are parsed; this program has none.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = output
    handler.setFormatter(LineFormatter(instance))
    logging.set_verbosity(level)
    LOG_RATE_LIMITER.dropped_count = lambda: output.dropped
    return output
