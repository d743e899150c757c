"""Names under which a deployment's callers and targets speak of a request."""

from attrs import frozen

DEFAULT_ID_HEADER = "x-request-id"


@frozen
class Dialect:
    """Header names and habits of one deployment; the defaults are the product's own.

    Attributes
    ----------
    timeout_header : str
        Lower-case name of the caller's header with the time it will wait, in
        milliseconds.
    deadline_header : str
        Name of the header that tells a target how many milliseconds are left.
    workspace_header : str
        Name of the header that tells a target the workspace.
    not_run_header : str
        Lower-case name of the header by which a target says that it did not run a
        request.
    request_id_header : str or None
        Lower-case name of the header that a target echoes; an answer with another
        value belongs to another request.
    expected_target_header : str or None
        Name of the header that makes any target but the named one refuse.
    serves_builtin_paths : bool
        Whether address answers and metrics are served beside the routes.
    not_run_status : int or None
        Status of refusals of requests that did not run, in place of 502 and 504,
        where callers may repeat a request only after such a status.
    fractional_retry_after : bool
        Whether callers read fractions of a second in ``Retry-After``.
    """

    timeout_header: str = "x-request-timeout-ms"
    deadline_header: str = "X-Lacewinglift-Deadline-Ms"
    workspace_header: str = "X-Lacewinglift-Workspace"
    not_run_header: str = "x-lacewinglift-not-run"
    request_id_header: str | None = None
    expected_target_header: str | None = None
    serves_builtin_paths: bool = True
    not_run_status: int | None = None
    fractional_retry_after: bool = False

    def logged_id_header(self) -> str:
        """Return the lower-case name of the header by which logs name a request."""
        return self.request_id_header or DEFAULT_ID_HEADER

    def reserved_headers(self) -> frozenset[str]:
        """Return the lower-case names that a caller cannot pass to a target."""
        names = [self.timeout_header, self.deadline_header, self.workspace_header]
        if self.expected_target_header is not None:
            names.append(self.expected_target_header)
        return frozenset(name.lower() for name in names)


DEFAULT_DIALECT = Dialect()
