"""Encodes the platform's protocol for instances."""

from __future__ import annotations

import re

from dotterelpath.domain import exchange
from dotterelpath.platform import headers as platform_headers
from dotterelpath.ports import backend

MISDIRECTED_REQUEST_STATUS = 421
MIN_ERROR_STATUS = 400
# Statuses that promise callers that the request has not run and never will.
# An instance that keeps this promise says so in a header.
REFUSAL_STATUSES = frozenset({408, 429, 503})
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d{1,6})")
# Three integers with commas between them.
_LOAD = re.compile(rb"\s*(\d{1,9})\s*,\s*(\d{1,9})\s*,\s*(\d{1,9})\s*")
# A decimal number without sign and exponent.
_RATE = re.compile(rb"\d{1,9}(\.\d{0,9})?|\.\d{1,9}")
_REPLACED_HEADERS = frozenset(
    {platform_headers.TIMEOUT_MS, platform_headers.TARGET_INSTANCE}
)

# Replaced if the configuration has tenants: instances get no key of a caller,
# and no name of a tenant that a caller made up.
_REPLACED_WITH_TENANTS = _REPLACED_HEADERS | {
    platform_headers.AUTHORIZATION,
    platform_headers.TENANT_ID,
}


class ServerCodec:
    """Speaks the platform's protocol; see backend.ServerCodec."""

    __slots__ = ()

    @property
    def allows_close_delimited(self) -> bool:
        """Instances may end a response by closing the connection."""
        return True

    @property
    def may_repeat_responses(self) -> bool:
        """True; see backend.ServerCodec."""
        return True

    def encode_headers(
        self,
        request: exchange.Request,
        address: str,
        instance_id: str,
        timeout_s: float,
    ) -> exchange.Headers:
        """Encodes a request's headers; see backend.ServerCodec."""
        timeout_ms = max(1, int(timeout_s * 1000.0))
        identity = request.identity
        replaced = (
            _REPLACED_HEADERS if identity is None else _REPLACED_WITH_TENANTS
        )
        headers = [
            header for header in request.headers if header[0] not in replaced
        ]
        if identity is not None and identity.tenant_name is not None:
            headers.append(
                (platform_headers.TENANT_ID, identity.tenant_name.encode())
            )
        headers.append((platform_headers.TIMEOUT_MS, str(timeout_ms).encode()))
        headers.append(
            (platform_headers.TARGET_INSTANCE, instance_id.encode("latin-1"))
        )
        return headers

    def named_request_id(self, response: exchange.Response) -> str | None:
        """Reads the request id; see backend.ServerCodec."""
        value = response.header(platform_headers.REQUEST_ID)
        return None if value is None else value.decode("latin-1")

    def must_name_request(self, response: exchange.Response) -> bool:
        """Only an instance that fails before it reads the id omits it.

        See backend.ServerCodec.
        """
        return response.status < MIN_ERROR_STATUS

    def keep_alive_s(self, response: exchange.Response) -> float | None:
        """Reads the idle timeout; see backend.ServerCodec."""
        match = _KEEP_ALIVE_TIMEOUT.search(
            response.header(platform_headers.KEEP_ALIVE) or b""
        )
        return float(match.group(1)) if match else None


def decode_metadata(response: exchange.Response) -> backend.ResponseMetadata:
    """Decodes the metadata of an instance's response.

    Args:
        response: The response; only its head is read.

    Returns:
        The metadata; without a load if the header is missing or invalid. Of
        several limits the lowest valid one holds.
    """
    is_misrouted = response.status == MISDIRECTED_REQUEST_STATUS
    is_not_run = (
        is_misrouted
        or response.header(platform_headers.NOT_EXECUTED) is not None
    )
    metadata = backend.ResponseMetadata(
        is_not_run=is_not_run,
        is_unproven_refusal=response.status in REFUSAL_STATUSES
        and not is_not_run,
        is_misrouted=is_misrouted,
        is_authentic=response.header(platform_headers.SIGNATURE) is not None,
        is_leaving=response.header(platform_headers.SERVER_LEAVING) == b"1",
    )
    load = _LOAD.fullmatch(response.header(platform_headers.SERVER_LOAD) or b"")
    if load is not None:
        metadata.running, metadata.waiting, metadata.slots = (
            int(field) for field in load.groups()
        )
    rates = [
        value.strip()
        for name, field in response.headers
        if name == platform_headers.SERVER_LIMIT
        for value in field.split(b",")
    ]
    metadata.states_request_limit = bool(rates)
    metadata.request_limit_per_s = min(
        (float(rate) for rate in rates if _RATE.fullmatch(rate)), default=None
    )
    return metadata
