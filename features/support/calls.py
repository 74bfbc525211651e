"""Requests that the steps send to daemons."""

from __future__ import annotations

from standins import fleet as fleet_harness


def send(context, node, method, path, body=b"", **headers):
    """Sends a request to a daemon and stores the response in the context."""
    fields = {n.replace("_", "-"): str(v) for n, v in headers.items()}
    port = context.fleet.nodes[node].port
    context.response = fleet_harness.call(port, method, path, body, fields)
    return context.response


def try_get(context, node, path):
    """Sends a GET; returns None where the connection fails."""
    port = context.fleet.nodes[node].port
    try:
        return fleet_harness.call(port, "GET", path)
    except OSError:
        return None
