"""The rule for a tenant's requests, and the parts of the pool of tokens."""

from __future__ import annotations

import enum

from dotterelpath.domain import quota_peers
from dotterelpath.domain import tenants

# The part of the tolerance that the pool of all daemons holds beside the burst.
# The rest covers what a daemon admitted but could not report before it failed,
# and requests that reach instances a moment after they were admitted.
POOL_PART = 0.8
# The parts of the overshoot and of the slack that the pool holds after a start.
# What was admitted before is not known, and may have used up the pool. The
# first part is less than what the rate allows while processes start.
START_OVERSHOOT_PART = 0.8
START_SLACK_PART = 0.2
# The part of the pool that members have whatever their demand. A small pool is
# divided more evenly, so that each member can admit MIN_TOKENS requests before
# the others know of them.
FLOOR_PART = 0.5
# The part of the quota that is reserved for members without contact, which
# they use.
RESERVE_PART = 0.3
MAX_FLOOR_PART = 0.95
MIN_TOKENS = 4.0
# A daemon forgets a tenant without requests after this time at the earliest, in
# seconds.
MIN_IDLE_S = 10.0


class Rule:
    """How many requests of a tenant may run in any window."""

    __slots__ = ("overshoot", "slack", "window_s")

    def __init__(self, window_s: float, overshoot: float, slack: float) -> None:
        """Creates a rule.

        Args:
            window_s: The length of the window, in seconds.
            overshoot: The part of the quota that may run beyond it.
            slack: The requests that may run beyond it.
        """
        self.window_s = window_s
        self.overshoot = overshoot
        self.slack = slack

    @property
    def idle_s(self) -> float:
        """The time after which a tenant without requests is forgotten.

        It is no shorter than the window, in seconds.
        """
        return max(MIN_IDLE_S, self.window_s)

    def tolerance(self, tenant: tenants.Tenant) -> float:
        """Returns how many requests may run beyond the quota in a window.

        Args:
            tenant: The tenant.
        """
        quota = tenant.rate_per_s * self.window_s + tenant.burst
        return self.overshoot * quota + self.slack

    def start_level(self, tenant: tenants.Tenant) -> float:
        """Returns the tokens in the pool when it is not known what was used.

        Args:
            tenant: The tenant.
        """
        quota = tenant.rate_per_s * self.window_s + tenant.burst
        return (
            START_OVERSHOOT_PART * self.overshoot * quota
            + START_SLACK_PART * self.slack
        )

    def pool(self, tenant: tenants.Tenant) -> float:
        """Returns the tokens that the pool of all daemons holds when full.

        Args:
            tenant: The tenant.
        """
        return tenant.burst + POOL_PART * self.tolerance(tenant)


class Mode(enum.Enum):
    """Where a daemon takes the tokens for a tenant's requests from."""

    # It shares the pool with the daemons that it has contact with.
    MEMBER = "member"
    # It has its floor only, since it does not know what others admit.
    ALONE = "alone"
    # It does not serve callers and gets single requests.
    STRAY = "stray"


def find_mode(standing: quota_peers.Standing) -> Mode:
    """Returns where a daemon takes tokens from.

    Args:
        standing: The contact with the other daemons.
    """
    if not standing.is_serving:
        return Mode.STRAY
    return Mode.ALONE if standing.is_alone else Mode.MEMBER


def find_floor(
    pool: float, members: int, floor_part: float = FLOOR_PART
) -> float:
    """Returns the part of the pool that each member has at least.

    Args:
        pool: The tokens in the full pool.
        members: How many daemons should share it.
        floor_part: The part that all of them have together at least.
    """
    return min(
        MAX_FLOOR_PART / members,
        max(floor_part / members, MIN_TOKENS / max(1.0, pool)),
    )


def pool_part(pool: float, standing: quota_peers.Standing) -> float:
    """Returns the part of the quota that the daemons in contact may use.

    Most of the members use all but the floors of the others. Fewer than that
    use their own floors: whatever the partition, the parts add up to 1.

    Args:
        pool: The tokens in the full pool.
        standing: The contact with the other daemons.
    """
    if standing.members == 1:
        return 1.0
    floor = find_floor(pool, standing.members, RESERVE_PART)
    if standing.is_alone:
        return floor
    if standing.has_quorum:
        return 1.0 - floor * (standing.members - standing.connected)
    return floor * standing.connected
