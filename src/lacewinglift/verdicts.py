"""Whether a target may have run a request."""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request in one attempt."""

    NOT_RUN = "not_run"
    """No part of the request reached a target, or the target refused to run it."""

    MAY_HAVE_RUN = "may_have_run"
    """The target may have run the request; the outcome is unknown."""

    ANSWERED = "answered"
    """The target responded."""
