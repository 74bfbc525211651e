"""Invariants of a soak, checked on the records of callers and instances."""

from __future__ import annotations

import math
import typing

from soak import callers
from standins import gateway_fleet

# Statuses that guarantee that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Time after the start of a drain within which all daemons must stop sending
# requests to the instance.
DRAIN_DEADLINE_S = 3.0
# Time after a change of the configuration from which requests must run by it:
# the bound in the daemons' settings.
CONFIGURATION_DEADLINE_S = gateway_fleet.BOUNDS["config_apply_s"]


class Run:
    """The executions of one request at one instance."""

    __slots__ = ("at_s", "count", "instance", "service")

    def __init__(
        self, instance: str, service: str, count: int, at_s: float
    ) -> None:
        """Creates a run.

        Args:
            instance: The id of the instance.
            service: The service of the instance.
            count: How often the request ran at the instance.
            at_s: Start of the last execution, in seconds of the monotonic
                clock.
        """
        self.instance = instance
        self.service = service
        self.count = count
        self.at_s = at_s


def find_violations(
    records: dict[str, callers.RequestRecord],
    runs: dict[str, list[Run]],
    is_maintenance_only: bool,
) -> list[str]:
    """Finds the requests that violate an invariant.

    Args:
        records: The requests that callers sent, by request id.
        runs: The runs that instances recorded, by request id.
        is_maintenance_only: Whether the schedule had maintenance only, during
            which no request may be lost.

    Returns:
        One line for each violation.
    """
    violations = []
    for request_id, record in records.items():
        request_runs = runs.get(request_id, [])
        for name, check in CHECKS.items():
            if check(request_id, record, request_runs):
                violations.append(
                    f"{name}: {request_id} {record.path} status"
                    f" {record.status} ran at"
                    f" {[r.instance for r in request_runs]}"
                )
        if is_maintenance_only and _is_lost(record, request_runs):
            violations.append(
                f"lost during maintenance: {request_id} {record.path} status"
                f" {record.status} sent {record.sent_s:.3f}"
            )
    unknown = [i for i in runs if i not in records]
    violations += [
        f"run without a request: {request_id}" for request_id in unknown
    ]
    return violations


def _ran_twice(
    request_id: str, record: callers.RequestRecord, request_runs: list[Run]
) -> bool:
    return not record.is_idempotent and sum(r.count for r in request_runs) > 1


def _ran_despite_status(
    request_id: str, record: callers.RequestRecord, request_runs: list[Run]
) -> bool:
    has_run = any(r.count for r in request_runs)
    return (
        not record.is_idempotent
        and record.status in NOT_RUN_STATUSES
        and has_run
    )


def _is_wrong_response(
    request_id: str, record: callers.RequestRecord, request_runs: list[Run]
) -> bool:
    if record.status != 200:
        return False
    headers, body = record.response
    if "response-signature" not in headers or not isinstance(body, dict):
        return True
    return body.get("target") != record.target or not request_runs


def _is_misrouted(
    request_id: str, record: callers.RequestRecord, request_runs: list[Run]
) -> bool:
    allowed = {
        "/presses/1": {"presses"},
        "/deposits/1": {"deposits"},
        "/moving/1": {"presses", "deposits"},
    }[record.path]
    return any(r.service not in allowed for r in request_runs)


def _is_rejected(
    request_id: str, record: callers.RequestRecord, request_runs: list[Run]
) -> bool:
    # The check of keys covers requests that have one.
    is_unauthenticated = record.status == 401 and record.key is None
    return record.status in (403, 404) or is_unauthenticated


def _is_lost(record: callers.RequestRecord, request_runs: list[Run]) -> bool:
    """Returns whether a completely sent request got no response.

    One that was sent behind another may be left unread, but not once it was
    passed on.
    """
    is_unread = record.is_behind and not request_runs
    return record.is_sent and record.status == 0 and not is_unread


CHECKS: dict[
    str, typing.Callable[[str, callers.RequestRecord, list[Run]], bool]
] = {
    "ran twice": _ran_twice,
    "ran despite a not-run status": _ran_despite_status,
    "wrong or incomplete response": _is_wrong_response,
    "ran at the wrong service": _is_misrouted,
    "rejected on an existing route": _is_rejected,
}


def find_late_configurations(
    records: dict[str, callers.RequestRecord],
    runs: dict[str, list[Run]],
    route_moves: list[tuple[float, str]],
) -> list[str]:
    """Finds requests that ran as only an older configuration says.

    Args:
        records: The requests that callers sent, by request id.
        runs: The runs that instances recorded, by request id.
        route_moves: When the route /moving/ moved, in seconds of the monotonic
            clock, and to which service.

    Returns:
        One line for each violation.
    """
    violations = []
    ends_s = [at_s for at_s, _ in route_moves[1:]] + [math.inf]
    for request_id, record in records.items():
        if not record.path.startswith("/moving/"):
            continue
        allowed = {
            service
            for (at_s, service), end_s in zip(route_moves, ends_s, strict=True)
            if at_s <= (record.ended_s or math.inf)
            and record.sent_s < end_s + CONFIGURATION_DEADLINE_S
        }
        violations += [
            f"ran by an old configuration: {request_id} at {run.instance}"
            for run in runs.get(request_id, [])
            if run.service not in allowed
        ]
    return violations


def find_late_requests(
    runs: dict[str, list[Run]], drain_periods: list[tuple[str, float, float]]
) -> list[str]:
    """Finds requests that reached an instance too late in its drain.

    Args:
        runs: The runs that instances recorded, by request id.
        drain_periods: For each drain the id of the instance, its start and its
            end, both in seconds of the monotonic clock.

    Returns:
        One line for each violation.
    """
    violations = []
    for instance, start_s, end_s in drain_periods:
        for request_id, request_runs in runs.items():
            for run in request_runs:
                is_late = start_s + DRAIN_DEADLINE_S < run.at_s < end_s
                if run.instance == instance and is_late:
                    violations.append(
                        f"late request at draining {instance}: {request_id}"
                    )
    return violations
