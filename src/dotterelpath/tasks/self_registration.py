"""The task that registers this daemon in the platform's store."""

from __future__ import annotations

import asyncio
import reprlib

import structlog

from dotterelpath import errors
from dotterelpath.ports import randomness
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import store_events

# The time, in seconds, after which the entry of a VM that is gone expires.
# The platform allows no longer lease.
LEASE_S = 600.0
RENEWAL_INTERVAL_S = LEASE_S / 3.0
# The pause after a failed call, in seconds.
RETRY_INTERVAL_S = 2.0
# The longest pause before the entry is checked in a store that came back from
# an older copy, in seconds. It spreads the calls of the fleet over time.
RESTORE_PAUSE_S = 2.0

_log = structlog.get_logger()


class SelfRegistration:
    """Keeps this daemon's entry in the store.

    A restarted daemon that finds its earlier entry renews its lease and
    writes nothing, so that no other daemon is notified. A store that came back
    from an older copy may lack the entry, which is then written again.
    """

    __slots__ = (
        "_key",
        "_mailbox",
        "_may_read_stale",
        "_random",
        "_store",
        "_value",
    )

    def __init__(
        self,
        key: str,
        value: str,
        store: store_port.Store,
        random: randomness.RandomSource,
        inbox: mailbox.Mailbox[store_events.StoreRestored],
    ) -> None:
        """Creates the task's state.

        Args:
            key: The key of the entry.
            value: The entry.
            store: The store.
            random: The random source that spreads the calls of the fleet
                over time.
            inbox: This task's mailbox.
        """
        self._mailbox = inbox
        self._may_read_stale = True
        self._key = key
        self._value = value
        self._store = store
        self._random = random

    async def run(self) -> None:
        """Renews the entry until cancelled."""
        while True:
            try:
                await self._register()
                self._may_read_stale = True
                pause_s = RENEWAL_INTERVAL_S
            except (errors.StoreError, errors.UnknownOutcomeError) as error:
                _log.warning("daemon not registered", error=str(error))
                pause_s = RETRY_INTERVAL_S
            await self._wait(pause_s * (0.5 + self._random.random()))

    async def _wait(self, pause_s: float) -> None:
        """Waits, for a shorter time if the store is restored meanwhile."""
        try:
            async with asyncio.timeout(pause_s):
                await self._mailbox.receive()
        except TimeoutError:
            return
        # A stale read may be one of the earlier era.
        self._may_read_stale = False
        await asyncio.sleep(RESTORE_PAUSE_S * self._random.random())

    async def _register(self) -> None:
        # A stale read is harmless: an expired lease cannot be renewed, and
        # a key that exists cannot be created.
        found = await self._store.get(self._key, self._may_read_stale)
        if found.value == self._value and found.lease:
            if await self._store.renew(found.lease):
                return
            found = await self._store.get(self._key)
        if found.value is not None:
            await self._store.delete(self._key)
        created = await self._store.create(self._key, self._value, LEASE_S)
        if created.value != self._value:
            raise errors.StoreError(
                f"{self._key!r} has the entry {reprlib.repr(created.value)}, "
                f"expected {self._value!r}"
            )
        _log.info("daemon registered", key=self._key)
