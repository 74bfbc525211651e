"""The instances that the platform lists, as far as they may be believed."""

from __future__ import annotations

import typing

# Entries that lapsed by an outage come back within this time of its end, in
# seconds; the platform's pages say so.
OUTAGE_RECOVERY_S = 2.0
# An entry that vanished may be back at once; the part of the time in which
# leaving instances may still get work that is waited for it.
MISSING_DRAIN_FRACTION = 0.6
# A store that was not heard for this long was away, in seconds; longer than a
# slow answer takes.
OUTAGE_THRESHOLD_S = 1.0
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
    def version(self) -> tuple[int, int]:
        """Orders what the instances of one id have written."""
        return (self.started_ms, self.sequence)


class RegisteredInstance:
    """An instance of the list."""

    __slots__ = ("entry", "missing_since_s")

    def __init__(self, entry: Entry) -> None:
        """Creates a listed instance.

        Args:
            entry: What it last said.
        """
        self.entry = entry
        self.missing_since_s: float | None = None

    def copy(self) -> RegisteredInstance:
        """Copies it for another task; entries do not change once listed."""
        copied = RegisteredInstance(self.entry)
        copied.missing_since_s = self.missing_since_s
        return copied


class Registry:
    """Believes the newest entry of each instance.

    An entry that is older than a known one is a late write and says nothing.
    Draining is final for an incarnation. A vanished entry is kept for a moment
    as lapsed, since a store that was away brings such entries back.
    """

    __slots__ = (
        "_drain_s",
        "_ended",
        "_instances",
        "_last_reply_s",
        "_store_recovered_s",
    )

    def __init__(self, drain_s: float) -> None:
        """Creates an empty registry.

        Args:
            drain_s: How long an instance that is leaving may still get work,
                in seconds.
        """
        self._drain_s = drain_s
        self._instances: dict[str, RegisteredInstance] = {}
        self._ended: dict[str, tuple[tuple[int, int], float]] = {}
        self._last_reply_s: float | None = None
        self._store_recovered_s = -TOMBSTONE_S

    @property
    def instances(self) -> dict[str, RegisteredInstance]:
        """All instances that may get work, or may come back."""
        return self._instances

    def set_drain_s(self, drain_s: float) -> None:
        """Takes over a changed bound.

        Args:
            drain_s: How long an instance that is leaving may still get work,
                in seconds.
        """
        self._drain_s = drain_s

    def record_store_reply(self, now_s: float, waited_s: float = 0.0) -> bool:
        """Notes that the store answered.

        Args:
            now_s: The monotonic clock, in seconds.
            waited_s: How long the answer was allowed to take, in seconds.

        Returns:
            Whether the store had been away.
        """
        last_s = self._last_reply_s
        self._last_reply_s = now_s
        if last_s is None or now_s - last_s <= waited_s + OUTAGE_THRESHOLD_S:
            return False
        self._store_recovered_s = now_s
        return True

    def apply_entry(self, entry: Entry) -> bool:
        """Takes in an entry.

        Args:
            entry: What an instance wrote.

        Returns:
            Whether it changes what is believed.
        """
        ended = self._ended.get(entry.id)
        if ended is not None and entry.version <= ended[0]:
            return False
        instance = self._instances.get(entry.id)
        if instance is None:
            self._instances[entry.id] = RegisteredInstance(entry)
            return True
        known = instance.entry
        if entry.version < known.version:
            return False
        if entry.started_ms == known.started_ms:
            entry.is_draining = entry.is_draining or known.is_draining
        is_changed = instance.missing_since_s is not None or _differs(
            entry, known
        )
        instance.entry = entry
        instance.missing_since_s = None
        return is_changed

    def mark_missing(self, instance_id: str, now_s: float) -> bool:
        """Notes that an instance's entry is gone or names nothing usable.

        Args:
            instance_id: The instance.
            now_s: The monotonic clock, in seconds.

        Returns:
            Whether it changes what is believed.
        """
        instance = self._instances.get(instance_id)
        if instance is None or instance.missing_since_s is not None:
            return False
        instance.missing_since_s = now_s
        if instance.entry.is_draining:
            self._forget_instance(instance.entry, now_s)
        return True

    def reconcile(self, present: typing.Collection[str], now_s: float) -> bool:
        """Notes which entries a whole list has.

        Args:
            present: Ids of the usable entries.
            now_s: The monotonic clock, in seconds.

        Returns:
            Whether it changes what is believed.
        """
        missing = [i for i in self._instances if i not in present]
        is_changed = False
        for instance_id in missing:
            is_changed |= self.mark_missing(instance_id, now_s)
        return is_changed

    def expire(self, now_s: float) -> bool:
        """Gives up instances that have been missing for too long.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            Whether it changes what is believed.
        """
        is_changed = False
        for instance in list(self._instances.values()):
            since_s = instance.missing_since_s
            if since_s is None:
                continue
            until_s = since_s + self._drain_s * MISSING_DRAIN_FRACTION
            if since_s - self._store_recovered_s < OUTAGE_RECOVERY_S:
                until_s = max(
                    until_s, self._store_recovered_s + OUTAGE_RECOVERY_S
                )
            if now_s >= until_s:
                self._forget_instance(instance.entry, now_s)
                is_changed = True
        for instance_id, (_, ended_s) in list(self._ended.items()):
            if now_s - ended_s > TOMBSTONE_S:
                del self._ended[instance_id]
        return is_changed

    def _forget_instance(self, entry: Entry, now_s: float) -> None:
        self._instances.pop(entry.id, None)
        self._ended[entry.id] = (entry.version, now_s)


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
