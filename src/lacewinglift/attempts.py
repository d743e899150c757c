"""Interfaces of the parts that choose targets and limit retries."""

from collections.abc import Callable, Mapping
from typing import Protocol

from lacewinglift.configuration import Target
from lacewinglift.outcomes import Outcome


class Attempt(Protocol):
    """A target chosen for one attempt."""

    target: Target
    on_ejected: Callable[[], None] | None
    """Called when the target is ejected; set by the forwarder."""

    def log_fields(self) -> Mapping[str, object]:
        """Return the data that the choice was based on, as fields of a log line."""
        ...

    def mark_response_started(self, latency_s: float) -> None:
        """Record that the head of the response has arrived."""
        ...

    def record_rate_limit(self, limit_per_s: float | None, served: bool) -> None:
        """Record what the target states about the rate that it takes.

        Parameters
        ----------
        limit_per_s : float or None
            Requests a second from the whole fleet; None if it states no limit.
        served : bool
            Whether the target served the request.
        """
        ...

    def record_leaving(self) -> None:
        """Record that the target states that it leaves."""
        ...

    def record_pause(self, duration_s: float) -> None:
        """Record that the target wants no request of this instance for some time."""
        ...

    def finish(self, outcome: Outcome) -> None:
        """Record the outcome of the attempt."""
        ...


class TargetSelector(Protocol):
    """Selects the target of each attempt."""

    def acquire(
        self, service_name: str, exclude: set[str], repeatable: bool = False
    ) -> Attempt | None:
        """Select a target for an attempt.

        Parameters
        ----------
        service_name : str
            Name of the service.
        exclude : set of str
            Names of targets that must not be selected.
        repeatable : bool, default=False
            Whether the request can be sent to another target if this one fails.

        Returns
        -------
        Attempt or None
            The attempt; None if no target can be selected.
        """
        ...


class RetryBudgetProtocol(Protocol):
    """Limits the retries of the requests of one service."""

    def record_request(self) -> None:
        """Count the first attempt of a request."""
        ...

    def try_acquire(self, kept: float = 0.0) -> bool:
        """Return whether a request may be retried now; count the retry if so.

        Parameters
        ----------
        kept : float, default=0.0
            Number of retries that are left to more urgent requests.
        """
        ...

    def log_fields(self) -> Mapping[str, object]:
        """Return the state of the budget, as fields of a log line."""
        ...
