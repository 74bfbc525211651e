"""The operators' configuration: services, and routes by host and prefix."""

from __future__ import annotations

from dotterelpath import errors


class RouteTarget:
    """A service's part of a route."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        """Creates a part.

        Args:
            service: The service.
            weight: Its weight among the parts of the route.
        """
        self.service = service
        self.weight = weight


class Route:
    """Where requests of a host below a prefix go, and how."""

    __slots__ = (
        "host",
        "is_idempotent",
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
        is_idempotent: bool,
        max_attempts: int,
        timeout_s: float,
        target_latency_s: float,
        priority: int,
    ) -> None:
        """Creates a route.

        Args:
            name: The route's name.
            host: The host that callers ask for, in lower case.
            prefix: Begins the paths; it begins and ends with a slash.
            targets: The services that share the requests.
            is_idempotent: Whether a request may run more than once.
            max_attempts: The most instances that one request may be sent to.
            timeout_s: The longest time that a caller may be kept waiting,
                in seconds.
            target_latency_s: The time within which an answer is of full use, in
                seconds.
            priority: The rank; 0 is the highest.
        """
        self.name = name
        self.host = host
        self.prefix = prefix
        self.targets = targets
        self.is_idempotent = is_idempotent
        self.max_attempts = max_attempts
        self.timeout_s = timeout_s
        self.target_latency_s = target_latency_s
        self.priority = priority


class Service:
    """A service that instances belong to."""

    __slots__ = ("max_connections", "name")

    def __init__(self, name: str, max_connections: int) -> None:
        """Creates a service.

        Args:
            name: Its name.
            max_connections: What one instance accepts of all daemons
                together.
        """
        self.name = name
        self.max_connections = max_connections


class CallerLimits:
    """What callers may send, and how long they may take."""

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
            max_head_bytes: The longest request head, in bytes.
            max_body_bytes: The longest request body, in bytes.
            head_timeout_s: The time for a whole head, in seconds.
            idle_timeout_s: How long a connection may be quiet, in seconds.
        """
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Configuration:
    """One version of the configuration, complete and checked."""

    __slots__ = ("_by_host", "limits", "services", "version")

    def __init__(
        self,
        version: int,
        services: dict[str, Service],
        routes: list[Route],
        limits: CallerLimits,
    ) -> None:
        """Creates a configuration.

        Args:
            version: Its number; a newer one has a higher number.
            services: The services by name.
            routes: All routes.
            limits: What callers may send.
        """
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
        """Finds the route with the longest prefix that begins a path.

        Args:
            host: The host that the caller asked for, in lower case.
            path: The path without its query.

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
            errors.ResultCode.NO_ROUTE, f"host {host!r}, version {self.version}"
        )


class TrafficSplitter:
    """Shares the requests of each route among its parts, by their weights.

    Each request adds a part's weight to its credit and is charged to the part
    with the most credit, so that the shares are kept over any few requests.
    """

    __slots__ = ("_credit",)

    def __init__(self) -> None:
        """Creates splits without requests."""
        self._credit: dict[str, dict[str, float]] = {}

    def choose(self, route: Route, draw: float) -> str:
        """Chooses the service for a request.

        Args:
            route: The request's route.
            draw: A random number in [0, 1), with which the first request of
                a route begins, so that daemons do not all begin alike.

        Returns:
            The service.
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
        """Forgets routes that are gone.

        Args:
            routes: The routes in force.
        """
        names = {route.name for route in routes}
        for name in [name for name in self._credit if name not in names]:
            del self._credit[name]


def _initial_credit(shares: dict[str, float], draw: float) -> dict[str, float]:
    """Begins at a random point of the cycle that the shares make."""
    credit = dict.fromkeys(shares, 0.0)
    left = draw
    for service, share in shares.items():
        if left < share:
            credit[service] += 0.5
            break
        left -= share
    return credit
