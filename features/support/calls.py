"""Calls that the steps make."""

from __future__ import annotations

from standins import fleet as fleet_harness


def send(context, node, method, path, body=b"", **headers):
    """Sends a request to a daemon and keeps the response."""
    fields = {n.replace("_", "-"): str(v) for n, v in headers.items()}
    port = context.fleet.nodes[node].port
    context.response = fleet_harness.call(port, method, path, body, fields)
    return context.response


def quietly(context, node, path):
    """Sends a read and keeps nothing; a failure to connect is ignored."""
    port = context.fleet.nodes[node].port
    try:
        return fleet_harness.call(port, "GET", path)
    except OSError:
        return None
