"""The port for copies of the store that other daemons have."""

from __future__ import annotations

import typing

from dotterelpath.domain import exchange
from dotterelpath.domain import steering
from dotterelpath.ports import store


class CopyHolder(typing.Protocol):
    """Has a copy of the store."""

    def changes_after(self, revision: int) -> store.Changes:
        """Returns the keys that have changed since a revision.

        Args:
            revision: The revision.

        Returns:
            The keys with their newest values, up to the revision of the copy.
        """


class StoreCopies(typing.Protocol):
    """Reads the copies of other daemons."""

    async def changes_after(
        self,
        daemon: steering.Daemon,
        revision: int,
        transfer: exchange.Transfer,
    ) -> store.Changes:
        """Reads the keys that have changed since a revision.

        Args:
            daemon: The daemon that has the copy.
            revision: The revision.
            transfer: How the response may arrive.

        Raises:
            StoreError: The daemon did not respond, or not with changes.
        """
