"""The gateway's state of one request, its attempts and its service."""

from __future__ import annotations

import itertools
import math

from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.domain import instance_state
from dotterelpath.domain import late_evidence
from dotterelpath.domain import load_balancer
from dotterelpath.domain import probing
from dotterelpath.domain import rejections
from dotterelpath.domain import request_queue
from dotterelpath.domain import retry_queue
from dotterelpath.domain import retry_window
from dotterelpath.domain import success_log
from dotterelpath.domain import tenants
from dotterelpath.domain import work_estimate
from dotterelpath.tasks import messages
from dotterelpath.tasks import reply

# The timeout of requests that state none, in seconds.
DEFAULT_TIMEOUT_S = 5.0

_ids = itertools.count(1)


class ServiceState:
    """Holds the instances, the queue and the retries of a service."""

    __slots__ = (
        "balancer",
        "deadlines_checked_s",
        "degradation",
        "limits_reported_s",
        "name",
        "queue",
        "rejections",
        "removed_instances",
        "retries",
        "success_log",
        "waiting_retries",
        "work_by_route",
    )

    def __init__(self, name: str, data_centre: str) -> None:
        """Creates the state of a service without instances.

        Args:
            name: The name of the service.
            data_centre: The data centre of this daemon.
        """
        self.name = name
        self.balancer = load_balancer.LoadBalancer(data_centre)
        self.queue: request_queue.Queue[PendingRequest] = request_queue.Queue()
        # When the deadlines of all queued requests were last checked.
        self.deadlines_checked_s = -math.inf
        # When this daemon last reported the limits of requests that it holds.
        self.limits_reported_s = -math.inf
        self.retries = retry_window.RetryWindow()
        # The requests that wait before their next attempt.
        self.waiting_retries: retry_queue.RetryQueue[PendingRequest] = (
            retry_queue.RetryQueue()
        )
        self.rejections = rejections.RejectionShare()
        self.work_by_route: dict[str, work_estimate.WorkEstimate] = {}
        self.success_log = success_log.SuccessLog()
        self.degradation = probing.DegradationMonitor()
        # The start time of each instance that leaves, or was not found at its
        # address, by id.
        self.removed_instances: dict[str, int] = {}


class OpenAttempt:
    """Holds the state of an attempt that has not ended."""

    __slots__ = (
        "instance",
        "is_reported",
        "is_slow",
        "open_request",
        "pending",
        "sent_s",
        "slow_at_s",
    )

    def __init__(
        self,
        pending: PendingRequest,
        instance: instance_state.InstanceState,
        sent_s: float,
        slow_at_s: float,
        open_request: late_evidence.OpenRequest,
    ) -> None:
        """Creates an open attempt.

        Args:
            pending: The request.
            instance: The instance that the attempt was sent to.
            sent_s: When the attempt was sent, on the monotonic clock, in
                seconds.
            slow_at_s: When the attempt counts as slow, on the same clock.
            open_request: The evidence that it gives while it is open.
        """
        self.pending = pending
        self.instance = instance
        self.sent_s = sent_s
        self.slow_at_s = slow_at_s
        self.is_slow = False
        self.open_request = open_request
        # Whether peers were told that the attempt is open for long.
        self.is_reported = False


class PendingRequest:
    """Holds the state of a request from its arrival to its outcome."""

    __slots__ = (
        "arrived_s",
        "backend_duration_s",
        "deadline_s",
        "failure_probabilities",
        "id",
        "is_ended",
        "is_quota_used",
        "last_failure",
        "may_have_run",
        "open_attempts",
        "reply_to",
        "request",
        "route",
        "selection_reasons",
        "sent_to",
        "service",
        "stream_id",
        "tenant",
        "unreachable_instances",
        "wait_reasons",
    )

    def __init__(self, message: messages.RequestArrived, now_s: float) -> None:
        """Creates the state of a request that just arrived.

        Args:
            message: The request and the mailbox that gets its outcome.
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
        self.tenant: tenants.Tenant | None = None
        # Whether the request has taken a token of its tenant's quota.
        self.is_quota_used = False
        self.open_attempts: dict[int, OpenAttempt] = {}
        self.sent_to: list[str] = []
        # For each attempt: why its instance was selected, and the estimated
        # probability that the instance fails it.
        self.selection_reasons: list[str] = []
        self.failure_probabilities: list[float] = []
        self.unreachable_instances: list[str] = []
        # Why the request waited, in order, without repetitions.
        self.wait_reasons: list[str] = []
        self.may_have_run = False
        # The last error response, sent to the caller if no attempt succeeds.
        self.last_failure: exchange.Outcome | None = None
        # The duration of the longest attempt.
        self.backend_duration_s = 0.0
        self.stream_id: int | None = None
        self.is_ended = False

    @property
    def attempted_instances(self) -> list[str]:
        """The ids of the instances that attempts were made at."""
        return self.sent_to + self.unreachable_instances

    @property
    def priority(self) -> int:
        """The priority of the tenant, or else of the route; 0 is highest."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority if self.route is not None else 0

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route is not None and self.route.is_idempotent

    @property
    def attempts_left(self) -> int:
        """How many more instances the request may be sent to."""
        max_attempts = self.route.max_attempts if self.route is not None else 0
        return max(0, max_attempts - len(self.sent_to))


def next_attempt_id() -> int:
    """Returns an id for a new attempt."""
    return next(_ids)
