"""The task that reads the platform's store and follows its changes."""

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

# The timeout of a watch without changes, in seconds. A daemon sees no changes
# for this long if the response is lost, so it must stay below the time within
# which a daemon must notice that the store is back.
WATCH_TIMEOUT_S = 4.0
# The timeout of a watch while the store is unavailable, in seconds. It is
# short, so that the daemon does not wait in a hung call while the store is
# back.
RECOVERY_WATCH_TIMEOUT_S = 0.3
# The first timeout of a watch by a daemon without followers, in seconds, which
# doubles with each further watch. Such a daemon watches only until it gets
# revisions from other daemons.
MIN_FALLBACK_WATCH_S = 0.5
# How often the registrar is notified that the store is available while nothing
# changes, in seconds.
IDLE_REPORT_INTERVAL_S = 1.0
# How long to wait for further changes, as a fraction of the time within which a
# change must be in force. One call then reads these changes together.
BATCH_FRACTION = 0.25
# The same fraction while a fleet starts.
STARTUP_BATCH_FRACTION = 0.5
# How long a fleet takes to start, in seconds; it writes many keys meanwhile.
STARTUP_S = 8.0
# The mean pause after a failed call, in seconds. It limits the cost of refused
# calls.
RETRY_INTERVAL_S = 0.5

_log = structlog.get_logger()


class StoreReader:
    """Reads all keys, and then their changes.

    Watches the store if other daemons follow this one, or if no other daemon
    reports revisions. Otherwise reads the store when another daemon reports a
    newer revision.

    A watch that waits does not show whether the store still responds. While
    other daemons follow this one, it also makes stale reads, which cost little:
    each response confirms the watched revision, unless it has later changes or
    is older than that revision.

    The known revision never decreases: a response that is older than what is
    known is an error of the store, and nothing of it is passed on.
    """

    __slots__ = (
        "_apply_s",
        "_clock",
        "_confirmed_s",
        "_fallback_watch_s",
        "_follower",
        "_is_store_lost",
        "_is_strict",
        "_mailbox",
        "_may_list_stale",
        "_newest_revision",
        "_peer_monitor",
        "_prefix",
        "_proved_s",
        "_published_revision",
        "_random",
        "_reported_s",
        "_revision",
        "_started_s",
        "_store",
        "_subscriber",
    )

    def __init__(
        self,
        prefix: str,
        store: store_port.Store,
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        inbox: mailbox.Mailbox[typing.Any],
        subscriber: mailbox.Mailbox[typing.Any],
        peer_monitor: mailbox.Mailbox[typing.Any],
        apply_s: float,
        is_strict: bool = False,
    ) -> None:
        """Creates the task's state.

        Args:
            prefix: The prefix of the keys.
            store: The store.
            clock: Tells the time.
            random: Spreads the retries of the daemons.
            inbox: This task's mailbox.
            subscriber: The mailbox that gets the changes, and the reads.
            peer_monitor: Gets the revision to report to other daemons.
            apply_s: The time in which a change must be in force, in seconds.
            is_strict: Whether requests are refused unless the store has
                confirmed lately what is known.
        """
        self._is_strict = is_strict
        self._apply_s = apply_s
        self._started_s = clock.now_s()
        self._prefix = prefix
        self._store = store
        self._clock = clock
        self._random = random
        self._mailbox = inbox
        self._subscriber = subscriber
        self._peer_monitor = peer_monitor
        self._follower = store_following.StoreFollower(apply_s)
        # The revision to read changes from; 0 if all keys must be read.
        self._revision = 0
        self._newest_revision = 0
        self._may_list_stale = True
        self._is_store_lost = False
        self._published_revision: int | None = None
        self._fallback_watch_s = MIN_FALLBACK_WATCH_S
        self._reported_s = self._started_s
        self._confirmed_s = self._started_s
        # When the last answer that cannot be stale was requested.
        self._proved_s = self._started_s

    @property
    def follower(self) -> store_following.StoreFollower:
        """Decides whether this daemon watches the store."""
        return self._follower

    async def run(self) -> None:
        """Reads until cancelled."""
        steps = {
            store_following.Step.WATCH: self._watch,
            store_following.Step.CATCH_UP: self._catch_up,
            store_following.Step.FOLLOW: self._follow,
        }
        while True:
            self._handle_messages()
            step = self._follower.next_step(self._revision, self._clock.now_s())
            if step is not store_following.Step.WATCH:
                self._publish_revision(None)
                self._fallback_watch_s = MIN_FALLBACK_WATCH_S
            try:
                await steps[step]()
            except errors.HistoryLostError:
                _log.info("store history lost", revision=self._revision)
                self._revision = 0
                self._may_list_stale = False
            except errors.StoreError as error:
                self._on_failed(error)
                await asyncio.sleep(
                    RETRY_INTERVAL_S * (0.5 + self._random.random())
                )

    def handle(self, message: typing.Any) -> None:
        """Handles one message.

        Args:
            message: A revision or a ping of another daemon, the daemons of
                the fleet, or changed settings.
        """
        if isinstance(message, fleet_events.RevisionReceived):
            self._on_revision_received(message)
        elif isinstance(message, fleet_events.PeerPinged):
            self._follower.record_query(message.at_s)
        elif isinstance(message, fleet_events.DaemonsChanged):
            self._store.set_daemon_count(len(message.daemons))
        elif isinstance(message, fleet_events.BoundsChanged):
            self._is_strict = message.bounds.is_revocation_strict
            self._apply_s = message.bounds.store_apply_s
            self._follower.set_apply_s(self._apply_s)

    def _on_revision_received(
        self, message: fleet_events.RevisionReceived
    ) -> None:
        if message.revision > max(
            self._revision, self._follower.reported_revision
        ):
            _log.info(
                "store revision reported",
                daemon=message.daemon_id,
                revision=message.revision,
                known_revision=self._revision,
            )
        self._follower.record_report(
            message.revision, message.confirmed_s, message.at_s
        )

    def _handle_messages(self) -> None:
        """Handles all messages in the mailbox."""
        while (message := self._mailbox.poll()) is not None:
            self.handle(message)

    async def _watch(self) -> None:
        """Watches the store once, or reads all keys the first time."""
        if not self._revision:
            await self._read_all()
            return
        sent_s = self._clock.now_s()
        watch = self._store.watch(
            self._prefix, self._revision, self._watch_timeout_s()
        )
        if self._must_confirm(sent_s):
            changes = await _first_result(watch, self._confirm_until_changed())
        else:
            changes = await watch
        self._on_changes(changes, sent_s)
        self._publish_revision(self._revision)
        await self._wait_for_batch(changes)

    def _must_confirm(self, now_s: float) -> bool:
        """Whether followers or requests rely on the watched revision."""
        return self._published_revision is not None and (
            self._is_strict or self._follower.has_followers(now_s)
        )

    async def _confirm_until_changed(self) -> store_port.Changes:
        """Confirms the watched revision until the store has later changes."""
        while True:
            await asyncio.sleep(self._confirmation_due_s())
            changes = await self._confirm()
            if changes.entries:
                return changes

    async def _confirm(self) -> store_port.Changes:
        """Lets the store confirm the watched revision.

        A stale response that does not know the revision yet proves nothing;
        another read, which is not stale, replaces it. If requests rely on it,
        only the latter proves enough.

        Returns:
            The later changes. If there are none, the revision is confirmed.
        """
        sent_s = self._clock.now_s()
        is_exact = self._is_strict
        changes = await self._store.watch(
            self._prefix, self._revision, 0.0, may_be_stale=not is_exact
        )
        if changes.revision < self._revision:
            sent_s = self._clock.now_s()
            is_exact = True
            changes = await self._store.watch(self._prefix, self._revision, 0.0)
        if not changes.entries:
            self._confirmed_s = max(self._confirmed_s, sent_s)
            self._report_read(sent_s, is_exact)
            self._publish_revision(self._revision)
        return changes

    def _confirmation_due_s(self) -> float:
        """Returns the time until the next confirmation, in seconds."""
        due_s = self._confirmed_s + self._follower.confirmation_interval_s
        return max(0.0, due_s - self._clock.now_s())

    async def _read_all(self) -> None:
        """Reads all keys.

        The first read begins with stale pages, which cost little while a fleet
        starts.
        """
        sent_s = self._clock.now_s()
        changes = await self._store.watch(
            self._prefix, 0, 0.0, self._may_list_stale
        )
        self._on_changes(changes, sent_s)
        if self._may_list_stale:
            self._follower.record_first_read(sent_s)
        self._may_list_stale = False

    async def _catch_up(self) -> None:
        """Reads the changes up to the revision that another daemon reported."""
        target_revision = self._follower.reported_revision
        sent_s = self._clock.now_s()
        changes = await self._store.watch(
            self._prefix, self._revision, 0.0, may_be_stale=True
        )
        is_exact = changes.revision < target_revision
        if is_exact:
            changes = await self._store.watch(self._prefix, self._revision, 0.0)
        self._on_changes(changes, sent_s, is_exact)
        await self._wait_for_batch(changes)

    async def _follow(self) -> None:
        """Waits for a message of another daemon."""
        now_s = self._clock.now_s()
        if now_s - self._reported_s > IDLE_REPORT_INTERVAL_S:
            self._report_changes(
                store_port.Changes([], self._revision), WATCH_TIMEOUT_S
            )
        try:
            async with asyncio.timeout(self._follower.silence_left_s(now_s)):
                self.handle(await self._mailbox.receive())
        except TimeoutError:
            _log.info(
                "no store revisions from other daemons",
                revision=self._revision,
                reported_revision=self._follower.reported_revision,
                confirmed_age_s=round(
                    self._follower.confirmed_age_s(self._clock.now_s()), 3
                ),
            )

    def _watch_timeout_s(self) -> float:
        """Returns the timeout of the next watch, in seconds."""
        if self._is_store_lost:
            return RECOVERY_WATCH_TIMEOUT_S
        if not self._follower.has_followers(self._clock.now_s()):
            wait_s = self._fallback_watch_s
            self._fallback_watch_s = min(WATCH_TIMEOUT_S, 2.0 * wait_s)
            return wait_s
        # The first watch returns at once, since followers wait for the
        # revision that it publishes.
        return WATCH_TIMEOUT_S if self._published_revision is not None else 0.0

    def _on_changes(
        self,
        changes: store_port.Changes,
        sent_s: float,
        is_exact: bool = True,
    ) -> None:
        """Passes the response to a call on.

        Args:
            changes: The response.
            sent_s: When the call was sent, on the monotonic clock, in seconds.
            is_exact: Whether the response cannot be older than the call.

        Raises:
            StoreError: The response is older than what is known already.
        """
        if changes.revision < self._newest_revision:
            raise errors.StoreError(
                f"the response has revision {changes.revision}, older than the"
                f" known revision {self._newest_revision}"
            )
        # The store was available before this call, which may have been a watch
        # that waited for up to its timeout.
        max_silence_s = WATCH_TIMEOUT_S
        self._log_changes(changes, sent_s, is_exact)
        if self._is_store_lost:
            _log.info("store available again", revision=changes.revision)
            self._is_store_lost = False
            max_silence_s = 0.0
        self._revision = self._newest_revision = changes.revision
        self._confirmed_s = max(self._confirmed_s, sent_s)
        self._report_changes(changes, max_silence_s)
        self._report_read(sent_s, is_exact)

    def _log_changes(
        self, changes: store_port.Changes, sent_s: float, is_exact: bool
    ) -> None:
        """Logs changes with the age of what was known before them.

        The age of the last confirmation may be younger than that of the last
        proof, since a stale read confirms only what its replica knows.
        """
        if not changes.entries or changes.is_full:
            return
        now_s = self._clock.now_s()
        _log.info(
            "store changes read",
            revision=changes.revision,
            known_revision=self._revision,
            exact=is_exact,
            took_s=round(now_s - sent_s, 3),
            proved_age_s=round(now_s - self._proved_s, 3),
            confirmed_age_s=round(now_s - self._confirmed_s, 3),
        )

    def _report_read(self, sent_s: float, is_exact: bool) -> None:
        """Reports up to which revision this daemon has read the store.

        The report takes the way of the changes, which are in force first.
        """
        if is_exact:
            self._proved_s = max(self._proved_s, sent_s)
        self._subscriber.force(
            fleet_events.StoreRead(self._revision, sent_s, is_exact)
        )

    def _report_changes(
        self, changes: store_port.Changes, max_silence_s: float
    ) -> None:
        self._reported_s = self._clock.now_s()
        self._subscriber.force(
            store_events.StoreChanged(changes, self._reported_s, max_silence_s)
        )

    async def _wait_for_batch(self, changes: store_port.Changes) -> None:
        """Waits for further changes, to read them in one call.

        A daemon that follows others waits no longer than it trusts them.
        """
        if not changes.entries:
            return
        now_s = self._clock.now_s()
        is_start = now_s - self._started_s < STARTUP_S
        fraction = STARTUP_BATCH_FRACTION if is_start else BATCH_FRACTION
        wait_s = self._apply_s * fraction
        if self._must_confirm(now_s):
            await self._confirm_for(now_s + wait_s)
        elif (left_s := self._follower.silence_left_s(now_s)) > 0.0:
            await asyncio.sleep(min(wait_s, left_s))
        else:
            await asyncio.sleep(wait_s)

    async def _confirm_for(self, until_s: float) -> None:
        """Confirms the watched revision until a time or until it is old.

        Args:
            until_s: The time on the monotonic clock, in seconds.
        """
        while (left_s := until_s - self._clock.now_s()) > 0.0:
            due_s = self._confirmation_due_s()
            await asyncio.sleep(min(due_s, left_s))
            if due_s < left_s and (await self._confirm()).entries:
                await asyncio.sleep(until_s - self._clock.now_s())

    def _publish_revision(self, revision: int | None) -> None:
        """Publishes the watched revision, or None if the watch ends."""
        is_change = (revision is None) != (self._published_revision is None)
        if revision is None and not is_change:
            return
        if is_change:
            _log.info("store watch changed", revision=revision)
        self._published_revision = revision
        self._peer_monitor.force(
            fleet_events.WatchedRevisionChanged(revision, self._confirmed_s)
        )

    def _on_failed(self, error: errors.StoreError) -> None:
        self._publish_revision(None)
        if not self._is_store_lost:
            _log.warning(
                "store unavailable",
                error=str(error),
                revision=self._revision,
                silent_s=round(self._clock.now_s() - self._confirmed_s, 3),
                proved_age_s=round(self._clock.now_s() - self._proved_s, 3),
            )
            self._is_store_lost = True
            self._subscriber.force(store_events.StoreLost())


async def _first_result(
    *calls: typing.Coroutine[typing.Any, typing.Any, store_port.Changes],
) -> store_port.Changes:
    """Runs calls until one of them ends, and cancels the others.

    Args:
        *calls: The calls, the most important one first.

    Returns:
        The result of the first call that has ended.

    Raises:
        StoreError: That call failed.
    """
    tasks = [asyncio.create_task(call) for call in calls]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return next(task for task in tasks if task.done()).result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
