"""What a daemon is told about itself, the fleet and what must hold."""

from __future__ import annotations


class Bounds:
    """Figures that the users' deployment sets."""

    __slots__ = (
        "address_ttl_s",
        "apply_s",
        "drain_s",
        "grace_s",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
    )

    def __init__(
        self,
        drain_s: float = 2.0,
        grace_s: float = 6.0,
        apply_s: float = 2.0,
        retry_ratio: float = 0.1,
        retry_slack: float = 10.0,
        retry_window_s: float = 10.0,
        address_ttl_s: float = 5.0,
    ) -> None:
        """Creates bounds.

        Args:
            drain_s: How long a leaving instance may still get work, in
                seconds.
            grace_s: The time from a planned stop's signal to its end, in
                seconds.
            apply_s: The time until a change of the configuration is in force
                everywhere, in seconds.
            retry_ratio: Retries that all daemons may make for each request
                of a service.
            retry_slack: Retries that they may make besides in one window.
            retry_window_s: The length of that window, in seconds.
            address_ttl_s: The longest time that callers keep addresses, in
                seconds.
        """
        self.drain_s = drain_s
        self.grace_s = grace_s
        self.apply_s = apply_s
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_s = retry_window_s
        self.address_ttl_s = address_ttl_s
