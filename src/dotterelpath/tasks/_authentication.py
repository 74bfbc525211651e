"""The part of the gateway task that finds the tenant of each request."""

from __future__ import annotations

import typing

from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.tasks import _pending


def authenticate(
    pending: _pending.PendingRequest,
    current: configuration.Configuration,
    route: configuration.Route,
) -> None:
    """Sets the tenant of a request and what its instance is told of it.

    Does nothing if the configuration has no tenants.

    Args:
        pending: The request.
        current: The configuration in force.
        route: The request's route.

    Raises:
        DotterelpathError: The request needs a key and has no known one.
    """
    request = pending.request
    credential = request.credential
    # Not needed any more, and waiting requests may be many.
    request.credential = None
    if current.tenants is None:
        return
    tenant = current.tenants.authenticate(credential, route.is_auth_exempt)
    pending.tenant = tenant
    request.identity = exchange.Identity(tenant.name if tenant else None)


def log_fields(pending: _pending.PendingRequest) -> dict[str, typing.Any]:
    """Returns what the log line of a request says of its tenant.

    Args:
        pending: The request.
    """
    if pending.tenant is None:
        return {}
    return {"tenant": pending.tenant.name, "priority": pending.priority}
