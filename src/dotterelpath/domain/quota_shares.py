"""This daemon's share of one tenant's quota."""

from __future__ import annotations

import collections
import math

from dotterelpath.domain import quota_peers
from dotterelpath.domain import quota_rules
from dotterelpath.domain import quota_uses
from dotterelpath.domain import tenants

# A daemon that does not serve callers gets single requests. It admits the first
# of a tenant and then this part of the rate, at most MAX_STRAY_TOKENS at once.
STRAY_RATE_PART = 0.05
MAX_STRAY_TOKENS = 2.0
# A demand is reported at once if it changed by this part of itself, and if the
# fractions may change by the other.
NOTABLE_CHANGE = 0.25
NOTABLE_PART = 0.1
# A tenant is calm while its demand is below this part of its rate, or if its
# pool holds what flows in during the time below, in seconds: far more than what
# daemons take before the others know it.
CALM_PART = 0.8
CALM_POOL_S = 4.0
# A demand below this part of the rate is over.
OVER_PART = 0.02
# Callers are told to return within this time, in seconds.
MAX_RETRY_AFTER_S = 60.0


class TenantShare:
    """Admits a tenant's requests from the pool that daemons share.

    The pool is a token bucket of which each daemon keeps a copy, filled at the
    tenant's rate. Each daemon takes its own requests from its copy at once,
    and those of the others when it hears of them. What the others do not know
    of yet (the unsettled requests) stays within the daemon's fraction of the
    pool. The fractions of all daemons add up to 1, so that all of them
    together take no more than the pool has, whatever they know of each other.
    """

    __slots__ = (
        "_capacity",
        "_count",
        "_fill_per_s",
        "_filled_s",
        "_floor",
        "_fraction",
        "_level",
        "_mode",
        "_own_demand",
        "_peer_demand",
        "_pool",
        "_refilled",
        "_refunds",
        "_rule",
        "_sent",
        "_settled_count",
        "_settled_demand",
        "_spent",
        "_standing",
        "_tenant",
        "arrivals",
        "last_request_s",
        "peers",
        "refusals",
        "sent_count",
        "sent_demand",
        "sent_s",
        "used",
    )

    def __init__(
        self,
        tenant: tenants.Tenant,
        rule: quota_rules.Rule,
        standing: quota_peers.Standing,
        level: float,
        now_s: float,
    ) -> None:
        """Creates a share without requests.

        Args:
            tenant: The tenant.
            rule: How many of its requests may run.
            standing: The contact with the other daemons.
            level: The tokens in the pool.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._mode = quota_rules.find_mode(standing)
        self._level = level
        self._filled_s = now_s
        self._count = 0
        self._refunds = 0
        # This daemon's part of the tokens since the pool was full, and what of
        # it has settled requests.
        self._refilled = 0.0
        self._spent = 0.0
        self._settled_count = 0.0
        self._settled_demand = 0.0
        # The number, the count and the demand of reports that are not settled.
        self._sent: collections.deque[tuple[int, int, float]] = (
            collections.deque()
        )
        self.sent_count = 0
        self.sent_demand = 0.0
        self.sent_s = -math.inf
        self.last_request_s = now_s
        self.arrivals = quota_uses.Average()
        self.used = quota_uses.Average()
        self.refusals = quota_uses.Average()
        self.peers: dict[str, quota_uses.PeerUse] = {}
        self._find_limits(tenant, rule, standing)

    @property
    def tenant(self) -> tenants.Tenant:
        """The tenant, as it was given last."""
        return self._tenant

    @property
    def mode(self) -> quota_rules.Mode:
        """Where this daemon takes tokens from."""
        return self._mode

    @property
    def count(self) -> int:
        """The requests admitted so far."""
        return self._count

    @property
    def level(self) -> float:
        """The tokens in the pool, as this daemon knows it."""
        return self._level

    @property
    def unsettled(self) -> float:
        """The admitted requests that other daemons may not know of."""
        return max(0.0, self._count - self._settled_count)

    def demand(self, now_s: float) -> float:
        """Returns the arriving requests a second, at most the tenant's rate.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return min(self._tenant.rate_per_s, self.arrivals.per_s(now_s))

    def update(
        self,
        tenant: tenants.Tenant,
        rule: quota_rules.Rule,
        standing: quota_peers.Standing,
        settled_sequence: int,
        now_s: float,
    ) -> None:
        """Brings the share up to date.

        Args:
            tenant: The tenant; its quota may have changed.
            rule: How many of its requests may run.
            standing: The contact with the other daemons.
            settled_sequence: The latest own report that all of them have.
            now_s: The current time on the monotonic clock, in seconds.
        """
        if (
            tenant is not self._tenant
            or rule is not self._rule
            or standing is not self._standing
        ):
            self._find_limits(tenant, rule, standing)
        if self._sent and self._sent[0][0] <= settled_sequence:
            while self._sent and self._sent[0][0] <= settled_sequence:
                _, count, self._settled_demand = self._sent.popleft()
                self._settled_count = max(self._settled_count, count)
            self._divide()
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        flow = elapsed_s * self._fill_per_s
        filled = self._level + flow
        # A debt is bounded, also when the quota is lowered.
        self._level = max(-self._pool, min(self._capacity, filled))
        if self._mode is quota_rules.Mode.MEMBER:
            self._settle_refilled(flow, filled >= self._capacity)

    def admit(self, now_s: float) -> bool:
        """Decides on a request, after update.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether the request may run.
        """
        if now_s - self.last_request_s > self._rule.idle_s:
            # The others have forgotten the count.
            self._count = self.sent_count = 0
            self._settled_count = 0.0
            self._forget_reports()
        self.last_request_s = now_s
        self.arrivals.record(now_s, self._tenant.rate_per_s)
        if self._level < max(1.0, self._needed_level()):
            self.refusals.record(now_s)
            return False
        self._level -= 1.0
        self.used.record(now_s)
        if self._refunds:
            self._refunds -= 1
        else:
            self._count += 1
        return True

    def refund(self) -> None:
        """Returns the token of a request that did not run.

        The counts that other daemons know must not decrease. The next request
        that is admitted is therefore not counted.
        """
        self._level += 1.0
        self._refunds += 1

    def retry_after_s(self, now_s: float, draw: float) -> float:
        """Returns when a refused caller should return, in seconds.

        This is when there is a token, and then as long as the callers that
        were refused lately would need, one after another.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
            draw: A random number in [0, 1) that spreads the callers.
        """
        needed = max(1.0, self._needed_level())
        fill_per_s = self._fill_per_s
        own_per_s = fill_per_s * self._fraction
        waiting = self.refusals.per_s(now_s) * quota_uses.AVERAGE_S
        if own_per_s <= 0.0:
            return MAX_RETRY_AFTER_S
        wait_s = max(0.0, needed - self._level) / fill_per_s
        return min(MAX_RETRY_AFTER_S, wait_s + draw * waiting / own_per_s)

    @property
    def fraction(self) -> float:
        """The part of the pool that this daemon may take."""
        return self._fraction

    def urgency(self, unsent: int) -> float:
        """Returns how soon the others should hear of admitted requests.

        Args:
            unsent: The requests that were not reported.

        Returns:
            The part of what may be unsettled that is, or the part of the pool
            by which the others take it for too full.
        """
        error = min(unsent, self._pool - self._level) / self._pool
        unknown = min(unsent, self.unsettled) / self.allowed()
        return max(error, unknown)

    def is_demand_notable(self, demand: float) -> bool:
        """Tells whether other daemons should hear of the own demand at once.

        Args:
            demand: The arriving requests a second.
        """
        change = abs(demand - self.sent_demand)
        if change <= NOTABLE_CHANGE * self.sent_demand:
            return False
        # The floors do not depend on the demand.
        divided = 1.0 - self._floor * self._standing.sharing
        return divided * change > NOTABLE_PART * self._tenant.rate_per_s

    def record_sent(self, sequence: int, now_s: float) -> None:
        """Records that a report names this tenant.

        Args:
            sequence: The number of the report.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self.sent_s = now_s
        # What is reported uses up this daemon's part of what flowed in.
        reported = self._count - self.sent_count
        self._refilled = max(0.0, self._refilled - reported)
        self._spent = max(0.0, self._spent - reported)
        self.sent_count = self._count
        self.sent_demand = self.demand(now_s)
        if self.sent_demand < OVER_PART * self._tenant.rate_per_s:
            self.sent_demand = 0.0
        self._sent.append((sequence, self._count, self.sent_demand))
        self._divide()

    def record_peer(
        self,
        peer_id: str,
        demand: float,
        count: int,
        is_known: bool,
        now_s: float,
    ) -> None:
        """Takes what another daemon admitted from the pool.

        Args:
            peer_id: The daemon.
            demand: The requests that arrive there, a second.
            count: The requests that it has admitted so far.
            is_known: Whether earlier reports of it were received.
            now_s: The current time on the monotonic clock, in seconds.
        """
        demand = min(demand, self._tenant.rate_per_s)
        admitted = quota_uses.added_count(self.peers, peer_id, count, is_known)
        self.peers[peer_id] = quota_uses.PeerUse(demand, count, now_s)
        self.take(admitted)
        self._divide()

    def raise_level(self, tokens: float) -> None:
        """Raises the level of a daemon that begins to serve callers.

        Until then it kept no copy of the pool.

        Args:
            tokens: The level from which it starts.
        """
        self._level = max(self._level, tokens)

    def take(self, tokens: float) -> None:
        """Takes tokens from the pool, down to a bounded debt.

        Args:
            tokens: How many.
        """
        self._level = max(min(self._level, -self._pool), self._level - tokens)

    def drop_peer(self, peer_id: str, silent_s: float) -> None:
        """Forgets a daemon that has been silent for the time of its reserve.

        It may have admitted, without a report, its fraction of the pool until
        it went down to its floor.

        Args:
            peer_id: The daemon.
            silent_s: The time for which it may have used its share, in seconds.
        """
        peer = self.peers.pop(peer_id, None)
        if peer is None or peer.demand == 0.0:
            return
        total = self._own_demand + self._peer_demand
        fraction = self._fraction_of(peer.demand, total)
        rate_per_s = self._tenant.rate_per_s
        used = fraction * (max(0.0, self._level) + rate_per_s * silent_s)
        self.take(used * quota_rules.pool_part(self._pool, self._standing))
        self._divide()

    def drop_outdated(self, now_s: float) -> None:
        """Forgets what other daemons have not confirmed for long.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        quota_uses.drop_outdated(self.peers, self._rule.idle_s, now_s)
        self._divide()

    def allowed(self) -> float:
        """Returns how many requests may be unsettled."""
        unsettled = self.unsettled
        return max(1.0, self._fraction * (self._level + unsettled))

    def _needed_level(self) -> float:
        """Returns the level at which the next request may be admitted."""
        unsettled = self.unsettled
        if self._mode is not quota_rules.Mode.MEMBER or unsettled <= 0.0:
            return 1.0
        return (unsettled + 1.0) / self._fraction - unsettled

    def _divide(self) -> None:
        """Computes the fraction from what the daemons know of each other."""
        # No other daemon can believe the own demand to be lower than this.
        sent = (demand for _, _, demand in self._sent)
        self._own_demand = min(self._settled_demand, *sent, math.inf)
        self._peer_demand = sum(peer.demand for peer in self.peers.values())
        self._fraction = 1.0
        if self._mode is quota_rules.Mode.MEMBER and self._standing.members > 1:
            total = self._own_demand + self._peer_demand
            self._fraction = self._fraction_of(self._own_demand, total)

    def _fraction_of(self, demand: float, total: float) -> float:
        part = demand / total if total > 0.0 else 0.0
        return self._floor + (1.0 - self._floor * self._standing.sharing) * part

    def _find_limits(
        self,
        tenant: tenants.Tenant,
        rule: quota_rules.Rule,
        standing: quota_peers.Standing,
    ) -> None:
        """Computes what depends on the quota and on the other daemons."""
        self._tenant = tenant
        self._rule = rule
        self._pool = pool = rule.pool(tenant)
        self._floor = quota_rules.find_floor(pool, standing.sharing)
        mode = quota_rules.find_mode(standing)
        if mode is not self._mode:
            self._enter(mode)
        self._standing = standing
        if mode is quota_rules.Mode.STRAY:
            self._capacity = MAX_STRAY_TOKENS
            self._fill_per_s = tenant.rate_per_s * STRAY_RATE_PART
        else:
            part = quota_rules.pool_part(pool, standing)
            self._capacity = max(1.0, pool * part)
            self._fill_per_s = tenant.rate_per_s * part
        self._divide()

    def _settle_refilled(self, filled: float, is_full: bool) -> None:
        """Settles requests whose tokens the pool has got back.

        If this copy of the pool is full, the others are as well, and right
        without what was used before. A daemon settles no more than its part, by
        demand, of what has flowed in, so that all of them stay within the rate
        without any report. Calm tenants then need few reports. A daemon that
        has all the demand does so although the pool is not full, as the others
        have their floors only.

        Args:
            filled: The tokens that have flowed in.
            is_full: Whether the pool is full.
        """
        own = self._own_demand
        others = self._peer_demand
        rate_per_s = self._tenant.rate_per_s
        if own + others > CALM_PART * rate_per_s and (
            self._pool < CALM_POOL_S * rate_per_s
        ):
            # The others may be taking much that was not reported yet.
            self._refilled = self._spent = 0.0
            return
        part = own / (own + others) if own > 0.0 else self._floor
        self._refilled += filled * part
        if is_full:
            # What was never reported need not be any more.
            unsent = self._count - self.sent_count
            self._count -= min(unsent, int(self._refilled))
            self._settled_count = min(self._settled_count, self._count)
        if is_full or part == 1.0:
            settled = min(self._refilled - self._spent, self.unsettled)
            if settled > 0.0:
                self._settled_count += settled
                self._spent += settled
        if is_full:
            self._refilled = self._spent = 0.0

    def _enter(self, mode: quota_rules.Mode) -> None:
        """Changes where tokens come from, without a gain."""
        unsettled = self.unsettled
        if self._mode is quota_rules.Mode.MEMBER and self._standing.members > 1:
            # What is left of the fraction; the others may take the rest.
            left = self._fraction * (self._level + unsettled)
            self._level = min(self._level, max(0.0, left - unsettled))
        self._mode = mode
        # Others reserve what a daemon alone or a stray may take.
        self._settled_count = self._count
        self._forget_reports()

    def _forget_reports(self) -> None:
        """Takes the own demand for unknown to others until it is reported."""
        self._sent.clear()
        self._settled_demand = 0.0
        self.sent_s = -math.inf
        self._divide()


class TenantStatus:
    """A tenant's requests at this daemon, for people."""

    __slots__ = (
        "fraction",
        "level",
        "mode",
        "refused_per_s",
        "reports",
        "tenant",
        "used_per_s",
    )

    def __init__(
        self,
        share: TenantShare,
        now_s: float,
    ) -> None:
        """Creates the status.

        Args:
            share: This daemon's share of the quota.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self.tenant = share.tenant
        self.used_per_s = share.used.per_s(now_s)
        self.refused_per_s = share.refusals.per_s(now_s)
        self.fraction = share.fraction
        self.level = share.level
        self.mode = share.mode
        self.reports = len(share.peers)
