"""Location, endpoints and limits of a daemon, as deployed."""

from __future__ import annotations

import math

from dotterelpath.domain import bounds
from dotterelpath.domain import steering


class Endpoint:
    """An IP address and a port."""

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int) -> None:
        """Creates an endpoint.

        Args:
            host: The IP address.
            port: The port.
        """
        self.host = host
        self.port = port

    def __str__(self) -> str:
        """Formats the endpoint as host and port, joined by a colon."""
        return f"{self.host}:{self.port}"


class Deployment:
    """Settings that the platform gives a daemon when it starts."""

    __slots__ = (
        "bounds",
        "caller_endpoint",
        "daemon_id",
        "data_centre",
        "directory_endpoint",
        "max_descriptors",
        "memory_bytes",
        "metrics_endpoint",
        "peer_endpoint",
        "readiness_endpoint",
        "region",
        "regions",
        "resources",
        "store_endpoint",
        "store_reads_per_s",
        "store_writes_per_s",
    )

    def __init__(
        self,
        daemon_id: str,
        data_centre: str,
        region: str,
        regions: dict[str, str],
        caller_endpoint: Endpoint,
        readiness_endpoint: Endpoint,
        directory_endpoint: Endpoint | None,
        peer_endpoint: Endpoint,
        metrics_endpoint: Endpoint,
        store_endpoint: Endpoint,
        store_reads_per_s: float,
        store_writes_per_s: float,
        resources: steering.Resources,
        bounds: bounds.Bounds,
        memory_bytes: float = math.inf,
        max_descriptors: float | None = None,
    ) -> None:
        """Creates a deployment.

        Args:
            daemon_id: This daemon's id, which it keeps over restarts.
            data_centre: The daemon's data centre.
            region: The region of its data centre.
            regions: The region of each data centre.
            caller_endpoint: Endpoint for callers' requests.
            readiness_endpoint: Endpoint for the platform's readiness checks.
            directory_endpoint: Endpoint where callers look up the addresses to
                use; None if this daemon does not serve them.
            peer_endpoint: Endpoint for other daemons.
            metrics_endpoint: Endpoint for this daemon's metrics and status.
            store_endpoint: Address of the platform's store.
            store_reads_per_s: Reads per second that the store takes from all
                daemons together.
            store_writes_per_s: Writes per second that the store takes from
                all daemons together.
            resources: This daemon's processor cores and network link.
            bounds: Time and retry limits of the deployment.
            memory_bytes: The most memory that this process may use, in bytes.
            max_descriptors: The most descriptors that it may open; None if
                the settings do not say.
        """
        self.daemon_id = daemon_id
        self.data_centre = data_centre
        self.region = region
        self.regions = regions
        self.caller_endpoint = caller_endpoint
        self.readiness_endpoint = readiness_endpoint
        self.directory_endpoint = directory_endpoint
        self.peer_endpoint = peer_endpoint
        self.metrics_endpoint = metrics_endpoint
        self.store_endpoint = store_endpoint
        self.store_reads_per_s = store_reads_per_s
        self.store_writes_per_s = store_writes_per_s
        self.resources = resources
        self.bounds = bounds
        self.memory_bytes = memory_bytes
        self.max_descriptors = max_descriptors

    @property
    def daemon(self) -> steering.Daemon:
        """The description of this daemon that other daemons get."""
        return steering.Daemon(
            self.daemon_id,
            self.data_centre,
            self.region,
            self.caller_endpoint.host,
            self.caller_endpoint.port,
            self.peer_endpoint.host,
            self.peer_endpoint.port,
            self.resources,
        )
