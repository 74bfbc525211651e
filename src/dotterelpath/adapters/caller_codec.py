"""Encodes the fleet's own protocol for callers."""

from __future__ import annotations

import itertools

import orjson

from dotterelpath import errors
from dotterelpath.adapters import headers as header_names
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend

# Shared by all codecs of the process, which may have the same prefix of ids.
_request_numbers = itertools.count(1)


class CallerCodec:
    """Speaks the fleet's own protocol; see frontend.CallerCodec."""

    __slots__ = ("_id_prefix",)

    def __init__(self, id_prefix: str) -> None:
        """Creates a codec.

        Args:
            id_prefix: The prefix of the ids of this daemon's requests.
        """
        self._id_prefix = id_prefix

    def timeout_s(self, head: frontend.Head) -> float | None:
        """Returns the caller's timeout; see frontend.CallerCodec."""
        try:
            return header_names.parse_caller_headers(head.headers).timeout_s
        except errors.DotterelpathError:
            # Reported once the request is complete.
            return None

    def decode_request(
        self, head: frontend.Head, body: bytes
    ) -> exchange.Request:
        """Decodes a request; see frontend.CallerCodec."""
        parsed = header_names.parse_caller_headers(head.headers)
        if not head.target.startswith("/"):
            raise errors.DotterelpathError(
                errors.ResultCode.MALFORMED_REQUEST,
                "the request target does not start with /",
            )
        return exchange.Request(
            head.method,
            head.target,
            parsed.forwarded,
            body,
            workspace=parsed.workspace,
            key=parsed.key,
            attempt=parsed.attempt,
            timeout_s=parsed.timeout_s,
            request_id=f"{self._id_prefix}-{next(_request_numbers)}",
            received_s=head.received_s,
        )

    def encode_response(
        self, outcome: exchange.Outcome, request: exchange.Request | None
    ) -> frontend.EncodedResponse:
        """Encodes a response; see frontend.CallerCodec."""
        own_headers: exchange.Headers = [
            (header_names.RESULT, str(int(outcome.code)).encode())
        ]
        if request is not None:
            own_headers.append(
                (header_names.REQUEST_ID, request.request_id.encode())
            )
        response = outcome.response
        if response is not None and outcome.is_answered:
            fields = header_names.end_to_end(response.headers)
            return frontend.EncodedResponse(
                response.status, fields + own_headers, response.body
            )
        own_headers.append((b"content-type", b"application/json"))
        return frontend.EncodedResponse(
            outcome.code.http_status, own_headers, error_body(outcome)
        )


def error_body(outcome: exchange.Outcome) -> bytes:
    """Encodes an error that the fleet itself reports, as JSON.

    Args:
        outcome: The outcome of a request without a response.

    Returns:
        The result code, its class and a message.
    """
    return orjson.dumps(
        {
            "code": int(outcome.code),
            "class": outcome.code.outcome_class.value,
            "text": outcome.detail or outcome.code.text,
        }
    )
