"""Builds the deployment settings of simulated daemons."""

from __future__ import annotations

from dotterelpath.domain import bounds
from dotterelpath.domain import deployment

REGION = "r"


def make(daemon_id, data_centre, port, resources):
    """Builds the settings of a daemon whose endpoints are all the same.

    Args:
        daemon_id: The daemon.
        data_centre: Its data centre.
        port: The port of all its endpoints.
        resources: Its processor and link.
    """
    endpoint = deployment.Endpoint("h", port)
    return deployment.Deployment(
        daemon_id,
        data_centre,
        REGION,
        {},
        endpoint,
        endpoint,
        None,
        endpoint,
        endpoint,
        endpoint,
        100.0,
        100.0,
        resources,
        bounds.Bounds(),
    )
