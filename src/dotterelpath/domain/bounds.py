"""Time and retry limits of the deployment."""

from __future__ import annotations


class Bounds:
    """The limits that the settings of the deployment prescribe."""

    __slots__ = (
        "address_ttl_s",
        "apply_s",
        "drain_s",
        "grace_s",
        "is_revocation_strict",
        "max_stretch_s",
        "min_used_share",
        "quota_overshoot",
        "quota_slack",
        "quota_window_s",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "revoke_s",
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
        revoke_s: float = 5.0,
        max_stretch_s: float = 5.0,
        is_revocation_strict: bool = False,
        quota_window_s: float = 5.0,
        quota_overshoot: float = 0.1,
        quota_slack: float = 20.0,
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
            revoke_s: The time since the store last confirmed what a daemon
                knows, in seconds, after which the daemon refuses requests if
                the revocation of keys is strict.
            max_stretch_s: The time, in seconds, that a change of the tenants
                may take beyond apply_s at a daemon that the store refuses.
            is_revocation_strict: Whether daemons refuse requests while nothing
                confirms that their tenants are current.
            quota_window_s: The length of the windows in which a tenant's
                requests must stay within its quota, in seconds.
            quota_overshoot: The part of the quota that all daemons together
                may accept beyond it in a window.
            quota_slack: The requests that all daemons together may accept
                beyond it in a window.
            stall_s: The longest time for which a caller may take none of the
                output that waits for it, in seconds.
        """
        self.revoke_s = revoke_s
        self.max_stretch_s = max_stretch_s
        self.is_revocation_strict = is_revocation_strict
        self.quota_window_s = quota_window_s
        self.quota_overshoot = quota_overshoot
        self.quota_slack = quota_slack
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
