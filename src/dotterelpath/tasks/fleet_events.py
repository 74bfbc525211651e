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

    __slots__ = ("by_service",)

    def __init__(self, by_service: dict[str, list[registry.Listed]]) -> None:
        """Creates the message.

        Args:
            by_service: The instances of each service that has any.
        """
        self.by_service = by_service


class RevisionTold:
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


class DaemonAsked:
    """Another daemon asked this one, and relies on what it knows."""

    __slots__ = ("at_s",)

    def __init__(self, at_s: float) -> None:
        """Creates the message.

        Args:
            at_s: When, on the monotonic clock, in seconds.
        """
        self.at_s = at_s


class StoreWatched:
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


class SharersChanged:
    """Which daemons share the services changed."""

    __slots__ = ("carriers", "is_carrier")

    def __init__(self, carriers: int, is_carrier: bool) -> None:
        """Creates the message.

        Args:
            carriers: The daemons that share the services' slots and retries.
            is_carrier: Whether callers may be sent to this daemon.
        """
        self.carriers = carriers
        self.is_carrier = is_carrier


class EvidenceSeen:
    """This daemon saw something of an instance that others should know."""

    __slots__ = ("evidence",)

    def __init__(self, evidence: health_reports.HealthReport) -> None:
        """Creates the message.

        Args:
            evidence: The observation.
        """
        self.evidence = evidence


class EvidenceHeard:
    """Another daemon saw something of an instance."""

    __slots__ = ("daemon_id", "evidence")

    def __init__(
        self, daemon_id: str, evidence: health_reports.HealthReport
    ) -> None:
        """Creates the message.

        Args:
            daemon_id: Who saw it.
            evidence: The observation.
        """
        self.daemon_id = daemon_id
        self.evidence = evidence
