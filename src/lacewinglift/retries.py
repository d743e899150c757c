"""Retries: which failed requests may be retried, and how many."""

import threading
from collections.abc import Mapping

from lacewinglift.timers import Timers
from lacewinglift.verdicts import Verdict

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
RETRY_TOKENS_PER_REQUEST = 0.1
RETRY_TOKENS_PER_S = 3.0
# Allows the retries of the requests that were in flight to a target when it failed,
# without the load of a retry storm.
RETRY_TOKENS_MAX = 10.0


def may_retry(idempotent: bool, verdict: Verdict, body_replayable: bool) -> bool:
    """Return whether a request may be retried after a failed attempt.

    Parameters
    ----------
    idempotent : bool
        Whether the request may be executed more than once.
    verdict : Verdict
        What is known about the execution of the failed attempt.
    body_replayable : bool
        Whether the body can be sent again from its start.
    """
    if not body_replayable or verdict is Verdict.ANSWERED:
        return False
    return verdict is Verdict.NOT_RUN or idempotent


class RetryBudget:
    """Token bucket that limits the retries of one service.

    Each request adds `RETRY_TOKENS_PER_REQUEST` tokens and each second
    `RETRY_TOKENS_PER_S`.
    """

    def __init__(self, timers: Timers) -> None:
        self.timers = timers
        self.tokens = RETRY_TOKENS_MAX
        self._refilled_at_s = timers.now()
        self._lock = threading.Lock()

    def record_request(self) -> None:
        """Count a first attempt."""
        with self._lock:
            self.tokens = min(self.tokens + RETRY_TOKENS_PER_REQUEST, RETRY_TOKENS_MAX)

    def try_acquire(self, kept: float = 0.0) -> bool:
        """Return whether one more request may be retried now, and count it.

        `kept` tokens are left to others.
        """
        with self._lock:
            now = self.timers.now()
            gained = (now - self._refilled_at_s) * RETRY_TOKENS_PER_S
            self._refilled_at_s = now
            self.tokens = min(self.tokens + gained, RETRY_TOKENS_MAX)
            if self.tokens < 1.0 + kept:
                return False
            self.tokens -= 1.0
            return True

    def log_fields(self) -> Mapping[str, object]:
        """Return the state of the budget, as fields of a log line."""
        return {"budget_left": self.tokens}
