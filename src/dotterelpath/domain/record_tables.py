"""Finds the record table of a keyed request, here or at another daemon."""

from __future__ import annotations

import hashlib

from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import records


class RecordLocation:
    """The record table or the home that decides on a keyed request."""

    __slots__ = ("epoch", "home", "may_start", "needs_claim", "record_table")

    def __init__(
        self,
        record_table: records.RecordTable | None,
        epoch: int,
        home: keys.Home | None,
        needs_claim: bool = False,
        may_start: bool = True,
    ) -> None:
        """Creates a location.

        Args:
            record_table: The record table; None if another daemon has it.
            epoch: The key's epoch; records.OPAQUE_EPOCH if unknown.
            home: The key's home; None if the key is not claimed yet.
            needs_claim: Whether the key must first be claimed in the store.
            may_start: Whether a key without a record may run.
        """
        self.may_start = may_start
        self.record_table = record_table
        self.epoch = epoch
        self.home = home
        self.needs_claim = needs_claim


class RecordTables:
    """This daemon's own record table and those of the homes it adopted."""

    __slots__ = ("_adopted", "_own")

    def __init__(self, own: records.RecordTable) -> None:
        """Creates the record tables of a daemon without adopted homes.

        Args:
            own: The daemon's own record table.
        """
        self._own = own
        self._adopted: dict[keys.Home, records.RecordTable] = {}

    @property
    def own(self) -> records.RecordTable:
        """This daemon's own record table."""
        return self._own

    @property
    def all(self) -> list[records.RecordTable]:
        """The own record table and the adopted ones."""
        return [self._own, *self._adopted.values()]

    @property
    def adopted(self) -> tuple[keys.Home, ...]:
        """The stopped homes whose records this daemon has taken over."""
        return tuple(self._adopted)

    def adopt(self, record_table: records.RecordTable) -> None:
        """Takes over the records of a home that stopped.

        Args:
            record_table: The home's records. A second copy is ignored, since
                keys may have run here since the first.
        """
        self._adopted.setdefault(record_table.home, record_table)

    def expire(self, now_s: float) -> None:
        """Drops old records, and adopted tables whose keys are all too old.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        for record_table in self.all:
            record_table.expire(now_s)
        for home, record_table in list(self._adopted.items()):
            age_s = now_s - record_table.adopted_at_s
            window_s = records.RETENTION_EPOCHS * keys.EPOCH_S
            if age_s > window_s and not record_table.records:
                del self._adopted[home]

    def locate(
        self, key: str, claimed_home: keys.Home | None
    ) -> RecordLocation:
        """Finds the record table of a key.

        Args:
            key: The key.
            claimed_home: The home that has claimed the key in the store, as
                reported by a peer; None if unknown.

        Returns:
            The record table, or the home to ask, or that the key must be
            claimed first.

        Raises:
            DotterelpathError: The key is malformed.
        """
        issued = keys.parse(key)
        if issued is not None:
            return self._location_at(issued.home, issued.epoch)
        if claimed_home is not None:
            # The home that claimed the key also recorded it. If that home has
            # no record now, the key has expired and must not start again.
            return self._location_at(claimed_home, records.OPAQUE_EPOCH, False)
        return RecordLocation(self._own, records.OPAQUE_EPOCH, None, True)

    def _location_at(
        self, home: keys.Home, epoch: int, may_start: bool = True
    ) -> RecordLocation:
        record_table = self._adopted.get(home)
        if home == self._own.home:
            record_table = self._own
        return RecordLocation(record_table, epoch, home, may_start=may_start)


def scoped_key(request: exchange.Request) -> str:
    """Combines a key with its workspace.

    Two workspaces may use the same key.

    Args:
        request: A request with a key.

    Returns:
        The workspace and the key, separated by a NUL character.
    """
    return f"{request.workspace}\x00{request.key}"


def fingerprint(request: exchange.Request) -> str:
    """Computes a digest that must be equal in all attempts with one key.

    Args:
        request: The request.

    Returns:
        SHA-256 of method, target and body, in hexadecimal.
    """
    digest = hashlib.sha256()
    digest.update(f"{request.method} {request.target}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()
