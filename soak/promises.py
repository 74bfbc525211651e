"""What must hold, from what callers and instances saw."""

from __future__ import annotations

import typing

from soak import callers

# Statuses that say that the request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
# A leaving instance gets no new work after this time, in seconds.
LEAVING_S = 3.0


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


def broken(
    records: dict[str, callers.Record],
    runs: dict[str, list[Run]],
    is_planned_only: bool,
) -> list[str]:
    """Finds the promises that were broken.

    Args:
        records: What callers sent and got, by id.
        runs: What instances worked on, by id.
        is_planned_only: Whether nothing but planned work happened.

    Returns:
        One line for each breach.
    """
    found = []
    for request_id, record in records.items():
        own = runs.get(request_id, [])
        for name, check in CHECKS.items():
            if check(request_id, record, own):
                found.append(
                    f"{name}: {request_id} {record.path} status"
                    f" {record.status} ran at {[r.instance for r in own]}"
                )
        if is_planned_only and _is_lost(record):
            found.append(
                f"lost in planned work: {request_id} {record.path} status"
                f" {record.status} sent {record.sent_s:.3f}"
            )
    unknown = [i for i in runs if i not in records]
    found += [f"nobody asked: {request_id}" for request_id in unknown]
    return found


def _is_twice(id: str, record: callers.Record, own: list[Run]) -> bool:
    return not record.is_idempotent and sum(r.count for r in own) > 1


def _is_untrue(id: str, record: callers.Record, own: list[Run]) -> bool:
    has_run = any(r.count for r in own)
    return not record.is_idempotent and record.status in NOT_RUN and has_run


def _is_mixed(id: str, record: callers.Record, own: list[Run]) -> bool:
    if record.status != 200:
        return False
    fields, body = record.response
    if "response-signature" not in fields or not isinstance(body, dict):
        return True
    return body.get("target") != f"{record.path}?id={id}" or not own


def _is_misrouted(id: str, record: callers.Record, own: list[Run]) -> bool:
    allowed = {
        "/presses/1": {"presses"},
        "/deposits/1": {"deposits"},
        "/moving/1": {"presses", "deposits"},
    }[record.path]
    return any(r.service not in allowed for r in own)


def _is_denied(id: str, record: callers.Record, own: list[Run]) -> bool:
    return record.status in (401, 403, 404)


def _is_lost(record: callers.Record) -> bool:
    """Whether a request that was sent whole got no answer."""
    return record.is_sent and record.status == 0


CHECKS: dict[str, typing.Callable[[str, callers.Record, list[Run]], bool]] = {
    "ran twice": _is_twice,
    "told not run, and ran": _is_untrue,
    "not its own whole answer": _is_mixed,
    "run by another service": _is_misrouted,
    "denied a route that exists": _is_denied,
}


def late_work(
    runs: dict[str, list[Run]], drained: list[tuple[str, float, float]]
) -> list[str]:
    """Finds work that a leaving instance got too late.

    Args:
        runs: What instances worked on, by id.
        drained: Instances, and from when until when they were leaving.

    Returns:
        One line for each breach.
    """
    found = []
    for instance, began_s, ended_s in drained:
        for request_id, own in runs.items():
            for run in own:
                is_late = began_s + LEAVING_S < run.at_s < ended_s
                if run.instance == instance and is_late:
                    found.append(
                        f"work for the leaving {instance}: {request_id}"
                    )
    return found
