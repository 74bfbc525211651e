"""The operators' document: sections, services, routes and workspaces."""

from __future__ import annotations

import enum

DEFAULT_ROUTE_TIMEOUT_S = 5.0
DEFAULT_WORKSPACE_CONCURRENCY = 64
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class EjectionPolicy(enum.Enum):
    """Which error of ejection the owners of a service fear more."""

    FALSE_EJECTIONS = "false-ejections"
    DETECTION = "detection"


class TrafficClass(enum.Enum):
    """How early work of a route is refused under overload."""

    CRITICAL = "critical"
    NORMAL = "normal"
    SHEDDABLE = "sheddable"


class Route:
    """A path prefix of a service, with how its requests are treated."""

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
            idempotent: Whether requests may run twice; None takes it from
                the method, where only safe methods are idempotent.
            traffic_class: How early the work is refused under overload.
            timeout_s: The longest time for one request, in seconds.
        """
        self.service = service
        self.prefix = prefix
        self.methods = methods
        self.idempotent = idempotent
        self.traffic_class = traffic_class
        self.timeout_s = timeout_s

    def is_idempotent(self, method: str) -> bool:
        """Tells whether a request may safely run more than once.

        Args:
            method: The request's HTTP method.

        Returns:
            Whether a retry after an unknown outcome is allowed.
        """
        if self.idempotent is None:
            return method in SAFE_METHODS
        return self.idempotent


class WorkspaceLimit:
    """The limit that a section sets for one workspace."""

    __slots__ = ("concurrency", "name")

    def __init__(self, name: str, concurrency: int) -> None:
        """Creates a limit.

        Args:
            name: The workspace.
            concurrency: Requests in flight allowed through one daemon.
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
            floor: The least number of instances that stay in use.
            ejection_policy: Which error of ejection the owners fear more.
            refusal_header: A response header, in lower case, by which an
                instance says that it did not run the request.
            slots: Requests that one instance runs at a time.
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
            owners: SHA-256 hashes, in hexadecimal, of the tokens that may
                edit the section.
            services: The services that the section declares.
            routes: The routes to those services.
            workspaces: The limits of workspaces.
        """
        self.name = name
        self.owners = owners
        self.services = services
        self.routes = routes
        self.workspaces = workspaces


class Document:
    """All sections at one version."""

    __slots__ = ("_limits", "_services", "sections", "version")

    def __init__(self, version: int, sections: tuple[Section, ...]) -> None:
        """Creates a document.

        Args:
            version: The version, which only rises.
            sections: The sections, in the order of their names.
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
        """The services by name."""
        return self._services

    def workspace_concurrency(self, workspace: str) -> int:
        """Finds the limit of a workspace.

        Args:
            workspace: The workspace's name.

        Returns:
            Requests in flight allowed through one daemon.
        """
        return self._limits.get(workspace, DEFAULT_WORKSPACE_CONCURRENCY)


class Head:
    """The small value in the store that names a whole document."""

    __slots__ = ("blobs", "recent_edits", "version")

    def __init__(
        self,
        version: int,
        blobs: dict[str, str],
        recent_edits: tuple[str, ...] = (),
    ) -> None:
        """Creates a head.

        Args:
            version: The document's version.
            blobs: The content hash of each section, by section name.
            recent_edits: Ids of the latest edits, newest last.
        """
        self.version = version
        self.blobs = blobs
        self.recent_edits = recent_edits
