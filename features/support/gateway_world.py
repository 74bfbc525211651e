"""A gateway with simulated instances, without sockets."""

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
    """A simulated instance with slots, a queue and a rate of fast failures."""

    def __init__(self, id, slots, work_s):
        self.id = id
        self.slots = slots
        self.data_centre = "a"
        self.work_s = work_s
        self.failure_rate = 0.0
        # The rate of responses that say that the request was not run.
        self.rejection_rate = 0.0
        # The limit that the instance names in its responses, as text.
        self.named_limit = None
        self.says_leaving = False
        # The status of its responses to requests that it has run.
        self.status = 200
        self.is_silent = False
        # The share of requests that it keeps to their deadline, to respond 504
        # then.
        self.hang_rate = 0.0
        # The spread of the logarithm of durations, and the share of requests
        # that take five times as long.
        self.spread = 0.5
        self.tail_rate = 0.0
        self.running = {}
        self.waiting = collections.deque()
        self.arrivals = []


class GatewayWorld:
    """A gateway and the instances of one service on a simulated clock.

    Scheduled times count from the start, at which the clock shows 1000 s.
    """

    def __init__(
        self,
        routes,
        instances=6,
        slots=3,
        work_s=0.25,
        seed=1,
        data_centre="a",
    ):
        logs.configure("error")
        self.random = random.Random(seed)
        self.clock = world.FakeClock()
        self.events = []
        self.event_numbers = itertools.count()
        self.replies = mailbox.Mailbox("callers", 10**9)
        self.back_ends = mailbox.Mailbox("back ends", 10**9)
        self.neighbours = mailbox.Mailbox("neighbours", 10**9)
        self.timers = world.FakeTimers()
        self.instances = {
            f"i{n}": Instance(f"i{n}", slots, work_s) for n in range(instances)
        }
        # The work of requests by the prefix of their path, where it is not
        # that of the instance, in seconds.
        self.work_s_by_path = {}
        self.attempts = {}
        self.sent = {}
        self.outcomes = {}
        self.gateway = gateway.Gateway(
            data_centre,
            bounds.Bounds(retry_ratio=0.2, retry_slack=10.0),
            server_codec.decode_metadata,
            self.clock,
            random.Random(seed),
            self.timers,
            world.NoMetrics(),
            mailbox.Mailbox("gateway"),
            self.back_ends,
            self.neighbours,
        )
        self.started_ms = 1
        self.configure(routes)
        self.list_all()
        self.gateway.handle(
            fleet_events.ServingDaemonsChanged(1, True, "d0", [("d0", "a")])
        )

    def configure(self, routes, version=1):
        """Applies a configuration with the given routes."""
        services = {SERVICE: configuration.Service(SERVICE, 390)}
        self.gateway.handle(
            fleet_events.ConfigurationChanged(
                configuration.Configuration(version, services, routes, LIMITS)
            )
        )

    def list_all(self):
        """Sends the gateway a list of all instances."""
        registered = [
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
                    self.started_ms,
                )
            )
            for i in self.instances.values()
        ]
        self.gateway.handle(fleet_events.RegistryChanged({SERVICE: registered}))

    def schedule(self, time_s, action, *args, **keywords):
        """Schedules an action at a time in seconds from the start."""
        scheduled = functools.partial(action, *args, **keywords)
        heapq.heappush(
            self.events, (1000.0 + time_s, next(self.event_numbers), scheduled)
        )

    def load(self, path, rate, start_s, end_s, timeout_s=4.0):
        """Schedules requests at a rate per second, as a Poisson process."""
        time_s = start_s
        while time_s < end_s:
            time_s += self.random.expovariate(rate)
            self.schedule(time_s, self.send_request, path, timeout_s)

    def send_request(self, path, timeout_s):
        """Sends a request to the gateway now."""
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
        """Processes all events up to a time in seconds from the start."""
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
        """Delivers the gateway's messages to instances and callers."""
        while len(self.back_ends):
            message = self.back_ends.poll()
            if isinstance(message, messages.SendAttempt):
                self.deliver(message)
            elif isinstance(message, messages.CancelAttempt):
                self.cancel(message.attempt_id)
        while len(self.replies):
            ended = self.replies.poll()
            if isinstance(ended, messages.RequestEnded):
                now_s = self.clock.time_s
                self.outcomes[ended.token] = (ended.outcome, now_s)

    def deliver(self, message):
        """Delivers a request to its instance.

        The instance fails the request fast, starts it, or queues it.
        """
        instance = self.instances[message.vm.id]
        instance.arrivals.append(
            (self.clock.time_s - 1000.0, message.request.request_id)
        )
        self.attempts[message.attempt_id] = instance
        if self.random.random() < instance.failure_rate:
            now_s = self.clock.time_s - 1000.0
            self.schedule(now_s + 0.002, self.finish, message, 500)
            return
        rejection_rate = instance.rejection_rate
        if rejection_rate and self.random.random() < rejection_rate:
            now_s = self.clock.time_s - 1000.0
            self.schedule(now_s + 0.002, self.finish, message, 503, True)
        elif len(instance.running) < instance.slots:
            self.start(instance, message)
        else:
            instance.waiting.append(message)

    def start(self, instance, message):
        """Starts a request on an instance; a silent one never ends it."""
        instance.running[message.attempt_id] = message
        if instance.is_silent:
            return
        now_s = self.clock.time_s - 1000.0
        if instance.hang_rate and self.random.random() < instance.hang_rate:
            end_s = message.deadline_s - 1000.0
            self.schedule(max(now_s, end_s - 0.01), self.finish, message, 504)
            return
        prefix = message.request.path.rpartition("/")[0]
        mean_s = self.work_s_by_path.get(prefix, instance.work_s)
        work_s = self.random.lognormvariate(0.0, instance.spread) * mean_s
        if instance.tail_rate and self.random.random() < instance.tail_rate:
            work_s *= 5.0
        self.schedule(now_s + work_s, self.finish, message, instance.status)

    def finish(self, message, status, is_not_run=False):
        """Sends an instance's response, unless the request was cancelled."""
        instance = self.attempts.pop(message.attempt_id, None)
        if instance is None:
            return
        self.release(instance, message.attempt_id)
        load = f"{len(instance.running)},{len(instance.waiting)},"
        headers = [
            (platform_headers.SIGNATURE, b"x"),
            (
                platform_headers.SERVER_LOAD,
                (load + str(instance.slots)).encode(),
            ),
        ]
        if is_not_run:
            headers.append((platform_headers.NOT_EXECUTED, b"1"))
        if instance.says_leaving:
            headers.append((platform_headers.SERVER_LEAVING, b"1"))
        if instance.named_limit is not None:
            limit = instance.named_limit.encode()
            headers.append((platform_headers.SERVER_LIMIT, limit))
        self.gateway.handle(
            messages.AttemptEnded(
                message.attempt_id,
                attempts.AttemptResult.ANSWERED,
                "",
                exchange.Response(status, headers, b""),
            )
        )

    def cancel(self, attempt_id):
        """Cancels an attempt on its instance."""
        instance = self.attempts.pop(attempt_id, None)
        if instance is not None:
            self.release(instance, attempt_id)

    def release(self, instance, attempt_id):
        """Ends a request and starts the next one in the queue."""
        if instance.running.pop(attempt_id, None) is None:
            instance.waiting = collections.deque(
                m for m in instance.waiting if m.attempt_id != attempt_id
            )
        elif instance.waiting:
            self.start(instance, instance.waiting.popleft())

    def served_share(self, path="", within_s=1e9):
        """Computes the share of requests with status 200 within a time.

        Args:
            path: The prefix of the paths of the requests.
            within_s: The longest duration, in seconds.
        """
        tokens = [t for t, (p, _) in self.sent.items() if p.startswith(path)]
        served_count = 0
        for token in tokens:
            outcome, at_s = self.outcomes[token]
            took_s = at_s - self.sent[token][1]
            response = outcome.response
            served_count += (
                response is not None
                and response.status == 200
                and took_s <= within_s
            )
        return served_count / len(tokens)


def route(prefix, priority=1, idempotent=True, max_attempts=2, target_s=1.0):
    """Builds a route to the simulated service."""
    return configuration.Route(
        f"r{prefix}",
        HOST,
        prefix,
        (configuration.RouteTarget(SERVICE, 1.0),),
        configuration.RequestKind.IDEMPOTENT
        if idempotent
        else configuration.RequestKind.NON_IDEMPOTENT,
        max_attempts,
        4.0,
        target_s,
        priority,
    )
