"""The quotas of all tenants at this daemon."""

from __future__ import annotations

import itertools
import math
import typing

from dotterelpath.domain import quota_announcements
from dotterelpath.domain import quota_peers
from dotterelpath.domain import quota_reports
from dotterelpath.domain import quota_rules
from dotterelpath.domain import quota_shares
from dotterelpath.domain import tenants

# The period with which an entry is repeated, in seconds.
REPEAT_PERIOD_S = 4.0
# An entry is sent at once if it is as urgent as this.
MIN_URGENCY = 0.25
# The shortest time between two reports of a changed demand, in seconds.
DEMAND_PERIOD_S = 0.3
# A daemon with fewer requests of each tenant need not stay active, a second.
MIN_DEMAND_PER_S = 0.05
# A tenant whose pool is below this part is announced as used up to daemons that
# do not serve callers.
USED_UP_PART = 0.5
# Nothing is reported after this time without a request of a tenant with a
# limit, in seconds.
ACTIVE_S = 60.0
# A daemon that did nothing for this time was paused, in seconds. It ticks four
# times in it while quotas are kept.
PAUSE_S = 1.0
SWEEP_PERIOD_S = 1.0
# The most tenants that one round examines.
MAX_EXAMINED = 200


class Quotas:
    """Admits the requests of tenants with a limit, with the other daemons."""

    __slots__ = (
        "_active_until_s",
        "_announcements",
        "_bytes",
        "_complete_since_s",
        "_has_limits",
        "_has_news",
        "_next_report_s",
        "_paid_s",
        "_peers",
        "_reported_s",
        "_rule",
        "_run",
        "_seen_s",
        "_shares",
        "_swept_s",
        "_tenants",
        "_touched",
    )

    def __init__(self, rule: quota_rules.Rule, run: int) -> None:
        """Creates an object without tenants.

        Args:
            rule: How many requests of a tenant may run.
            run: A number that tells this process from earlier ones.
        """
        self._rule = rule
        self._run = run
        self._peers = quota_peers.Peers()
        self._shares: dict[str, quota_shares.TenantShare] = {}
        self._tenants: typing.Mapping[str, tenants.Tenant] = {}
        self._has_limits = False
        # The tenants with requests that reports do not yet repeat.
        self._touched: dict[str, quota_shares.TenantShare] = {}
        self._active_until_s = -math.inf
        self._seen_s = math.inf
        self._swept_s = -math.inf
        self._reported_s = -math.inf
        self._next_report_s = -math.inf
        # The bytes that reports may take now, and when they were counted.
        self._bytes = quota_reports.MAX_BYTES
        self._paid_s = 0.0
        self._has_news = False
        # Since when this daemon has heard all others.
        self._complete_since_s = math.inf
        self._announcements = quota_announcements.Announcements()

    @property
    def rule(self) -> quota_rules.Rule:
        """How many requests of a tenant may run."""
        return self._rule

    def set_rule(self, rule: quota_rules.Rule) -> None:
        """Applies changed settings.

        Args:
            rule: How many requests of a tenant may run.
        """
        self._rule = rule

    def set_tenants(self, known: typing.Mapping[str, tenants.Tenant]) -> None:
        """Sets the tenants of the configuration in force.

        Reports on other tenants are ignored.

        Args:
            known: The tenants by name.
        """
        self._tenants = known
        self._has_limits = any(t.rate_per_s > 0.0 for t in known.values())

    def set_serving(
        self,
        own_id: str,
        serving: typing.Iterable[str],
        is_serving: bool,
        other_count: int = 0,
    ) -> None:
        """Sets the daemons that share the quotas.

        Args:
            own_id: The id of this daemon.
            serving: The ids of the serving daemons.
            is_serving: Whether this daemon is one of them.
            other_count: How many daemons do not serve callers.
        """
        self._announcements.set_receivers(other_count)
        self._peers.set_serving(own_id, serving, is_serving)

    def is_active(self, now_s: float) -> bool:
        """Whether there are limits, or requests were limited lately.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self._has_limits or now_s < self._active_until_s

    def admit(self, tenant: tenants.Tenant, now_s: float) -> bool:
        """Decides whether a request may run.

        Args:
            tenant: The tenant, as the configuration in force has it.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether the request is within the quota.
        """
        if tenant.rate_per_s <= 0.0:
            return True
        self._observe(now_s)
        self._active_until_s = now_s + ACTIVE_S
        standing = self._peers.standing(now_s)
        share = self._update(tenant, standing, now_s)
        self._touched[tenant.name] = share
        if (
            share.mode is quota_rules.Mode.STRAY
            and self._announcements.used_up_s(tenant.name, now_s) > 0.0
        ):
            share.refusals.record(now_s)
            return False
        return share.admit(now_s)

    def refund(self, tenant: tenants.Tenant, now_s: float) -> None:
        """Returns the token of an admitted request that did not run.

        Args:
            tenant: The tenant that the request was admitted for.
            now_s: The current time on the monotonic clock, in seconds.
        """
        share = self._shares.get(tenant.name)
        if tenant.rate_per_s > 0.0 and share is not None:
            share.refund()

    def retry_after_s(
        self, tenant: tenants.Tenant, now_s: float, draw: float
    ) -> float:
        """Returns when a refused caller should return, in seconds.

        Args:
            tenant: The tenant.
            now_s: The current time on the monotonic clock, in seconds.
            draw: A random number in [0, 1) that spreads the callers.
        """
        standing = self._peers.standing(now_s)
        share = self._update(tenant, standing, now_s)
        wait_s = share.retry_after_s(now_s, draw)
        if share.mode is quota_rules.Mode.STRAY:
            used_up_s = self._announcements.used_up_s(tenant.name, now_s)
            wait_s = max(wait_s, used_up_s)
        return wait_s

    def take_report(self, now_s: float) -> quota_reports.Report | None:
        """Returns what is due to be sent to the serving daemons, if anything.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._observe(now_s)
        if not self.is_active(now_s) or now_s < self._next_report_s:
            return None
        standing = self._peers.standing(now_s)
        silent_s = now_s - self._reported_s
        is_beat = standing.is_serving and (
            silent_s >= quota_reports.heartbeat_s(self._peers.receiver_count)
        )
        active = self._peers.active(now_s)
        # Reports between the heartbeats go to daemons with requests only.
        is_for_all = is_beat or not active or not standing.is_serving
        receivers = self._peers.receiver_count if is_for_all else len(active)
        self._bytes = min(
            quota_reports.MAX_BYTES,
            self._bytes + (now_s - self._paid_s) * quota_reports.BYTES_PER_S,
        )
        self._paid_s = now_s
        room = self._bytes / receivers - quota_reports.HEADER_BYTES
        if is_beat and active:
            room = min(room, quota_reports.BEAT_ENTRY_BYTES)
        if room < quota_reports.MIN_ENTRY_BYTES and not is_beat:
            return None
        due = self._due_shares(standing, now_s)
        if is_beat and not due:
            due = self._any_share(now_s)
        if not due and not is_beat and not self._has_news:
            return None
        sequence = self._peers.start_report(now_s)
        entries, size = self._entries(due, room, sequence, now_s)
        if is_beat:
            self._reported_s = now_s
        self._has_news = False
        self._bytes -= (quota_reports.HEADER_BYTES + size) * receivers
        is_sparing = self._bytes < 0.5 * quota_reports.MAX_BYTES
        self._next_report_s = now_s + (
            quota_reports.SPARING_PERIOD_S
            if is_sparing
            else quota_reports.PERIOD_S
        )
        heard = self._peers.connected(now_s) if is_beat else None
        header = quota_reports.Header(self._run, sequence, 0, heard)
        return quota_reports.Report(
            header,
            entries,
            self._peers.acknowledgements(),
            None if is_for_all else active,
        )

    def take_announcement(self, now_s: float) -> list[str] | None:
        """Returns the tenants that have used up their quota, if that is due.

        Daemons that do not serve callers are told, so that single requests at
        many of them do not add up.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        standing = self._peers.standing(now_s)
        if not standing.is_serving or not self._announcements.is_due(now_s):
            return None
        used_up = [
            name
            for name, share in self._shares.items()
            if self._is_used_up(share, now_s)
        ]
        used_up.sort(key=lambda name: self._shares[name].level)
        return self._announcements.take(used_up, standing.members, now_s)

    def record_announcement(
        self, names: typing.Sequence[str], now_s: float
    ) -> None:
        """Records that tenants have used up their quota.

        Args:
            names: The tenants.
            now_s: The current time on the monotonic clock, in seconds.
        """
        if not self._peers.standing(now_s).is_serving:
            self._announcements.record(names, now_s)

    def record_report(
        self,
        sender: str,
        header: quota_reports.Header,
        entries: typing.Sequence[quota_reports.Entry],
        now_s: float,
    ) -> None:
        """Applies the report of another daemon.

        Args:
            sender: The daemon.
            header: The report's header.
            entries: The name, the demand in requests a second and the count of
                admitted requests of each tenant.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._observe(now_s)
        is_known = self._peers.record(sender, header, bool(entries), now_s)
        if is_known is None:
            return
        if entries:
            self._has_news = True
            self._active_until_s = now_s + ACTIVE_S
        for name, demand, count in entries[: quota_reports.MAX_ENTRIES]:
            if not (0.0 <= demand < math.inf and count >= 0):
                continue
            share = self._shares.get(name)
            tenant = self._tenants.get(name, share.tenant if share else None)
            if tenant is not None and tenant.rate_per_s > 0.0:
                share = self._update(tenant, self._peers.standing(now_s), now_s)
                share.record_peer(sender, demand, count, is_known, now_s)

    def busiest(
        self, count: int, now_s: float
    ) -> list[quota_shares.TenantStatus]:
        """Returns the tenants with the most requests here.

        Args:
            count: How many tenants to return.
            now_s: The current time on the monotonic clock, in seconds.
        """
        found = sorted(
            self._shares.values(),
            key=lambda share: -share.arrivals.per_s(now_s),
        )
        return [quota_shares.TenantStatus(s, now_s) for s in found[:count]]

    def status_of(
        self, tenant: tenants.Tenant, now_s: float
    ) -> quota_shares.TenantStatus:
        """Returns a tenant's requests here.

        Args:
            tenant: The tenant.
            now_s: The current time on the monotonic clock, in seconds.
        """
        standing = self._peers.standing(now_s)
        share = self._update(tenant, standing, now_s)
        return quota_shares.TenantStatus(share, now_s)

    def standing(self, now_s: float) -> quota_peers.Standing:
        """Returns the contact with the other daemons.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self._peers.standing(now_s)

    def _update(
        self,
        tenant: tenants.Tenant,
        standing: quota_peers.Standing,
        now_s: float,
    ) -> quota_shares.TenantShare:
        share = self._shares.get(tenant.name)
        if share is None:
            share = self._new_share(tenant, standing, now_s)
            self._shares[tenant.name] = share
        elif share.mode is quota_rules.Mode.STRAY and standing.is_serving:
            share.raise_level(self._rule.start_level(tenant))
        share.update(
            tenant,
            self._rule,
            standing,
            self._peers.settled_sequence(now_s),
            now_s,
        )
        return share

    def _is_used_up(
        self, share: quota_shares.TenantShare, now_s: float
    ) -> bool:
        bound = USED_UP_PART * self._rule.pool(share.tenant)
        if share.level >= bound:
            return False
        # The level was computed at the last request or report.
        standing = self._peers.standing(now_s)
        return self._update(share.tenant, standing, now_s).level < bound

    def _new_share(
        self,
        tenant: tenants.Tenant,
        standing: quota_peers.Standing,
        now_s: float,
    ) -> quota_shares.TenantShare:
        """Creates the share of a tenant that had no requests lately."""
        mode = quota_rules.find_mode(standing)
        level = self._rule.pool(tenant)
        if mode is quota_rules.Mode.STRAY:
            level = 1.0
        elif now_s - self._complete_since_s < self._rule.window_s:
            # What the others admitted, or this one before it started, is not
            # known.
            level = min(level, self._rule.start_level(tenant))
        return quota_shares.TenantShare(
            tenant, self._rule, standing, level, now_s
        )

    def _observe(self, now_s: float) -> None:
        """Notices pauses of this process, and forgets what is outdated."""
        if self.is_active(now_s) and now_s - self._seen_s > PAUSE_S:
            self._peers.resume(now_s)
            self._complete_since_s = math.inf
        self._seen_s = now_s
        if now_s - self._swept_s < SWEEP_PERIOD_S / 4.0:
            return
        self._swept_s = now_s
        standing = self._peers.standing(now_s)
        is_complete = (
            standing.is_serving
            and not standing.is_alone
            and standing.has_quorum
        )
        if not is_complete:
            self._complete_since_s = math.inf
        elif self._complete_since_s == math.inf:
            self._complete_since_s = now_s
        for peer_id in self._peers.drop_silent(now_s):
            for share in self._shares.values():
                share.drop_peer(peer_id, self._peers.contact_s)
        self._drop_idle(now_s)

    def _drop_idle(self, now_s: float) -> None:
        for name, share in list(self._shares.items()):
            share.drop_outdated(now_s)
            if now_s - share.last_request_s > self._rule.idle_s and not any(
                peer.demand for peer in share.peers.values()
            ):
                del self._shares[name]
                self._touched.pop(name, None)
        self._announcements.drop_outdated(now_s)

    def _entries(
        self,
        due: list[quota_shares.TenantShare],
        room: float,
        sequence: int,
        now_s: float,
    ) -> tuple[list[quota_reports.Entry], int]:
        """Returns the entries that fit into a report, and their bytes.

        A tenant whose name takes up a report is never reported, and is left
        with the floors.
        """
        most = min(
            quota_reports.MAX_ENTRY_BYTES,
            max(quota_reports.MIN_ENTRY_BYTES, room),
        )
        entries: list[quota_reports.Entry] = []
        used = 0
        for share in due[: quota_reports.MAX_ENTRIES]:
            size = quota_reports.entry_bytes(share.tenant.name)
            if size > quota_reports.MAX_ENTRY_BYTES:
                continue
            if entries and used + size > most:
                break
            used += size
            share.record_sent(sequence, now_s)
            entries.append(
                (share.tenant.name, round(share.sent_demand, 2), share.count)
            )
        return entries, used

    def _any_share(self, now_s: float) -> list[quota_shares.TenantShare]:
        """Returns a tenant with requests, by which this daemon is active."""
        for share in self._shares.values():
            is_over = quota_shares.OVER_PART * share.tenant.rate_per_s
            if share.demand(now_s) >= max(is_over, MIN_DEMAND_PER_S):
                return [share]
        return []

    def _due_shares(
        self, standing: quota_peers.Standing, now_s: float
    ) -> list[quota_shares.TenantShare]:
        """Returns the tenants to report, the most urgent first."""
        found = []
        # Entries without news leave half of the bytes for those with some.
        has_spare = self._bytes > 0.5 * quota_reports.MAX_BYTES
        for name in list(itertools.islice(self._touched, MAX_EXAMINED)):
            share = self._touched.pop(name)
            share = self._update(
                self._tenants.get(name, share.tenant), standing, now_s
            )
            demand = share.demand(now_s)
            unsent = share.count - share.sent_count
            age_s = now_s - share.sent_s
            is_notable = age_s >= DEMAND_PERIOD_S and share.is_demand_notable(
                demand
            )
            is_over = demand < quota_shares.OVER_PART * share.tenant.rate_per_s
            if is_over and not unsent and share.sent_demand <= 0.0:
                continue
            # The next round begins with those that were not examined.
            self._touched[name] = share
            urgency = share.urgency(unsent)
            if (
                urgency >= MIN_URGENCY
                or is_notable
                or age_s == math.inf
                or (has_spare and age_s >= REPEAT_PERIOD_S)
                or (unsent and share.mode is quota_rules.Mode.STRAY)
            ):
                found.append((urgency + age_s / 50.0, share))
        found.sort(key=lambda item: -item[0])
        return [share for _, share in found]
