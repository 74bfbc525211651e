"""The store, links and calls of simulated daemons, which take time."""

from __future__ import annotations

import asyncio
import bisect
import math

from dotterelpath import errors
from dotterelpath.adapters import http_client
from dotterelpath.adapters import store_client
from dotterelpath.domain import exchange
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
    return sum(len(entry.value) for entry in changes.entries)


class SimulatedStore:
    """The changes of a store, and when each was acknowledged."""

    def __init__(self, loop, source, max_stale_s):
        self.acknowledged_s = [0.0]
        self._entries = [create_entry(1, SMALL_BYTES)]
        self.link = Link(loop)
        self._loop = loop
        self._random = source
        self._max_stale_s = max_stale_s
        self._changed = asyncio.Event()

    @property
    def revision(self):
        return len(self.acknowledged_s)

    def change(self, size=SMALL_BYTES):
        self.acknowledged_s.append(self._loop.time())
        self._entries.append(create_entry(self.revision, size))
        self._changed.set()
        self._changed = asyncio.Event()

    def changes_after(self, revision, may_be_stale):
        """Returns the changes that a response has."""
        known = self.revision
        if may_be_stale:
            oldest_s = self._loop.time() - self._random.random() * (
                self._max_stale_s
            )
            known = max(1, bisect.bisect(self.acknowledged_s, oldest_s))
        entries = self._entries[revision:known]
        if not revision:
            entries = list({entry.key: entry for entry in entries}.values())
        return store_port.Changes(entries, known, not revision)

    async def wait_for_change(self, revision, wait_s):
        """Waits for a change after a revision, or until the wait ends."""
        until_s = self._loop.time() + wait_s
        while self.revision <= revision and self._loop.time() < until_s:
            try:
                async with asyncio.timeout(until_s - self._loop.time()):
                    await self._changed.wait()
            except TimeoutError:
                return


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
        after_revision,
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
            self._call(after_revision, wait_s, may_be_stale, response)
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

    async def _call(self, after_revision, wait_s, may_be_stale, response):
        await self._cross()
        if not may_be_stale:
            await self._store.wait_for_change(after_revision, wait_s)
        changes = self._store.changes_after(after_revision, may_be_stale)
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

    async def changes_after(self, daemon, revision, transfer):
        if self.is_lost:
            raise errors.StoreError("no response")
        holder = self._fleet.members[daemon.peer_port]
        try:
            async with asyncio.timeout(transfer.pause_s):
                await self._cross(holder)
        except TimeoutError:
            raise errors.StoreError("no response") from None
        changes = holder.reader.changes_after(revision)
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
