"""HTTP servers for endpoints beside the proxy: directory, readiness and metrics."""

import threading
import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus

from attrs import frozen
from cheroot.wsgi import Server

from lacewinglift.logs import log_exception
from lacewinglift.socket_addresses import split_address
from lacewinglift.worker_pool import WorkerPool

WORKER_THREADS = 2
LISTEN_BACKLOG = 512


@frozen
class EndpointResponse:
    """HTTP response of an endpoint."""

    status: HTTPStatus
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


Query = Mapping[str, str]
Endpoint = Callable[[Query], EndpointResponse]


class _EndpointHTTPServer(Server):
    def _serve_unservicable(self) -> None:
        """End at once; no connection is rejected because of a full queue."""


class EndpointServer:
    """Serves endpoint functions by path on one address.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    endpoints : mapping of str to callable
        Function that handles GET requests, by path.
    """

    def __init__(self, address: str, endpoints: Mapping[str, Endpoint]) -> None:
        self.endpoints = dict(endpoints)
        self.server = _EndpointHTTPServer(
            split_address(address),
            self._handle_wsgi_request,
            request_queue_size=LISTEN_BACKLOG,
        )
        self.server.requests = WorkerPool(self.server, WORKER_THREADS, "endpoints")
        self.thread: threading.Thread | None = None

    def start(self) -> None:
        """Bind the address and start serving; raises OSError if it is in use."""
        self.server.prepare()
        self.thread = threading.Thread(
            target=self.server.serve, name="endpoints", daemon=True
        )
        self.thread.start()

    def stop(self) -> None:
        """Stop serving and close the address."""
        self.server.stop()

    def _handle_wsgi_request(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        response = self._dispatch(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(f"{response.status.value} {response.status.phrase}", headers)
        return [response.body]

    def _dispatch(self, environ: dict) -> EndpointResponse:
        endpoint = self.endpoints.get(environ["PATH_INFO"])
        if endpoint is None:
            return EndpointResponse(HTTPStatus.NOT_FOUND)
        if environ["REQUEST_METHOD"] != "GET":
            return EndpointResponse(HTTPStatus.METHOD_NOT_ALLOWED)
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        try:
            return endpoint(query)
        except Exception:
            log_exception("endpoint_failed", path=environ["PATH_INFO"])
            return EndpointResponse(HTTPStatus.INTERNAL_SERVER_ERROR)
