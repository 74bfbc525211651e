"""The port for copies of the store that other daemons have."""

from __future__ import annotations

import typing

from dotterelpath.domain import exchange
from dotterelpath.domain import steering
from dotterelpath.domain import store_position
from dotterelpath.ports import store


class CopyHolder(typing.Protocol):
    """Has a copy of the store."""

    def changes_after(self, position: store_position.Position) -> store.Changes:
        """Returns the keys that have changed since a position.

        Args:
            position: The position.

        Returns:
            The keys with their newest values, up to the position of the copy.
        """


class StoreCopies(typing.Protocol):
    """Reads the copies of other daemons."""

    async def changes_after(
        self,
        daemon: steering.Daemon,
        position: store_position.Position,
        transfer: exchange.Transfer,
    ) -> store.Changes:
        """Reads the keys that have changed since a position.

        Args:
            daemon: The daemon that has the copy.
            position: The position.
            transfer: How the response may arrive.

        Raises:
            StoreError: The daemon did not respond, or not with changes.
        """
