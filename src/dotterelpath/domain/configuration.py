"""The operators' configuration: services, and routes by host and path.

The daemon on the users' platform uses this module, the daemon on entry VMs
uses document instead.
"""

from __future__ import annotations

import enum

from dotterelpath import errors
from dotterelpath.domain import tenants as tenants_domain


class RequestKind(enum.Enum):
    """What a daemon may do with the requests of a route."""

    # A request may run more than once.
    IDEMPOTENT = "idempotent"
    # A request may run at most once.
    NON_IDEMPOTENT = "non-idempotent"
    # A request with a large body, which may run at most once.
    UPLOAD = "upload"
    # A request with a large response, which may run more than once.
    DOWNLOAD = "download"


class RouteTarget:
    """A service that gets a share of a route's requests."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        """Creates a target.

        Args:
            service: The service's name.
            weight: Its weight relative to the other targets of the route.
        """
        self.service = service
        self.weight = weight


class Route:
    """Targets and settings of the requests for a host and a path prefix."""

    __slots__ = (
        "host",
        "is_auth_exempt",
        "kind",
        "max_attempts",
        "name",
        "prefix",
        "priority",
        "target_latency_s",
        "targets",
        "timeout_s",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        targets: tuple[RouteTarget, ...],
        kind: RequestKind,
        max_attempts: int,
        timeout_s: float,
        target_latency_s: float,
        priority: int,
        is_auth_exempt: bool = False,
    ) -> None:
        """Creates a route.

        Args:
            name: The route's name.
            host: The requested host, in lower case.
            prefix: Prefix of the path; it begins and ends with a slash.
            targets: The services that share the requests.
            kind: Whether a request may run more than once.
            max_attempts: The most instances that one request may be sent to.
            timeout_s: The longest time until the caller gets a response, in
                seconds.
            target_latency_s: The latency, in seconds, above which a response
                is of less use to the caller.
            priority: The priority; 0 is the highest.
            is_auth_exempt: Whether requests need no key of a tenant.
        """
        self.is_auth_exempt = is_auth_exempt
        self.name = name
        self.host = host
        self.prefix = prefix
        self.targets = targets
        self.kind = kind
        self.max_attempts = max_attempts
        self.timeout_s = timeout_s
        self.target_latency_s = target_latency_s
        self.priority = priority

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in (RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD)


class Service:
    """A service, run by any number of instances."""

    __slots__ = ("max_connections", "name")

    def __init__(self, name: str, max_connections: int) -> None:
        """Creates a service.

        Args:
            name: The service's name.
            max_connections: The most connections that one instance accepts
                from all daemons together.
        """
        self.name = name
        self.max_connections = max_connections


class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    __slots__ = (
        "head_timeout_s",
        "idle_timeout_s",
        "max_body_bytes",
        "max_head_bytes",
    )

    def __init__(
        self,
        max_head_bytes: int,
        max_body_bytes: int,
        head_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        """Creates limits.

        Args:
            max_head_bytes: The largest request head, in bytes.
            max_body_bytes: The largest request body, in bytes.
            head_timeout_s: The longest time to send a request head, in
                seconds.
            idle_timeout_s: The longest time without traffic on a connection,
                in seconds.
        """
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Configuration:
    """One version of the configuration, complete and validated."""

    __slots__ = ("_by_host", "limits", "services", "tenants", "version")

    def __init__(
        self,
        version: int,
        services: dict[str, Service],
        routes: list[Route],
        limits: CallerLimits,
        tenants: tenants_domain.TenantTable | None = None,
    ) -> None:
        """Creates a configuration.

        Args:
            version: The version; a newer configuration has a higher one.
            services: The services by name.
            routes: All routes.
            limits: The limits on callers' requests.
            tenants: The tenants; None if requests need no key.
        """
        self.tenants = tenants
        self.version = version
        self.services = services
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    @property
    def hosts(self) -> list[str]:
        """The hosts that have routes."""
        return list(self._by_host)

    @property
    def routes(self) -> list[Route]:
        """All routes."""
        return [r for found in self._by_host.values() for r in found.values()]

    def find(self, host: str, path: str) -> Route:
        """Finds the route with the longest matching prefix of a path.

        Args:
            host: The requested host, in lower case.
            path: The path, without the query.

        Returns:
            The route.

        Raises:
            DotterelpathError: No route matches.
        """
        by_prefix = self._by_host.get(host, {})
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        raise errors.DotterelpathError(
            errors.ResultCode.NO_ROUTE,
            f"no route for path {path!r} of host {host!r} in configuration"
            f" version {self.version}",
        )


class TrafficSplitter:
    """Distributes the requests of each route among its targets by weight.

    This is a smooth weighted round robin: each request adds every target's
    share to its credit, goes to the target with the most credit and costs
    that target 1. The shares thus hold over short runs of requests, too.
    """

    __slots__ = ("_credit",)

    def __init__(self) -> None:
        """Creates a splitter that has seen no requests."""
        self._credit: dict[str, dict[str, float]] = {}

    def choose(self, route: Route, draw: float) -> str:
        """Chooses the service for a request.

        Args:
            route: The request's route.
            draw: A random number in [0, 1). It selects the target that gets a
                head start, so that the daemons do not all start with the same
                target.

        Returns:
            The name of the service.
        """
        if len(route.targets) == 1:
            return route.targets[0].service
        total = sum(target.weight for target in route.targets)
        shares = {
            target.service: target.weight / total for target in route.targets
        }
        credit = self._credit.get(route.name)
        if credit is None or credit.keys() != shares.keys():
            credit = _initial_credit(shares, draw)
            self._credit[route.name] = credit
        for service, share in shares.items():
            credit[service] += share
        chosen = max(shares, key=lambda service: credit[service])
        credit[chosen] -= 1.0
        return chosen

    def keep_only(self, routes: list[Route]) -> None:
        """Drops the credit of routes that no longer exist.

        Args:
            routes: The routes of the current configuration.
        """
        names = {route.name for route in routes}
        for name in [name for name in self._credit if name not in names]:
            del self._credit[name]


def _initial_credit(shares: dict[str, float], draw: float) -> dict[str, float]:
    """Computes credits with half a request's head start for one target."""
    credit = dict.fromkeys(shares, 0.0)
    left = draw
    for service, share in shares.items():
        if left < share:
            credit[service] += 0.5
            break
        left -= share
    return credit
