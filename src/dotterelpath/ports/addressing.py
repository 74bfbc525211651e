"""The port for questions on which daemons callers should use."""

from __future__ import annotations

import typing

from dotterelpath.domain import deployment


class Resolution:
    """The daemons that a caller should use."""

    __slots__ = ("endpoints", "ttl_s")

    def __init__(
        self, endpoints: list[deployment.Endpoint], ttl_s: float
    ) -> None:
        """Creates an answer.

        Args:
            endpoints: Where to connect.
            ttl_s: How long to keep the answer, in seconds.
        """
        self.endpoints = endpoints
        self.ttl_s = ttl_s


class AddressResolver(typing.Protocol):
    """Knows which daemons take callers' requests."""

    @property
    def is_ready(self) -> bool:
        """Whether this daemon takes callers' requests."""

    def resolve(self, host: str, data_centre: str, region: str) -> Resolution:
        """Finds the daemons for a caller.

        Args:
            host: The host that the caller asks for.
            data_centre: Where the caller is.
            region: The region of its data centre.

        Returns:
            The daemons; none where none is known.
        """
