"""Reads the fleet's own headers and removes hop-by-hop headers."""

from __future__ import annotations

from dotterelpath import errors
from dotterelpath.domain import exchange

IDEMPOTENCY_KEY = b"idempotency-key"
TIMEOUT_MS = b"dotterelpath-timeout-ms"
WORKSPACE = b"dotterelpath-workspace"
# The number of the caller's attempt with the same idempotency key, from 1.
ATTEMPT = b"dotterelpath-attempt"
# The numbered result code of a response.
RESULT = b"dotterelpath-result"
REQUEST_ID = b"dotterelpath-request-id"
# An instance's own load, and whether it drains, in its responses.
LOAD = b"dotterelpath-load"
DRAINING = b"dotterelpath-draining"

# The limits of the values in callers' headers.
MAX_TIMEOUT_MS = 3_600_000
MAX_ATTEMPT = 1_000_000
MAX_WORKSPACE_LENGTH = 100

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Headers for the other end, which an option of a connection cannot name.
_END_TO_END = frozenset(
    {
        b"content-encoding",
        b"content-type",
        b"date",
        b"host",
        b"retry-after",
        IDEMPOTENCY_KEY,
        WORKSPACE,
    }
)
_DROPPED_FROM_REQUESTS = _HOP_BY_HOP | {
    b"content-length",
    b"expect",
    TIMEOUT_MS,
    ATTEMPT,
    REQUEST_ID,
}
_DROPPED_FROM_RESPONSES = _HOP_BY_HOP | {b"content-length", RESULT, REQUEST_ID}


class CallerHeaders:
    """The values of the fleet's own headers in a caller's request."""

    __slots__ = ("attempt", "forwarded", "key", "timeout_s", "workspace")

    def __init__(self) -> None:
        """Creates the defaults for a request without these headers."""
        self.attempt = 1
        self.forwarded: exchange.Headers = []
        self.key: str | None = None
        self.timeout_s: float | None = None
        self.workspace = ""


def parse_caller_headers(headers: exchange.Headers) -> CallerHeaders:
    """Parses the headers of a caller's request.

    Args:
        headers: All headers, with names in lower case.

    Returns:
        The values of the fleet's own headers, and the headers to forward to
        the backend server.

    Raises:
        DotterelpathError: One of the fleet's headers is invalid or repeated.
    """
    parsed = CallerHeaders()
    dropped = _with_connection_options(_DROPPED_FROM_REQUESTS, headers)
    seen: set[bytes] = set()
    for name, value in headers:
        if name not in dropped:
            parsed.forwarded.append((name, value))
        if name == IDEMPOTENCY_KEY or name.startswith(b"dotterelpath-"):
            if name in seen:
                raise _header_error(name, "is given more than once")
            seen.add(name)
            _apply_header(parsed, name, value)
    return parsed


def end_to_end(headers: exchange.Headers) -> exchange.Headers:
    """Removes the headers of a response that are not for the caller.

    Args:
        headers: The headers of a backend server's response.

    Returns:
        The headers to forward to the caller.
    """
    dropped = _with_connection_options(_DROPPED_FROM_RESPONSES, headers)
    return [item for item in headers if item[0] not in dropped]


def without_hop_by_hop(
    headers: exchange.Headers,
    extra: frozenset[bytes] = frozenset(),
    end_to_end: frozenset[bytes] = frozenset(),
) -> exchange.Headers:
    """Removes the headers that apply to a single connection only.

    Args:
        headers: All headers, with names in lower case.
        extra: Names of additional headers to remove.
        end_to_end: Names of additional headers that stay although the header
            Connection lists them.

    Returns:
        The other headers.
    """
    dropped = _with_connection_options(
        _HOP_BY_HOP | extra, headers, _END_TO_END | end_to_end
    )
    return [item for item in headers if item[0] not in dropped]


def _with_connection_options(
    dropped: frozenset[bytes],
    headers: exchange.Headers,
    end_to_end: frozenset[bytes] = _END_TO_END,
) -> frozenset[bytes]:
    """Adds the names that the header Connection lists, but those end to end."""
    named = [value for name, value in headers if name == b"connection"]
    if not named:
        return dropped
    tokens = b",".join(named).lower().split(b",")
    return dropped | ({token.strip() for token in tokens} - end_to_end)


def _apply_header(parsed: CallerHeaders, name: bytes, value: bytes) -> None:
    if name == IDEMPOTENCY_KEY:
        parsed.key = value.decode("latin-1")
    elif name == TIMEOUT_MS:
        parsed.timeout_s = _parse_integer(name, value, MAX_TIMEOUT_MS) / 1000.0
    elif name == ATTEMPT:
        parsed.attempt = _parse_integer(name, value, MAX_ATTEMPT)
    elif name == WORKSPACE:
        if len(value) > MAX_WORKSPACE_LENGTH or not value.isascii():
            raise _header_error(
                name,
                f"must have at most {MAX_WORKSPACE_LENGTH} ASCII characters",
            )
        parsed.workspace = value.decode("ascii")


def _parse_integer(name: bytes, value: bytes, maximum: int) -> int:
    if value.isdigit() and len(value) < 12 and 1 <= int(value) <= maximum:
        return int(value)
    raise _header_error(name, f"must be an integer from 1 to {maximum}")


def _header_error(name: bytes, rule: str) -> errors.DotterelpathError:
    return errors.DotterelpathError(
        errors.ResultCode.BAD_HEADER, f"{name.decode('ascii')} {rule}"
    )


def has_body(headers: exchange.Headers) -> bool:
    """Tells whether a request announces a body.

    Args:
        headers: The headers of the request.
    """
    return any(
        name in (b"content-length", b"transfer-encoding") for name, _ in headers
    )


def content_length(headers: exchange.Headers) -> int:
    """Returns the announced size of a body, in bytes; 0 if there is none.

    Args:
        headers: The headers, whose content length was checked by the parser.
    """
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return 0
