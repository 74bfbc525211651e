"""The part of the store reader that tells other tasks what it knows."""

from __future__ import annotations

import typing

import structlog

from dotterelpath.domain import store_following
from dotterelpath.domain import store_position
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import _store_calls
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import store_events

_log = structlog.get_logger()


class StoreReports:
    """Passes changes on, and publishes the position for other daemons."""

    __slots__ = (
        "_clock",
        "_follower",
        "_peer_monitor",
        "_published",
        "_reported_s",
        "_subscriber",
    )

    def __init__(
        self,
        clock: clock_port.Clock,
        follower: store_following.StoreFollower,
        subscriber: mailbox.Mailbox[typing.Any],
        peer_monitor: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates reports without a published position.

        Args:
            clock: Tells the time.
            follower: Knows when the store last proved the position.
            subscriber: The mailbox that gets the changes, and the reads.
            peer_monitor: Gets the position to report to other daemons.
        """
        self._clock = clock
        self._follower = follower
        self._subscriber = subscriber
        self._peer_monitor = peer_monitor
        self._published: store_position.Position | None = None
        self._reported_s = clock.now_s()

    @property
    def is_published(self) -> bool:
        """Whether this daemon reports a position to others."""
        return self._published is not None

    @property
    def reported_s(self) -> float:
        """When changes were last passed on, on the monotonic clock."""
        return self._reported_s

    def report_changes(
        self, changes: store_port.Changes, max_silence_s: float
    ) -> None:
        """Passes changes on.

        Args:
            changes: The changes; without entries if nothing has changed.
            max_silence_s: See store_events.StoreChanged.
        """
        self._reported_s = self._clock.now_s()
        self._subscriber.force(
            store_events.StoreChanged(changes, self._reported_s, max_silence_s)
        )

    def report_read(
        self, known: store_position.Position, answer: _store_calls.Answer
    ) -> None:
        """Reports up to which position this daemon has read the store.

        The report takes the way of the changes, which are in force first.

        Args:
            known: The position up to which all changes are known.
            answer: The answer that was read.
        """
        self._subscriber.force(
            fleet_events.StoreRead(known, answer.complete_at_s, answer.is_exact)
        )

    def report_lost(self) -> None:
        """Reports that the store does not respond."""
        self._subscriber.force(store_events.StoreLost())

    def publish(
        self, position: store_position.Position, large_revision: int
    ) -> None:
        """Publishes the watched position.

        Args:
            position: The position up to which all changes are known.
            large_revision: The newest revision of its era at which a large
                value was written.
        """
        if self._published is None:
            _log.info(
                "store watch changed",
                era=position.era,
                revision=position.revision,
            )
        self._published = position
        self._peer_monitor.force(
            fleet_events.WatchedPositionChanged(
                position, self._follower.proved_s, large_revision
            )
        )

    def withdraw(self) -> None:
        """Publishes that no position is watched, if one was."""
        if self._published is None:
            return
        _log.info("store watch changed", era=None, revision=None)
        self._published = None
        self._peer_monitor.force(fleet_events.WatchedPositionChanged(None))

    def log_changes(
        self, known: store_position.Position, answer: _store_calls.Answer
    ) -> None:
        """Logs changes with the age of what was known before them.

        Args:
            known: The position that was known before.
            answer: The answer with the changes.
        """
        changes = answer.changes
        if not changes.entries or changes.is_full:
            return
        now_s = self._clock.now_s()
        _log.info(
            "store changes read",
            era=changes.position.era,
            revision=changes.position.revision,
            known_revision=known.revision,
            exact=answer.is_exact,
            copied_from=answer.copied_from,
            bytes=changes.encoded_bytes,
            took_s=round(now_s - answer.sent_s, 3),
            proved_age_s=round(now_s - self._follower.proved_s, 3),
            reported_age_s=round(self._follower.confirmed_age_s(now_s), 3),
        )
