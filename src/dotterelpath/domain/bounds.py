"""Time and retry limits of the deployment."""

from __future__ import annotations


class Bounds:
    """The limits that the settings of the deployment prescribe."""

    __slots__ = (
        "address_ttl_s",
        "apply_s",
        "drain_s",
        "grace_s",
        "min_used_share",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "stall_s",
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
        min_used_share: float = 1.0,
        stall_s: float = 15.0,
    ) -> None:
        """Creates limits.

        Args:
            drain_s: The longest time for which a draining instance may still
                get requests, in seconds.
            grace_s: The time from the signal of a planned stop to the end of
                the process, in seconds.
            apply_s: The time within which a configuration change must be in
                force on all daemons, in seconds.
            retry_ratio: The retries that all daemons together may make for each
                request of a service.
            retry_slack: The fixed allowance: retries that all daemons together
                may make in one window in addition to the ratio.
            retry_window_s: The length of the window, in seconds.
            address_ttl_s: The longest time for which callers cache addresses,
                in seconds.
            min_used_share: The share of a service's instances that must get
                requests while many of its requests are not served.
            stall_s: The longest time for which a caller may take none of the
                output that waits for it, in seconds.
        """
        self.stall_s = stall_s
        self.min_used_share = min_used_share
        self.drain_s = drain_s
        self.grace_s = grace_s
        self.apply_s = apply_s
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_s = retry_window_s
        self.address_ttl_s = address_ttl_s

    @property
    def store_apply_s(self) -> float:
        """The time within which a change in the store must be in force.

        The store has both configurations and draining instances, so that the
        shorter of their times applies, in seconds.
        """
        return min(self.apply_s, self.drain_s)
