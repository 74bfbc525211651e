"""Messages on the fleet's configuration, instances, daemons and evidence."""

from __future__ import annotations

from dotterelpath.domain import bounds
from dotterelpath.domain import configuration
from dotterelpath.domain import health_reports
from dotterelpath.domain import registry
from dotterelpath.domain import steering


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
    """The listed instances changed."""

    __slots__ = ("instances_by_service",)

    def __init__(
        self, instances_by_service: dict[str, list[registry.Listed]]
    ) -> None:
        """Creates the message.

        Args:
            instances_by_service: The instances of each service that has any.
        """
        self.instances_by_service = instances_by_service


class RevisionReceived:
    """Another daemon, which watches the store, told what it knows."""

    __slots__ = ("at_s", "revision")

    def __init__(self, revision: int, at_s: float) -> None:
        """Creates the message.

        Args:
            revision: The store's revision up to which it knows all changes.
            at_s: When it came in, on the monotonic clock, in seconds.
        """
        self.revision = revision
        self.at_s = at_s


class PeerPinged:
    """Another daemon asked this one, and relies on what it knows."""

    __slots__ = ("at_s",)

    def __init__(self, at_s: float) -> None:
        """Creates the message.

        Args:
            at_s: When, on the monotonic clock, in seconds.
        """
        self.at_s = at_s


class WatchedRevisionChanged:
    """Whether this daemon watches the store now."""

    __slots__ = ("revision",)

    def __init__(self, revision: int | None) -> None:
        """Creates the message.

        Args:
            revision: The store's revision up to which all changes are known;
                None where this daemon does not watch the store.
        """
        self.revision = revision


class DaemonsChanged:
    """The listed daemons changed."""

    __slots__ = ("daemons",)

    def __init__(self, daemons: dict[str, steering.Daemon]) -> None:
        """Creates the message.

        Args:
            daemons: The daemons by id.
        """
        self.daemons = daemons


class BoundsChanged:
    """The settings changed."""

    __slots__ = ("bounds",)

    def __init__(self, bounds: bounds.Bounds) -> None:
        """Creates the message.

        Args:
            bounds: What the settings say now.
        """
        self.bounds = bounds


class ServingDaemonsChanged:
    """Which daemons share the services changed."""

    __slots__ = ("daemon_count", "is_serving")

    def __init__(self, daemon_count: int, is_serving: bool) -> None:
        """Creates the message.

        Args:
            daemon_count: How many daemons share the services' slots and
                retries.
            is_serving: Whether callers may be sent to this daemon.
        """
        self.daemon_count = daemon_count
        self.is_serving = is_serving


class HealthReportIssued:
    """This daemon saw something of an instance that others should know."""

    __slots__ = ("report",)

    def __init__(self, report: health_reports.HealthReport) -> None:
        """Creates the message.

        Args:
            report: The observation.
        """
        self.report = report


class HealthReportReceived:
    """Another daemon saw something of an instance."""

    __slots__ = ("daemon_id", "report")

    def __init__(
        self, daemon_id: str, report: health_reports.HealthReport
    ) -> None:
        """Creates the message.

        Args:
            daemon_id: Who saw it.
            report: The observation.
        """
        self.daemon_id = daemon_id
        self.report = report
