"""Header names and HTTP conventions that differ between deployments."""

from attrs import frozen

DEFAULT_ID_HEADER = "x-request-id"


@frozen
class Dialect:
    """Header names and conventions of a deployment; defaults are the product's.

    Attributes
    ----------
    timeout_header : str
        Lower-case name of the header with the caller's timeout in milliseconds.
    deadline_header : str
        Name of the header that gives a target the remaining milliseconds.
    workspace_header : str
        Name of the header that gives a target the workspace.
    not_run_header : str
        Lower-case name of the header with which a target states that it did not run
        a request.
    request_id_header : str or None
        Lower-case name of the header that a target echoes; a response with another
        value belongs to another request.
    expected_target_header : str or None
        Name of the header with the chosen target; other targets refuse the request.
    rate_limit_header : str or None
        Lower-case name of the header with which a target states the requests a second
        that it takes from the whole fleet, until a response comes without it.
    leaving_header : str or None
        Lower-case name of the header with which a target states that it leaves.
    serves_builtin_paths : bool
        Whether address lists and metrics are served in addition to the routes.
    not_run_status : int or None
        Status of refusals of requests that did not run, instead of 502 and 504, for
        callers that may repeat a request only after this status.
    fractional_retry_after : bool
        Whether callers accept fractions of a second in ``Retry-After``.
    """

    timeout_header: str = "x-request-timeout-ms"
    deadline_header: str = "X-Lacewinglift-Deadline-Ms"
    workspace_header: str = "X-Lacewinglift-Workspace"
    not_run_header: str = "x-lacewinglift-not-run"
    request_id_header: str | None = None
    expected_target_header: str | None = None
    rate_limit_header: str | None = None
    leaving_header: str | None = None
    serves_builtin_paths: bool = True
    not_run_status: int | None = None
    fractional_retry_after: bool = False

    def logged_id_header(self) -> str:
        """Return the lower-case name of the header with the request ID for logs."""
        return self.request_id_header or DEFAULT_ID_HEADER

    def reserved_headers(self) -> frozenset[str]:
        """Return the lower-case header names that are not forwarded from callers."""
        names = [self.timeout_header, self.deadline_header, self.workspace_header]
        if self.expected_target_header is not None:
            names.append(self.expected_target_header)
        return frozenset(name.lower() for name in names)


DEFAULT_DIALECT = Dialect()
