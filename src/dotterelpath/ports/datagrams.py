"""The port for datagrams between daemons, any of which may be lost."""

from __future__ import annotations

import math
import typing

from dotterelpath.domain import health_reports
from dotterelpath.domain import quota_reports
from dotterelpath.domain import steering
from dotterelpath.domain import store_position


class Ping:
    """Asks a daemon for its state."""

    __slots__ = ("sender_id", "sequence")

    def __init__(self, sender_id: str, sequence: int) -> None:
        """Creates a ping.

        Args:
            sender_id: The id of the daemon that asks.
            sequence: The number by which a pong refers to the ping.
        """
        self.sender_id = sender_id
        self.sequence = sequence


class Pong:
    """Reports a daemon's state in response to a ping."""

    __slots__ = (
        "large_revision",
        "position",
        "position_age_s",
        "sender_id",
        "sequence",
        "state",
        "usage",
    )

    def __init__(
        self,
        sender_id: str,
        sequence: int,
        state: steering.DaemonState,
        usage: steering.Resources,
        position: store_position.Position | None,
        position_age_s: float = math.inf,
        large_revision: int = 0,
    ) -> None:
        """Creates a pong.

        Args:
            sender_id: The id of the daemon that responds.
            sequence: The number of the ping.
            state: The daemon's state.
            usage: The daemon's use of its processor and link.
            position: The position of the store up to which the daemon knows
                all changes; None if it does not watch the store.
            position_age_s: How long ago the store confirmed this, in seconds.
            large_revision: The newest revision of that era at which a large
                value was written.
        """
        self.large_revision = large_revision
        self.sender_id = sender_id
        self.sequence = sequence
        self.state = state
        self.usage = usage
        self.position = position
        self.position_age_s = position_age_s


class HealthReportDatagram:
    """Reports what a daemon observed about an instance."""

    __slots__ = ("report", "sender_id")

    def __init__(
        self, sender_id: str, report: health_reports.HealthReport
    ) -> None:
        """Creates a datagram.

        Args:
            sender_id: The id of the daemon that reports.
            report: The observation.
        """
        self.sender_id = sender_id
        self.report = report


class SuccessReportDatagram:
    """Reports which instances served a daemon's requests."""

    __slots__ = ("report", "sender_id", "serving_count")

    def __init__(
        self,
        sender_id: str,
        report: health_reports.SuccessReport,
        serving_count: int | None = None,
    ) -> None:
        """Creates a datagram.

        Args:
            sender_id: The id of the daemon that reports.
            report: The instances.
            serving_count: How many daemons serve the callers of the sender's
                data centre; None if the sender is neither one of them nor a
                reserve.
        """
        self.sender_id = sender_id
        self.report = report
        self.serving_count = serving_count


class LimitReportDatagram:
    """Reports limits of requests that instances name."""

    __slots__ = ("report", "sender_id", "serving_count")

    def __init__(
        self,
        sender_id: str,
        report: health_reports.LimitReport,
        serving_count: int | None = None,
    ) -> None:
        """Creates a datagram.

        Args:
            sender_id: The id of the daemon that reports.
            report: The limits.
            serving_count: See SuccessReportDatagram.
        """
        self.sender_id = sender_id
        self.report = report
        self.serving_count = serving_count


class LeavingReportDatagram:
    """Reports instances that leave."""

    __slots__ = ("report", "sender_id")

    def __init__(
        self, sender_id: str, report: health_reports.LeavingReport
    ) -> None:
        """Creates a datagram.

        Args:
            sender_id: The id of the daemon that reports.
            report: The instances.
        """
        self.sender_id = sender_id
        self.report = report


class QuotaReportDatagram:
    """Reports a daemon's use of tenants' quotas."""

    __slots__ = ("entries", "header", "sender_id", "serving_count")

    def __init__(
        self,
        sender_id: str,
        header: quota_reports.Header,
        entries: list[quota_reports.Entry],
        serving_count: int | None = None,
    ) -> None:
        """Creates a datagram.

        Args:
            sender_id: The id of the daemon that reports.
            header: Identifies the report; acknowledges one of the receiver.
            entries: The name, the demand in requests a second and the count of
                admitted requests of each tenant.
            serving_count: See SuccessReportDatagram.
        """
        self.sender_id = sender_id
        self.header = header
        self.entries = entries
        self.serving_count = serving_count


class QuotaUsedUpDatagram:
    """Names tenants that have used up their quota."""

    __slots__ = ("sender_id", "tenant_names")

    def __init__(self, sender_id: str, tenant_names: list[str]) -> None:
        """Creates a datagram.

        Args:
            sender_id: The id of the daemon that reports.
            tenant_names: The tenants.
        """
        self.sender_id = sender_id
        self.tenant_names = tenant_names


Datagram = (
    Ping
    | Pong
    | HealthReportDatagram
    | SuccessReportDatagram
    | LeavingReportDatagram
    | LimitReportDatagram
    | QuotaReportDatagram
    | QuotaUsedUpDatagram
)


class Datagrams(typing.Protocol):
    """Sends datagrams."""

    def send(self, host: str, port: int, datagram: Datagram) -> None:
        """Sends a datagram, which may be lost.

        Args:
            host: The receiver's IP address.
            port: The receiver's port.
            datagram: The datagram.
        """


class Listener(typing.Protocol):
    """Receives datagrams."""

    def on_datagram(self, host: str, port: int, datagram: Datagram) -> None:
        """Handles a datagram.

        Args:
            host: The sender's IP address.
            port: The sender's port.
            datagram: The datagram.
        """
