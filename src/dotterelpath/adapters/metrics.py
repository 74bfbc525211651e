"""Measurements by aioprometheus, bounded in their number of series."""

from __future__ import annotations

import collections
import typing

import aioprometheus

from dotterelpath import errors
from dotterelpath.domain import exchange

MAX_WORKSPACES = 100
OTHER = "other"
BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0)


class Metrics:
    """Counts and histograms of this daemon; see metrics.Metrics.

    Histograms are kept for each class and for the first workspaces seen, up
    to a cap; the rest are summed under one name, since each series costs
    memory and time on the event loop.
    """

    __slots__ = (
        "_avoided",
        "_duration",
        "_ejected",
        "_outcomes",
        "_overhead",
        "_registry",
        "_requests",
        "_retries",
        "_store_calls",
        "_workspace_duration",
        "_workspaces",
    )

    def __init__(self) -> None:
        """Creates empty metrics."""
        self._registry = aioprometheus.Registry()
        self._workspaces: dict[str, dict[str, str]] = {}
        self._outcomes: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._requests = self._counter("requests", "Requests by result.")
        self._retries = self._counter("retries", "Further tries.")
        self._store_calls = self._counter("store_calls", "Calls to the store.")
        self._avoided = self._gauge("avoided", "Instances avoided here.")
        self._ejected = self._gauge("ejected", "Instances ejected.")
        self._duration = self._histogram(
            "request_seconds", "From arrival to answer, by class."
        )
        self._overhead = self._histogram(
            "added_seconds", "The part that no backend server worked."
        )
        self._workspace_duration = self._histogram(
            "workspace_request_seconds", "From arrival to answer, by workspace."
        )

    def request_ended(
        self,
        service: str,
        traffic_class: str,
        workspace: str,
        code: errors.ResultCode,
        duration_s: float,
        overhead_s: float,
    ) -> None:
        """Counts a request; see metrics.Metrics."""
        labels = {"service": service, "class": traffic_class}
        self._outcomes[(service, int(code))] += 1
        self._requests.inc({"service": service, "code": str(int(code))})
        self._duration.observe(labels, duration_s)
        self._overhead.observe(labels, overhead_s)
        self._workspace_duration.observe(
            self._workspace_labels(workspace), duration_s
        )

    def retried(self, service: str, is_hedge: bool) -> None:
        """Counts a further try; see metrics.Metrics."""
        kind = "hedge" if is_hedge else "retry"
        self._retries.inc({"service": service, "kind": kind})

    def avoided(self, service: str, count: int) -> None:
        """Notes avoided instances; see metrics.Metrics."""
        self._avoided.set({"service": service}, count)

    def ejected(self, service: str, count: int) -> None:
        """Notes ejected instances; see metrics.Metrics."""
        self._ejected.set({"service": service}, count)

    def store_called(self, call: str, ok: bool) -> None:
        """Counts a call to the store; see metrics.Metrics."""
        self._store_calls.inc({"call": call, "ok": str(ok).lower()})

    def outcomes(self) -> dict[str, dict[str, int]]:
        """Sums up the requests by service and result code."""
        found: dict[str, dict[str, int]] = {}
        for (service, code), count in self._outcomes.items():
            found.setdefault(service or "-", {})[str(code)] = count
        return found

    async def render(self) -> tuple[exchange.Headers, bytes]:
        """Renders all series as text.

        Returns:
            The headers and the body of an answer.
        """
        content, headers = aioprometheus.render(self._registry, [])
        fields = [
            (name.lower().encode(), value.encode())
            for name, value in headers.items()
        ]
        return fields, content

    def _workspace_labels(self, workspace: str) -> dict[str, str]:
        labels = self._workspaces.get(workspace)
        if labels is None:
            if len(self._workspaces) >= MAX_WORKSPACES:
                workspace = OTHER
            labels = {"workspace": workspace}
            self._workspaces[workspace] = labels
        return labels

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
