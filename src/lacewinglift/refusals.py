"""Refusals: error responses that lacewinglift itself sends to callers."""

import json
import math

from attrs import frozen

from lacewinglift.dialects import DEFAULT_DIALECT, Dialect
from lacewinglift.errors import LacewingliftError
from lacewinglift.verdicts import Verdict

STATUS_BY_CODE = {
    "bad_request": 400,
    "key_missing": 401,
    "key_unknown": 401,
    "workspace_forbidden": 403,
    "no_route": 404,
    "over_limit": 429,
    "starting": 503,
    "isolated": 503,
    "stopping": 503,
    "concurrency": 503,
    "no_target": 503,
    "overloaded": 503,
    "target_failed": 502,
    "target_timeout": 504,
}


@frozen
class Refusal:
    """An error response to a request that was not run, or may not have been run."""

    code: str
    verdict: Verdict
    message: str
    retry_after_s: float | None = None

    def status(self, dialect: Dialect = DEFAULT_DIALECT) -> int:
        """Return the HTTP status of the response."""
        status = STATUS_BY_CODE[self.code]
        guaranteed_not_run = self.verdict is Verdict.NOT_RUN and status in (502, 504)
        if guaranteed_not_run and dialect.not_run_status is not None:
            return dialect.not_run_status
        return status

    def headers(self, dialect: Dialect = DEFAULT_DIALECT) -> list[tuple[str, str]]:
        """Return the headers of the response.

        `X-Lacewinglift-Refusal` and `X-Lacewinglift-Verdict` distinguish a refusal from
        a target's response with the same status, because the proxy removes all
        `X-Lacewinglift-*` headers from responses of targets.
        """
        headers = [
            ("Content-Type", "application/json"),
            ("X-Lacewinglift-Refusal", self.code),
            ("X-Lacewinglift-Verdict", self.verdict.value),
        ]
        if self.status(dialect) == 401:
            headers.append(("WWW-Authenticate", "Bearer"))
        if self.retry_after_s is not None:
            headers.append(("Retry-After", self._retry_after(dialect)))
        return headers

    def _retry_after(self, dialect: Dialect) -> str:
        if dialect.fractional_retry_after:
            return f"{max(self.retry_after_s, 0.0):.3f}"
        # Whole seconds, rounded up: a caller that retries too early would be refused
        # again.
        return str(max(1, math.ceil(self.retry_after_s)))

    def body(self) -> bytes:
        """Return the JSON body of the response."""
        fields = {
            "code": self.code,
            "verdict": self.verdict.value,
            "message": self.message,
        }
        return json.dumps(fields).encode()


class RefusalError(LacewingliftError):
    """The request is to be answered with a refusal."""

    code = "refusal"

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def refuse(
    code: str,
    message: str,
    verdict: Verdict = Verdict.NOT_RUN,
    retry_after_s: float | None = None,
) -> RefusalError:
    """Return the exception that causes a request to be refused."""
    return RefusalError(Refusal(code, verdict, message, retry_after_s))
