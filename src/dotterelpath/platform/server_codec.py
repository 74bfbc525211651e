"""Requests to instances and their answers as the platform speaks them."""

from __future__ import annotations

import re

from dotterelpath.domain import exchange
from dotterelpath.platform import headers as platform_headers
from dotterelpath.ports import backend

WRONG_ADDRESS_STATUS = 421
_KEEP_ALIVE_S = re.compile(rb"timeout\s*=\s*(\d{1,6})")
_REPLACED = frozenset(
    {platform_headers.TIMEOUT_MS, platform_headers.TARGET_INSTANCE}
)


class ServerCodec:
    """Writes and reads for instances; see backend.ServerCodec."""

    __slots__ = ()

    @property
    def allows_close_delimited(self) -> bool:
        """Instances may end an answer with its connection."""
        return True

    def encode_headers(
        self,
        request: exchange.Request,
        address: str,
        instance_id: str,
        timeout_s: float,
    ) -> exchange.Headers:
        """Writes a request's headers; see backend.ServerCodec."""
        left_ms = max(1, int(timeout_s * 1000.0))
        fields = [item for item in request.headers if item[0] not in _REPLACED]
        fields.append((platform_headers.TIMEOUT_MS, str(left_ms).encode()))
        fields.append(
            (platform_headers.TARGET_INSTANCE, instance_id.encode("latin-1"))
        )
        return fields

    def is_response_to(
        self, request: exchange.Request, response: exchange.Response
    ) -> bool:
        """Compares the ids; see backend.ServerCodec."""
        answered = response.header(platform_headers.REQUEST_ID)
        if answered is None:
            # A failure may come from before the instance read the id.
            return response.status >= 400
        return answered.decode("latin-1") == request.request_id

    def keep_alive_s(self, response: exchange.Response) -> float | None:
        """Reads the time-out of idle connections; see backend.ServerCodec."""
        found = _KEEP_ALIVE_S.search(
            response.header(platform_headers.KEEP_ALIVE) or b""
        )
        return float(found.group(1)) if found else None


def read_signs(response: exchange.Response) -> backend.ResponseMetadata:
    """Reads what an instance's answer says besides its body.

    Args:
        response: The answer.

    Returns:
        The signs.
    """
    is_misrouted = response.status == WRONG_ADDRESS_STATUS
    signs = backend.ResponseMetadata(
        is_not_run=is_misrouted
        or response.header(platform_headers.NOT_EXECUTED) is not None,
        is_misrouted=is_misrouted,
        is_authentic=response.header(platform_headers.SIGNATURE) is not None,
    )
    load = (response.header(platform_headers.SERVER_LOAD) or b"").split(b",")
    if len(load) == 3 and all(part.strip().isdigit() for part in load):
        signs.running, signs.waiting, signs.slots = (int(p) for p in load)
    return signs
