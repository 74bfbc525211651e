"""A gateway's decisions before simulated instances, without sockets."""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
import random

from dotterelpath.adapters import logs
from dotterelpath.domain import attempts
from dotterelpath.domain import bounds
from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.domain import registry
from dotterelpath.platform import headers as platform_headers
from dotterelpath.platform import server_codec
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import gateway
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages
from features.support import world

HOST = "h"
SERVICE = "s"
LIMITS = configuration.CallerLimits(16384, 65536, 3.0, 15.0)


class Instance:
    """A simulated instance: slots, a queue, and a chance to fail at once."""

    def __init__(self, id, slots, work_s):
        self.id = id
        self.slots = slots
        self.data_centre = "a"
        self.work_s = work_s
        self.fail_chance = 0.0
        self.is_silent = False
        self.running = {}
        self.waiting = collections.deque()
        self.arrivals = []


class GatewayWorld:
    """One gateway and the instances of one service, on a simulated clock."""

    def __init__(self, routes, instances=6, slots=3, work_s=0.25, seed=1):
        logs.configure("error")
        self.random = random.Random(seed)
        self.clock = world.FakeClock()
        self.events = []
        self.order = itertools.count()
        self.replies = mailbox.Mailbox("callers", 10**9)
        self.back_ends = mailbox.Mailbox("back ends", 10**9)
        self.timers = world.FakeTimers()
        self.instances = {
            f"i{n}": Instance(f"i{n}", slots, work_s) for n in range(instances)
        }
        self.attempts = {}
        self.sent = {}
        self.outcomes = {}
        self.gateway = gateway.Gateway(
            "a",
            bounds.Bounds(retry_ratio=0.2, retry_slack=10.0),
            server_codec.decode_metadata,
            self.clock,
            random.Random(seed),
            self.timers,
            world.NoMetrics(),
            mailbox.Mailbox("gateway"),
            self.back_ends,
            mailbox.Mailbox("neighbours", 10**9),
        )
        self.configure(routes)
        self.list_all()
        self.gateway.handle(fleet_events.ServingDaemonsChanged(1, True))

    def configure(self, routes, version=1):
        """Puts routes into force."""
        services = {SERVICE: configuration.Service(SERVICE, 390)}
        self.gateway.handle(
            fleet_events.ConfigurationChanged(
                configuration.Configuration(version, services, routes, LIMITS)
            )
        )

    def list_all(self):
        """Lists all instances."""
        listed = [
            registry.RegisteredInstance(
                registry.Entry(
                    i.id,
                    SERVICE,
                    "h",
                    1,
                    i.data_centre,
                    i.slots,
                    False,
                    0.0,
                    1,
                    1,
                )
            )
            for i in self.instances.values()
        ]
        self.gateway.handle(fleet_events.RegistryChanged({SERVICE: listed}))

    def at(self, time_s, action, *args, **named):
        """Plans an action, seconds from the start."""
        planned = functools.partial(action, *args, **named)
        heapq.heappush(
            self.events, (1000.0 + time_s, next(self.order), planned)
        )

    def load(self, path, rate, start_s, end_s, timeout_s=4.0):
        """Plans requests at random times."""
        time_s = start_s
        while time_s < end_s:
            time_s += self.random.expovariate(rate)
            self.at(time_s, self.ask, path, timeout_s)

    def ask(self, path, timeout_s):
        """Sends a request to the gateway."""
        token = len(self.sent)
        request = exchange.Request(
            "GET",
            path,
            [],
            request_id=str(token),
            timeout_s=timeout_s,
            host=HOST,
            received_s=self.clock.time_s,
        )
        self.sent[token] = (path, self.clock.time_s)
        self.gateway.handle(
            messages.RequestArrived(request, self.replies, token)
        )

    def run(self, end_s):
        """Plays all events until a time."""
        while True:
            self.settle()
            due = [self.events[0][0]] if self.events else []
            due += [self.timers.heap[0][0]] if self.timers.heap else []
            if not due or min(due) > 1000.0 + end_s:
                return
            self.clock.time_s = max(self.clock.time_s, min(due))
            if self.events and self.events[0][0] <= self.clock.time_s:
                heapq.heappop(self.events)[2]()
            else:
                self.gateway.handle(messages.Tick())

    def settle(self):
        """Delivers what the gateway sent to instances and callers."""
        while len(self.back_ends):
            message = self.back_ends.poll()
            if isinstance(message, messages.SendAttempt):
                self.arrive(message)
            elif isinstance(message, messages.CancelAttempt):
                self.cancel(message.attempt_id)
        while len(self.replies):
            ended = self.replies.poll()
            self.outcomes[ended.token] = (ended.outcome, self.clock.time_s)

    def arrive(self, message):
        """An instance gets a request."""
        instance = self.instances[message.vm.id]
        instance.arrivals.append(
            (self.clock.time_s - 1000.0, message.request.request_id)
        )
        self.attempts[message.attempt_id] = instance
        if self.random.random() < instance.fail_chance:
            now_s = self.clock.time_s - 1000.0
            self.at(now_s + 0.002, self.finish, message, 500)
            return
        if len(instance.running) < instance.slots:
            self.start(instance, message)
        else:
            instance.waiting.append(message)

    def start(self, instance, message):
        """An instance begins to work."""
        instance.running[message.attempt_id] = message
        if instance.is_silent:
            return
        work_s = self.random.lognormvariate(0.0, 0.5) * instance.work_s
        now_s = self.clock.time_s - 1000.0
        self.at(now_s + work_s, self.finish, message, 200)

    def finish(self, message, status):
        """An instance answers, unless it was told to stop."""
        instance = self.attempts.pop(message.attempt_id, None)
        if instance is None:
            return
        self.free(instance, message.attempt_id)
        load = f"{len(instance.running)},{len(instance.waiting)},"
        headers = [
            (platform_headers.SIGNATURE, b"x"),
            (
                platform_headers.SERVER_LOAD,
                (load + str(instance.slots)).encode(),
            ),
        ]
        self.gateway.handle(
            messages.AttemptEnded(
                message.attempt_id,
                attempts.AttemptResult.ANSWERED,
                "",
                exchange.Response(status, headers, b""),
            )
        )

    def cancel(self, attempt_id):
        """An instance drops a request whose connection closed."""
        instance = self.attempts.pop(attempt_id, None)
        if instance is not None:
            self.free(instance, attempt_id)

    def free(self, instance, attempt_id):
        """Frees a slot and begins with the next request."""
        if instance.running.pop(attempt_id, None) is None:
            instance.waiting = collections.deque(
                m for m in instance.waiting if m.attempt_id != attempt_id
            )
        elif instance.waiting:
            self.start(instance, instance.waiting.popleft())

    def served(self, path="", within_s=1e9):
        """The share of requests that were answered well, and in time."""
        asked = [t for t, (p, _) in self.sent.items() if p.startswith(path)]
        good = 0
        for token in asked:
            outcome, at_s = self.outcomes[token]
            took_s = at_s - self.sent[token][1]
            response = outcome.response
            good += (
                response is not None
                and response.status == 200
                and took_s <= within_s
            )
        return good / len(asked)


def route(prefix, priority=1, idempotent=True, max_attempts=2, target_s=1.0):
    """Builds a route."""
    return configuration.Route(
        f"r{prefix}",
        HOST,
        prefix,
        (configuration.RouteTarget(SERVICE, 1.0),),
        idempotent,
        max_attempts,
        4.0,
        target_s,
        priority,
    )
