"""Encodes headers towards servers of the fleet's own interface."""

from __future__ import annotations

from dotterelpath.adapters import headers as header_names
from dotterelpath.domain import exchange


class NativeServerCodec:
    """Uses the fleet's own headers; see backend.ServerCodec."""

    __slots__ = ()

    @property
    def allows_close_delimited(self) -> bool:
        """False: a truncated response would look like a complete one."""
        return False

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
        """Encodes the headers of a request; see backend.ServerCodec."""
        timeout_ms = max(1, int(timeout_s * 1000.0))
        fields = [item for item in request.headers if item[0] != b"host"]
        fields.append((b"host", address.encode()))
        fields.append((header_names.TIMEOUT_MS, str(timeout_ms).encode()))
        fields.append((header_names.REQUEST_ID, request.request_id.encode()))
        return fields

    def named_request_id(self, response: exchange.Response) -> str | None:
        """Reads the request id; see backend.ServerCodec."""
        value = response.header(header_names.REQUEST_ID)
        return None if value is None else value.decode("latin-1")

    def must_name_request(self, response: exchange.Response) -> bool:
        """Always False: a server that omits the id gets new connections.

        See backend.ServerCodec.
        """
        return False

    def keep_alive_s(self, response: exchange.Response) -> float | None:
        """Always None: no header states the timeout."""
        return None


class TrustedServerCodec(NativeServerCodec):
    """For servers that respond once to each request, such as other daemons."""

    __slots__ = ()

    @property
    def may_repeat_responses(self) -> bool:
        """False; see backend.ServerCodec."""
        return False
