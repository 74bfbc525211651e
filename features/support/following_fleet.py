"""A fleet that follows the store, with faults, in simulated time."""

from __future__ import annotations

import asyncio
import bisect
import math
import random

from dotterelpath import errors
from dotterelpath.adapters import http_client
from dotterelpath.adapters import store_client
from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.domain import steering
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import peer_monitor
from dotterelpath.tasks import store_events
from dotterelpath.tasks import store_reader
from features.support import deployments
from features.support import gateway_world
from features.support import simulated_time

# How long a daemon must have been without a fault until the bounds hold for it,
# in seconds; the users' pages state it.
STABLE_S = 3.0
# One way to the store and to other daemons, in seconds.
STORE_LATENCY_S = (0.002, 0.008)
PEER_LATENCY_S = (0.0005, 0.005)
# How often it is checked what the daemons know, in seconds.
CHECK_S = 0.05
# The bytes of a change of one instance, as the store sends it.
SMALL_BYTES = 400
# The longest part of a response that a link carries at once, in bytes.
PART_BYTES = 32 * 1024
# What a processor core decodes in a second, in bytes of the store's responses.
DECODED_BYTES_PER_S = 9e6
MBIT_BYTES = 1e6 / 8.0
# The bytes of a peer's response, as a share of those of the store's.
COMPRESSED_SHARE = 0.1
USUAL_RESOURCES = steering.Resources(1.0, 5.0)


class Fault:
    """A time in which a daemon's connections fail.

    Attributes:
        kind: "silent": the store gets no calls, or their responses are lost;
            "reset": they fail at once; "cut": silent, and no datagrams either.
    """

    def __init__(self, start_s, end_s, kind):
        self.start_s = start_s
        self.end_s = end_s
        self.kind = kind


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
        self._member = member
        self._fleet = fleet

    async def changes_after(self, daemon, revision, transfer):
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


class Member:
    """A daemon: its store reader and its peer monitor."""

    def __init__(self, fleet, number, data_centre, resources):
        self.id = f"d{number}"
        self.loop = fleet.loop
        self.resources = resources or USUAL_RESOURCES
        self.link = Link(fleet.loop)
        self.processor = Link(fleet.loop)
        if resources is not None:
            self.link = Link(fleet.loop, resources.link_mbps * MBIT_BYTES)
            self.processor = Link(
                fleet.loop, resources.cores * DECODED_BYTES_PER_S
            )
        self.lost_count = 0
        self.number = number
        self.data_centre = data_centre
        self.faults = []
        self.known_revision = 0
        self._fleet = fleet
        clock = fleet.clock
        source = random.Random(f"{fleet.seed} {number}")
        self.path = StorePath(self, fleet.store, source)
        self.copies = PeerCopies(self, fleet)
        self.known = mailbox.Mailbox("known", 10**6)
        self.reader_inbox = mailbox.Mailbox("reader", 10**6)
        self.monitor_inbox = mailbox.Mailbox("monitor", 10**6)
        self.monitor = peer_monitor.PeerMonitor(
            deployments.make(self.id, data_centre, number, self.resources),
            clock,
            lambda: 0.0,
            lambda: 0,
            self.monitor_inbox,
            mailbox.Mailbox("gateway", 10**6),
            self.reader_inbox,
        )
        self.monitor.connect(self)
        self.reader = store_reader.StoreReader(
            "",
            self.path,
            clock,
            source,
            self.reader_inbox,
            self.known,
            self.monitor_inbox,
            fleet.apply_s,
            daemon_id=self.id,
            copies=self.copies,
        )

    @property
    def is_watching(self):
        return self.monitor.store_revision is not None

    def fault(self):
        """Returns the fault that holds now."""
        now_s = self._fleet.clock.now_s()
        return next(
            (f for f in self.faults if f.start_s <= now_s < f.end_s), None
        )

    def is_calm(self, now_s):
        """Tells whether there has been no fault for long enough."""
        return not any(
            f.start_s <= now_s and f.end_s > now_s - STABLE_S
            for f in self.faults
        )

    async def wait_for_reset(self):
        """Waits until a fault resets the open connections."""
        while True:
            now_s = self._fleet.clock.now_s()
            starts = [f for f in self.faults if f.kind == "reset"]
            next_s = min(
                (f.start_s for f in starts if f.start_s >= now_s),
                default=math.inf,
            )
            if next_s == math.inf:
                await asyncio.sleep(1.0)
                continue
            await asyncio.sleep(next_s - now_s)
            return

    def send(self, host, port, datagram):
        """Sends a datagram to another daemon; see ports.datagrams."""
        self._fleet.send(self, port, datagram)

    def note_known(self):
        """Reads up to which revision this daemon knows the store."""
        while (message := self.known.poll()) is not None:
            if isinstance(message, store_events.StoreChanged):
                self.known_revision = message.changes.revision
            elif isinstance(message, store_events.StoreLost):
                self.lost_count += 1
            elif isinstance(message, fleet_events.StoreRead):
                self.monitor_inbox.force(message)


class FollowingFleet:
    """Daemons that follow the store, whose paths to it and links fail."""

    def __init__(
        self, loop, seed, sizes, max_stale_s, apply_s=2.0, draw_resources=None
    ):
        """Creates a fleet.

        Args:
            loop: The simulated loop.
            seed: The seed of the delays.
            sizes: The number of daemons in each data centre.
            max_stale_s: The highest age of stale reads, in seconds.
            apply_s: The time within which a change must be in force, in
                seconds.
            draw_resources: Draws the processor and the link of a daemon; by
                default they take no time.
        """
        self.loop = loop
        self.seed = seed
        self.apply_s = apply_s
        self.clock = simulated_time.SimulatedClock(loop)
        self.random = random.Random(f"fleet {seed}")
        self.store = SimulatedStore(loop, self.random, max_stale_s)
        places = [f"dc{n}" for n, size in enumerate(sizes) for _ in range(size)]
        self.members = [
            Member(
                self,
                number,
                place,
                draw_resources() if draw_resources else None,
            )
            for number, place in enumerate(places)
        ]

    def start(self):
        """Starts the daemons' tasks, and returns them."""
        daemons = {m.id: _description(m) for m in self.members}
        in_force = configuration.Configuration(1, {}, [], gateway_world.LIMITS)
        tasks = []
        for member in self.members:
            member.monitor.handle(fleet_events.RegistryChanged({}))
            member.monitor.handle(fleet_events.ConfigurationChanged(in_force))
            member.monitor.handle(fleet_events.DaemonsChanged(daemons))
            tasks.append(asyncio.create_task(member.monitor.run()))
            tasks.append(asyncio.create_task(member.reader.run()))
        return tasks

    def send(self, sender, port, datagram):
        """Delivers a datagram later, unless a fault cuts off either daemon."""
        receiver = self.members[port]
        self.loop.call_later(
            self.random.uniform(*PEER_LATENCY_S),
            self._deliver,
            sender,
            receiver,
            datagram,
        )

    def _deliver(self, sender, receiver, datagram):
        faults = (sender.fault(), receiver.fault())
        if not any(f is not None and f.kind == "cut" for f in faults):
            receiver.monitor.on_datagram("h", sender.number, datagram)

    async def play(self, duration_s, change_gaps_s):
        """Plays a time with small changes, and notes each late daemon.

        Args:
            duration_s: The time, in seconds.
            change_gaps_s: The shortest and the longest time between changes.

        Returns:
            See play_changes.
        """
        return await self.play_changes(
            duration_s, self._random_changes(change_gaps_s)
        )

    def _random_changes(self, change_gaps_s):
        at_s = self.loop.time() + 5.0
        while True:
            yield at_s, SMALL_BYTES
            at_s = self.loop.time() + self.random.uniform(*change_gaps_s)

    async def play_changes(self, duration_s, changes):
        """Plays a time with changes, and notes each late daemon.

        Args:
            duration_s: The time, in seconds.
            changes: Iterates over the times and the sizes of the changes, in
                bytes.

        Returns:
            The late daemons: the time, the daemon, and the age of the oldest
            change that it does not know, in seconds.
        """
        tasks = self.start()
        end_s = self.loop.time() + duration_s
        change_s, size = next(changes)
        late = []
        while (now_s := self.loop.time()) < end_s:
            if now_s >= change_s:
                self.store.change(size)
                change_s, size = next(changes, (math.inf, 0))
            for member in self.members:
                member.note_known()
                age_s = self.age_of_unknown_s(member, now_s)
                if age_s > self.apply_s and member.is_calm(now_s):
                    late.append((now_s, member, age_s))
            await asyncio.sleep(CHECK_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return late

    def age_of_unknown_s(self, member, now_s):
        """Returns how long ago the oldest change was that a daemon lacks."""
        if member.known_revision >= self.store.revision:
            return 0.0
        if not member.known_revision:
            return 0.0
        return now_s - self.store.acknowledged_s[member.known_revision]


def add_faults(fleet, source, from_s, to_s):
    """Draws faults of a fleet: of some daemons, or of a data centre's best."""
    at_s = from_s
    places = sorted({m.data_centre for m in fleet.members})
    while at_s < to_s:
        kind = source.choice(("silent", "silent", "reset", "cut"))
        duration_s = source.choice((0.05, 0.3, 0.8, 2.0, 6.0, 12.0))
        if source.random() < 0.5:
            share = source.choice((0.1, 0.35, 0.5))
            hit = [m for m in fleet.members if source.random() < share]
        else:
            place = source.choice(places)
            near = [m for m in fleet.members if m.data_centre == place]
            ranked = steering.rank([_description(m) for m in near])
            best = {d.id for d in ranked[: source.choice((1, 2, 3))]}
            hit = [m for m in near if m.id in best]
        for member in hit:
            member.faults.append(Fault(at_s, at_s + duration_s, kind))
        at_s += source.choice((0.2, 1.0, 3.0)) * (0.5 + source.random())


def _description(member):
    return steering.Daemon(
        member.id,
        member.data_centre,
        deployments.REGION,
        "h",
        member.number,
        "h",
        member.number,
        member.resources,
    )
