"""The task that waits for changes of the platform's store."""

from __future__ import annotations

import asyncio
import typing

import structlog

from dotterelpath import errors
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import randomness
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import store_events

# One watch takes this long when nothing changes, in seconds. A watch whose
# answer was lost blinds a daemon for as long, so that it stays below the time
# in which a returned store must be heard.
WATCH_S = 4.0
# A daemon that lost the store asks in short calls, so that it does not wait
# in one that hangs while the store is back, in seconds.
LOST_WATCH_S = 0.3
# Changes that come together cost one call. The part of the time in which a
# change must be in force that is spent on gathering them, usually and while
# a fleet starts.
GATHER_PART = 0.25
START_GATHER_PART = 0.5
# A fleet that starts writes many keys in this time, in seconds.
START_S = 8.0
# The pause after a failed call, in seconds; refused calls have a price too.
RETRY_S = 0.5

_log = structlog.get_logger()


class StoreReader:
    """Reads all keys, and then waits for their changes."""

    __slots__ = (
        "_apply_s",
        "_clock",
        "_is_lost",
        "_prefix",
        "_random",
        "_receiver",
        "_revision",
        "_started_s",
        "_store",
    )

    def __init__(
        self,
        prefix: str,
        store: store_port.Store,
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        receiver: mailbox.Mailbox[typing.Any],
        apply_s: float,
    ) -> None:
        """Creates the task's state.

        Args:
            prefix: Begins the keys.
            store: The store.
            clock: Tells the time.
            random: Spreads the daemons' calls.
            receiver: Gets the changes.
            apply_s: The time in which a change must be in force, in seconds.
        """
        self._apply_s = apply_s
        self._started_s = clock.now_s()
        self._prefix = prefix
        self._store = store
        self._clock = clock
        self._random = random
        self._receiver = receiver
        self._revision = 0
        self._is_lost = False

    async def run(self) -> None:
        """Reads until cancelled."""
        while True:
            try:
                wait_s = LOST_WATCH_S if self._is_lost else WATCH_S
                changes = await self._store.watch(
                    self._prefix, self._revision, wait_s
                )
            except errors.HistoryLostError:
                _log.info("store history lost", revision=self._revision)
                self._revision = 0
                continue
            except errors.StoreError as error:
                self._on_failed(error)
                pause = RETRY_S * (0.5 + self._random.random())
                await asyncio.sleep(pause)
                continue
            await self._on_changes(changes)

    async def _on_changes(self, changes: store_port.Changes) -> None:
        if self._is_lost:
            _log.info("store regained", revision=changes.revision)
            self._is_lost = False
        if changes.revision < self._revision and not changes.is_full:
            _log.warning("store revision fell", revision=changes.revision)
        self._revision = changes.revision
        self._receiver.force(
            store_events.StoreChanged(changes, self._clock.now_s(), WATCH_S)
        )
        if changes.entries:
            is_start = self._clock.now_s() - self._started_s < START_S
            part = START_GATHER_PART if is_start else GATHER_PART
            await asyncio.sleep(self._apply_s * part)

    def _on_failed(self, error: errors.StoreError) -> None:
        if not self._is_lost:
            _log.warning("store lost", error=str(error))
            self._is_lost = True
            self._receiver.force(store_events.StoreLost())
