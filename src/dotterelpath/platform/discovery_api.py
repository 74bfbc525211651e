"""Serves the platform's readiness checks and callers' address lookups."""

from __future__ import annotations

import typing
import urllib.parse

from dotterelpath import errors
from dotterelpath.adapters import api
from dotterelpath.domain import exchange
from dotterelpath.ports import addressing

READY_PATH = "/v1/ready"
RESOLVE_PATH = "/v1/resolve"


class DiscoveryApi:
    """Handles readiness checks and address lookups."""

    __slots__ = ("_resolver",)

    def __init__(self, resolver: addressing.AddressResolver) -> None:
        """Creates the handlers.

        Args:
            resolver: Resolves hosts and knows whether this daemon is ready.
        """
        self._resolver = resolver

    @property
    def ready_handlers(self) -> dict[tuple[str, str], api.Handler]:
        """The handlers of the platform's readiness checks."""
        return {("GET", READY_PATH): self._on_ready}

    @property
    def resolve_handlers(self) -> dict[tuple[str, str], api.Handler]:
        """The handlers of callers' address lookups."""
        return {("GET", RESOLVE_PATH): self._on_resolve}

    async def _on_ready(self, request: exchange.Request) -> exchange.Response:
        if not self._resolver.is_ready:
            raise errors.DotterelpathError(errors.ResultCode.NO_DOCUMENT)
        return api.json_response({})

    async def _on_resolve(self, request: exchange.Request) -> exchange.Response:
        query = urllib.parse.parse_qs(request.target.partition("?")[2])
        resolution = self._resolver.resolve(
            _first_value(query, "name").lower(),
            # The platform calls a data centre a zone.
            _first_value(query, "zone"),
            _first_value(query, "region"),
        )
        if not resolution.endpoints:
            raise errors.DotterelpathError(errors.ResultCode.NO_BACKEND)
        return api.json_response(
            {
                "addresses": [
                    str(endpoint) for endpoint in resolution.endpoints
                ],
                "ttl_s": resolution.ttl_s,
            }
        )


def _first_value(query: dict[str, list[str]], name: str) -> str:
    values: typing.Sequence[str] = query.get(name, [])
    return values[0] if values else ""
