"""Where a daemon stands, what it listens on, and what must hold."""

from __future__ import annotations

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
        """Shows both."""
        return f"{self.host}:{self.port}"


class Deployment:
    """What the platform tells a daemon when it starts."""

    __slots__ = (
        "bounds",
        "daemon_id",
        "data_centre",
        "directory",
        "front",
        "metrics",
        "peer",
        "ready",
        "region",
        "regions",
        "size",
        "store",
        "store_reads_per_s",
        "store_writes_per_s",
    )

    def __init__(
        self,
        daemon_id: str,
        data_centre: str,
        region: str,
        regions: dict[str, str],
        front: Endpoint,
        ready: Endpoint,
        directory: Endpoint | None,
        peer: Endpoint,
        metrics: Endpoint,
        store: Endpoint,
        store_reads_per_s: float,
        store_writes_per_s: float,
        size: steering.Resources,
        bounds: bounds.Bounds,
    ) -> None:
        """Creates a deployment.

        Args:
            daemon_id: This daemon's id, which it keeps when it is restarted.
            data_centre: Where it stands.
            region: The region of its data centre.
            regions: The region of each data centre.
            front: Takes callers' requests.
            ready: Tells the platform whether the daemon is ready.
            directory: Tells callers which addresses to use, if it does.
            peer: Hears other daemons.
            metrics: Gives the daemon's own metrics and state.
            store: The platform's store.
            store_reads_per_s: Reads that it takes of all daemons together.
            store_writes_per_s: Writes that it takes of them.
            size: This daemon's processor and link.
            bounds: What must hold.
        """
        self.daemon_id = daemon_id
        self.data_centre = data_centre
        self.region = region
        self.regions = regions
        self.front = front
        self.ready = ready
        self.directory = directory
        self.peer = peer
        self.metrics = metrics
        self.store = store
        self.store_reads_per_s = store_reads_per_s
        self.store_writes_per_s = store_writes_per_s
        self.size = size
        self.bounds = bounds

    @property
    def daemon(self) -> steering.Daemon:
        """This daemon as others are to know it."""
        return steering.Daemon(
            self.daemon_id,
            self.data_centre,
            self.region,
            self.front.host,
            self.front.port,
            self.peer.host,
            self.peer.port,
            self.size,
        )
