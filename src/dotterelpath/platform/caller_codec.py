"""Encodes the platform's protocol for callers."""

from __future__ import annotations

from dotterelpath import errors
from dotterelpath.adapters import caller_codec
from dotterelpath.adapters import headers as header_names
from dotterelpath.domain import exchange
from dotterelpath.platform import headers as platform_headers
from dotterelpath.ports import frontend

# Longer timeouts of callers are reduced to this.
MAX_TIMEOUT_MS = 3_600_000
# The longest value of the header that carries the caller's key, in bytes.
MAX_AUTHORIZATION_BYTES = 1024

# Statuses that, besides 503, tell callers that the request was not run.
_NOT_RUN_STATUSES = frozenset({400, 401, 404, 405, 408, 413, 429, 431})
_DROPPED_HEADERS = frozenset({b"content-length", b"expect"})
_END_TO_END_HEADERS = frozenset(
    {
        platform_headers.NOT_EXECUTED,
        platform_headers.REQUEST_ID,
        platform_headers.SERVER_LEAVING,
        platform_headers.SERVER_LIMIT,
        platform_headers.SERVER_LOAD,
        platform_headers.SIGNATURE,
        platform_headers.TIMEOUT_MS,
    }
)


class CallerCodec:
    """Speaks the platform's protocol; see frontend.CallerCodec."""

    __slots__ = ()

    def timeout_s(self, head: frontend.Head) -> float | None:
        """Returns the caller's timeout; see frontend.CallerCodec."""
        try:
            return _parse_timeout_s(head.headers)
        except errors.DotterelpathError:
            # Reported once the request is complete.
            return None

    def decode_request(
        self, head: frontend.Head, body: bytes
    ) -> exchange.Request:
        """Decodes a request; see frontend.CallerCodec."""
        if not head.target.startswith("/"):
            raise errors.DotterelpathError(
                errors.ResultCode.MALFORMED_REQUEST,
                "the request target does not start with /",
            )
        request_id = _single_value(head.headers, platform_headers.REQUEST_ID)
        if not request_id:
            raise errors.DotterelpathError(
                errors.ResultCode.BAD_HEADER, "the header request-id is missing"
            )
        host = _single_value(head.headers, b"host") or ""
        forwarded = header_names.without_hop_by_hop(
            head.headers, _DROPPED_HEADERS, _END_TO_END_HEADERS
        )
        return exchange.Request(
            head.method,
            head.target,
            forwarded,
            body,
            timeout_s=_parse_timeout_s(head.headers),
            request_id=request_id,
            host=host.partition(":")[0].lower(),
            received_s=head.received_s,
            credential=_decode_credential(head.headers),
        )

    def encode_response(
        self, outcome: exchange.Outcome, request: exchange.Request | None
    ) -> frontend.EncodedResponse:
        """Encodes a response; see frontend.CallerCodec."""
        response = outcome.response
        result_header = (header_names.RESULT, str(int(outcome.code)).encode())
        if response is not None and outcome.is_answered:
            forwarded = header_names.without_hop_by_hop(
                response.headers, _DROPPED_HEADERS, _END_TO_END_HEADERS
            )
            return frontend.EncodedResponse(
                response.status, [*forwarded, result_header], response.body
            )
        headers = [result_header, (b"content-type", b"application/json")]
        if request is not None:
            headers.append(
                (
                    platform_headers.REQUEST_ID,
                    request.request_id.encode("latin-1"),
                )
            )
        if outcome.code is errors.ResultCode.UNAUTHENTICATED:
            headers.append(
                (platform_headers.WWW_AUTHENTICATE, platform_headers.KEY_SCHEME)
            )
        if outcome.retry_after_s is not None:
            # The platform's callers accept fractions of a second.
            retry_after = f"{outcome.retry_after_s:.2f}".encode()
            headers.append((b"retry-after", retry_after))
        return frontend.EncodedResponse(
            _http_status(outcome.code),
            headers,
            caller_codec.error_body(outcome),
        )


def _http_status(code: errors.ResultCode) -> int:
    """Returns a status that promises callers no more than the code does.

    A status that tells callers that the request was not run is returned only
    for a code that guarantees it.
    """
    if code.outcome_class is errors.OutcomeClass.NOT_RUN:
        status = code.http_status
        return status if status in _NOT_RUN_STATUSES else 503
    return 504 if code is errors.ResultCode.BACKEND_TIMEOUT else 502


def _single_value(headers: exchange.Headers, name: bytes) -> str | None:
    values = [value for key, value in headers if key == name]
    if len(values) > 1:
        raise errors.DotterelpathError(
            errors.ResultCode.BAD_HEADER,
            f"the header {name.decode()} is repeated",
        )
    return values[0].decode("latin-1") if values else None


def _decode_credential(headers: exchange.Headers) -> str | None:
    """Decodes the caller's key.

    An unusable header is no error here, since it only concerns configurations
    with tenants; others forward it.

    Returns:
        The key, or None if there is none or the header is repeated, of another
        scheme or too long. Bytes that are not UTF-8 are escaped.
    """
    values = [
        value
        for name, value in headers
        if name == platform_headers.AUTHORIZATION
    ]
    if len(values) != 1 or len(values[0]) > MAX_AUTHORIZATION_BYTES:
        return None
    scheme, _, key = values[0].partition(b" ")
    key = key.strip(b" ")
    if scheme.lower() != platform_headers.KEY_SCHEME or not key:
        return None
    return key.decode("utf-8", "surrogateescape")


def _parse_timeout_s(headers: exchange.Headers) -> float | None:
    """Parses the time left until the caller's deadline, in seconds."""
    text = _single_value(headers, platform_headers.TIMEOUT_MS)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        raise errors.DotterelpathError(
            errors.ResultCode.BAD_HEADER,
            "the header deadline-ms is not an integer of at most 9 digits",
        )
    return min(int(text), MAX_TIMEOUT_MS) / 1000.0
