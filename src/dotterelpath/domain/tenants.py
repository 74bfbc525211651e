"""The tenants of a configuration, and the keys of their callers."""

from __future__ import annotations


class Tenant:
    """A customer of the deployment, whose callers share a quota."""

    __slots__ = ("burst", "name", "priority", "rate_per_s")

    def __init__(
        self,
        name: str,
        priority: int | None = None,
        rate_per_s: float = 0.0,
        burst: float = 0.0,
    ) -> None:
        """Creates a tenant.

        Args:
            name: The tenant's name.
            priority: The priority of its requests, which goes before that of
                their route; 0 is the highest. None if it has none.
            rate_per_s: The requests a second that all daemons together accept
                from it; 0 for no limit.
            burst: The requests that are accepted beyond the rate after a
                pause.
        """
        self.name = name
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.burst = burst
