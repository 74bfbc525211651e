"""Finds the book that a keyed request belongs to, here or elsewhere."""

from __future__ import annotations

import hashlib

from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import records


class RecordLocation:
    """Where a keyed request is decided."""

    __slots__ = ("record_table", "epoch", "home", "may_start", "needs_claim")

    def __init__(
        self,
        record_table: records.RecordTable | None,
        epoch: int,
        home: keys.Home | None,
        needs_claim: bool = False,
        may_start: bool = True,
    ) -> None:
        """Creates a placement.

        Args:
            record_table: The book, where it is kept here.
            epoch: The key's epoch.
            home: The home to ask, where the book is not kept here.
            needs_claim: Whether the store must first name the home.
            may_start: Whether a key without a record may run.
        """
        self.may_start = may_start
        self.record_table = record_table
        self.epoch = epoch
        self.home = home
        self.needs_claim = needs_claim


class RecordTables:
    """This daemon's own book and those of homes that it answers for."""

    __slots__ = ("_adopted", "_own")

    def __init__(self, own: records.RecordTable) -> None:
        """Creates the books of a daemon.

        Args:
            own: Its own book.
        """
        self._own = own
        self._adopted: dict[keys.Home, records.RecordTable] = {}

    @property
    def own(self) -> records.RecordTable:
        """This daemon's own book."""
        return self._own

    @property
    def all(self) -> list[records.RecordTable]:
        """All books."""
        return [self._own, *self._adopted.values()]

    @property
    def adopted(self) -> tuple[keys.Home, ...]:
        """The homes that this daemon answers for besides itself."""
        return tuple(self._adopted)

    def adopt(self, record_table: records.RecordTable) -> None:
        """Begins to answer for a home that stopped.

        Args:
            record_table: The home's records. A second copy changes nothing,
                since keys may have run here since the first.
        """
        self._adopted.setdefault(record_table.home, record_table)

    def expire(self, now_s: float) -> None:
        """Drops old records, and books whose keys are all too old.

        Args:
            now_s: A monotonic clock, in seconds.
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
        """Finds where a keyed request is decided.

        Args:
            key: The key.
            claimed_home: The home that the store names, if a peer says so.

        Returns:
            The book kept here, or the home to ask, or the need of a claim.

        Raises:
            DotterelpathError: The key is malformed.
        """
        issued = keys.parse(key)
        if issued is not None:
            return self._location_at(issued.home, issued.epoch)
        if claimed_home is not None:
            # The claim was made for a record that must still be here.
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
    """Names a key inside its workspace.

    Args:
        request: A request with a key.

    Returns:
        The workspace and the key.
    """
    return f"{request.workspace}\x00{request.key}"


def fingerprint(request: exchange.Request) -> str:
    """Digests what must be the same in all attempts with one key.

    Args:
        request: The request.

    Returns:
        A digest of method, target and body.
    """
    digest = hashlib.sha256()
    digest.update(f"{request.method} {request.target}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()
