"""Small HTTP servers beside the caller side: directory, readiness, metrics."""

import threading
import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus

from attrs import frozen
from cheroot.wsgi import Server

from lacewinglift.logs import log_exception
from lacewinglift.socket_addresses import split_address

WORKER_THREADS = 2
LISTEN_BACKLOG = 512


@frozen
class EndpointResponse:
    """Answer of an endpoint."""

    status: HTTPStatus
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


Query = Mapping[str, str]
Endpoint = Callable[[Query], EndpointResponse]


class EndpointServer:
    """Serves functions under paths of one address.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    endpoints : mapping of str to callable
        Function that answers GET, by path.
    """

    def __init__(self, address: str, endpoints: Mapping[str, Endpoint]) -> None:
        self.endpoints = dict(endpoints)
        self.server = Server(
            split_address(address),
            self._handle_wsgi_request,
            numthreads=WORKER_THREADS,
            request_queue_size=LISTEN_BACKLOG,
        )
        self.thread: threading.Thread | None = None

    def start(self) -> None:
        """Listen; raises OSError for an address in use."""
        self.server.prepare()
        self.thread = threading.Thread(
            target=self.server.serve, name="endpoints", daemon=True
        )
        self.thread.start()

    def stop(self) -> None:
        """Close the address."""
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
