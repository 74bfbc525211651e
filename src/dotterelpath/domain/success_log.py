"""Collects which instances served requests, for reports to other daemons.

Each daemon sees only its own requests. An instance that serves the requests of
other daemons looks untried to it, and its health uncertain.
"""

from __future__ import annotations

import math

from dotterelpath.domain import health_reports

# The period of a daemon's reports on a service, in seconds.
REPORT_PERIOD_S = 0.5


class SuccessLog:
    """The instances of a service that served requests since the last report."""

    __slots__ = ("_reported_s", "_started_ms_by_id")

    def __init__(self) -> None:
        """Creates an empty log."""
        self._started_ms_by_id: dict[str, int] = {}
        self._reported_s = -math.inf

    def record(self, instance_id: str, started_ms: int) -> None:
        """Records that an instance served a request.

        Args:
            instance_id: The instance.
            started_ms: The start time of the instance, in milliseconds since
                1970.
        """
        self._started_ms_by_id[instance_id] = started_ms

    def discard(self, instance_id: str) -> None:
        """Forgets an instance, since it has shown a symptom.

        Args:
            instance_id: The instance.
        """
        self._started_ms_by_id.pop(instance_id, None)

    def take_due(self, now_s: float) -> list[tuple[str, int]]:
        """Takes the instances to report now; none if no report is due.

        Instances that do not fit into the report are forgotten, since their
        successes would be too old for the next one.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The id and the start time of each instance.
        """
        if now_s - self._reported_s < REPORT_PERIOD_S:
            return []
        self._reported_s = now_s
        taken = list(self._started_ms_by_id.items())[
            -health_reports.MAX_INSTANCES :
        ]
        self._started_ms_by_id.clear()
        return taken
