"""Plays episodes of hanging instances, and measures what they cost."""

from __future__ import annotations

import math

from features.support import gateway_world

MEAN_S = 0.7
TARGET_S = 2.2
DEADLINE_S = 9.0
START_S = 20.0
END_S = 30.0
HANG_RATE = 0.75


class Result:
    """What an episode cost, or a run without one."""

    def __init__(self, world, hanging):
        """Measures a world after its run.

        Args:
            world: The world.
            hanging: The instances that hung from START_S to END_S.
        """
        booked = [
            time_s - START_S
            for instance in hanging
            for time_s, token in instance.arrivals
            if START_S <= time_s < END_S
            and world.sent[int(token)][0].startswith("/book")
        ]
        self.last_booking_s = max(booked, default=0.0)
        self.bookings = len(booked)
        self.reads_in_time = self._share(world, "/read", TARGET_S)
        self.bookings_served = self._share(world, "/book", DEADLINE_S)
        sent = sum(len(i.arrivals) for i in world.instances.values())
        self.repeated_share = sent / len(world.sent) - 1.0

    def _share(self, world, path, within_s):
        """Returns the share of the episode's requests served in a time."""
        tokens = [
            token
            for token, (sent_path, sent_s) in world.sent.items()
            if sent_path.startswith(path) and START_S <= sent_s - 1000.0 < END_S
        ]
        served = 0
        for token in tokens:
            outcome, at_s = world.outcomes[token]
            response = outcome.response
            served += (
                response is not None
                and response.status == 200
                and at_s - world.sent[token][1] <= within_s
            )
        return served / len(tokens)


def play(
    seed, spread, hanging=4, instances=12, rate=30.0, tail_rate=0.01, watch=None
):
    """Plays an episode.

    Args:
        seed: The seed of the load and of the durations.
        spread: The spread of the logarithm of durations.
        hanging: The number of instances that hang.
        instances: The number of instances, of 6 slots.
        rate: The requests a second, half of which are idempotent.
        tail_rate: The share of requests that take five times as long.
        watch: Called with the world every 50 ms from 10 s on.
    """
    routes = [
        gateway_world.route("/read/", 1, True, target_s=TARGET_S),
        gateway_world.route("/book/", 0, False, target_s=TARGET_S),
    ]
    for route in routes:
        route.timeout_s = DEADLINE_S
    median_s = MEAN_S * math.exp(-spread * spread / 2.0)
    world = gateway_world.GatewayWorld(routes, instances, 6, median_s, seed)
    chosen = list(world.instances.values())[:hanging]
    for instance in world.instances.values():
        instance.spread = spread
        instance.tail_rate = tail_rate
    for instance in chosen:
        world.schedule(START_S, setattr, instance, "hang_rate", HANG_RATE)
        world.schedule(END_S, setattr, instance, "hang_rate", 0.0)
    for path in ("/read/1", "/book/1"):
        world.load(path, rate / 2.0, 0.0, END_S + 5.0, DEADLINE_S)
    if watch is not None:
        for step in range(int((END_S - 10.0) * 20)):
            world.schedule(10.0 + step / 20.0, watch, world)
    world.run(END_S + 5.0 + DEADLINE_S + 1.0)
    return Result(world, chosen)


class Avoidance:
    """Counts how often healthy instances are taken for unhealthy or slow."""

    def __init__(self):
        """Creates an empty count."""
        self.samples = 0
        self.unhealthy = 0
        self.slow = 0

    def __call__(self, world):
        """Counts the instances at this moment.

        Args:
            world: The world, in which no instance fails.
        """
        now_s = world.clock.now_s()
        (service,) = world.gateway.services.values()
        for instance in service.balancer.instances.values():
            self.samples += 1
            self.unhealthy += instance.is_unhealthy(now_s)
            self.slow += instance.is_slow(now_s)
