"""The gateway's state of one request, and of one service."""

from __future__ import annotations

import itertools

from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.domain import load_balancer
from dotterelpath.domain import probing
from dotterelpath.domain import request_queue
from dotterelpath.domain import retry_window
from dotterelpath.tasks import messages
from dotterelpath.tasks import reply

# Callers that give no deadline wait this long, in seconds.
DEFAULT_TIMEOUT_S = 5.0

_ids = itertools.count(1)


class ServiceState:
    """A service's instances, waiting requests and retries."""

    __slots__ = (
        "name",
        "balancer",
        "queue",
        "removed_instances",
        "retries",
        "degradation",
    )

    def __init__(self, name: str, data_centre: str) -> None:
        """Creates the state of a service without instances.

        Args:
            name: The service.
            data_centre: Where this daemon stands.
        """
        self.name = name
        self.balancer = load_balancer.LoadBalancer(data_centre)
        self.queue: request_queue.Queue[PendingRequest] = request_queue.Queue()
        self.retries = retry_window.RetryWindow()
        self.degradation = probing.DegradationMonitor()
        self.removed_instances: set[tuple[str, int]] = set()


class OpenAttempt:
    """A request at an instance."""

    __slots__ = (
        "instance",
        "is_slow",
        "pending",
        "sent_s",
        "slow_at_s",
    )

    def __init__(
        self,
        pending: PendingRequest,
        instance: load_balancer.Instance,
        sent_s: float,
        slow_at_s: float,
    ) -> None:
        """Creates an open try.

        Args:
            pending: The request.
            instance: The instance that has it.
            sent_s: When it was sent, on the monotonic clock, in seconds.
            slow_at_s: When it counts as slow.
        """
        self.pending = pending
        self.instance = instance
        self.sent_s = sent_s
        self.slow_at_s = slow_at_s
        self.is_slow = False


class PendingRequest:
    """One request from its arrival to its outcome."""

    __slots__ = (
        "arrived_s",
        "backend_s",
        "deadline_s",
        "failure_probabilities",
        "id",
        "is_ended",
        "last_failure",
        "may_have_run",
        "open_attempts",
        "pick_reasons",
        "reply_to",
        "request",
        "route",
        "sent_to",
        "service",
        "stream_id",
        "unreachable_instances",
    )

    def __init__(self, message: messages.RequestArrived, now_s: float) -> None:
        """Creates the state of a request that just arrived.

        Args:
            message: The request and its receiver.
            now_s: The monotonic clock, in seconds.
        """
        self.id = next(_ids)
        self.request: exchange.Request = message.request
        self.reply_to = reply.ReplyTo(message.reply_to, message.token)
        received_s = message.request.received_s
        self.arrived_s = now_s if received_s is None else received_s
        timeout_s = message.request.timeout_s
        self.deadline_s = self.arrived_s + (
            DEFAULT_TIMEOUT_S if timeout_s is None else timeout_s
        )
        self.route: configuration.Route | None = None
        self.service: ServiceState | None = None
        self.open_attempts: dict[int, OpenAttempt] = {}
        self.sent_to: list[str] = []
        # Of each try: why its instance was chosen, and how likely it was
        # believed to fail.
        self.pick_reasons: list[str] = []
        self.failure_probabilities: list[float] = []
        self.unreachable_instances: list[str] = []
        self.may_have_run = False
        self.last_failure: exchange.Outcome | None = None
        self.backend_s = 0.0
        self.stream_id: int | None = None
        self.is_ended = False

    @property
    def attempted_instances(self) -> list[str]:
        """Instances that it need not be sent to again."""
        return self.sent_to + self.unreachable_instances

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.route is not None and self.route.is_idempotent

    @property
    def attempts_left(self) -> int:
        """How many more instances it may be sent to."""
        most = self.route.max_attempts if self.route is not None else 0
        return max(0, most - len(self.sent_to))


def next_attempt_id() -> int:
    """Names a new try."""
    return next(_ids)
