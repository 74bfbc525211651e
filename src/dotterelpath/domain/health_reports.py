"""What daemons tell each other of instances."""

from __future__ import annotations

import enum


class Symptom(enum.Enum):
    """What a daemon saw of an instance."""

    FAILED = "failed"
    FAILED_LATE = "failed late"
    SLOW = "lagged"
    UNREACHABLE = "gone"
    # It was believed sick, and served a request.
    RECOVERED = "well"
    # Many requests of the whole service are not served; names no instance.
    SERVICE_DEGRADED = "troubled"


class HealthReport:
    """One observation of an instance."""

    __slots__ = ("instance_id", "service", "started_ms", "symptom")

    def __init__(
        self, service: str, instance_id: str, started_ms: int, symptom: Symptom
    ) -> None:
        """Creates an observation.

        Args:
            service: The instance's service.
            instance_id: The instance.
            started_ms: Which incarnation of it, in milliseconds since 1970.
            symptom: What was seen.
        """
        self.service = service
        self.instance_id = instance_id
        self.started_ms = started_ms
        self.symptom = symptom
