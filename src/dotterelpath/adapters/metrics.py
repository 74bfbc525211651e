"""Records metrics with aioprometheus, in a limited number of series."""

from __future__ import annotations

import collections
import typing

import aioprometheus
import aioprometheus.histogram

from dotterelpath import errors
from dotterelpath.domain import exchange

MAX_WORKSPACES = 100
MAX_TENANTS = 100
OTHER_TENANTS = "other"
OTHER_WORKSPACES = "other"
BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0)


class _Series:
    """The histograms of one service and class, cached to save look-ups."""

    __slots__ = ("duration", "overhead")

    def __init__(self, duration: typing.Any, overhead: typing.Any) -> None:
        self.duration = duration
        self.overhead = overhead


class Metrics:
    """Holds the counters and histograms of this daemon; see metrics.Metrics.

    The first MAX_WORKSPACES workspaces have a histogram each. All others
    share one, since each series costs memory and time on the event loop.
    """

    __slots__ = (
        "_avoided",
        "_closed_connections",
        "_copy_reads",
        "_duration",
        "_ejected",
        "_input_bytes",
        "_input_events",
        "_input_seconds",
        "_loop_delay",
        "_outcomes",
        "_overhead",
        "_quota_refusals",
        "_refused_tenants",
        "_refusals",
        "_registry",
        "_rejections",
        "_requests",
        "_retries",
        "_series",
        "_store_calls",
        "_unknown_items",
        "_waits",
        "_workspace_duration",
        "_workspace_series",
    )

    def __init__(self) -> None:
        """Creates empty metrics."""
        self._registry = aioprometheus.Registry()
        self._series: dict[tuple[str, str], _Series] = {}
        self._workspace_series: dict[str, typing.Any] = {}
        self._outcomes: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._requests = self._counter("requests", "Requests by result.")
        self._retries = self._counter("retries", "Further tries.")
        self._refusals = self._counter(
            "refusals", "Requests refused that were not run."
        )
        self._rejections = self._counter(
            "rejections", "Attempts that instances rejected as not run."
        )
        self._waits = self._counter("waits", "Requests that waited.")
        self._store_calls = self._counter("store_calls", "Calls to the store.")
        self._unknown_items = self._counter(
            "unknown_items", "Parts of the store that cannot be used."
        )
        self._quota_refusals = self._counter(
            "quota_refusals", "Requests beyond their tenant's quota."
        )
        self._refused_tenants: set[str] = set()
        self._copy_reads = self._counter(
            "store_copy_reads", "Reads of other daemons' copies of the store."
        )
        self._closed_connections = self._counter(
            "closed_connections", "Callers' connections that limits closed."
        )
        self._input_bytes = self._counter(
            "input_bytes", "Bytes received over connections."
        )
        self._input_events = self._counter(
            "input_events", "Parts of messages parsed from these bytes."
        )
        self._input_seconds = self._counter(
            "input_seconds", "Processing time of these bytes."
        )
        self._avoided = self._gauge("avoided", "Instances avoided here.")
        self._ejected = self._gauge("ejected", "Instances ejected.")
        self._duration = self._histogram(
            "request_seconds", "From arrival to answer, by class."
        )
        self._overhead = self._histogram(
            "added_seconds", "The part that no backend server worked."
        )
        self._loop_delay = self._histogram(
            "loop_delay_seconds", "How late the event loop ran timers."
        )
        self._workspace_duration = self._histogram(
            "workspace_request_seconds", "From arrival to answer, by workspace."
        )

    def record_request(
        self,
        service: str,
        traffic_class: str,
        workspace: str,
        code: errors.ResultCode,
        duration_s: float,
        overhead_s: float,
    ) -> None:
        """Records the end of a request; see metrics.Metrics."""
        self._outcomes[(service, int(code))] += 1
        series = self._series.get((service, traffic_class))
        if series is None:
            series = self._new_series(service, traffic_class)
        series.duration.observe(duration_s)
        series.overhead.observe(overhead_s)
        workspace_series = self._workspace_series.get(workspace)
        if workspace_series is None:
            workspace_series = self._new_workspace(workspace)
        workspace_series.observe(duration_s)

    def record_retry(self, service: str, is_hedge: bool) -> None:
        """Records a retry or a hedge; see metrics.Metrics."""
        kind = "hedge" if is_hedge else "retry"
        self._retries.inc({"service": service, "kind": kind})

    def record_wait(self, service: str, reason: str) -> None:
        """Records that a request waits; see metrics.Metrics."""
        self._waits.inc({"service": service, "reason": reason})

    def record_refusal(self, service: str, reason: str) -> None:
        """Records a refused request; see metrics.Metrics."""
        self._refusals.inc({"service": service, "reason": reason})

    def record_rejection(self, service: str, is_full: bool) -> None:
        """Records a rejected attempt; see metrics.Metrics."""
        reason = "full" if is_full else "below full"
        self._rejections.inc({"service": service, "reason": reason})

    def set_avoided_count(self, service: str, count: int) -> None:
        """Sets the number of avoided instances; see metrics.Metrics."""
        self._avoided.set({"service": service}, count)

    def set_ejected_count(self, service: str, count: int) -> None:
        """Sets the number of ejected instances; see metrics.Metrics."""
        self._ejected.set({"service": service}, count)

    def record_unknown_item(self, kind: str) -> None:
        """Records an unusable part of the store; see metrics.Metrics."""
        self._unknown_items.inc({"kind": kind})

    def record_quota_refusal(self, tenant: str) -> None:
        """Records a refusal; see metrics.Metrics."""
        if len(self._refused_tenants) < MAX_TENANTS:
            self._refused_tenants.add(tenant)
        is_known = tenant in self._refused_tenants
        self._quota_refusals.inc(
            {"tenant": tenant if is_known else OTHER_TENANTS}
        )

    def record_closed_connection(self, reason: str) -> None:
        """Records a closed connection; see metrics.Metrics."""
        self._closed_connections.inc({"reason": reason})

    def record_copy_read(self, ok: bool) -> None:
        """Records a read of another daemon's copy; see metrics.Metrics."""
        self._copy_reads.inc({"ok": str(ok).lower()})

    def record_loop_delay(self, delay_s: float) -> None:
        """Records a delay of the event loop; see metrics.Metrics."""
        _histogram_for(self._loop_delay, {}).observe(delay_s)

    def record_input(self, size: int, events: int, duration_s: float) -> None:
        """Records the processing of input; see metrics.Metrics."""
        self._input_bytes.add({}, size)
        self._input_events.add({}, events)
        self._input_seconds.add({}, duration_s)

    def record_store_call(self, call: str, ok: bool) -> None:
        """Records a call to the store; see metrics.Metrics."""
        self._store_calls.inc({"call": call, "ok": str(ok).lower()})

    def outcomes(self) -> dict[str, dict[str, int]]:
        """Returns the number of requests by service and result code."""
        counts: dict[str, dict[str, int]] = {}
        for (service, code), count in self._outcomes.items():
            counts.setdefault(service or "-", {})[str(code)] = count
        return counts

    async def render(self) -> tuple[exchange.Headers, bytes]:
        """Renders all series as text.

        Returns:
            The headers and the body of a response.
        """
        for (service, code), count in self._outcomes.items():
            self._requests.set({"service": service, "code": str(code)}, count)
        content, headers = aioprometheus.render(self._registry, [])
        fields = [
            (name.lower().encode(), value.encode())
            for name, value in headers.items()
        ]
        return fields, content

    def _new_series(self, service: str, traffic_class: str) -> _Series:
        labels = {"service": service, "class": traffic_class}
        series = _Series(
            _histogram_for(self._duration, labels),
            _histogram_for(self._overhead, labels),
        )
        self._series[(service, traffic_class)] = series
        return series

    def _new_workspace(self, workspace: str) -> typing.Any:
        if len(self._workspace_series) >= MAX_WORKSPACES:
            # The names of further workspaces are not cached, since that would
            # need memory for each of them.
            return _histogram_for(
                self._workspace_duration, {"workspace": OTHER_WORKSPACES}
            )
        histogram = _histogram_for(
            self._workspace_duration, {"workspace": workspace}
        )
        self._workspace_series[workspace] = histogram
        return histogram

    def _counter(self, name: str, doc: str) -> typing.Any:
        return aioprometheus.Counter(
            f"dotterelpath_{name}_total", doc, registry=self._registry
        )

    def _gauge(self, name: str, doc: str) -> typing.Any:
        return aioprometheus.Gauge(
            f"dotterelpath_{name}", doc, registry=self._registry
        )

    def _histogram(self, name: str, doc: str) -> typing.Any:
        return aioprometheus.Histogram(
            f"dotterelpath_{name}",
            doc,
            buckets=list(BUCKETS_S),
            registry=self._registry,
        )


def _histogram_for(collector: typing.Any, labels: dict[str, str]) -> typing.Any:
    """Returns the histogram with the given labels, created on first use."""
    try:
        return collector.get_value(labels)
    except KeyError:
        histogram = aioprometheus.histogram.Histogram(*collector.upper_bounds)
        collector.set_value(labels, histogram)
        return histogram
