"""Messages on configuration, instances, daemons and health reports."""

from __future__ import annotations

import math
import typing

from dotterelpath.domain import bounds
from dotterelpath.domain import configuration
from dotterelpath.domain import health_reports
from dotterelpath.domain import quota_reports
from dotterelpath.domain import registry
from dotterelpath.domain import request_limits
from dotterelpath.domain import steering
from dotterelpath.domain import store_position


class ConfigurationChanged:
    """A newer configuration is in force."""

    __slots__ = ("configuration",)

    def __init__(self, configuration: configuration.Configuration) -> None:
        """Creates the message.

        Args:
            configuration: The configuration.
        """
        self.configuration = configuration


class RegistryChanged:
    """The instances that the store lists have changed."""

    __slots__ = ("instances_by_service",)

    def __init__(
        self, instances_by_service: dict[str, list[registry.RegisteredInstance]]
    ) -> None:
        """Creates the message.

        Args:
            instances_by_service: The instances of each service that has any.
        """
        self.instances_by_service = instances_by_service


class PositionReceived:
    """Another daemon that watches the store reported its position."""

    __slots__ = (
        "at_s",
        "confirmed_s",
        "daemon_id",
        "large_revision",
        "position",
    )

    def __init__(
        self,
        daemon_id: str,
        position: store_position.Position,
        confirmed_s: float,
        at_s: float,
        large_revision: int = 0,
    ) -> None:
        """Creates the message.

        Args:
            daemon_id: The daemon that sent the report.
            position: The position up to which it has all changes.
            confirmed_s: When the store confirmed this to it at the latest, on
                the monotonic clock, in seconds.
            at_s: When it arrived, on the monotonic clock, in seconds.
            large_revision: The newest revision of that era at which a large
                value was written.
        """
        self.large_revision = large_revision
        self.daemon_id = daemon_id
        self.position = position
        self.confirmed_s = confirmed_s
        self.at_s = at_s


class PeerPinged:
    """Another daemon pinged this one and follows its store positions."""

    __slots__ = ("at_s",)

    def __init__(self, at_s: float) -> None:
        """Creates the message.

        Args:
            at_s: When the ping arrived, on the monotonic clock, in seconds.
        """
        self.at_s = at_s


class WatchedPositionChanged:
    """The watched position has changed or was confirmed by the store."""

    __slots__ = ("confirmed_s", "large_revision", "position")

    def __init__(
        self,
        position: store_position.Position | None,
        confirmed_s: float = -math.inf,
        large_revision: int = 0,
    ) -> None:
        """Creates the message.

        Args:
            position: The position up to which this daemon has all changes;
                None if it does not watch the store.
            confirmed_s: The time for which the store confirmed this, on the
                monotonic clock, in seconds.
            large_revision: The newest revision of that era at which a large
                value was written.
        """
        self.large_revision = large_revision
        self.position = position
        self.confirmed_s = confirmed_s


class StoreRead:
    """This daemon has read the store."""

    __slots__ = ("is_exact", "position", "sent_s")

    def __init__(
        self, position: store_position.Position, sent_s: float, is_exact: bool
    ) -> None:
        """Creates the message.

        Args:
            position: The position up to which all changes are known.
            sent_s: When the read was sent, on the monotonic clock, in seconds.
            is_exact: Whether the response cannot be older than the read.
        """
        self.position = position
        self.sent_s = sent_s
        self.is_exact = is_exact


class FreshnessChanged:
    """What this daemon knows of the age of its tenants has changed."""

    __slots__ = ("confirmed_s", "refuse_from_s")

    def __init__(self, confirmed_s: float, refuse_from_s: float) -> None:
        """Creates the message.

        Args:
            confirmed_s: When the tenants were last known to be current, on the
                monotonic clock, in seconds.
            refuse_from_s: From when requests are refused, on the same clock;
                infinite if they are not.
        """
        self.confirmed_s = confirmed_s
        self.refuse_from_s = refuse_from_s


class DaemonsChanged:
    """The daemons that the store lists have changed."""

    __slots__ = ("daemons",)

    def __init__(self, daemons: dict[str, steering.Daemon]) -> None:
        """Creates the message.

        Args:
            daemons: The daemons by id.
        """
        self.daemons = daemons


class BoundsChanged:
    """The limits in the settings file have changed."""

    __slots__ = ("bounds",)

    def __init__(self, bounds: bounds.Bounds) -> None:
        """Creates the message.

        Args:
            bounds: The new limits.
        """
        self.bounds = bounds


class ServingDaemonsChanged:
    """The set of serving daemons has changed.

    Serving daemons are those that callers are, or would next be, sent to.
    """

    __slots__ = (
        "daemon_count",
        "is_serving",
        "other_count",
        "own_id",
        "reporting",
        "serving",
    )

    def __init__(
        self,
        daemon_count: int,
        is_serving: bool,
        own_id: str = "",
        serving: typing.Sequence[request_limits.ServingDaemon] = (),
        reporting: frozenset[str] = frozenset(),
        other_count: int = 0,
    ) -> None:
        """Creates the message.

        Args:
            daemon_count: How many daemons share the services' slots and
                retries.
            is_serving: Whether this daemon is one of them.
            own_id: The id of this daemon.
            serving: The serving daemons, the best of each data centre first.
            reporting: The ids of those that reported lately that they are.
            other_count: How many listed daemons do not serve callers.
        """
        self.other_count = other_count
        self.reporting = reporting
        self.daemon_count = daemon_count
        self.is_serving = is_serving
        self.own_id = own_id
        self.serving = serving


class HealthReportIssued:
    """This daemon has a health report for the other daemons."""

    __slots__ = ("report",)

    def __init__(self, report: health_reports.HealthReport) -> None:
        """Creates the message.

        Args:
            report: The report.
        """
        self.report = report


class HealthReportReceived:
    """Another daemon sent a health report."""

    __slots__ = ("daemon_id", "report")

    def __init__(
        self, daemon_id: str, report: health_reports.HealthReport
    ) -> None:
        """Creates the message.

        Args:
            daemon_id: The daemon that sent the report.
            report: The report.
        """
        self.daemon_id = daemon_id
        self.report = report


class SuccessReportIssued:
    """This daemon reports instances that served its requests."""

    __slots__ = ("report",)

    def __init__(self, report: health_reports.SuccessReport) -> None:
        """Creates the message.

        Args:
            report: The report.
        """
        self.report = report


class SuccessReportReceived:
    """Another daemon reported instances that served its requests."""

    __slots__ = ("daemon_id", "report")

    def __init__(
        self, daemon_id: str, report: health_reports.SuccessReport
    ) -> None:
        """Creates the message.

        Args:
            daemon_id: The daemon that sent the report.
            report: The report.
        """
        self.daemon_id = daemon_id
        self.report = report


class LimitReportIssued:
    """This daemon reports limits of requests that instances name."""

    __slots__ = ("report",)

    def __init__(self, report: health_reports.LimitReport) -> None:
        """Creates the message.

        Args:
            report: The report.
        """
        self.report = report


class LimitReportReceived:
    """Another daemon reported limits of requests that instances name."""

    __slots__ = ("daemon_id", "report")

    def __init__(
        self, daemon_id: str, report: health_reports.LimitReport
    ) -> None:
        """Creates the message.

        Args:
            daemon_id: The daemon that sent the report.
            report: The report.
        """
        self.daemon_id = daemon_id
        self.report = report


class QuotaReportIssued:
    """This daemon reports its use of tenants' quotas."""

    __slots__ = ("report",)

    def __init__(self, report: quota_reports.Report) -> None:
        """Creates the message.

        Args:
            report: The report.
        """
        self.report = report


class QuotaReportReceived:
    """Another daemon reported its use of tenants' quotas."""

    __slots__ = ("daemon_id", "entries", "header")

    def __init__(
        self,
        daemon_id: str,
        header: quota_reports.Header,
        entries: list[quota_reports.Entry],
    ) -> None:
        """Creates the message.

        Args:
            daemon_id: The daemon that sent the report.
            header: The report's header.
            entries: The tenants of the report.
        """
        self.daemon_id = daemon_id
        self.header = header
        self.entries = entries


class QuotaUsedUpIssued:
    """This daemon names tenants that have used up their quota."""

    __slots__ = ("tenant_names",)

    def __init__(self, tenant_names: list[str]) -> None:
        """Creates the message.

        Args:
            tenant_names: The tenants.
        """
        self.tenant_names = tenant_names


class QuotaUsedUpReceived:
    """A serving daemon named tenants that have used up their quota."""

    __slots__ = ("tenant_names",)

    def __init__(self, tenant_names: list[str]) -> None:
        """Creates the message.

        Args:
            tenant_names: The tenants.
        """
        self.tenant_names = tenant_names


class LeavingReportIssued:
    """This daemon has learnt that instances leave."""

    __slots__ = ("is_first_hand", "report")

    def __init__(
        self, report: health_reports.LeavingReport, is_first_hand: bool = False
    ) -> None:
        """Creates the message.

        Args:
            report: The report.
            is_first_hand: Whether the instances said so themselves; otherwise
                the store has it, which other daemons may have read as well.
        """
        self.report = report
        self.is_first_hand = is_first_hand


class LeavingReportReceived:
    """Another daemon reported instances that leave."""

    __slots__ = ("daemon_id", "report")

    def __init__(
        self, daemon_id: str, report: health_reports.LeavingReport
    ) -> None:
        """Creates the message.

        Args:
            daemon_id: The daemon that sent the report.
            report: The report.
        """
        self.daemon_id = daemon_id
        self.report = report
