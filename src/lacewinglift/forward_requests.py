"""A request to be sent to a target, and the exception that ends it."""

from collections.abc import Callable

from attrs import frozen

from lacewinglift.bodies import RequestBody
from lacewinglift.configuration import DEFAULT_MAX_ATTEMPTS
from lacewinglift.exchanges import Exchange
from lacewinglift.headers import Headers
from lacewinglift.retries import IDEMPOTENT_METHODS


class ExchangeCancelledError(Exception):
    """The exchange was cancelled; nothing more is sent to the caller."""


@frozen
class ForwardRequest:
    """A request to be sent to a target.

    Attributes
    ----------
    method : str
        HTTP method.
    request_target : str
        Path and query, as the caller sent them.
    headers : list of (str, str)
        Headers that may be sent to the target.
    body : RequestBody
        Body, read from the caller.
    exchange : Exchange
        Exchange of the request, through which it can be cancelled.
    """

    method: str
    request_target: str
    headers: Headers
    body: RequestBody
    exchange: Exchange
    deadline_covers_upload: bool = False
    """Whether the upload of a large body counts against the deadline."""
    idempotent: bool | None = None
    """Whether the route declares that the request may run more than once.

    If None, the method decides. Only True allows a retry after a server error or a
    truncated response; a response that is marked as not run allows it in any case.
    """
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    deadline_covers_body: bool = False
    """Whether the response must be complete, and not only begin, by the deadline."""
    free_refusals: int = 0
    """Number of `not_run` attempts that do not count towards `max_attempts`."""
    request_id: str | None = None
    """Request ID that the target echoes in its response."""
    logged_id: str = "-"
    """Request ID in log lines."""
    allowed_regions: frozenset[str] | None = None
    """Regions whose targets may get the request; None allows all."""
    route: str = ""
    """Host and prefix of the route."""
    priority: int = 0
    """Effective priority; 0 is the most urgent."""
    objective_s: float | None = None
    """Time from the arrival after which a response is worth less to the caller."""
    arrived_s: float = 0.0
    """Time at which the head arrived."""
    in_haste: Callable[[], bool] = lambda: False
    """Returns whether this instance stops, so that little time is left.

    The response is then passed on as it arrives, at the full speed of the link.
    """

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        if self.idempotent is None:
            return self.method in IDEMPOTENT_METHODS
        return self.idempotent
