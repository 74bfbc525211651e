"""What must hold, from what callers and instances saw."""

from __future__ import annotations

import typing

from soak import callers

# Statuses that say that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A leaving instance gets no new work after this time, in seconds.
DRAIN_DEADLINE_S = 3.0


class Run:
    """A request at an instance."""

    __slots__ = ("at_s", "count", "instance", "service")

    def __init__(
        self, instance: str, service: str, count: int, at_s: float
    ) -> None:
        """Creates a run."""
        self.instance = instance
        self.service = service
        self.count = count
        self.at_s = at_s


def find_violations(
    records: dict[str, callers.RequestRecord],
    runs: dict[str, list[Run]],
    is_maintenance_only: bool,
) -> list[str]:
    """Finds the promises that were broken.

    Args:
        records: What callers sent and got, by id.
        runs: What instances worked on, by id.
        is_maintenance_only: Whether nothing but planned work happened.

    Returns:
        One line for each breach.
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
        if is_maintenance_only and _is_lost(record):
            violations.append(
                f"lost in planned work: {request_id} {record.path} status"
                f" {record.status} sent {record.sent_s:.3f}"
            )
    unknown = [i for i in runs if i not in records]
    violations += [f"nobody asked: {request_id}" for request_id in unknown]
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
    fields, body = record.response
    if "response-signature" not in fields or not isinstance(body, dict):
        return True
    return (
        body.get("target") != f"{record.path}?id={request_id}"
        or not request_runs
    )


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
    return record.status in (401, 403, 404)


def _is_lost(record: callers.RequestRecord) -> bool:
    """Whether a request that was sent whole got no answer."""
    return record.is_sent and record.status == 0


CHECKS: dict[
    str, typing.Callable[[str, callers.RequestRecord, list[Run]], bool]
] = {
    "ran twice": _ran_twice,
    "told not run, and ran": _ran_despite_status,
    "not its own whole answer": _is_wrong_response,
    "run by another service": _is_misrouted,
    "denied a route that exists": _is_rejected,
}


def find_late_requests(
    runs: dict[str, list[Run]], drain_periods: list[tuple[str, float, float]]
) -> list[str]:
    """Finds work that a leaving instance got too late.

    Args:
        runs: What instances worked on, by id.
        drain_periods: Instances, and from when until when they were leaving.

    Returns:
        One line for each breach.
    """
    violations = []
    for instance, start_s, end_s in drain_periods:
        for request_id, request_runs in runs.items():
            for run in request_runs:
                is_late = start_s + DRAIN_DEADLINE_S < run.at_s < end_s
                if run.instance == instance and is_late:
                    violations.append(
                        f"work for the leaving {instance}: {request_id}"
                    )
    return violations
