"""Parsing of request heads, and filtering of headers that the proxy forwards."""

import re
import urllib.parse
from collections.abc import Iterable

from attrs import frozen

from lacewinglift.dialects import DEFAULT_DIALECT
from lacewinglift.errors import LacewingliftError

Headers = list[tuple[str, str]]

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
TRUSTED_PREFIX = "x-lacewinglift-"
TIMEOUT_HEADER = DEFAULT_DIALECT.timeout_header

_REQUEST_LINE = re.compile(
    rb"([!#$%&'*+.^`|~0-9A-Za-z_-]+) ([\x21-\x7e]+) HTTP/1\.([01])"
)
# RFC 9110 tokens without "_": some targets treat X_A and X-A as the same name, so
# a caller could otherwise forge a header that this proxy removes.
_NAME = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_HOST = re.compile(
    r"[A-Za-z0-9._~!$&'()*+,;=%-]+(:[0-9]*)?|\[[0-9A-Fa-f:.]+\](:[0-9]*)?"
)
_LENGTH = re.compile(r"[0-9]{1,18}")
_TIMEOUT_MS = re.compile(r"[0-9]{1,9}")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
# Encoded slash, backslash and control characters: a target that decodes the path
# before routing would see a different path from the one checked here.
_FORBIDDEN_ESCAPE = re.compile(r"%(2f|5c|[01][0-9a-f]|7f)", re.IGNORECASE)
_FORBIDDEN_IN_TARGET = re.compile(r"[#\\]")

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authentication-info",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_REMOVED_FOR_TARGET = HOP_BY_HOP | {
    "authorization",
    "content-length",
    "expect",
    TIMEOUT_HEADER,
}
_REMOVED_FOR_CALLER = HOP_BY_HOP | {"content-length"}


class BadRequestError(LacewingliftError):
    """A request violates HTTP/1.1 or the stricter rules of this proxy."""

    code = "bad_request"


@frozen
class RequestHead:
    """Request line and headers of one request."""

    method: str
    target: str
    http_1_1: bool
    headers: tuple[tuple[str, str], ...]
    content_length: int | None
    chunked: bool

    @property
    def path(self) -> str:
        """Return the request target without its query."""
        return self.target.split("?", 1)[0]

    @property
    def has_body(self) -> bool:
        """Return whether the request has a body."""
        return self.chunked or bool(self.content_length)

    @property
    def keep_alive(self) -> bool:
        """Return whether the caller wants to reuse the connection."""
        options = _list_values(self.headers, "connection")
        if "close" in options:
            return False
        return self.http_1_1 or "keep-alive" in options

    @property
    def expects_continue(self) -> bool:
        """Return whether the caller waits for `100 Continue`."""
        return self.http_1_1 and bool(self.values("expect"))

    def values(self, name: str) -> list[str]:
        """Return the values of all headers with this lower-case name."""
        return [value for key, value in self.headers if key.lower() == name]

    def bearer_key(self) -> str | None:
        """Return the key from the Authorization header, with or without `Bearer`."""
        values = self.values("authorization")
        if not values:
            return None
        scheme, _, key = values[0].strip().partition(" ")
        if not key:
            return scheme or None
        return key.strip() if scheme.lower() == "bearer" else None

    @property
    def host(self) -> str:
        """Return the requested host in lower case, without the port."""
        values = self.values("host")
        if not values:
            return ""
        return re.sub(r":[0-9]*$", "", values[0]).lower()

    def timeout_s(self, name: str = TIMEOUT_HEADER) -> float | None:
        """Return the timeout that the caller set for the request, in seconds."""
        values = self.values(name)
        if not values or not _TIMEOUT_MS.fullmatch(values[0]):
            return None
        return int(values[0]) / 1000

    def value(self, name: str) -> str | None:
        """Return the first value of a header with this lower-case name."""
        return next(iter(self.values(name)), None)


def parse_head(block: bytes) -> RequestHead:
    """Parse a request head.

    Parameters
    ----------
    block : bytes
        Request line and headers, including the empty line at the end.

    Returns
    -------
    RequestHead
        The parsed head; its framing is unambiguous.

    Raises
    ------
    BadRequestError
        If any part is invalid.
    """
    if len(block) > MAX_HEAD_BYTES:
        raise BadRequestError(f"the request head is over {MAX_HEAD_BYTES} bytes")
    if not block.endswith(b"\r\n\r\n"):
        raise BadRequestError("the request head is incomplete")
    request_line, *lines = block[:-4].split(b"\r\n")
    match = _REQUEST_LINE.fullmatch(request_line)
    if match is None:
        raise BadRequestError("the request line is not METHOD PATH HTTP/1.1")
    method, target = match[1].decode(), match[2].decode()
    http_1_1 = match[3] == b"1"
    if method in ("CONNECT", "TRACE"):
        raise BadRequestError(f"the method {method} is not supported")
    check_request_target(target)
    if len(lines) > MAX_HEADERS:
        raise BadRequestError(f"there are over {MAX_HEADERS} headers")
    headers = tuple(_parse_line(line) for line in lines)
    _check_singleton_headers(headers, http_1_1)
    length, chunked = _parse_framing(headers, http_1_1)
    return RequestHead(method, target, http_1_1, headers, length, chunked)


def _parse_line(line: bytes) -> tuple[str, str]:
    if line[:1] in (b" ", b"\t"):
        raise BadRequestError("folded header lines are not accepted")
    name, colon, value = line.partition(b":")
    if not colon or not _NAME.fullmatch(name):
        raise BadRequestError("a header name has a character that is not accepted")
    if not _VALUE.fullmatch(value):
        raise BadRequestError(f"the header {name.decode()} has a control character")
    return name.decode(), value.strip(b" \t").decode("latin-1")


def _check_singleton_headers(
    headers: Iterable[tuple[str, str]], http_1_1: bool
) -> None:
    names = [name.lower() for name, _ in headers]
    for name in ("host", "authorization", "expect", TIMEOUT_HEADER):
        if names.count(name) > 1:
            raise BadRequestError(f"the header {name} is repeated")
    values = {name.lower(): value for name, value in headers}
    if http_1_1 and "host" not in values:
        raise BadRequestError("the Host header is missing")
    if "host" in values and not _HOST.fullmatch(values["host"]):
        raise BadRequestError("the Host header is not a host name and port")
    if values.get("expect", "100-continue").lower() != "100-continue":
        raise BadRequestError("the only supported expectation is 100-continue")
    if not _TIMEOUT_MS.fullmatch(values.get(TIMEOUT_HEADER, "0")):
        raise BadRequestError(f"{TIMEOUT_HEADER} is not a number of milliseconds")


def _parse_framing(
    headers: Iterable[tuple[str, str]], http_1_1: bool
) -> tuple[int | None, bool]:
    lengths = [value for name, value in headers if name.lower() == "content-length"]
    codings = [value for name, value in headers if name.lower() == "transfer-encoding"]
    if lengths and codings:
        raise BadRequestError("Content-Length and Transfer-Encoding are both given")
    if len(lengths) > 1:
        raise BadRequestError("Content-Length is repeated")
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise BadRequestError("Content-Length is not a number")
    if not codings:
        return (int(lengths[0]) if lengths else None), False
    if not http_1_1:
        raise BadRequestError("Transfer-Encoding needs HTTP/1.1")
    if len(codings) > 1 or codings[0].lower() != "chunked":
        raise BadRequestError("the only supported transfer coding is chunked")
    return None, True


def check_request_target(target: str) -> None:
    """Reject request targets that other software may resolve to a different path."""
    if not target.startswith("/"):
        raise BadRequestError("the request target does not start with /")
    if _FORBIDDEN_IN_TARGET.search(target):
        raise BadRequestError("the request target has a # or a backslash")
    path = target.split("?", 1)[0]
    if _BAD_ESCAPE.search(path):
        raise BadRequestError("the path has a % without two hexadecimal digits")
    if _FORBIDDEN_ESCAPE.search(path):
        raise BadRequestError("the path has an encoded slash or control character")
    if "//" in path:
        raise BadRequestError("the path has an empty segment")
    for segment in path.split("/"):
        # Servlet containers remove ";..." before they resolve dot segments.
        name = urllib.parse.unquote(segment).split(";", 1)[0]
        if name in (".", "..") or (segment and not name):
            raise BadRequestError("the path has a dot segment or an empty one")


def routing_paths(path: str) -> list[str]:
    """Return the decoded paths that targets may see, for route selection.

    Parameters
    ----------
    path : str
        A path that `check_request_target` has accepted.

    Returns
    -------
    list of str
        The path, and the path without `;` parameters if it has any. The request
        is unambiguous only if all paths match the same route.
    """
    decoded = urllib.parse.unquote(path, errors="surrogateescape")
    # An encoded "?" is part of the path; Configuration.route_for would treat a
    # decoded one as the start of the query.
    decoded = decoded.replace("?", "%3F")
    if ";" not in decoded:
        return [decoded]
    plain = "/".join(part.split(";", 1)[0] for part in decoded.split("/"))
    return [decoded, plain]


def _list_values(headers: Iterable[tuple[str, str]], name: str) -> set[str]:
    return {
        token.strip().lower()
        for key, value in headers
        if key.lower() == name
        for token in value.split(",")
    }


def _filter_headers(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> Headers:
    headers = list(headers)
    # Host identifies the resource, so a Connection header cannot remove it.
    dropped = dropped | (_list_values(headers, "connection") - {"host"})
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and not name.lower().startswith(TRUSTED_PREFIX)
    ]


def headers_to_target(
    headers: Iterable[tuple[str, str]], reserved: frozenset[str] = frozenset()
) -> Headers:
    """Return the caller's headers that are forwarded to a target, in order.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers of the caller.
    reserved : frozenset of str
        Lower-case names that only this proxy may send to a target.
    """
    return _filter_headers(headers, _REMOVED_FOR_TARGET | reserved)


def headers_to_caller(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the target's headers that are forwarded to a caller, in order."""
    return _filter_headers(headers, _REMOVED_FOR_CALLER)
