"""The part of the store reader that calls the store and peers."""

from __future__ import annotations

import structlog

from dotterelpath import errors
from dotterelpath.domain import exchange
from dotterelpath.domain import steering
from dotterelpath.domain import store_following
from dotterelpath.domain import store_position
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import store as store_port
from dotterelpath.ports import store_copies

_log = structlog.get_logger()


class Answer:
    """The changes that a call returned, and what they prove."""

    __slots__ = (
        "changes",
        "complete_at_s",
        "copied_from",
        "is_exact",
        "proved_at_s",
        "sent_s",
    )

    def __init__(
        self,
        changes: store_port.Changes,
        complete_at_s: float,
        is_exact: bool,
        proved_at_s: float | None = None,
        sent_s: float | None = None,
        copied_from: str | None = None,
    ) -> None:
        """Creates an answer.

        Args:
            changes: The changes.
            complete_at_s: The time for which they are complete for sure if the
                answer is exact, on the monotonic clock, in seconds.
            is_exact: Whether the answer cannot be older than the call.
            proved_at_s: The time for which they are complete if the response
                was not delayed on its way; complete_at_s if None.
            sent_s: When the call was sent, on the monotonic clock, in seconds;
                complete_at_s if None.
            copied_from: The id of the daemon whose copy was read; None if the
                store itself was.
        """
        self.copied_from = copied_from
        self.sent_s = complete_at_s if sent_s is None else sent_s
        self.changes = changes
        self.complete_at_s = complete_at_s
        self.is_exact = is_exact
        self.proved_at_s = complete_at_s if proved_at_s is None else proved_at_s


class StoreCalls:
    """Reads changes of the store, and records how long the responses took.

    All calls raise StoreError if the store did not respond. Large changes are
    read from the copies of other daemons, if one of them has reported them.
    """

    __slots__ = (
        "_clock",
        "_copies",
        "_daemons",
        "_follower",
        "_prefix",
        "_store",
    )

    def __init__(
        self,
        prefix: str,
        store: store_port.Store,
        clock: clock_port.Clock,
        follower: store_following.StoreFollower,
        copies: store_copies.StoreCopies | None = None,
    ) -> None:
        """Creates the calls.

        Args:
            prefix: The prefix of the keys.
            store: The store.
            clock: Tells the time.
            follower: Knows how long a response may take, and who has a copy.
            copies: Reads copies of other daemons; without it, only the store
                is read.
        """
        self._copies = copies
        self._daemons: dict[str, steering.Daemon] = {}
        self._prefix = prefix
        self._store = store
        self._clock = clock
        self._follower = follower

    def set_daemons(self, daemons: dict[str, steering.Daemon]) -> None:
        """Sets the daemons that call the store and may have copies.

        Args:
            daemons: The daemons by id.
        """
        self._daemons = daemons
        self._store.set_daemon_count(len(daemons))

    def new_transfer(self) -> exchange.Transfer:
        """Creates the transfer of a response with changes."""
        return exchange.Transfer(
            self._follower.response_s, self._follower.transfer_s
        )

    async def watch(
        self,
        position: store_position.Position,
        wait_s: float,
        transfer: exchange.Transfer,
    ) -> Answer:
        """Waits for changes.

        The store responds to a watch when it has changes, or when the wait is
        over: what the response says was true then.

        Args:
            position: The position after which changes are returned.
            wait_s: How long to wait for a change, in seconds.
            transfer: How the response may arrive.
        """
        sent_s = self._clock.now_s()
        changes = await self._store.watch(
            self._prefix, position, wait_s, False, transfer
        )
        now_s = self._clock.now_s()
        if changes.entries:
            # What changed while the response arrived is not in it.
            return Answer(changes, sent_s, True, transfer.began_s or now_s)
        took_s = now_s - sent_s
        self._follower.record_response(max(0.0, took_s - wait_s))
        return Answer(changes, sent_s + min(took_s, wait_s), True, None, sent_s)

    async def read(
        self, position: store_position.Position, may_be_stale: bool
    ) -> Answer:
        """Reads changes without waiting.

        Args:
            position: The position after which changes are returned.
            may_be_stale: Whether the answer may be seconds old.
        """
        sent_s = self._clock.now_s()
        transfer = self.new_transfer()
        changes = await self._store.watch(
            self._prefix, position, 0.0, may_be_stale, transfer
        )
        began_s = transfer.began_s or self._clock.now_s()
        self._follower.record_response(began_s - sent_s)
        return Answer(changes, sent_s, not may_be_stale)

    async def read_reported(
        self, position: store_position.Position, is_store_lost: bool
    ) -> Answer:
        """Reads the changes up to the position that another daemon reported.

        Args:
            position: The position after which changes are returned.
            is_store_lost: Whether the last call to the store failed.
        """
        target = self._follower.reported
        copied = await self._read_copy(position, target, is_store_lost)
        if copied is not None:
            return copied
        try:
            answer = await self.read(position, may_be_stale=True)
            if answer.changes.position >= target:
                return answer
        except errors.StoreEraError as error:
            # A replica may not have entered the era of the store yet.
            _log.info("stale answer not used", error=str(error))
        return await self.read(position, may_be_stale=False)

    async def read_all(
        self,
        may_list_stale: bool,
        known: store_position.Position,
        is_store_lost: bool,
    ) -> Answer:
        """Reads all keys.

        Args:
            may_list_stale: Whether to begin with stale pages, which cost less.
            known: The newest position that was known; only a copy of a newer
                one is read.
            is_store_lost: Whether the last call to the store failed.
        """
        start = known.start_of_era
        target = self._follower.reported
        if target > known:
            copied = await self._read_copy(start, target, is_store_lost)
            if copied is not None:
                return copied
        sent_s = self._clock.now_s()
        changes = await self._store.watch(
            self._prefix, start, 0.0, may_list_stale
        )
        return Answer(changes, sent_s, True)

    async def _read_copy(
        self,
        position: store_position.Position,
        target: store_position.Position,
        is_store_lost: bool,
    ) -> Answer | None:
        """Reads the copy of another daemon, if that is better than the store.

        A copy of an earlier era is older than the target.

        Returns:
            The answer; None if the store is to be read.
        """
        holder_id = self._follower.copy_holder_id(position, is_store_lost)
        holder = self._daemons.get(holder_id or "")
        if holder is None or self._copies is None:
            return None
        sent_s = self._clock.now_s()
        try:
            changes = await self._copies.changes_after(
                holder,
                position,
                exchange.Transfer(
                    self._follower.copy_response_s, self._follower.transfer_s
                ),
            )
            if changes.position < target:
                raise errors.StoreError(
                    f"copy of {holder.id}: {changes.position}, not {target}"
                )
            if not changes.is_full:
                store_position.check_answer(changes.position, position)
        except errors.StoreError as error:
            _log.info("copy of the store not read", error=str(error))
            self._follower.record_lost_copy()
            return None
        return Answer(changes, sent_s, False, copied_from=holder.id)
