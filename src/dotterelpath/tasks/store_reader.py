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
from dotterelpath.domain import store_position
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import randomness
from dotterelpath.ports import store as store_port
from dotterelpath.ports import store_copies
from dotterelpath.tasks import _store_calls
from dotterelpath.tasks import _store_reports
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox

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

    The known position never decreases: a response that is older than what is
    known is an error of the store, and nothing of it is passed on. At a later
    era of the store, all keys are read.
    """

    __slots__ = (
        "_apply_s",
        "_calls",
        "_clock",
        "_copy",
        "_follower",
        "_is_store_lost",
        "_is_strict",
        "_known",
        "_mailbox",
        "_may_list_stale",
        "_must_read_all",
        "_random",
        "_reports",
        "_started_s",
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
            peer_monitor: Gets the position to report to other daemons.
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
        self._follower = store_following.StoreFollower(apply_s, daemon_id)
        self._reports = _store_reports.StoreReports(
            clock, self._follower, subscriber, peer_monitor
        )
        self._calls = _store_calls.StoreCalls(
            prefix, store, clock, self._follower, copies
        )
        self._copy = store_copy.StoreCopy()
        self._known = store_position.NOTHING
        self._must_read_all = True
        self._may_list_stale = True
        self._is_store_lost = False

    @property
    def follower(self) -> store_following.StoreFollower:
        """Decides whether this daemon watches the store."""
        return self._follower

    @property
    def _position(self) -> store_position.Position:
        """The position to read changes from.

        With revision 0 if all keys must be read.
        """
        return self._known.start_of_era if self._must_read_all else self._known

    def changes_after(
        self, position: store_position.Position
    ) -> store_port.Changes:
        """Returns changed keys; see store_copies.CopyHolder."""
        return self._copy.changes_after(position)

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
                self._position, self._clock.now_s(), self._is_store_lost
            )
            if step is not store_following.Step.WATCH:
                self._reports.withdraw()
            try:
                await steps[step]()
            except errors.HistoryLostError as error:
                await self._on_history_lost(error)
            except errors.StoreError as error:
                is_first = not self._is_store_lost
                self._on_failed(error)
                if not self._must_read_all and isinstance(
                    error, errors.IncompleteResponseError
                ):
                    # All keys may be shorter than their changes.
                    self._read_all_next()
                    continue
                await asyncio.sleep(
                    FIRST_RETRY_S * self._random.random()
                    if is_first
                    else RETRY_INTERVAL_S * (0.5 + self._random.random())
                )

    async def _on_history_lost(self, error: errors.HistoryLostError) -> None:
        """Makes the next read one of all keys.

        Until then, this daemon does not report a position, which may be one of
        an earlier era.
        """
        _log.info(
            "store history lost",
            era=self._known.era,
            revision=self._known.revision,
            reason=str(error),
        )
        self._reports.withdraw()
        was_reading_all = self._must_read_all
        self._read_all_next()
        if was_reading_all:
            # The store may change its era again and again.
            await asyncio.sleep(FIRST_RETRY_S * self._random.random())

    def _read_all_next(self) -> None:
        self._must_read_all = True
        self._may_list_stale = False

    def handle(self, message: typing.Any) -> None:
        """Handles one message.

        Args:
            message: A position or a ping of another daemon, the daemons of
                the fleet, or changed settings.
        """
        if isinstance(message, fleet_events.PositionReceived):
            self._on_position_received(message)
        elif isinstance(message, fleet_events.PeerPinged):
            self._follower.record_query(message.at_s)
        elif isinstance(message, fleet_events.DaemonsChanged):
            self._calls.set_daemons(message.daemons)
        elif isinstance(message, fleet_events.BoundsChanged):
            self._is_strict = message.bounds.is_revocation_strict
            self._apply_s = message.bounds.store_apply_s
            self._follower.set_apply_s(self._apply_s)

    def _on_position_received(
        self, message: fleet_events.PositionReceived
    ) -> None:
        if message.position > max(self._position, self._follower.reported):
            _log.info(
                "store revision reported",
                daemon=message.daemon_id,
                era=message.position.era,
                revision=message.position.revision,
                known_era=self._known.era,
                known_revision=self._known.revision,
            )
        self._follower.record_report(
            message.position,
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
        if self._must_read_all:
            await self._read_all()
            return
        answer = await self._watch_and_check(self._watch_wait_s())
        self._on_answer(answer)
        if not self._is_store_lost:
            self._publish()
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
            self._calls.watch(self._known, wait_s, transfer)
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
        if self._follower.reported > self._known:
            reported_s = self._follower.newer_reported_s
            due_s = max(reported_s, sent_s) + REPORT_GRACE_S
            if self._follower.copy_holder_id(self._known, self._is_store_lost):
                return due_s
        if not self._is_store_lost:
            # The watch itself may prove the revision meanwhile.
            answered_s = sent_s + self._follower.response_s
            due_s = min(due_s, max(self._proof_due_s(), answered_s))
        return max(due_s, transfer.lost_from_s or due_s)

    def _proof_due_s(self) -> float:
        is_strict = self._is_strict and self._reports.is_published
        return self._follower.proof_due_s(self._known, is_strict)

    async def _check(self) -> _store_calls.Answer:
        """Asks for later changes while a watch is pending."""
        if self._follower.reported > self._known:
            return await self._calls.read_reported(
                self._known, self._is_store_lost
            )
        return await self._calls.read(self._known, may_be_stale=False)

    def _has_news(self, answer: _store_calls.Answer) -> bool:
        changes = answer.changes
        return bool(changes.entries) or changes.position > self._known

    def _on_checked(self, answer: _store_calls.Answer) -> None:
        """Takes an answer without changes as a proof of what is known."""
        if answer.is_exact:
            self._record_proof(answer)
            self._reports.report_read(self._known, answer)
            self._publish()

    async def _read_all(self) -> None:
        """Reads all keys, the first time in stale pages, which cost little."""
        answer = await self._calls.read_all(
            self._may_list_stale, self._known, self._is_store_lost
        )
        self._on_answer(answer)
        if self._may_list_stale:
            self._follower.record_first_read(answer.sent_s)
        self._may_list_stale = False

    async def _catch_up(self) -> None:
        """Reads the changes up to the position that another daemon reported."""
        answer = await self._calls.read_reported(
            self._known, self._is_store_lost
        )
        self._on_answer(answer)
        await self._wait_for_batch(answer.changes)

    async def _follow(self) -> None:
        """Waits for a message of another daemon."""
        now_s = self._clock.now_s()
        if now_s - self._reports.reported_s > IDLE_REPORT_INTERVAL_S:
            self._reports.report_changes(
                store_port.Changes([], self._known), MAX_SILENCE_S
            )
        try:
            async with asyncio.timeout(self._follower.silence_left_s(now_s)):
                self.handle(await self._mailbox.receive())
        except TimeoutError:
            _log.info(
                "no store revisions from other daemons",
                revision=self._known.revision,
                reported_revision=self._follower.reported.revision,
                confirmed_age_s=round(
                    self._follower.confirmed_age_s(self._clock.now_s()), 3
                ),
            )

    def _watch_wait_s(self) -> float:
        """Returns the wait of the next watch, in seconds."""
        if self._is_store_lost:
            return RECOVERY_WAIT_S
        # The first watch returns at once: followers wait for the position that
        # it publishes, and what is known is old if there were no reports.
        if not self._reports.is_published:
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
        if changes.position < self._known:
            raise errors.StoreError(
                f"the response has {changes.position}, older than the known"
                f" {self._known}"
            )
        # The store was available before this call, which may have been a watch
        # that waited for up to its timeout.
        max_silence_s = MAX_SILENCE_S
        self._reports.log_changes(self._known, answer)
        if self._is_store_lost:
            max_silence_s = 0.0
            if answer.copied_from is None:
                _log.info(
                    "store available again",
                    era=changes.position.era,
                    revision=changes.position.revision,
                )
                self._is_store_lost = False
        self._copy.apply(changes)
        self._known = changes.position
        self._must_read_all = False
        self._record_proof(answer)
        self._reports.report_changes(changes, max_silence_s)
        self._reports.report_read(self._known, answer)

    def _publish(self) -> None:
        self._reports.publish(self._known, self._copy.large_revision)

    def _record_proof(self, answer: _store_calls.Answer) -> None:
        if answer.is_exact:
            self._follower.record_proof(
                self._known, answer.proved_at_s, answer.complete_at_s
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
        if self._reports.is_published:
            left_s = self._proof_due_s() - now_s
        await asyncio.sleep(min(wait_s, left_s) if left_s > 0.0 else wait_s)

    def _on_failed(self, error: errors.StoreError) -> None:
        self._reports.withdraw()
        self._follower.record_lost_response()
        if isinstance(error, errors.StoreEraError):
            # Stale pages may be of an earlier era for a while.
            self._may_list_stale = False
            _log.error(
                "store era invalid",
                code=int(error.code),
                error=str(error),
                known_era=self._known.era,
            )
        if not self._is_store_lost:
            _log.warning(
                "store unavailable",
                error=str(error),
                revision=self._known.revision,
                silent_s=round(
                    self._clock.now_s() - self._follower.proved_s, 3
                ),
            )
            self._is_store_lost = True
            self._reports.report_lost()
