"""The part of the gateway task that finds the tenant of each request."""

from __future__ import annotations

import math
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import bounds as bounds_domain
from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.domain import revocation
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import _pending
from dotterelpath.tasks import fleet_events

# How often it is checked that the process runs, in seconds.
HEARTBEAT_S = 0.25

_log = structlog.get_logger()


class Authenticator:
    """Finds the tenants of requests, and refuses what needs a known key.

    Part of the gateway task. Does nothing while the configuration has no
    tenants.
    """

    __slots__ = (
        "_confirmed_s",
        "_freeze_detector",
        "_has_tenants",
        "_is_scheduled",
        "_refuse_from_s",
        "_timers",
    )

    def __init__(
        self,
        bounds: bounds_domain.Bounds,
        timers: timers_port.Timers[typing.Any],
    ) -> None:
        """Creates the state for a configuration without tenants.

        Args:
            bounds: The limits from the settings.
            timers: Schedules heartbeats.
        """
        self._timers = timers
        self._freeze_detector = revocation.FreezeDetector(bounds.apply_s)
        self._has_tenants = False
        self._is_scheduled = False
        self._confirmed_s = -math.inf
        self._refuse_from_s = math.inf

    def on_bounds_changed(self, message: fleet_events.BoundsChanged) -> None:
        """Applies changed limits.

        Args:
            message: The limits.
        """
        self._freeze_detector.set_apply_s(message.bounds.apply_s)

    def on_freshness_changed(
        self, message: fleet_events.FreshnessChanged
    ) -> None:
        """Records how old the tenants may be.

        Args:
            message: When they were confirmed, and from when to refuse requests.
        """
        self._confirmed_s = message.confirmed_s
        self._refuse_from_s = message.refuse_from_s

    def on_configuration_changed(
        self, current: configuration.Configuration, now_s: float
    ) -> None:
        """Starts heartbeats with the first configuration that has tenants.

        Args:
            current: The configuration in force.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._has_tenants = current.tenants is not None
        if self._has_tenants and not self._is_scheduled:
            self._freeze_detector.start(now_s)
            self.on_heartbeat(now_s)

    def on_heartbeat(self, now_s: float) -> None:
        """Records that the process runs, and schedules the next heartbeat.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._is_scheduled = self._has_tenants
        if self._has_tenants:
            self._observe(now_s)
            self._timers.add(now_s + HEARTBEAT_S, self)

    def check_freshness(
        self, current: configuration.Configuration, now_s: float
    ) -> None:
        """Refuses a request if the tenants are not known to be current.

        Args:
            current: The configuration in force.
            now_s: The current time on the monotonic clock, in seconds.

        Raises:
            DotterelpathError: They are not.
        """
        if current.tenants is None:
            return
        self._observe(now_s)
        if now_s >= self._refuse_from_s or self._freeze_detector.is_outdated(
            self._confirmed_s, now_s
        ):
            raise errors.DotterelpathError(errors.ResultCode.DAEMON_STALE)

    def authenticate(
        self,
        pending: _pending.PendingRequest,
        current: configuration.Configuration,
        route: configuration.Route,
    ) -> None:
        """Sets the tenant of a request and what its instance is told of it.

        Args:
            pending: The request.
            current: The configuration in force.
            route: The request's route.

        Raises:
            DotterelpathError: The request needs a key and has no known one.
        """
        request = pending.request
        credential = request.credential
        # Not needed any more, and waiting requests may be many.
        request.credential = None
        if current.tenants is None:
            return
        tenant = current.tenants.authenticate(credential, route.is_auth_exempt)
        pending.tenant = tenant
        request.identity = exchange.Identity(tenant.name if tenant else None)

    def _observe(self, now_s: float) -> None:
        if self._freeze_detector.observe(now_s):
            _log.warning(
                "process did not run, tenants may be outdated",
                confirmed_age_s=round(now_s - self._confirmed_s, 3),
            )


def log_fields(pending: _pending.PendingRequest) -> dict[str, typing.Any]:
    """Returns what the log line of a request says of its tenant.

    Args:
        pending: The request.
    """
    if pending.tenant is None:
        return {}
    return {"tenant": pending.tenant.name, "priority": pending.priority}
