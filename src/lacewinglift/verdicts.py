"""Whether a request may have run at a target."""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of one attempt at a target."""

    NOT_RUN = "not_run"
    """No part of the request reached a target, or the target refused to run it."""

    MAY_HAVE_RUN = "may_have_run"
    """The target may have run the request; the outcome is unknown."""

    ANSWERED = "answered"
    """The target answered."""
