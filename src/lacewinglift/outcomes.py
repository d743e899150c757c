"""How one attempt at a target ended."""

import enum

from attrs import frozen


class OutcomeKind(enum.Enum):
    """How one attempt at a target ended, as evidence about the target."""

    SUCCESS = "success"
    ERROR = "error"
    """The target answered with a status of 500 or above."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    CUT = "cut"
    """The connection ended, or the answer was invalid, before the answer's end."""
    SHED = "shed"
    """The target refused to run the request and said so."""
    WRONG_TARGET = "wrong_target"
    """Another target answers at the address, and did not run the request."""
    CANCELLED = "cancelled"
    """The attempt ended for a reason on the caller's side."""


@frozen
class Outcome:
    """End of one attempt.

    Attributes
    ----------
    kind : OutcomeKind
        How the attempt ended.
    latency_s : float
        Time until the answer's head came, or until the attempt failed.
    response_bytes : int
        Size of the body of a whole answer.
    """

    kind: OutcomeKind
    latency_s: float
    response_bytes: int = 0
