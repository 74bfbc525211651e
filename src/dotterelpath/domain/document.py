"""The operators' document: sections with services, routes and workspaces.

The daemon on entry VMs uses this module, the daemon on the users' platform
uses configuration instead.
"""

from __future__ import annotations

import enum

DEFAULT_ROUTE_TIMEOUT_S = 5.0
DEFAULT_WORKSPACE_CONCURRENCY = 64
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class EjectionPolicy(enum.Enum):
    """The error that the owners of a service want to avoid more.

    FALSE_EJECTIONS avoids the ejection of healthy instances, DETECTION avoids
    late or missed detection of unhealthy ones.
    """

    FALSE_EJECTIONS = "false-ejections"
    DETECTION = "detection"


class TrafficClass(enum.Enum):
    """Importance of a route's requests; less important ones are shed first."""

    CRITICAL = "critical"
    NORMAL = "normal"
    SHEDDABLE = "sheddable"


class Route:
    """A path prefix of a service, with the settings for its requests."""

    __slots__ = (
        "idempotent",
        "methods",
        "prefix",
        "service",
        "timeout_s",
        "traffic_class",
    )

    def __init__(
        self,
        service: str,
        prefix: str,
        methods: frozenset[str],
        idempotent: bool | None = None,
        traffic_class: TrafficClass = TrafficClass.NORMAL,
        timeout_s: float = DEFAULT_ROUTE_TIMEOUT_S,
    ) -> None:
        """Creates a route.

        Args:
            service: The service that runs the requests.
            prefix: The path prefix, matched on whole path segments.
            methods: The allowed methods; empty allows all.
            idempotent: Whether a request may run twice; None derives it from
                the method: requests with a safe method may.
            traffic_class: Importance of the requests under overload.
            timeout_s: The longest duration of a request, in seconds.
        """
        self.service = service
        self.prefix = prefix
        self.methods = methods
        self.idempotent = idempotent
        self.traffic_class = traffic_class
        self.timeout_s = timeout_s

    def is_idempotent(self, method: str) -> bool:
        """Returns whether a request may safely run more than once.

        Args:
            method: The request's HTTP method.

        Returns:
            Whether a retry after an unknown outcome is allowed.
        """
        if self.idempotent is None:
            return method in SAFE_METHODS
        return self.idempotent


class WorkspaceLimit:
    """The concurrency limit that a section sets for one workspace."""

    __slots__ = ("concurrency", "name")

    def __init__(self, name: str, concurrency: int) -> None:
        """Creates a limit.

        Args:
            name: The workspace.
            concurrency: The most requests in flight through one daemon.
        """
        self.name = name
        self.concurrency = concurrency


class Service:
    """A service as its owners declare it."""

    __slots__ = (
        "ejection_policy",
        "floor",
        "name",
        "refusal_header",
        "slots",
    )

    def __init__(
        self,
        name: str,
        floor: int,
        ejection_policy: EjectionPolicy = EjectionPolicy.FALSE_EJECTIONS,
        refusal_header: str | None = None,
        slots: int = 4,
    ) -> None:
        """Creates a service.

        Args:
            name: The service's name, unique in the document.
            floor: The least number of instances that stay in rotation,
                however many are unhealthy.
            ejection_policy: Whether to avoid false ejections or late detection.
            refusal_header: Name of a response header, in lower case, that
                marks a request as not run by the instance.
            slots: Number of requests that one instance runs at a time.
        """
        self.name = name
        self.floor = floor
        self.ejection_policy = ejection_policy
        self.refusal_header = refusal_header
        self.slots = slots


class Section:
    """One team's part of the document."""

    __slots__ = ("name", "owners", "routes", "services", "workspaces")

    def __init__(
        self,
        name: str,
        owners: tuple[str, ...],
        services: tuple[Service, ...],
        routes: tuple[Route, ...],
        workspaces: tuple[WorkspaceLimit, ...],
    ) -> None:
        """Creates a section.

        Args:
            name: The section's name.
            owners: SHA-256 digests, in hexadecimal, of the tokens that may
                edit the section.
            services: The services that the section declares.
            routes: The routes to those services.
            workspaces: The limits of the workspaces.
        """
        self.name = name
        self.owners = owners
        self.services = services
        self.routes = routes
        self.workspaces = workspaces


class Document:
    """All sections of the operators' document at one version."""

    __slots__ = ("_limits", "_services", "sections", "version")

    def __init__(self, version: int, sections: tuple[Section, ...]) -> None:
        """Creates a document.

        Args:
            version: The version; a newer document has a higher one.
            sections: The sections, ordered by name.
        """
        self.version = version
        self.sections = sections
        self._services = {
            service.name: service
            for section in sections
            for service in section.services
        }
        self._limits = {
            limit.name: limit.concurrency
            for section in sections
            for limit in section.workspaces
        }

    @property
    def services(self) -> dict[str, Service]:
        """The services of all sections, by name."""
        return self._services

    def workspace_concurrency(self, workspace: str) -> int:
        """Returns the concurrency limit of a workspace.

        Args:
            workspace: The workspace's name.

        Returns:
            The most requests in flight through one daemon.
        """
        return self._limits.get(workspace, DEFAULT_WORKSPACE_CONCURRENCY)


class Head:
    """Version of the document, with the digest of each section's text.

    The store keeps the head under one key and each section's text as a blob
    under its digest. An edit adds blobs and then replaces the head.
    """

    __slots__ = ("digests", "recent_edits", "version")

    def __init__(
        self,
        version: int,
        digests: dict[str, str],
        recent_edits: tuple[str, ...] = (),
    ) -> None:
        """Creates a head.

        Args:
            version: The document's version.
            digests: The digest of each section's text, by section name.
            recent_edits: Ids of the latest edits, the newest last, by which a
                repeated edit is recognized.
        """
        self.version = version
        self.digests = digests
        self.recent_edits = recent_edits
