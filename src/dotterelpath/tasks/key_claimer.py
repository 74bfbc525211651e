"""The task that claims keys made by callers in the store."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import keys
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

PREFIX = "claims/"
# The time that the store keeps a claim, in seconds. Daemons keep records for a
# shorter time (see domain.records).
LEASE_S = 3600.0
# A claim fails while this many are in progress.
MAX_OPEN_CLAIMS = 64

_log = structlog.get_logger()


class KeyClaimer:
    """Records in the store one home for each key made by a caller.

    The value of a claim has a nonce. If the response of the store is lost,
    reading the claim shows whether this very claim was applied.
    """

    __slots__ = (
        "_dispatcher",
        "_home",
        "_mailbox",
        "_nonces",
        "_open_tasks",
        "_store",
    )

    def __init__(
        self,
        home: keys.Home,
        store: store_port.Store,
        inbox: mailbox.Mailbox[typing.Any],
        dispatcher: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            home: This daemon.
            store: The store of the claims.
            inbox: This task's mailbox.
            dispatcher: The mailbox that gets the results of claims.
        """
        self._home = home
        self._store = store
        self._mailbox = inbox
        self._dispatcher = dispatcher
        self._nonces = itertools.count(1)
        self._open_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Handles messages until cancelled."""
        try:
            while True:
                self.on_claim_key(await self._mailbox.receive())
        finally:
            for task in self._open_tasks:
                task.cancel()

    def on_claim_key(self, message: messages.ClaimKey) -> None:
        """Starts a claim, or fails it if too many are in progress.

        Args:
            message: The key to claim.
        """
        if len(self._open_tasks) >= MAX_OPEN_CLAIMS:
            self._reply(message, None, False)
            return
        task = asyncio.get_running_loop().create_task(self._claim(message))
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)

    async def _claim(self, message: messages.ClaimKey) -> None:
        digest = hashlib.sha256(message.scoped_key.encode()).hexdigest()
        key = PREFIX + digest
        # The daemon's id, its incarnation and the nonce, separated by dots.
        own_value = f"{self._home!r}.{next(self._nonces)}"
        try:
            found = await self._create(key, own_value)
        except errors.StoreError as error:
            _log.info("claim failed", error=str(error))
            self._reply(message, None, False)
            return
        if found.value == own_value:
            self._reply(message, self._home, True)
            return
        self._reply(message, _parse_home(found.value), False)

    async def _create(
        self, key: str, own_value: str
    ) -> store_port.VersionedValue:
        try:
            return await self._store.create(key, own_value, LEASE_S)
        except errors.UnknownOutcomeError:
            found = await self._store.get(key)
            if found.value is None:
                raise errors.StoreError(
                    f"no {key} in the store after an unknown outcome"
                ) from None
            return found

    def _reply(
        self, message: messages.ClaimKey, home: keys.Home | None, is_new: bool
    ) -> None:
        self._dispatcher.force(
            messages.ClaimEnded(message.dispatch_id, home, is_new)
        )


def _parse_home(value: str | None) -> keys.Home | None:
    parts = (value or "").split(".")
    if len(parts) != 3:
        return None
    return keys.Home(parts[0], parts[1])
