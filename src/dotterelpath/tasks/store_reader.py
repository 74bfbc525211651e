"""The task that reads the platform's store and follows its changes."""

from __future__ import annotations

import asyncio
import math
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import exchange
from dotterelpath.domain import store_copy
from dotterelpath.domain import store_following
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import randomness
from dotterelpath.ports import store as store_port
from dotterelpath.ports import store_copies
from dotterelpath.tasks import _store_calls
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import store_events

# The longest time for which the store may be silent without being unavailable,
# in seconds.
MAX_SILENCE_S = 4.0
# The wait of a watch while the store is unavailable, in seconds. It is short,
# so that the daemon does not wait in a hung call while the store is back.
RECOVERY_WAIT_S = 0.3
# How often the registrar is notified that the store is available while nothing
# changes, in seconds.
IDLE_REPORT_INTERVAL_S = 1.0
# How long a fleet takes to start, in seconds; it writes many keys meanwhile.
STARTUP_S = 8.0
# The longest pause after the first failed call, in seconds. The failure of one
# connection does not show that the store is unavailable.
FIRST_RETRY_S = 0.1
# The mean pause after each further failed call, in seconds. It limits the cost
# of refused calls.
RETRY_INTERVAL_S = 0.5
# How long after a report of a newer revision the watch may still return it, in
# seconds.
REPORT_GRACE_S = 0.05

_log = structlog.get_logger()


class StoreReader:
    """Reads all keys, and then their changes.

    Watches the store if other daemons follow this one, or if no other daemon
    reports revisions. Otherwise reads the store when another daemon reports a
    newer revision.

    A watch that waits does not show whether the store still responds. While it
    waits, the store is asked by another call if a peer reports a newer
    revision, or if the known one has not been proved for long.

    Keeps a copy for other daemons, and reads theirs if a change is large, or
    while the store refuses only this daemon.

    The known revision never decreases: a response that is older than what is
    known is an error of the store, and nothing of it is passed on.
    """

    __slots__ = (
        "_apply_s",
        "_calls",
        "_clock",
        "_copy",
        "_follower",
        "_is_store_lost",
        "_is_strict",
        "_mailbox",
        "_may_list_stale",
        "_newest_revision",
        "_peer_monitor",
        "_published_revision",
        "_random",
        "_reported_s",
        "_revision",
        "_started_s",
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
        daemon_id: str = "",
        copies: store_copies.StoreCopies | None = None,
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
            daemon_id: The id of this daemon.
            copies: Reads the copies of the store that other daemons have.
        """
        self._is_strict = is_strict
        self._apply_s = apply_s
        self._started_s = clock.now_s()
        self._clock = clock
        self._random = random
        self._mailbox = inbox
        self._subscriber = subscriber
        self._peer_monitor = peer_monitor
        self._follower = store_following.StoreFollower(apply_s, daemon_id)
        self._calls = _store_calls.StoreCalls(
            prefix, store, clock, self._follower, copies
        )
        self._copy = store_copy.StoreCopy()
        # The revision to read changes from; 0 if all keys must be read.
        self._revision = 0
        self._newest_revision = 0
        self._may_list_stale = True
        self._is_store_lost = False
        self._published_revision: int | None = None
        self._reported_s = self._started_s

    @property
    def follower(self) -> store_following.StoreFollower:
        """Decides whether this daemon watches the store."""
        return self._follower

    def changes_after(self, revision: int) -> store_port.Changes:
        """Returns changed keys; see store_copies.CopyHolder."""
        return self._copy.changes_after(revision)

    async def run(self) -> None:
        """Reads until cancelled."""
        steps = {
            store_following.Step.WATCH: self._watch,
            store_following.Step.CATCH_UP: self._catch_up,
            store_following.Step.FOLLOW: self._follow,
        }
        while True:
            self._handle_messages()
            step = self._follower.next_step(
                self._revision, self._clock.now_s(), self._is_store_lost
            )
            if step is not store_following.Step.WATCH:
                self._publish_revision(None)
            try:
                await steps[step]()
            except errors.HistoryLostError:
                _log.info("store history lost", revision=self._revision)
                self._forget_revision()
            except errors.StoreError as error:
                is_first = not self._is_store_lost
                self._on_failed(error)
                if self._revision and isinstance(
                    error, errors.IncompleteResponseError
                ):
                    # All keys may be shorter than their changes.
                    self._forget_revision()
                    continue
                await asyncio.sleep(
                    FIRST_RETRY_S * self._random.random()
                    if is_first
                    else RETRY_INTERVAL_S * (0.5 + self._random.random())
                )

    def _forget_revision(self) -> None:
        """Makes the next read one of all keys."""
        self._revision = 0
        self._may_list_stale = False

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
            self._calls.set_daemons(message.daemons)
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
            message.revision,
            message.confirmed_s,
            message.at_s,
            message.daemon_id,
            message.large_revision,
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
        answer = await self._watch_and_check(self._watch_wait_s())
        self._on_answer(answer)
        if not self._is_store_lost:
            self._publish_revision(self._revision)
        await self._wait_for_batch(answer.changes)

    async def _watch_and_check(self, wait_s: float) -> _store_calls.Answer:
        """Watches the store, and asks it by other calls while it must.

        Args:
            wait_s: How long the watch waits for changes, in seconds.

        Raises:
            StoreError: A call failed.
        """
        sent_s = self._clock.now_s()
        transfer = self._calls.new_transfer()
        watch = asyncio.create_task(
            self._calls.watch(self._revision, wait_s, transfer)
        )
        message = asyncio.create_task(self._mailbox.wait())
        check: asyncio.Task[_store_calls.Answer] | None = None
        try:
            while True:
                due_s = math.inf
                if check is None:
                    due_s = self._check_due_s(sent_s, transfer)
                left_s = due_s - self._clock.now_s()
                await asyncio.wait(
                    [task for task in (watch, message, check) if task],
                    timeout=max(0.0, left_s) if left_s < math.inf else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if message.done():
                    self._handle_messages()
                    message = asyncio.create_task(self._mailbox.wait())
                if watch.done():
                    return watch.result()
                if check is not None and check.done():
                    answer = check.result()
                    check = None
                    if self._has_news(answer):
                        return answer
                    self._on_checked(answer)
                elif check is None and (
                    self._check_due_s(sent_s, transfer) <= self._clock.now_s()
                ):
                    check = asyncio.create_task(self._check())
        finally:
            tasks = [task for task in (watch, message, check) if task]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _check_due_s(self, sent_s: float, transfer: exchange.Transfer) -> float:
        """Returns when the store must be asked by a call besides the watch.

        Args:
            sent_s: When the watch was sent, on the monotonic clock, in seconds.
            transfer: The response to the watch, which brings the changes
                unless it is lost.

        Returns:
            The time on the monotonic clock, in seconds; infinite if only a
            message may change it.
        """
        due_s = math.inf
        if self._follower.reported_revision > self._revision:
            reported_s = self._follower.newer_reported_s
            due_s = max(reported_s, sent_s) + REPORT_GRACE_S
            if self._follower.copy_holder_id(
                self._revision, self._is_store_lost
            ):
                return due_s
        if not self._is_store_lost:
            # The watch itself may prove the revision meanwhile.
            answered_s = sent_s + self._follower.response_s
            due_s = min(due_s, max(self._proof_due_s(), answered_s))
        return max(due_s, transfer.lost_from_s or due_s)

    def _proof_due_s(self) -> float:
        is_strict = self._is_strict and self._published_revision is not None
        return self._follower.proof_due_s(self._revision, is_strict)

    async def _check(self) -> _store_calls.Answer:
        """Asks for later changes while a watch is pending."""
        if self._follower.reported_revision > self._revision:
            return await self._calls.read_reported(
                self._revision, self._is_store_lost
            )
        return await self._calls.read(self._revision, may_be_stale=False)

    def _has_news(self, answer: _store_calls.Answer) -> bool:
        changes = answer.changes
        return bool(changes.entries) or changes.revision > self._revision

    def _on_checked(self, answer: _store_calls.Answer) -> None:
        """Takes an answer without changes as a proof of what is known."""
        if answer.is_exact:
            self._record_proof(answer)
            self._report_read(answer)
            self._publish_revision(self._revision)

    async def _read_all(self) -> None:
        """Reads all keys, the first time in stale pages, which cost little."""
        answer = await self._calls.read_all(
            self._may_list_stale, self._newest_revision, self._is_store_lost
        )
        self._on_answer(answer)
        if self._may_list_stale:
            self._follower.record_first_read(answer.sent_s)
        self._may_list_stale = False

    async def _catch_up(self) -> None:
        """Reads the changes up to the revision that another daemon reported."""
        answer = await self._calls.read_reported(
            self._revision, self._is_store_lost
        )
        self._on_answer(answer)
        await self._wait_for_batch(answer.changes)

    async def _follow(self) -> None:
        """Waits for a message of another daemon."""
        now_s = self._clock.now_s()
        if now_s - self._reported_s > IDLE_REPORT_INTERVAL_S:
            self._report_changes(
                store_port.Changes([], self._revision), MAX_SILENCE_S
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

    def _watch_wait_s(self) -> float:
        """Returns the wait of the next watch, in seconds."""
        if self._is_store_lost:
            return RECOVERY_WAIT_S
        # The first watch returns at once: followers wait for the revision that
        # it publishes, and what is known is old if there were no reports.
        if self._published_revision is None:
            return 0.0
        return self._follower.watch_wait_s(self._clock.now_s())

    def _on_answer(self, answer: _store_calls.Answer) -> None:
        """Passes the answer to a call on.

        Args:
            answer: The answer.

        Raises:
            StoreError: The answer is older than what is known already.
        """
        changes = answer.changes
        if changes.revision < self._newest_revision:
            raise errors.StoreError(
                f"the response has revision {changes.revision}, older than the"
                f" known revision {self._newest_revision}"
            )
        # The store was available before this call, which may have been a watch
        # that waited for up to its timeout.
        max_silence_s = MAX_SILENCE_S
        self._log_changes(answer)
        if self._is_store_lost:
            max_silence_s = 0.0
            if answer.copied_from is None:
                _log.info("store available again", revision=changes.revision)
                self._is_store_lost = False
        self._copy.apply(changes)
        self._revision = self._newest_revision = changes.revision
        self._record_proof(answer)
        self._report_changes(changes, max_silence_s)
        self._report_read(answer)

    def _record_proof(self, answer: _store_calls.Answer) -> None:
        if answer.is_exact:
            self._follower.record_proof(
                self._revision, answer.proved_at_s, answer.complete_at_s
            )

    def _log_changes(self, answer: _store_calls.Answer) -> None:
        """Logs changes with the age of what was known before them."""
        if not answer.changes.entries or answer.changes.is_full:
            return
        now_s = self._clock.now_s()
        _log.info(
            "store changes read",
            revision=answer.changes.revision,
            known_revision=self._revision,
            exact=answer.is_exact,
            copied_from=answer.copied_from,
            bytes=answer.changes.encoded_bytes,
            took_s=round(now_s - answer.sent_s, 3),
            proved_age_s=round(now_s - self._follower.proved_s, 3),
            reported_age_s=round(self._follower.confirmed_age_s(now_s), 3),
        )

    def _report_read(self, answer: _store_calls.Answer) -> None:
        """Reports up to which revision this daemon has read the store.

        The report takes the way of the changes, which are in force first.
        """
        self._subscriber.force(
            fleet_events.StoreRead(
                self._revision, answer.complete_at_s, answer.is_exact
            )
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

        A daemon that follows others waits no longer than it trusts them, and
        one that others follow no longer than until the next proof is due.
        """
        if not changes.entries:
            return
        now_s = self._clock.now_s()
        wait_s = self._follower.batch_s(now_s - self._started_s < STARTUP_S)
        left_s = self._follower.silence_left_s(now_s)
        if self._published_revision is not None:
            left_s = self._proof_due_s() - now_s
        await asyncio.sleep(min(wait_s, left_s) if left_s > 0.0 else wait_s)

    def _publish_revision(self, revision: int | None) -> None:
        """Publishes the watched revision, or None if the watch ends."""
        is_change = (revision is None) != (self._published_revision is None)
        if revision is None and not is_change:
            return
        if is_change:
            _log.info("store watch changed", revision=revision)
        self._published_revision = revision
        self._peer_monitor.force(
            fleet_events.WatchedRevisionChanged(
                revision, self._follower.proved_s, self._copy.large_revision
            )
        )

    def _on_failed(self, error: errors.StoreError) -> None:
        self._publish_revision(None)
        self._follower.record_lost_response()
        if not self._is_store_lost:
            _log.warning(
                "store unavailable",
                error=str(error),
                revision=self._revision,
                silent_s=round(
                    self._clock.now_s() - self._follower.proved_s, 3
                ),
            )
            self._is_store_lost = True
            self._subscriber.force(store_events.StoreLost())
