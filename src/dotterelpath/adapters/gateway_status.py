"""Serves the status and the metrics of a daemon on the platform."""

from __future__ import annotations

import time
import typing

from dotterelpath.adapters import api
from dotterelpath.adapters import connection_guard
from dotterelpath.adapters import metrics as metrics_adapter
from dotterelpath.domain import configuration as configuration_domain
from dotterelpath.domain import exchange
from dotterelpath.domain import request_limits
from dotterelpath.tasks import gateway as gateway_task
from dotterelpath.tasks import peer_monitor as peer_monitor_task
from dotterelpath.tasks import registrar as registrar_task

# A configuration may list many thousands of tenants.
MAX_SHOWN_FAULTS = 20
# The tenants that are shown, the busiest first.
MAX_TENANTS = 20


class GatewayStatus:
    """Serves the calls /metrics and /status."""

    __slots__ = (
        "_callers",
        "_gateway",
        "_metrics",
        "_peer_monitor",
        "_registrar",
    )

    def __init__(
        self,
        gateway: gateway_task.Gateway,
        peer_monitor: peer_monitor_task.PeerMonitor,
        registrar: registrar_task.Registrar,
        metrics: metrics_adapter.Metrics,
        callers: connection_guard.CallerRegistry,
    ) -> None:
        """Creates the handlers.

        Args:
            gateway: Holds the state of the services.
            peer_monitor: Holds this daemon's view of the fleet.
            registrar: Holds why a configuration was refused.
            metrics: Holds this daemon's counters and histograms.
            callers: Holds the callers' connections and their memory.
        """
        self._gateway = gateway
        self._peer_monitor = peer_monitor
        self._registrar = registrar
        self._metrics = metrics
        self._callers = callers

    @property
    def handlers(self) -> dict[tuple[str, str], api.Handler]:
        """The handlers by method and path."""
        return {
            ("GET", "/metrics"): self._on_metrics,
            ("GET", "/status"): self._on_status,
        }

    async def _on_metrics(self, request: exchange.Request) -> exchange.Response:
        fields, content = await self._metrics.render()
        return exchange.Response(200, fields, content)

    async def _on_status(self, request: exchange.Request) -> exchange.Response:
        configuration = self._gateway.configuration
        return api.json_response(
            {
                "state": self._peer_monitor.state.value,
                "version": configuration.version if configuration else None,
                "refused_configuration": self._registrar.refused_configuration,
                "tenants": _tenant_status(
                    configuration, self._registrar.tenant_faults
                ),
                "stale": self._peer_monitor.is_stale,
                "in_flight": self._gateway.in_flight,
                "body_bytes": self._callers.memory.body_bytes,
                "callers": self._callers.status(),
                "store_watched": self._peer_monitor.store_position is not None,
                "quotas": self._gateway.quotas.status(MAX_TENANTS),
                "daemons": sorted(self._peer_monitor.fleet_view.daemons),
                "services": {
                    name: _service_status(state)
                    for name, state in self._gateway.services.items()
                },
            }
        )


def _tenant_status(
    configuration: configuration_domain.Configuration | None, faults: list[str]
) -> dict[str, typing.Any] | None:
    if configuration is None or configuration.tenants is None:
        return None
    return {
        "count": len(configuration.tenants),
        "fault_count": len(faults),
        "faults": faults[:MAX_SHOWN_FAULTS],
    }


def _limit_status(
    limit: request_limits.RequestLimit | None, now_s: float
) -> dict[str, typing.Any] | None:
    if limit is None:
        return None
    return {
        "per_s": limit.per_s,
        "held": limit.is_held(now_s),
        "rank": limit.rank,
        "age_s": round(now_s - limit.learnt_s, 1),
    }


def _service_status(state: typing.Any) -> dict[str, typing.Any]:
    now_s = time.monotonic()
    return {
        "waiting": len(state.queue),
        "retries": state.retries.retries,
        "retries_waiting": len(state.waiting_retries),
        "rejected_share": round(state.rejections.share(now_s), 3),
        "instances": {
            instance.id: {
                "started_ms": instance.entry.started_ms,
                "in_flight": instance.in_flight,
                "load": round(instance.load(now_s), 2),
                "slots": instance.entry.slots,
                "failing": round(
                    instance.failure_filter.unhealthy_probability(now_s), 3
                ),
                "rejecting": round(instance.rejecting(now_s), 3),
                "slow": round(
                    instance.slow_filter.unhealthy_probability(now_s), 3
                ),
                "lapsed": instance.is_entry_missing,
                "request_limit": _limit_status(instance.request_limit, now_s),
            }
            for instance in state.balancer.instances.values()
        },
    }
