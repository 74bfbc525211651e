"""The store, links and calls of simulated daemons, which take time."""

from __future__ import annotations

import asyncio
import bisect
import math

from dotterelpath import errors
from dotterelpath.adapters import http_client
from dotterelpath.adapters import store_client
from dotterelpath.domain import exchange
from dotterelpath.domain import store_position
from dotterelpath.ports import store as store_port

# One way to the store and to other daemons, in seconds.
STORE_LATENCY_S = (0.002, 0.008)
PEER_LATENCY_S = (0.0005, 0.005)
# The bytes of a change of one instance, as the store sends it.
SMALL_BYTES = 400
# The longest part of a response that a link carries at once, in bytes.
PART_BYTES = 32 * 1024
MBIT_BYTES = 1e6 / 8.0
# The bytes of a peer's response, as a share of those of the store's.
COMPRESSED_SHARE = 0.1


class Link:
    """Carries bytes one after the other, at a rate."""

    def __init__(self, loop, bytes_per_s=math.inf):
        self._loop = loop
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    async def carry(self, size):
        now_s = self._loop.time()
        self._free_s = max(now_s, self._free_s) + size / self._bytes_per_s
        await asyncio.sleep(self._free_s - now_s)


def create_entry(revision, size):
    """Creates the entry of an instance, or a large configuration."""
    key = "configuration" if size > SMALL_BYTES else "instance"
    return store_port.VersionedValue(key, str(revision).ljust(size), revision)


def encoded_size(changes):
    """Returns the bytes of a response of the store with changes."""
    return sum(len(entry.value or "") for entry in changes.entries)


class Era:
    """The changes of an era of a store, and when each was acknowledged."""

    def __init__(self, number, began_s, entries, acknowledged_s):
        self.number = number
        self.began_s = began_s
        self.entries = entries
        self.acknowledged_s = acknowledged_s

    @property
    def position(self):
        """The position of the newest change."""
        return self.position_at(math.inf)

    def position_at(self, at_s):
        """Returns the position of the last change until a time."""
        revision = max(1, bisect.bisect(self.acknowledged_s, at_s))
        return store_position.Position(self.number, revision)

    def keys_at(self, revision):
        """Returns the values of the keys that exist at a revision."""
        values = {e.key: e.value for e in self.entries[:revision]}
        return {k: value for k, value in values.items() if value is not None}


class SimulatedStore:
    """The changes of a store, which may come back from an older copy."""

    def __init__(self, loop, source, max_stale_s):
        self.eras = [Era(1, 0.0, [create_entry(1, SMALL_BYTES)], [0.0])]
        self.link = Link(loop)
        self._loop = loop
        self._random = source
        self._max_stale_s = max_stale_s
        self._changed = asyncio.Event()

    @property
    def era(self):
        """The present era."""
        return self.eras[-1]

    @property
    def position(self):
        return self.era.position

    @property
    def revision(self):
        return self.position.revision

    def change(self, size=SMALL_BYTES):
        self.put(create_entry(self.revision + 1, size))

    def set(self, key, value):
        """Writes a key; with None, deletes it."""
        revision = self.revision + 1
        self.put(store_port.VersionedValue(key, value, revision))

    def put(self, entry):
        """Adds a change."""
        self.era.acknowledged_s.append(self._loop.time())
        self.era.entries.append(entry)
        self._notify()

    def restore(self, age_s):
        """Goes back to a copy of the present era; returns what is lost.

        Args:
            age_s: The age of the copy, in seconds.
        """
        now_s = self._loop.time()
        era = self.era
        revision = era.position_at(now_s - age_s).revision
        self.eras.append(
            Era(
                era.number + 1,
                now_s,
                era.entries[:revision],
                era.acknowledged_s[:revision],
            )
        )
        self._notify()
        return era.entries[revision:]

    def changes_after(self, position, may_be_stale):
        """Returns the changes that a response has.

        A stale one may be of a replica that has not entered the era yet.
        """
        era = self.era
        newest = era.position
        if may_be_stale:
            oldest_s = self._loop.time() - self._random.random() * (
                self._max_stale_s
            )
            era = [e for e in self.eras if e.began_s <= oldest_s][-1]
            newest = era.position_at(oldest_s)
        revision = position.revision
        if revision > era.position.revision:
            raise errors.HistoryLostError("status 410")
        entries = era.entries[revision : newest.revision]
        if not revision:
            entries = list({entry.key: entry for entry in entries}.values())
        store_position.check_answer(newest, position)
        return store_port.Changes(entries, newest, not revision)

    async def wait_for_change(self, position, wait_s):
        """Waits for a change after a revision, or until the wait ends."""
        until_s = self._loop.time() + wait_s
        while (
            self.revision <= position.revision and self._loop.time() < until_s
        ):
            try:
                async with asyncio.timeout(until_s - self._loop.time()):
                    await self._changed.wait()
            except TimeoutError:
                return

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()


class ArrivingResponse:
    """When the parts of a response arrived; see exchange.ResponseSource."""

    def __init__(self, loop):
        self.last_received_s = loop.time()
        self.response_began_s = None
        self._loop = loop

    def note_part(self):
        self.last_received_s = self._loop.time()
        if self.response_began_s is None:
            self.response_began_s = self.last_received_s


class StorePath:
    """The calls of one daemon to the store; see ports.store.Store."""

    def __init__(self, member, store, source):
        self.calls = 0
        self.stale_calls = 0
        self._member = member
        self._store = store
        self._random = source

    def set_daemon_count(self, count):
        pass

    async def watch(
        self,
        prefix,
        after,
        wait_s,
        may_be_stale=False,
        transfer=None,
    ):
        if may_be_stale:
            self.stale_calls += 1
        else:
            self.calls += 1
        transfer = transfer or exchange.Transfer(
            store_client.MAX_PAUSE_S, http_client.MAX_TRANSFER_S
        )
        response = ArrivingResponse(self._member.loop)
        transfer.follow(response)
        call = asyncio.create_task(
            self._call(after, wait_s, may_be_stale, response)
        )
        reset = asyncio.create_task(self._member.wait_for_reset())
        try:
            await self._receive(call, reset, wait_s, transfer)
            if call.done():
                return call.result()
            raise errors.StoreError("reset")
        finally:
            call.cancel()
            reset.cancel()
            await asyncio.gather(call, reset, return_exceptions=True)

    async def _receive(self, call, reset, wait_s, transfer):
        """Waits for a response as adapters.http_client does."""
        loop = self._member.loop
        begin_by_s = loop.time() + wait_s + transfer.pause_s
        while not call.done() and not reset.done():
            left_s = transfer.wait_until_s(begin_by_s, loop.time())
            left_s -= loop.time()
            if left_s <= 0.0 and transfer.began_s is None:
                raise errors.StoreError("no response")
            if left_s <= 0.0:
                raise errors.IncompleteResponseError("no complete response")
            await asyncio.wait(
                (call, reset),
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def _call(self, after, wait_s, may_be_stale, response):
        await self._cross()
        if not may_be_stale:
            await self._store.wait_for_change(after, wait_s)
        changes = self._store.changes_after(after, may_be_stale)
        size = encoded_size(changes)
        await self._cross()
        for start in range(0, size, PART_BYTES):
            part_size = min(PART_BYTES, size - start)
            await self._store.link.carry(part_size)
            await self._member.link.carry(part_size)
            await self._fail_in_fault()
            response.note_part()
        await self._member.processor.carry(size)
        return changes

    async def _cross(self):
        """Takes one way between the daemon and the store, or loses the call."""
        await asyncio.sleep(self._random.uniform(*STORE_LATENCY_S))
        await self._fail_in_fault()

    async def _fail_in_fault(self):
        fault = self._member.fault()
        if fault is not None and fault.kind == "reset":
            raise errors.StoreError("reset")
        if fault is not None:
            await asyncio.sleep(math.inf)


class PeerCopies:
    """Reads other daemons' copies; see ports.store_copies.StoreCopies."""

    def __init__(self, member, fleet):
        self.read_count = 0
        self.is_lost = False
        self._member = member
        self._fleet = fleet

    async def changes_after(self, daemon, position, transfer):
        if self.is_lost:
            raise errors.StoreError("no response")
        holder = self._fleet.members[daemon.peer_port]
        try:
            async with asyncio.timeout(transfer.pause_s):
                await self._cross(holder)
        except TimeoutError:
            raise errors.StoreError("no response") from None
        changes = holder.reader.changes_after(position)
        size = encoded_size(changes)
        for link in (holder.link, self._member.link):
            await link.carry(size * COMPRESSED_SHARE)
        await self._member.processor.carry(size)
        self.read_count += 1
        return changes

    async def _cross(self, holder):
        """Takes the way between two daemons, or loses the call."""
        await asyncio.sleep(self._fleet.random.uniform(*PEER_LATENCY_S))
        faults = (self._member.fault(), holder.fault())
        if any(f is not None and f.kind == "cut" for f in faults):
            await asyncio.sleep(math.inf)
