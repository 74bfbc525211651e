"""The task that keeps a decoded copy of the store and publishes changes."""

from __future__ import annotations

import typing

import structlog

from dotterelpath.domain import configuration
from dotterelpath.domain import health_reports
from dotterelpath.domain import listed_daemons
from dotterelpath.domain import registry
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import store as store_port
from dotterelpath.ports import store_items
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages
from dotterelpath.tasks import store_events

# How often missing instances are checked for expiry, in seconds.
EXPIRY_CHECK_INTERVAL_S = 0.1
# The most faults of tenants that are logged for one configuration, which may
# list many thousands of tenants.
MAX_LOGGED_TENANT_FAULTS = 20

_log = structlog.get_logger()


class Registrar:
    """Keeps the newest configuration, the instances and the daemons.

    A store that came back from an older copy lacks some keys until they are
    written again, and has some that were deleted. Meanwhile, what is known goes
    on: the newest configuration, instances that left, and daemons.

    The version of the configuration never decreases. An invalid store item is
    ignored, except that the entry of an instance counts as missing.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_daemons",
        "_era",
        "_is_expiry_scheduled",
        "_item_codec",
        "_mailbox",
        "_metrics",
        "_peer_monitor",
        "_refused_configuration",
        "_registry",
        "_self_registration",
        "_subscribers",
        "_tenant_faults",
        "_timers",
    )

    def __init__(
        self,
        drain_s: float,
        item_codec: store_items.StoreItemCodec,
        clock: clock_port.Clock,
        timers: timers_port.Timers[typing.Any],
        metrics: metrics_port.Metrics,
        inbox: mailbox.Mailbox[typing.Any],
        subscribers: tuple[mailbox.Mailbox[typing.Any], ...],
        peer_monitor: mailbox.Mailbox[typing.Any],
        self_registration: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            drain_s: How long a draining instance may still get requests, in
                seconds.
            item_codec: Decodes the items of the store.
            clock: Tells the time.
            timers: Schedules expiry checks; posts ticks to the inbox.
            metrics: Counts items that cannot be used as they are.
            inbox: This task's mailbox.
            subscribers: The mailboxes that get each new configuration and the
                instances.
            peer_monitor: Gets the daemons, and the reads of the store once
                their changes are published.
            self_registration: Is told when the store came back from an older
                copy, which may lack the entry of this daemon.
        """
        self._self_registration = self_registration
        self._peer_monitor = peer_monitor
        self._item_codec = item_codec
        self._clock = clock
        self._timers = timers
        self._metrics = metrics
        self._mailbox = inbox
        self._subscribers = subscribers
        self._registry = registry.Registry(drain_s)
        self._configuration: configuration.Configuration | None = None
        self._daemons = listed_daemons.ListedDaemons()
        # The era of the store; None before its first response.
        self._era: int | None = None
        self._is_expiry_scheduled = False
        self._refused_configuration: str | None = None
        self._tenant_faults: list[str] = []

    @property
    def tenant_faults(self) -> list[str]:
        """What is wrong with tenants of the configuration in force."""
        return self._tenant_faults

    @property
    def refused_configuration(self) -> str | None:
        """Why the newest configuration is not in force; None if it is."""
        return self._refused_configuration

    async def run(self) -> None:
        """Handles messages until cancelled."""
        while True:
            self.handle(await self._mailbox.receive())

    def handle(self, message: typing.Any) -> None:
        """Handles one message.

        Args:
            message: A store message, a tick or changed settings.
        """
        if isinstance(message, store_events.StoreChanged):
            self.on_store_changed(message)
        elif isinstance(message, fleet_events.StoreRead):
            self._peer_monitor.force(message)
        elif isinstance(message, messages.Tick):
            self.on_tick()
        elif isinstance(message, fleet_events.BoundsChanged):
            self._registry.set_drain_s(message.bounds.drain_s)

    def on_store_changed(self, message: store_events.StoreChanged) -> None:
        """Applies a response of the store.

        Args:
            message: The changes.
        """
        now_s = self._clock.now_s()
        if self._registry.record_store_reply(
            message.at_s, message.max_silence_s
        ):
            _log.info("store was unavailable")
        changes = message.changes
        is_older_copy = self._enter_era(changes.position.era, now_s)
        if not changes.entries and not changes.is_full:
            return
        items = [
            item
            for item in map(self._item_codec.decode, changes.entries)
            if item is not None
        ]
        self._apply_configuration(items)
        self._apply_instances(items, changes, is_older_copy, now_s)
        self._apply_daemons(items, changes, is_older_copy, now_s)
        self._schedule_expiry(now_s)

    def on_tick(self) -> None:
        """Removes instances and daemons that are missing for too long."""
        now_s = self._clock.now_s()
        self._timers.pop_due(now_s)
        self._is_expiry_scheduled = False
        if self._registry.expire(now_s):
            self._publish_instances()
        if self._daemons.expire(now_s):
            self._publish_daemons()
        self._schedule_expiry(now_s)

    def _enter_era(self, era: int, now_s: float) -> bool:
        """Records the era of a response.

        Returns:
            Whether the store came back from an older copy.
        """
        before = self._era
        self._era = era
        if before is None or era <= before:
            return False
        _log.warning(
            "store restored from an older copy", era=era, before=before
        )
        self._registry.record_store_restored(now_s)
        self._self_registration.force(store_events.StoreRestored(era))
        return True

    def _apply_configuration(self, items: list[store_items.Item]) -> None:
        for item in items:
            if isinstance(item, store_items.InvalidItem):
                self._on_invalid_item(item)
            if not isinstance(item, store_items.ConfigurationItem):
                continue
            current = self._configuration
            newer = item.configuration
            if current is not None and newer.version <= current.version:
                continue
            self._configuration = newer
            self._refused_configuration = None
            for route, kind in item.unknown_request_kinds.items():
                _log.warning(
                    "request kind unknown, requests run at most once",
                    route=route,
                    kind=kind,
                )
                self._metrics.record_unknown_item("request kind")
            self._report_tenant_faults(item.tenant_faults)
            had_tenants = current is not None and current.tenants is not None
            if had_tenants and newer.tenants is None:
                _log.warning("tenants removed, requests need no key")
            _log.info(
                "configuration in force",
                version=newer.version,
                routes=len(newer.routes),
                tenants=None if newer.tenants is None else len(newer.tenants),
                before=current.version if current else 0,
            )
            self._publish(fleet_events.ConfigurationChanged(newer))

    def _report_tenant_faults(self, faults: list[str]) -> None:
        """Logs the faults, unless those before were the same."""
        if faults == self._tenant_faults:
            return
        self._tenant_faults = faults
        for fault in faults[:MAX_LOGGED_TENANT_FAULTS]:
            _log.warning("tenant or key left out", fault=fault)
        if len(faults) > MAX_LOGGED_TENANT_FAULTS:
            _log.warning("tenants or keys left out", count=len(faults))
        if faults:
            self._metrics.record_unknown_item("tenant")

    def _on_invalid_item(self, item: store_items.InvalidItem) -> None:
        _log.warning("store item invalid", key=item.key, reason=item.reason)
        if item.instance_id is not None:
            self._metrics.record_unknown_item("instance")
            return
        self._metrics.record_unknown_item("configuration")
        self._refused_configuration = item.reason

    def _apply_instances(
        self,
        items: list[store_items.Item],
        changes: store_port.Changes,
        is_older_copy: bool,
        now_s: float,
    ) -> None:
        has_changed = False
        present = set()
        leaving: list[tuple[str, str, int]] = []
        for item in items:
            if isinstance(item, store_items.InstanceItem):
                entry = item.entry
                if entry is None:
                    has_changed |= self._registry.mark_missing(item.id, now_s)
                    continue
                present.add(item.id)
                if self._apply_entry(entry, is_older_copy):
                    has_changed = True
                    if entry.is_draining:
                        leaving.append(
                            (entry.service, entry.id, entry.started_ms)
                        )
            elif (
                isinstance(item, store_items.InvalidItem)
                and item.instance_id is not None
            ):
                has_changed |= self._registry.mark_missing(
                    item.instance_id, now_s
                )
        if changes.is_full:
            has_changed |= self._registry.reconcile(present, now_s)
        if has_changed or changes.is_full:
            self._publish_instances()
        if not changes.is_full:
            self._report_leaving(leaving)

    def _report_leaving(self, leaving: list[tuple[str, str, int]]) -> None:
        """Tells the other daemons which instances leave."""
        for start in range(0, len(leaving), health_reports.MAX_INSTANCES):
            part = leaving[start : start + health_reports.MAX_INSTANCES]
            report = health_reports.LeavingReport(part)
            self._peer_monitor.force(fleet_events.LeavingReportIssued(report))

    def _apply_entry(self, entry: registry.Entry, is_older_copy: bool) -> bool:
        has_changed = self._registry.apply_entry(entry, is_older_copy)
        if has_changed:
            _log.info(
                "instance listed",
                instance=entry.id,
                service=entry.service,
                draining=entry.is_draining,
                sequence=entry.sequence,
            )
        return has_changed

    def _apply_daemons(
        self,
        items: list[store_items.Item],
        changes: store_port.Changes,
        is_older_copy: bool,
        now_s: float,
    ) -> None:
        changed = {
            item.id: item.daemon
            for item in items
            if isinstance(item, store_items.DaemonItem)
        }
        if changes.is_full:
            listed = {id: d for id, d in changed.items() if d is not None}
            self._daemons.replace(listed, is_older_copy, now_s)
        elif changed:
            self._daemons.apply(changed)
        else:
            return
        self._publish_daemons()

    def _publish_daemons(self) -> None:
        self._peer_monitor.force(
            fleet_events.DaemonsChanged(dict(self._daemons.daemons))
        )

    def _publish_instances(self) -> None:
        instances_by_service: dict[str, list[registry.RegisteredInstance]] = {}
        for listed in self._registry.instances.values():
            service_instances = instances_by_service.setdefault(
                listed.entry.service, []
            )
            service_instances.append(listed.copy())
        self._publish(fleet_events.RegistryChanged(instances_by_service))

    def _publish(self, message: typing.Any) -> None:
        for subscriber in self._subscribers:
            subscriber.force(message)

    def _schedule_expiry(self, now_s: float) -> None:
        has_missing = self._daemons.has_missing or any(
            listed.missing_since_s is not None
            for listed in self._registry.instances.values()
        )
        if self._is_expiry_scheduled or not has_missing:
            return
        self._is_expiry_scheduled = True
        self._timers.add(now_s + EXPIRY_CHECK_INTERVAL_S, None)
