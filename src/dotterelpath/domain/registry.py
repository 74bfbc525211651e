"""The instances that the platform lists, as far as they may be believed."""

from __future__ import annotations

import typing

# Entries that lapsed by an outage come back within this time of its end, in
# seconds; the platform's pages say so.
RETURN_S = 2.0
# An entry that vanished may be back at once; the part of the time in which
# leaving instances may still get work that is waited for it.
LAPSE_PART = 0.6
# A store that was not heard for this long was away, in seconds; longer than a
# slow answer takes.
AWAY_S = 1.0
# How long an ended incarnation is remembered, in seconds; late writes of it
# come sooner.
TOMBSTONE_S = 60.0


class Entry:
    """What an instance says of itself."""

    __slots__ = (
        "data_centre",
        "host",
        "id",
        "is_draining",
        "port",
        "sequence",
        "service",
        "slots",
        "started_ms",
        "warm_up_s",
    )

    def __init__(
        self,
        id: str,
        service: str,
        host: str,
        port: int,
        data_centre: str,
        slots: int,
        is_draining: bool,
        warm_up_s: float,
        sequence: int,
        started_ms: int,
    ) -> None:
        """Creates an entry.

        Args:
            id: The instance's id; one that starts again may keep it.
            service: Its service.
            host: Its IP address.
            port: Its port.
            data_centre: Where it stands.
            slots: Requests that it works on at once.
            is_draining: Whether it is leaving.
            warm_up_s: How long it is still slow after its start, in seconds.
            sequence: Counts what it has written since its start.
            started_ms: When it started, in milliseconds since 1970.
        """
        self.id = id
        self.service = service
        self.host = host
        self.port = port
        self.data_centre = data_centre
        self.slots = slots
        self.is_draining = is_draining
        self.warm_up_s = warm_up_s
        self.sequence = sequence
        self.started_ms = started_ms

    @property
    def age(self) -> tuple[int, int]:
        """Orders what the instances of one id have written."""
        return (self.started_ms, self.sequence)


class Listed:
    """An instance of the list."""

    __slots__ = ("entry", "missing_since_s")

    def __init__(self, entry: Entry) -> None:
        """Creates a listed instance.

        Args:
            entry: What it last said.
        """
        self.entry = entry
        self.missing_since_s: float | None = None

    def copy(self) -> Listed:
        """Copies it for another task; entries do not change once listed."""
        copied = Listed(self.entry)
        copied.missing_since_s = self.missing_since_s
        return copied


class Registry:
    """Believes the newest entry of each instance.

    An entry that is older than a known one is a late write and says nothing.
    Draining is final for an incarnation. A vanished entry is kept for a moment
    as lapsed, since a store that was away brings such entries back.
    """

    __slots__ = ("_drain_s", "_ended", "_heard_s", "_known", "_returned_s")

    def __init__(self, drain_s: float) -> None:
        """Creates an empty registry.

        Args:
            drain_s: How long an instance that is leaving may still get work,
                in seconds.
        """
        self._drain_s = drain_s
        self._known: dict[str, Listed] = {}
        self._ended: dict[str, tuple[tuple[int, int], float]] = {}
        self._heard_s: float | None = None
        self._returned_s = -TOMBSTONE_S

    @property
    def known(self) -> dict[str, Listed]:
        """All instances that may get work, or may come back."""
        return self._known

    def set_drain_s(self, drain_s: float) -> None:
        """Takes over a changed bound.

        Args:
            drain_s: How long an instance that is leaving may still get work,
                in seconds.
        """
        self._drain_s = drain_s

    def heard(self, now_s: float, waited_s: float = 0.0) -> bool:
        """Notes that the store answered.

        Args:
            now_s: The monotonic clock, in seconds.
            waited_s: How long the answer was allowed to take, in seconds.

        Returns:
            Whether the store had been away.
        """
        last_s = self._heard_s
        self._heard_s = now_s
        if last_s is None or now_s - last_s <= waited_s + AWAY_S:
            return False
        self._returned_s = now_s
        return True

    def put(self, entry: Entry) -> bool:
        """Takes in an entry.

        Args:
            entry: What an instance wrote.

        Returns:
            Whether it changes what is believed.
        """
        ended = self._ended.get(entry.id)
        if ended is not None and entry.age <= ended[0]:
            return False
        listed = self._known.get(entry.id)
        if listed is None:
            self._known[entry.id] = Listed(entry)
            return True
        known = listed.entry
        if entry.age < known.age:
            return False
        if entry.started_ms == known.started_ms:
            entry.is_draining = entry.is_draining or known.is_draining
        is_news = listed.missing_since_s is not None or _differs(entry, known)
        listed.entry = entry
        listed.missing_since_s = None
        return is_news

    def remove(self, instance_id: str, now_s: float) -> bool:
        """Notes that an instance's entry is gone or names nothing usable.

        Args:
            instance_id: The instance.
            now_s: The monotonic clock, in seconds.

        Returns:
            Whether it changes what is believed.
        """
        listed = self._known.get(instance_id)
        if listed is None or listed.missing_since_s is not None:
            return False
        listed.missing_since_s = now_s
        if listed.entry.is_draining:
            self._end(listed.entry, now_s)
        return True

    def keep_only(self, present: typing.Collection[str], now_s: float) -> bool:
        """Notes which entries a whole list has.

        Args:
            present: Ids of the usable entries.
            now_s: The monotonic clock, in seconds.

        Returns:
            Whether it changes what is believed.
        """
        missing = [i for i in self._known if i not in present]
        is_news = False
        for instance_id in missing:
            is_news |= self.remove(instance_id, now_s)
        return is_news

    def expire(self, now_s: float) -> bool:
        """Gives up instances that have been missing for too long.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            Whether it changes what is believed.
        """
        is_news = False
        for listed in list(self._known.values()):
            since_s = listed.missing_since_s
            if since_s is None:
                continue
            until_s = since_s + self._drain_s * LAPSE_PART
            if since_s - self._returned_s < RETURN_S:
                until_s = max(until_s, self._returned_s + RETURN_S)
            if now_s >= until_s:
                self._end(listed.entry, now_s)
                is_news = True
        for instance_id, (_, ended_s) in list(self._ended.items()):
            if now_s - ended_s > TOMBSTONE_S:
                del self._ended[instance_id]
        return is_news

    def _end(self, entry: Entry, now_s: float) -> None:
        self._known.pop(entry.id, None)
        self._ended[entry.id] = (entry.age, now_s)


def _differs(newer: Entry, older: Entry) -> bool:
    """Whether more than the count and the warm-up changed."""
    return (
        newer.started_ms != older.started_ms
        or newer.is_draining != older.is_draining
        or newer.service != older.service
        or (newer.host, newer.port) != (older.host, older.port)
        or newer.slots != older.slots
        or newer.data_centre != older.data_centre
    )
