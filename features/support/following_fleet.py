"""A fleet that follows the store, with faults, in simulated time."""

from __future__ import annotations

import asyncio
import math
import random

from dotterelpath.domain import configuration
from dotterelpath.domain import steering
from dotterelpath.domain import store_position
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import peer_monitor
from dotterelpath.tasks import store_events
from dotterelpath.tasks import store_reader
from features.support import deployments
from features.support import gateway_world
from features.support import simulated_paths
from features.support import simulated_time

# How long a daemon must have been without a fault until the bounds hold for it,
# in seconds; the users' pages state it.
STABLE_S = 3.0
# How often it is checked what the daemons know, in seconds.
CHECK_S = 0.05
# What a processor core decodes in a second, in bytes of the store's responses.
DECODED_BYTES_PER_S = 9e6
# The longest time until the operator and the instances have written again what
# a drill lost, in seconds.
REWRITE_S = 0.3
KEYS = [f"key {number}" for number in range(6)]
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


class Drill:
    """A time in which the store is away, and then back from an older copy."""

    def __init__(self, start_s, away_s, copy_age_s):
        self.start_s = start_s
        self.end_s = start_s + away_s
        self.copy_age_s = copy_age_s


class Member:
    """A daemon: its store reader and its peer monitor."""

    def __init__(self, fleet, number, data_centre, resources):
        self.id = f"d{number}"
        self.loop = fleet.loop
        self.resources = resources or USUAL_RESOURCES
        self.link = simulated_paths.Link(fleet.loop)
        self.processor = simulated_paths.Link(fleet.loop)
        if resources is not None:
            self.link = simulated_paths.Link(
                fleet.loop, resources.link_mbps * simulated_paths.MBIT_BYTES
            )
            self.processor = simulated_paths.Link(
                fleet.loop, resources.cores * DECODED_BYTES_PER_S
            )
        self.lost_count = 0
        self.number = number
        self.data_centre = data_centre
        self.faults = []
        self.known = store_position.NOTHING
        # The values of the keys that this daemon knows.
        self.keys = {}
        # What it knew that the store never had at that position.
        self.wrong = []
        self._fleet = fleet
        clock = fleet.clock
        source = random.Random(f"{fleet.seed} {number}")
        self.path = simulated_paths.StorePath(self, fleet.store, source)
        self.copies = simulated_paths.PeerCopies(self, fleet)
        self.subscriber = mailbox.Mailbox("known", 10**6)
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
            self.subscriber,
            self.monitor_inbox,
            fleet.apply_s,
            daemon_id=self.id,
            copies=self.copies,
        )

    @property
    def is_watching(self):
        return self.monitor.store_position is not None

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
        """Reads up to which position this daemon knows the store."""
        while (message := self.subscriber.poll()) is not None:
            if isinstance(message, store_events.StoreChanged):
                self._on_changes(message.changes)
            elif isinstance(message, store_events.StoreLost):
                self.lost_count += 1
            elif isinstance(message, fleet_events.StoreRead):
                self.monitor_inbox.force(message)

    def _on_changes(self, changes):
        if changes.position < self.known:
            self.wrong.append(f"{self.known} falls to {changes.position}")
        self.known = changes.position
        if changes.is_full:
            self.keys = {}
        for entry in changes.entries:
            self.keys[entry.key] = entry.value
        found = {k: v for k, v in self.keys.items() if v is not None}
        era = self._fleet.store.eras[changes.position.era - 1]
        if found != era.keys_at(changes.position.revision):
            self.wrong.append(f"other keys at {changes.position}")


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
        # The tenants of the configuration in force, if it has any.
        self.tenants = None
        self.apply_s = apply_s
        self.clock = simulated_time.SimulatedClock(loop)
        self.random = random.Random(f"fleet {seed}")
        self.store = simulated_paths.SimulatedStore(
            loop, self.random, max_stale_s
        )
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
        in_force = configuration.Configuration(
            1, {}, [], gateway_world.LIMITS, self.tenants
        )
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
            self.random.uniform(*simulated_paths.PEER_LATENCY_S),
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
            yield at_s, simulated_paths.SMALL_BYTES
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

    async def play_drills(self, duration_s, drills):
        """Plays a time with small changes and drills.

        Args:
            duration_s: The time, in seconds.
            drills: The drills, by rising start.

        Returns:
            See play_changes.
        """
        for member in self.members:
            member.faults += [
                Fault(
                    d.start_s, d.end_s, self.random.choice(("reset", "silent"))
                )
                for d in drills
            ]
        script = asyncio.create_task(self._restore_and_change(drills))
        late = await self.play_changes(duration_s, iter([(math.inf, 0)]))
        script.cancel()
        await asyncio.gather(script, return_exceptions=True)
        return late

    async def _restore_and_change(self, drills):
        """Changes keys at random, more so when the store comes back."""
        for drill in [*drills, None]:
            while drill is None or self.loop.time() < drill.start_s:
                await asyncio.sleep(self.random.choice((0.01, 0.1, 0.4, 1.5)))
                self._change_key()
            await asyncio.sleep(drill.end_s - self.loop.time())
            lost = self.store.restore(drill.copy_age_s)
            for entry in lost if self.random.random() < 0.5 else []:
                self.store.set(entry.key, entry.value)
            for _ in range(self.random.choice((0, 1, 5, len(lost) + 3))):
                self._change_key()
            await asyncio.sleep(self.random.random() * REWRITE_S)
            for entry in lost:
                self.store.set(entry.key, entry.value)

    def _change_key(self):
        value = self.random.choice((None, *"abcdef"))
        self.store.set(self.random.choice(KEYS), value)

    def age_of_unknown_s(self, member, now_s):
        """Returns how long ago the oldest change was that a daemon lacks."""
        era = self.store.era
        if member.known >= era.position or not member.known.revision:
            return 0.0
        if member.known.era < era.number:
            return now_s - era.began_s
        return now_s - era.acknowledged_s[member.known.revision]


def draw_drills(source, from_s, to_s):
    """Draws drills that follow each other at any distance."""
    drills = []
    at_s = from_s
    while at_s < to_s:
        drill = Drill(
            at_s,
            source.choice((0.05, 0.3, 1.0, 2.5)),
            source.choice((0.5, 2.0, 8.0)),
        )
        drills.append(drill)
        at_s = drill.end_s + source.choice((0.4, 3.0, 9.0)) * (
            0.5 + source.random()
        )
    return drills


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
