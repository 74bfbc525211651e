"""Daemons that keep quotas together, without sockets, on a simulated clock."""

from __future__ import annotations

import heapq
import itertools
import random

from dotterelpath.domain import quota_rules
from dotterelpath.domain import quotas
from dotterelpath.domain import tenants

TICK_S = 0.1
RULE = quota_rules.Rule(5.0, 0.1, 20.0)


class QuotaFleet:
    """Serving daemons s0, s1, … and others x0, x1, … with their messages."""

    def __init__(self, limits, serving=6, others=0, seed=1, loss=0.02):
        """Creates a fleet.

        Args:
            limits: The rate and the burst of each tenant, by name.
            serving: How many daemons serve callers.
            others: How many daemons do not.
            seed: Seeds arrivals, delays and losses.
            loss: The part of the messages that is lost.
        """
        self.random = random.Random(seed)
        self.loss = loss
        self.now_s = 100.0
        self.serving = [f"s{n:02}" for n in range(serving)]
        self.ids = self.serving + [f"x{n:03}" for n in range(others)]
        self.tenants = {
            name: tenants.Tenant(name, None, rate, burst)
            for name, (rate, burst) in limits.items()
        }
        self.events = []
        self.numbers = itertools.count()
        self.daemons = {}
        self.stopped = {}
        self.is_cut = lambda sender, receiver: False
        self.admitted = {name: [] for name in limits}
        self.refused = {name: [] for name in limits}
        self.sent_bytes = dict.fromkeys(self.ids, 0)
        self.measure = lambda report, receiver: 0
        for daemon_id in self.ids:
            self.start(daemon_id)
            self.at(self.random.random() * TICK_S, self.tick, daemon_id)

    def start(self, daemon_id):
        """Starts a daemon with an empty memory."""
        run = self.random.getrandbits(31)
        daemon = self.daemons[daemon_id] = quotas.Quotas(RULE, run)
        daemon.set_tenants(self.tenants)
        daemon.set_serving(
            daemon_id,
            self.serving,
            daemon_id in self.serving,
            len(self.ids) - len(self.serving),
        )
        self.stopped.pop(daemon_id, None)

    def kill(self, daemon_id):
        """Stops a daemon; what is sent to it is lost."""
        self.stopped[daemon_id] = None

    def freeze(self, daemon_id):
        """Pauses a daemon; what is sent to it waits."""
        self.stopped[daemon_id] = []

    def thaw(self, daemon_id):
        """Lets a daemon go on, with all that has waited."""
        for action, arguments in self.stopped.pop(daemon_id):
            action(*arguments)

    def set_limit(self, name, rate, burst):
        """Puts another quota in force on all daemons."""
        self.tenants[name] = tenants.Tenant(name, None, rate, burst)

    def at(self, delay_s, action, *arguments):
        """Schedules an action after a time in seconds."""
        event = (self.now_s + delay_s, next(self.numbers), action, arguments)
        heapq.heappush(self.events, event)

    def load(self, name, per_s, until_s, weights):
        """Sends requests until a time from the start, as a Poisson process.

        Args:
            name: The tenant.
            per_s: The requests a second.
            until_s: When to stop, in seconds from the start.
            weights: The part of the requests of each daemon, or a function of
                the time that returns it.
        """
        self.at(
            self.random.expovariate(per_s),
            self.arrive,
            name,
            per_s,
            100.0 + until_s,
            weights,
        )

    def arrive(self, name, per_s, until_s, weights):
        if self.now_s >= until_s:
            return
        found = weights(self.now_s - 100.0) if callable(weights) else weights
        self.request(
            self.random.choices(list(found), list(found.values()))[0], name
        )
        self.load(name, per_s, until_s - 100.0, weights)

    def request(self, daemon_id, name):
        """Sends a request of a tenant to a daemon."""
        if daemon_id in self.stopped:
            self.wait_for(daemon_id, self.request, daemon_id, name)
            return
        daemon = self.daemons[daemon_id]
        is_admitted = daemon.admit(self.tenants[name], self.now_s)
        counted = self.admitted if is_admitted else self.refused
        counted[name].append(self.now_s)
        if daemon_id not in self.serving:
            self.send_due(daemon_id)

    def wait_for(self, daemon_id, action, *arguments):
        if self.stopped[daemon_id] is not None:
            self.stopped[daemon_id].append((action, arguments))

    def tick(self, daemon_id):
        if daemon_id not in self.stopped:
            self.send_due(daemon_id)
        self.at(TICK_S, self.tick, daemon_id)

    def send_due(self, daemon_id):
        """Sends the report and the announcement that are due."""
        daemon = self.daemons[daemon_id]
        report = daemon.take_report(self.now_s)
        if report is not None:
            for receiver in self.serving:
                if report.receivers is not None and (
                    receiver not in report.receivers
                ):
                    continue
                header = report.header_for(receiver)
                self.post(daemon_id, receiver, header, report.entries)
                self.sent_bytes[daemon_id] += self.measure(report, receiver)
        names = daemon.take_announcement(self.now_s)
        if names:
            own = self.serving.index(daemon_id)
            others = self.ids[len(self.serving) :]
            for receiver in others[own :: len(self.serving)]:
                self.post(daemon_id, receiver, None, names)

    def post(self, sender, receiver, header, content):
        is_lost = self.random.random() < self.loss
        if sender != receiver and not is_lost:
            delay_s = 0.001 + self.random.random() * 0.03
            self.at(delay_s, self.deliver, sender, receiver, header, content)

    def deliver(self, sender, receiver, header, content):
        if self.is_cut(sender, receiver):
            return
        if receiver in self.stopped:
            self.wait_for(
                receiver, self.deliver, sender, receiver, header, content
            )
        elif header is None:
            self.daemons[receiver].record_announcement(content, self.now_s)
        else:
            self.daemons[receiver].record_report(
                sender, header, content, self.now_s
            )

    def run(self, until_s):
        """Processes all events up to a time in seconds from the start."""
        while self.events and self.events[0][0] <= 100.0 + until_s:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now_s = 100.0 + until_s

    def excess(self, name, from_s=0.0):
        """Returns how far the fullest window is beyond the rule, in requests.

        Args:
            name: The tenant.
            from_s: Where the first window starts, in seconds from the start.
        """
        tenant = self.tenants[name]
        quota = tenant.rate_per_s * RULE.window_s + tenant.burst
        most = quota + RULE.tolerance(tenant)
        times = [t for t in self.admitted[name] if t >= 100.0 + from_s]
        fullest, first = 0, 0
        for last, at_s in enumerate(times):
            while times[first] <= at_s - RULE.window_s:
                first += 1
            fullest = max(fullest, last - first + 1)
        return fullest - most

    def used_share(self, name, from_s, to_s):
        """Returns the part of a tenant's quota that was used in a time."""
        used = sum(
            100.0 + from_s <= t < 100.0 + to_s for t in self.admitted[name]
        )
        return used / (self.tenants[name].rate_per_s * (to_s - from_s))

    def refused_share(self, name):
        """Returns the part of a tenant's requests that was refused."""
        refused = len(self.refused[name])
        return refused / (refused + len(self.admitted[name]))
