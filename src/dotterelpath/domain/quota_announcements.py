"""Tells daemons that serve no callers which tenants have no quota left."""

from __future__ import annotations

import math
import typing

from dotterelpath.domain import quota_reports

# An announcement holds for this time and is repeated in the other, in seconds.
USED_UP_S = 3.0
ANNOUNCE_PERIOD_S = 1.0
# The bytes a second that announcements to all daemons take.
ANNOUNCE_BYTES_PER_S = 2000.0
# The limit of tenants of which it is kept that they have used up their quota.
MAX_USED_UP = 4096


class Announcements:
    """The tenants that are announced, or were announced by others."""

    __slots__ = ("_names", "_other_count", "_sent_s", "_until_s")

    def __init__(self) -> None:
        """Creates an object without announcements."""
        self._other_count = 0
        self._names: frozenset[str] = frozenset()
        self._sent_s = -math.inf
        self._until_s: dict[str, float] = {}

    def set_receivers(self, other_count: int) -> None:
        """Sets how many daemons serve no callers.

        Args:
            other_count: Their number.
        """
        self._other_count = other_count

    def is_due(self, now_s: float) -> bool:
        """Whether an announcement may be sent.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return bool(self._other_count) and (
            now_s - self._sent_s >= quota_reports.PERIOD_S
        )

    def take(
        self, used_up: list[str], senders: int, now_s: float
    ) -> list[str] | None:
        """Returns the tenants to announce now, if any.

        Args:
            used_up: The tenants without quota, the most urgent first.
            senders: How many daemons divide the receivers among themselves.
            now_s: The current time on the monotonic clock, in seconds.
        """
        is_new = any(name not in self._names for name in used_up)
        is_due = now_s - self._sent_s >= ANNOUNCE_PERIOD_S
        if not used_up or not (is_new or is_due):
            return None
        self._names = frozenset(used_up)
        self._sent_s = now_s
        receivers = max(1.0, self._other_count / senders)
        room = ANNOUNCE_BYTES_PER_S * ANNOUNCE_PERIOD_S / receivers
        room = max(quota_reports.MIN_ENTRY_BYTES, room)
        found: list[str] = []
        size = 0
        for name in used_up:
            size += quota_reports.entry_bytes(name)
            if size > min(quota_reports.MAX_ENTRY_BYTES, room):
                break
            found.append(name)
        return found

    def record(self, names: typing.Sequence[str], now_s: float) -> None:
        """Records an announcement of another daemon.

        Args:
            names: The tenants.
            now_s: The current time on the monotonic clock, in seconds.
        """
        for name in names[: quota_reports.MAX_ENTRIES]:
            if name in self._until_s or len(self._until_s) < MAX_USED_UP:
                self._until_s[name] = now_s + USED_UP_S

    def used_up_s(self, name: str, now_s: float) -> float:
        """Returns for how long a tenant counts as without quota, in seconds.

        Args:
            name: The tenant.
            now_s: The current time on the monotonic clock, in seconds.
        """
        return max(0.0, self._until_s.get(name, now_s) - now_s)

    def drop_outdated(self, now_s: float) -> None:
        """Forgets announcements that no longer hold.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        for name, until_s in list(self._until_s.items()):
            if until_s <= now_s:
                del self._until_s[name]
