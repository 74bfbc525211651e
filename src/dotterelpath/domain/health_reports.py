"""Reports that daemons send to each other on the health of instances."""

from __future__ import annotations

import enum

# The most instances in one report, so that it fits into one packet.
MAX_INSTANCES = 24


class Symptom(enum.Enum):
    """The observation that a report is about."""

    # The request failed before the instance did any work.
    FAILED = "failed"
    # The request failed after about the typical duration.
    FAILED_LATE = "failed late"
    SLOW = "lagged"
    UNREACHABLE = "gone"
    # The instance was considered unhealthy, and served a request.
    RECOVERED = "well"
    # The request was rejected as not run, by an instance that is not full.
    REJECTED = "rejected"
    # Many requests of the service are not served. The report has no instance.
    SERVICE_DEGRADED = "troubled"


class LeavingReport:
    """A daemon's report on instances that leave.

    A daemon that cannot read the store, or was paused while the store changed,
    learns from it that the instances must get no more requests.
    """

    __slots__ = ("instances",)

    def __init__(self, instances: list[tuple[str, str, int]]) -> None:
        """Creates a report.

        Args:
            instances: The service of each instance, its id and its start time,
                in milliseconds since 1970.
        """
        self.instances = instances


class LimitReport:
    """A daemon's report on the limits of requests that instances name.

    A daemon that holds limits repeats it. One that has just heard of a limit,
    or that an instance names none any more, sends it once.
    """

    __slots__ = ("limits", "service")

    def __init__(
        self, service: str, limits: list[tuple[str, int, float | None]]
    ) -> None:
        """Creates a report.

        Args:
            service: The instances' service.
            limits: The id of each instance, its start time, in milliseconds
                since 1970, and the requests a second that it takes; None if it
                names no limit any more.
        """
        self.service = service
        self.limits = limits


class SuccessReport:
    """A daemon's report on the instances that served its requests."""

    __slots__ = ("instances", "service")

    def __init__(self, service: str, instances: list[tuple[str, int]]) -> None:
        """Creates a report.

        Args:
            service: The instances' service.
            instances: The id of each instance and its start time, in
                milliseconds since 1970.
        """
        self.service = service
        self.instances = instances


class HealthReport:
    """A daemon's report on an instance, or on a service as a whole."""

    __slots__ = ("instance_id", "service", "started_ms", "symptom")

    def __init__(
        self, service: str, instance_id: str, started_ms: int, symptom: Symptom
    ) -> None:
        """Creates a report.

        Args:
            service: The instance's service.
            instance_id: The instance; empty for the whole service.
            started_ms: The start time of the instance, in milliseconds since
                1970, which tells its incarnations apart.
            symptom: The observation.
        """
        self.service = service
        self.instance_id = instance_id
        self.started_ms = started_ms
        self.symptom = symptom
