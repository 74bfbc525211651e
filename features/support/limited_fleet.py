"""A fleet of daemons that keep the limits of instances, without sockets."""

from __future__ import annotations

import math
import random

from dotterelpath.domain import request_limits


class FleetMember:
    """A daemon of a simulated fleet, with its view of the limits."""

    def __init__(self, id, data_centre):
        self.id = id
        self.data_centre = data_centre
        self.restart(-math.inf)

    def restart(self, now_s):
        """Forgets all limits and when they were reported."""
        self.limits = {}
        self.reported_s = -math.inf
        self.told_s = {}
        self.up_from_s = now_s


class LimitedFleet:
    """Daemons that share limits by reports, on a simulated clock.

    Requests are sent as soon as the limits allow it. Reports take one step.
    """

    STEP_S = 0.02

    def __init__(self, daemons, serving, instances, seed):
        self.random = random.Random(seed)
        self.members = [
            FleetMember(f"d{n}", f"dc{n % 3}") for n in range(daemons)
        ]
        self.serving = [(d.id, d.data_centre) for d in self.members[:serving]]
        self.limits = {
            f"i{n}": (f"dc{n % 3}", round(self.random.uniform(-0.5, 6.0), 1))
            for n in range(instances)
        }
        self.ranked = {
            i: request_limits.rank_daemons(i, place, self.serving)
            for i, (place, _) in self.limits.items()
        }
        self.arrivals = {i: [] for i in self.limits}
        self.now_s = 0.0

    def rank(self, daemon_id, instance_id):
        ranked = self.ranked[instance_id]
        return ranked.index(daemon_id) if daemon_id in ranked else None

    def learn(self, member, instance_id, sender_id):
        per_s = max(0.0, self.limits[instance_id][1])
        limit = member.limits.get(instance_id)
        if limit is None:
            limit = request_limits.RequestLimit(
                per_s, self.rank(member.id, instance_id), self.now_s
            )
            member.limits[instance_id] = limit
        limit.renew(per_s, self.now_s)
        if sender_id != member.id:
            limit.record_holder(self.rank(sender_id, instance_id), self.now_s)

    def report(self, member, instance_ids):
        serving = {id for id, _ in self.serving}
        for other in self.members:
            is_receiver = other.id in serving and other is not member
            if is_receiver and other.up_from_s <= self.now_s:
                for instance_id in instance_ids:
                    self.learn(other, instance_id, member.id)

    def send(self, member, instance_id):
        limit = member.limits.get(instance_id)
        if limit is not None:
            if not limit.may_send(self.now_s):
                return
            limit.record_sent(self.now_s)
        # Requests of a daemon that was just told of the limit, or is not told
        # of it at all, do not count.
        is_told = self.now_s - member.told_s.get(instance_id, math.inf) >= 0.5
        self.arrivals[instance_id].append((self.now_s, is_told))
        member.told_s.setdefault(instance_id, self.now_s)
        is_new = limit is None
        self.learn(member, instance_id, member.id)
        if is_new:
            self.report(member, [instance_id])

    def step(self):
        """Lets each daemon send what it may, and report what it holds."""
        self.now_s += self.STEP_S
        serving = {id for id, _ in self.serving}
        for member in self.members:
            if member.up_from_s > self.now_s:
                continue
            if member.id not in serving:
                # Daemons that callers are not sent to get few requests.
                if self.random.random() < 0.002:
                    self.send(member, self.random.choice(list(self.limits)))
                continue
            if self.now_s - member.reported_s >= request_limits.REPORT_PERIOD_S:
                member.reported_s = self.now_s
                held = [
                    i
                    for i, limit in member.limits.items()
                    if limit.is_held(self.now_s)
                ]
                self.report(member, held)
            for instance_id in self.limits:
                self.send(member, instance_id)

    def kill_one(self):
        """Kills a serving daemon, which is back after a few seconds."""
        ids = {id for id, _ in self.serving}
        up = [
            m for m in self.members if m.id in ids and m.up_from_s <= self.now_s
        ]
        if len(up) > 1:
            victim = self.random.choice(up)
            victim.restart(self.now_s + self.random.uniform(0.5, 6.0))
