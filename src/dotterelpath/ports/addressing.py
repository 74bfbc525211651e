"""The port that resolves a host to the daemons that serve it."""

from __future__ import annotations

import typing

from dotterelpath.domain import deployment


class Resolution:
    """The daemons that a caller should connect to."""

    __slots__ = ("endpoints", "ttl_s")

    def __init__(
        self, endpoints: list[deployment.Endpoint], ttl_s: float
    ) -> None:
        """Creates a resolution.

        Args:
            endpoints: The daemons' addresses.
            ttl_s: How long the caller may cache them, in seconds.
        """
        self.endpoints = endpoints
        self.ttl_s = ttl_s


class AddressResolver(typing.Protocol):
    """Resolves hosts to daemons."""

    @property
    def is_ready(self) -> bool:
        """Whether this daemon serves callers."""

    def resolve(self, host: str, data_centre: str, region: str) -> Resolution:
        """Resolves a host for a caller.

        Args:
            host: The host to resolve.
            data_centre: The caller's data centre.
            region: The region of the caller's data centre.

        Returns:
            The daemons; empty if none serves callers.
        """
