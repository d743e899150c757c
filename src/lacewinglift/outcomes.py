"""Outcomes of attempts to send a request to a target."""

import enum

from attrs import frozen


class OutcomeKind(enum.Enum):
    """How an attempt ended, as far as it is evidence about the target."""

    SUCCESS = "success"
    ERROR = "error"
    """The target responded with a status of 500 or above."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    CUT = "cut"
    """The response was invalid, or the connection closed before its end."""
    SHED = "shed"
    """The target reported that it refused to run the request (load shedding)."""
    WRONG_TARGET = "wrong_target"
    """Another target responded at the address and did not run the request."""
    CANCELLED = "cancelled"
    """The attempt ended for a reason on the caller's side, not the target's."""


@frozen
class Outcome:
    """Outcome of one attempt.

    Attributes
    ----------
    kind : OutcomeKind
        How the attempt ended.
    latency_s : float
        Time until the response head arrived, or until the attempt failed.
    response_bytes : int
        Size of the body of a complete response.
    reused_connection : bool
        Whether the connection had carried an earlier request.
    """

    kind: OutcomeKind
    latency_s: float
    response_bytes: int = 0
    reused_connection: bool = False
