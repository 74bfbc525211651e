"""The task that reads the platform's store and hears of its changes."""

from __future__ import annotations

import asyncio
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import store_following
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import randomness
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import store_events

# One watch takes this long when nothing changes, in seconds. A watch whose
# answer was lost blinds a daemon for as long, so that it stays below the time
# in which a returned store must be heard.
WATCH_TIMEOUT_S = 4.0
# A daemon that lost the store asks in short calls, so that it does not wait
# in one that hangs while the store is back, in seconds.
RECOVERY_WATCH_TIMEOUT_S = 0.3
# A daemon that nobody relies on watches only until others tell what they know:
# first for this time, in seconds, and twice as long with each further watch.
MIN_FALLBACK_WATCH_S = 0.5
# While nothing changes, what others tell is passed on this often, in seconds.
IDLE_REPORT_PERIOD_S = 1.0
# Changes that come together cost one call. The part of the time in which a
# change must be in force that is spent on gathering them, usually and while
# a fleet starts.
BATCH_FRACTION = 0.25
STARTUP_BATCH_FRACTION = 0.5
# A fleet that starts writes many keys in this time, in seconds.
STARTUP_S = 8.0
# The pause after a failed call, in seconds; refused calls have a price too.
RETRY_DELAY_S = 0.5

_log = structlog.get_logger()


class StoreReader:
    """Reads all keys, and then their changes.

    It waits for them at the store where other daemons rely on this one, or
    where none tells what it knows; else it reads when there is news.
    """

    __slots__ = (
        "_apply_s",
        "_clock",
        "_fallback_watch_s",
        "_following",
        "_has_read",
        "_is_store_lost",
        "_mailbox",
        "_peer_monitor",
        "_prefix",
        "_published_revision",
        "_random",
        "_receiver",
        "_reported_s",
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
        inbox: mailbox.Mailbox[typing.Any],
        receiver: mailbox.Mailbox[typing.Any],
        peer_monitor: mailbox.Mailbox[typing.Any],
        apply_s: float,
    ) -> None:
        """Creates the task's state.

        Args:
            prefix: Begins the keys.
            store: The store.
            clock: Tells the time.
            random: Spreads the daemons' calls.
            inbox: This task's mailbox.
            receiver: Gets the changes.
            peer_monitor: Tells other daemons what this one knows.
            apply_s: The time in which a change must be in force, in seconds.
        """
        self._apply_s = apply_s
        self._started_s = clock.now_s()
        self._prefix = prefix
        self._store = store
        self._clock = clock
        self._random = random
        self._mailbox = inbox
        self._receiver = receiver
        self._peer_monitor = peer_monitor
        self._following = store_following.StoreFollower(apply_s)
        self._revision = 0
        self._has_read = False
        self._is_store_lost = False
        self._published_revision: int | None = None
        self._fallback_watch_s = MIN_FALLBACK_WATCH_S
        self._reported_s = self._started_s

    async def run(self) -> None:
        """Reads until cancelled."""
        steps = {
            store_following.Step.WATCH: self._watch,
            store_following.Step.CATCH_UP: self._catch_up,
            store_following.Step.FOLLOW: self._follow,
        }
        while True:
            self._handle_messages()
            step = self._following.next_step(
                self._revision, self._clock.now_s()
            )
            if step is not store_following.Step.WATCH:
                self._publish_revision(None)
                self._fallback_watch_s = MIN_FALLBACK_WATCH_S
            try:
                await steps[step]()
            except errors.HistoryLostError:
                _log.info("store history lost", revision=self._revision)
                self._revision = 0
            except errors.StoreError as error:
                self._on_failed(error)
                await asyncio.sleep(
                    RETRY_DELAY_S * (0.5 + self._random.random())
                )

    def handle(self, message: typing.Any) -> None:
        """Handles one message.

        Args:
            message: What other daemons told or asked, or which there are.
        """
        if isinstance(message, fleet_events.RevisionReceived):
            self._following.record_report(message.revision, message.at_s)
        elif isinstance(message, fleet_events.PeerPinged):
            self._following.record_query(message.at_s)
        elif isinstance(message, fleet_events.DaemonsChanged):
            self._store.set_daemon_count(len(message.daemons))

    def _handle_messages(self) -> None:
        """Handles the messages that have come in."""
        while (message := self._mailbox.poll()) is not None:
            self.handle(message)

    async def _watch(self) -> None:
        """Waits for changes at the store."""
        if not self._revision:
            await self._read_all()
            return
        changes = await self._store.watch(
            self._prefix, self._revision, self._watch_timeout_s()
        )
        self._on_changes(changes)
        self._publish_revision(self._revision)
        await self._wait_for_batch(changes)

    async def _read_all(self) -> None:
        """Reads all keys; a watch brings what is newer than a stale answer."""
        may_be_stale = not self._has_read
        changes = await self._store.watch(self._prefix, 0, 0.0, may_be_stale)
        if may_be_stale:
            self._following.record_first_read(self._clock.now_s())
        self._has_read = True
        self._on_changes(changes)

    async def _catch_up(self) -> None:
        """Reads what another daemon has told of."""
        target_revision = self._following.reported_revision
        changes = await self._store.watch(
            self._prefix, self._revision, 0.0, may_be_stale=True
        )
        if changes.revision < target_revision:
            changes = await self._store.watch(self._prefix, self._revision, 0.0)
        self._on_changes(changes)
        await self._wait_for_batch(changes)

    async def _follow(self) -> None:
        """Waits for what other daemons tell."""
        now_s = self._clock.now_s()
        if now_s - self._reported_s > IDLE_REPORT_PERIOD_S:
            self._report_changes(
                store_port.Changes([], self._revision), WATCH_TIMEOUT_S
            )
        try:
            async with asyncio.timeout(self._following.silence_left_s(now_s)):
                self.handle(await self._mailbox.receive())
        except TimeoutError:
            _log.info("nobody tells of the store", revision=self._revision)

    def _watch_timeout_s(self) -> float:
        """How long the next watch may wait, in seconds."""
        if self._is_store_lost:
            return RECOVERY_WATCH_TIMEOUT_S
        if not self._following.has_followers(self._clock.now_s()):
            wait_s = self._fallback_watch_s
            self._fallback_watch_s = min(WATCH_TIMEOUT_S, 2.0 * wait_s)
            return wait_s
        # Others wait for the first word of a daemon that begins to watch.
        return WATCH_TIMEOUT_S if self._published_revision is not None else 0.0

    def _on_changes(self, changes: store_port.Changes) -> None:
        # Without failed calls, the store may have been silent for as long as
        # a watch may take.
        max_silence_s = WATCH_TIMEOUT_S
        if self._is_store_lost:
            _log.info("store regained", revision=changes.revision)
            self._is_store_lost = False
            max_silence_s = 0.0
        if changes.revision < self._revision and not changes.is_full:
            _log.warning("store revision fell", revision=changes.revision)
        self._revision = changes.revision
        self._report_changes(changes, max_silence_s)

    def _report_changes(
        self, changes: store_port.Changes, max_silence_s: float
    ) -> None:
        self._reported_s = self._clock.now_s()
        self._receiver.force(
            store_events.StoreChanged(changes, self._reported_s, max_silence_s)
        )

    async def _wait_for_batch(self, changes: store_port.Changes) -> None:
        """Lets further changes come together."""
        if changes.entries:
            is_start = self._clock.now_s() - self._started_s < STARTUP_S
            fraction = STARTUP_BATCH_FRACTION if is_start else BATCH_FRACTION
            await asyncio.sleep(self._apply_s * fraction)

    def _publish_revision(self, revision: int | None) -> None:
        """Has other daemons told what this one knows of the store."""
        if revision != self._published_revision:
            if revision is None or self._published_revision is None:
                _log.info("store watched", revision=revision)
            self._published_revision = revision
            self._peer_monitor.force(
                fleet_events.WatchedRevisionChanged(revision)
            )

    def _on_failed(self, error: errors.StoreError) -> None:
        self._publish_revision(None)
        if not self._is_store_lost:
            _log.warning("store lost", error=str(error))
            self._is_store_lost = True
            self._receiver.force(store_events.StoreLost())
