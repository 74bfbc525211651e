"""Tracks the instances in the platform's list through outages of the store."""

from __future__ import annotations

import typing

# Entries that expired during an outage of the store reappear within this time
# of its end, in seconds; the platform documents this bound.
OUTAGE_RECOVERY_S = 2.0
# A missing entry may reappear shortly. It is kept for this fraction of drain_s,
# the time for which a leaving instance may still get requests. The rest is for
# the way of the change to this daemon.
MISSING_DRAIN_FRACTION = 0.2
# The store has had an outage if a reply is later than expected by more than
# this, in seconds; longer than a slow response takes.
OUTAGE_THRESHOLD_S = 1.0
# Time for which an ended incarnation is remembered, in seconds; its late
# writes arrive sooner.
TOMBSTONE_S = 60.0


class Entry:
    """The entry that an instance writes about itself."""

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
            id: The instance's id, which it may keep when it restarts.
            service: The name of its service.
            host: Its IP address.
            port: Its port.
            data_centre: Its data centre.
            slots: Number of requests that it runs at a time.
            is_draining: Whether it is leaving.
            warm_up_s: Remaining time for which it is slow after its start, in
                seconds.
            sequence: Number of entries that it has written since its start.
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
        """Sort key of the entries with one id; newer is greater."""
        return (self.started_ms, self.sequence)


class RegisteredInstance:
    """An instance with its newest entry, which may be missing from the list."""

    __slots__ = ("entry", "missing_since_s")

    def __init__(self, entry: Entry) -> None:
        """Creates an instance whose entry is in the list.

        Args:
            entry: The instance's newest entry.
        """
        self.entry = entry
        self.missing_since_s: float | None = None

    def copy(self) -> RegisteredInstance:
        """Copies the instance for another task.

        The copy shares the entry, which does not change once registered.
        """
        copied = RegisteredInstance(self.entry)
        copied.missing_since_s = self.missing_since_s
        return copied


class Registry:
    """Keeps the newest entry of each instance.

    An entry older than the known one is a late write and is ignored. Draining
    is final for an incarnation. An instance whose entry disappears is kept
    for a while as missing, since entries reappear after an outage of the
    store.
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
            drain_s: Time for which a leaving instance may still get requests,
                in seconds.
        """
        self._drain_s = drain_s
        self._instances: dict[str, RegisteredInstance] = {}
        self._ended: dict[str, tuple[tuple[int, int], float]] = {}
        self._last_reply_s: float | None = None
        # Early enough that no instance counts as missing due to an outage.
        self._store_recovered_s = -TOMBSTONE_S

    @property
    def instances(self) -> dict[str, RegisteredInstance]:
        """The listed and the missing instances, by id."""
        return self._instances

    def set_drain_s(self, drain_s: float) -> None:
        """Sets how long a leaving instance may get requests.

        Args:
            drain_s: Time for which a leaving instance may still get requests,
                in seconds.
        """
        self._drain_s = drain_s

    def record_store_reply(self, now_s: float, waited_s: float = 0.0) -> bool:
        """Records that the store replied.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
            waited_s: The longest time that the reply was expected to take, in
                seconds.

        Returns:
            Whether the reply ends an outage of the store.
        """
        last_s = self._last_reply_s
        self._last_reply_s = now_s
        if last_s is None or now_s - last_s <= waited_s + OUTAGE_THRESHOLD_S:
            return False
        self._store_recovered_s = now_s
        return True

    def record_store_restored(self, now_s: float) -> None:
        """Records that the store came back from an older copy.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._last_reply_s = now_s
        self._store_recovered_s = now_s

    def apply_entry(self, entry: Entry, is_older_copy: bool = False) -> bool:
        """Applies an entry that an instance wrote.

        An older copy of the store has entries that were removed since. There,
        only a newer entry shows that an instance did not leave.

        Args:
            entry: The entry.
            is_older_copy: Whether it was read from a store that came back from
                an older copy, and may be older than its removal.

        Returns:
            Whether the registered instances changed.
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
        is_missing = instance.missing_since_s is not None
        if is_older_copy and is_missing and entry.version == known.version:
            return False
        if entry.started_ms == known.started_ms:
            entry.is_draining = entry.is_draining or known.is_draining
        is_changed = is_missing or _differs(entry, known)
        instance.entry = entry
        instance.missing_since_s = None
        return is_changed

    def mark_missing(self, instance_id: str, now_s: float) -> bool:
        """Marks an instance whose entry was deleted or is invalid as missing.

        A draining instance is removed at once.

        Args:
            instance_id: The instance.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether the registered instances changed.
        """
        instance = self._instances.get(instance_id)
        if instance is None or instance.missing_since_s is not None:
            return False
        instance.missing_since_s = now_s
        if instance.entry.is_draining:
            self._forget_instance(instance.entry, now_s)
        return True

    def reconcile(self, present: typing.Collection[str], now_s: float) -> bool:
        """Marks all instances as missing that a complete list does not have.

        Args:
            present: Ids of the valid entries in the list.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether the registered instances changed.
        """
        missing = [i for i in self._instances if i not in present]
        is_changed = False
        for instance_id in missing:
            is_changed |= self.mark_missing(instance_id, now_s)
        return is_changed

    def expire(self, now_s: float) -> bool:
        """Removes instances that have been missing for too long.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether the registered instances changed.
        """
        is_changed = False
        for instance in list(self._instances.values()):
            since_s = instance.missing_since_s
            if since_s is None:
                continue
            until_s = since_s + self._drain_s * MISSING_DRAIN_FRACTION
            # An entry that expired during an outage has time to reappear. One
            # that was removed before has none.
            if 0.0 <= since_s - self._store_recovered_s < OUTAGE_RECOVERY_S:
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
    """Returns whether anything but the sequence and the warm-up differs."""
    return (
        newer.started_ms != older.started_ms
        or newer.is_draining != older.is_draining
        or newer.service != older.service
        or (newer.host, newer.port) != (older.host, older.port)
        or newer.slots != older.slots
        or newer.data_centre != older.data_centre
    )
