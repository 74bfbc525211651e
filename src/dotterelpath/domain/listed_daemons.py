"""Keeps the daemons that the store lists."""

from __future__ import annotations

from dotterelpath.domain import steering

# Daemons that an older copy of the store lacks are kept for this time, in
# seconds, within which they write their entries again.
RESTORE_S = 8.0


class ListedDaemons:
    """The daemons of the fleet by the store's list.

    A store that came back from an older copy lacks the entries that were
    written since. Their daemons still serve, and are kept for a while.
    """

    __slots__ = ("_daemons", "_missing_until_s")

    def __init__(self) -> None:
        """Creates an empty list."""
        self._daemons: dict[str, steering.Daemon] = {}
        self._missing_until_s: dict[str, float] = {}

    @property
    def daemons(self) -> dict[str, steering.Daemon]:
        """The daemons by id, also those that are missing."""
        return self._daemons

    @property
    def has_missing(self) -> bool:
        """Whether some daemons are kept that the store does not list."""
        return bool(self._missing_until_s)

    def apply(self, changed: dict[str, steering.Daemon | None]) -> None:
        """Applies changes of the list.

        Args:
            changed: The changed daemons by id; None for those that are gone.
        """
        for daemon_id, daemon in changed.items():
            self._missing_until_s.pop(daemon_id, None)
            if daemon is None:
                self._daemons.pop(daemon_id, None)
            else:
                self._daemons[daemon_id] = daemon

    def replace(
        self,
        listed: dict[str, steering.Daemon],
        is_older_copy: bool,
        now_s: float,
    ) -> None:
        """Applies a complete list.

        Args:
            listed: The listed daemons by id.
            is_older_copy: Whether the store came back from an older copy since
                the last list.
            now_s: The current time on the monotonic clock, in seconds.
        """
        if is_older_copy:
            until_s = now_s + RESTORE_S
            self._missing_until_s = dict.fromkeys(self._daemons, until_s)
        self._missing_until_s = {
            daemon_id: until_s
            for daemon_id, until_s in self._missing_until_s.items()
            if daemon_id not in listed
        }
        missing = {id: self._daemons[id] for id in self._missing_until_s}
        self._daemons = {**missing, **listed}

    def expire(self, now_s: float) -> bool:
        """Removes daemons that have been missing for too long.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether there were any.
        """
        expired = [
            daemon_id
            for daemon_id, until_s in self._missing_until_s.items()
            if now_s >= until_s
        ]
        self.apply(dict.fromkeys(expired))
        return bool(expired)
