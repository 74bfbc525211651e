"""A fleet whose store has faults while its configuration changes."""

from __future__ import annotations

import collections
import math
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time
import typing

from standins import fleet as fleet_harness
from standins import gateway_fleet

MOVING_PREFIX = "/moving/"
# How often an instance writes its entry, in seconds, as on the users' platform.
BEAT_S = 1.5
# Within this time after a drill, the instances write again, in seconds.
REWRITE_S = 0.3
# The share of the drills just before which an instance leaves, and of those at
# whose end the operator and an instance write something new.
MEET_SHARE = 0.7
# How long nothing else changes then, so that what a daemon missed shows, in
# seconds.
QUIET_S = 6.0
# How old the copy is to which the store goes back, in seconds.
COPY_AGES_S = (0.3, 1.0, 2.0, 5.0)
# The shortest and the longest time between two faults, in seconds.
FAULT_GAP_S = (1.0, 9.0)


class ChangingFleet(gateway_fleet.GatewayFleet):
    """A gateway fleet, with what its operator and its instances have written.

    Attributes:
        moves: When the route moved, and the service from then on.
        left_s: When the leaving of each instance was acknowledged.
        disruptions: Start and end of the faults of the store.
        quiet_until_s: Until when only faults change something.
    """

    __slots__ = (
        "_configuration",
        "_draining",
        "_entries",
        "_lock",
        "_pauses",
        "_random",
        "disruptions",
        "left_s",
        "moves",
        "quiet_until_s",
    )

    def __init__(
        self, log: pathlib.Path, folder: pathlib.Path, seed: int
    ) -> None:
        """Creates a fleet without processes."""
        super().__init__(log, folder)
        self._random = random.Random(f"faults {seed}")
        self._lock = threading.RLock()
        # The entries of the instances that live, the least recent first.
        self._entries: collections.OrderedDict[str, dict[str, typing.Any]] = (
            collections.OrderedDict()
        )
        self._draining: dict[str, float] = {}
        self._configuration = ""
        self._pauses: dict[str, list[tuple[float, float]]] = {}
        self.moves: list[tuple[float, str]] = []
        self.left_s: dict[str, float] = {}
        self.disruptions: list[tuple[float, float]] = []
        self.quiet_until_s = 0.0

    @property
    def random(self) -> random.Random:
        """Draws the faults."""
        return self._random

    def start(self, services: dict[str, int], daemon_count: int) -> None:
        """Starts all processes and waits until the daemons are ready."""
        self.start_store()
        self.move_route()
        for service, count in services.items():
            self.start_instances(service, count)
        self.add_gateways(daemon_count)
        self.wait_until_ready()
        for service, count in services.items():
            self.wait_for_instances(service, count)

    def move_route(self) -> None:
        """Writes a configuration that sends the route to the next service."""
        with self._lock:
            service = ("presses", "deposits", "copies")[len(self.moves) % 3]
            others = ("presses", "deposits", "copies")
            self.configure(
                gateway_fleet.route(MOVING_PREFIX, service),
                *(gateway_fleet.route(f"/{name}/", name) for name in others),
            )
            self.moves.append((time.monotonic(), service))

    def put_configuration(self, text: str) -> None:
        """Writes the configuration, and keeps it to write it again."""
        self._configuration = text
        super().put_configuration(text)

    def register_instance(
        self, instance_id: str, service: str, **changed: typing.Any
    ) -> None:
        """Writes the entry of an instance, and keeps it to write it again."""
        entry = self._entries.pop(instance_id, {"sequence": 0})
        entry = {
            **entry,
            "service": service,
            **changed,
            "sequence": entry["sequence"] + 1,
        }
        self._entries[instance_id] = entry
        fields = {name: v for name, v in entry.items() if name != "service"}
        super().register_instance(instance_id, service, **fields)

    def beat(self) -> None:
        """Lets the instance that wrote least recently write its entry."""
        with self._lock:
            if len(self._entries) and self._random.random() < 0.05 * (
                len(self._entries) / BEAT_S
            ):
                instance_id, entry = next(iter(self._entries.items()))
                self.register_instance(instance_id, entry["service"])
            now_s = time.monotonic()
            for instance_id, gone_s in list(self._draining.items()):
                if now_s > gone_s:
                    del self._draining[instance_id]
                    self._entries.pop(instance_id, None)
                    self.remove_instance(instance_id)

    def leave(self, source: random.Random) -> None:
        """Lets an instance say that it leaves, or vanish from the store."""
        with self._lock:
            staying = [i for i in self._entries if i not in self.left_s]
            services = collections.Counter(i.split("-")[1] for i in staying)
            staying = [i for i in staying if services[i.split("-")[1]] > 2]
            if not staying:
                return
            instance_id = source.choice(staying)
            if source.random() < 0.7:
                service = self._entries[instance_id]["service"]
                self.register_instance(instance_id, service, state="draining")
                self._draining[instance_id] = time.monotonic() + 6.0
            else:
                del self._entries[instance_id]
                self.remove_instance(instance_id)
            self.left_s[instance_id] = time.monotonic()

    def is_in_touch(self, daemon_id: str, at_s: float, stable_s: float) -> bool:
        """Tells whether a daemon ran for long enough before a time."""
        return not any(
            start_s <= at_s + stable_s and at_s < end_s + stable_s
            for start_s, end_s in self._pauses.get(daemon_id, [])
        )

    def is_stable(self, at_s: float, stable_s: float) -> bool:
        """Tells whether the store had no fault for long enough before a time.

        Args:
            at_s: The time on the monotonic clock, in seconds.
            stable_s: How long it must have had none, in seconds.
        """
        return not any(
            start_s <= at_s < end_s + stable_s
            for start_s, end_s in self.disruptions
        )

    def due_s(
        self, acknowledged_s: float, bound_s: float, stable_s: float
    ) -> float:
        """Returns from when a change must be in force.

        Args:
            acknowledged_s: When the store acknowledged it, on the monotonic
                clock, in seconds.
            bound_s: The time within which it must be in force, in seconds.
            stable_s: How long after a fault of the store the bounds hold again,
                in seconds.
        """
        due_s = acknowledged_s + bound_s
        for start_s, end_s in self.disruptions:
            if start_s < due_s:
                due_s = max(due_s, end_s + stable_s)
        return due_s

    def services_allowed(
        self, sent_s: float, bound_s: float, stable_s: float
    ) -> set[str]:
        """Returns the services that may run a request of the route."""
        ends_s = [at_s for at_s, _ in self.moves[1:]] + [math.inf]
        return {
            service
            for (_, service), end_s in zip(self.moves, ends_s, strict=True)
            if end_s == math.inf
            or sent_s < self.due_s(end_s, bound_s, stable_s)
        }

    def drill(self) -> None:
        """Takes the store away and brings it back from an older copy."""
        if self._random.random() < MEET_SHARE:
            # Daemons read changes in batches, and may not know this one yet.
            self.leave(self._random)
            time.sleep(self._random.uniform(0.0, 0.5))
        start_s = time.monotonic()
        self.set_store_faults(down=True)
        time.sleep(self._random.choice((0.1, 0.5, 1.0, 2.0)))
        with self._lock:
            age_s = (
                time.monotonic() - start_s + self._random.choice(COPY_AGES_S)
            )
            fleet_harness.post(self.store, "/_restore", {"age_s": age_s})
            super().put_configuration(self._configuration)
            self.set_store_faults()
            self.disruptions.append((start_s, time.monotonic()))
            entries = list(self._entries.items())
            left = set(self.left_s) - set(self._entries)
        if self._random.random() < MEET_SHARE:
            time.sleep(self._random.uniform(0.0, 0.5 * REWRITE_S))
            self.move_route()
            self.leave(self._random)
            self.quiet_until_s = time.monotonic() + QUIET_S
        self._random.shuffle(entries)
        for instance_id, entry in entries:
            time.sleep(REWRITE_S / len(entries))
            with self._lock:
                if instance_id in self._entries:
                    self.register_instance(instance_id, entry["service"])
        for instance_id in left:
            self.remove_instance(instance_id)

    def disrupt(self, duration_s: float, **faults: typing.Any) -> None:
        """Gives the store a fault for a time."""
        start_s = time.monotonic()
        self.set_store_faults(**faults)
        time.sleep(duration_s)
        self.set_store_faults()
        self.disruptions.append((start_s, time.monotonic()))

    def pause(self, duration_s: float, share: float) -> None:
        """Freezes some daemons for a time."""
        nodes = self._draw_gateways(share)
        start_s = time.monotonic()
        for node in nodes:
            assert node.process is not None
            node.process.send_signal(signal.SIGSTOP)
        time.sleep(duration_s)
        for node in nodes:
            assert node.process is not None
            node.process.send_signal(signal.SIGCONT)
            times = self._pauses.setdefault(node.id, [])
            times.append((start_s, time.monotonic()))

    def silence(self, duration_s: float, share: float) -> None:
        """Lets the store answer some daemons no more, without a reset."""
        nodes = self._draw_gateways(share)
        start_s = time.monotonic()
        self.set_store_faults(silent_ports=[n.store_port for n in nodes])
        time.sleep(duration_s)
        self.set_store_faults()
        for node in nodes:
            times = self._pauses.setdefault(node.id, [])
            times.append((start_s, time.monotonic()))

    def _draw_gateways(
        self, share: float
    ) -> list[gateway_fleet.GatewayProcess]:
        nodes = self.gateways.values()
        return [node for node in nodes if self._random.random() < share]


Injector = typing.Callable[[ChangingFleet, threading.Event], None]


def _repeat(inject: typing.Callable[[ChangingFleet], None]) -> Injector:
    """Injects a fault again and again until the soak ends."""

    def run(fleet: ChangingFleet, is_ended: threading.Event) -> None:
        while not is_ended.wait(fleet.random.uniform(*FAULT_GAP_S)):
            quiet_s = fleet.quiet_until_s - time.monotonic()
            if is_ended.wait(max(0.0, quiet_s)):
                break
            inject(fleet)

    return run


def _drill(fleet: ChangingFleet) -> None:
    for _ in range(fleet.random.choice((1, 1, 2))):
        fleet.drill()
        time.sleep(fleet.random.choice((0.0, 1.0, 3.0)))


def _outage(fleet: ChangingFleet) -> None:
    kind = fleet.random.choice(("down", "silent", "busy"))
    fleet.disrupt(fleet.random.choice((0.2, 1.0, 3.0)), **{kind: True})


def _load(fleet: ChangingFleet, is_ended: threading.Event) -> None:
    """Keeps processors busy beside the daemons."""
    busy = [
        subprocess.Popen([sys.executable, "-c", "while True: pass"])
        for _ in range(4)
    ]
    try:
        is_ended.wait()
    finally:
        for process in busy:
            process.kill()
            process.wait()


def _stale(fleet: ChangingFleet, is_ended: threading.Event) -> None:
    """Gives stale answers any age up to three seconds."""
    fleet.set_store_faults(stale_ages_s=[0.0, 3.0, 1.0, 0.0, 2.0], page_size=20)
    is_ended.wait()


def _none(fleet: ChangingFleet, is_ended: threading.Event) -> None:
    is_ended.wait()


INJECTORS: dict[str, Injector] = {
    "none": _none,
    "drill": _repeat(_drill),
    "outage": _repeat(_outage),
    "pause": _repeat(lambda fleet: fleet.pause(1.5, 0.3)),
    "silence": _repeat(lambda fleet: fleet.silence(4.0, 0.3)),
    "stale": _stale,
    "load": _load,
}
