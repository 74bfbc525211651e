"""Measures what the quotas of tenants cost a daemon."""

from __future__ import annotations

import time
import tracemalloc

import orjson

from benchmarks import report
from dotterelpath.adapters import datagrams as codec
from dotterelpath.domain import quota_reports
from dotterelpath.domain import quota_rules
from dotterelpath.domain import quotas
from dotterelpath.domain import tenants
from dotterelpath.ports import datagrams

RULE = quota_rules.Rule(5.0, 0.1, 20.0)
ADMITS = 100_000
REPORTS = 2_000


def run() -> report.Table:
    """Measures decisions, reports and memory over tenants and daemons."""
    rows = [
        [
            kept,
            members,
            round(_admit_us(kept, members), 2),
            *(round(value, 1) for value in _report_costs(kept, members)),
            round(_bytes_each(kept)),
        ]
        for kept in (10, 100, 1000)
        for members in (1, 6, 24)
    ]
    table = report.Table(
        "Quotas of tenants",
        (
            "tenants with requests",
            "daemons",
            "a decision, us",
            "a round, us",
            "a report of 16 tenants received, us",
            "memory of a tenant, B",
        ),
    )
    for row in rows:
        table.add_row(*row)
    return table


def _daemon(
    kept: int, members: int
) -> tuple[quotas.Quotas, list[tenants.Tenant]]:
    """Creates a daemon in contact with others, and tenants with requests."""
    known = [
        tenants.Tenant(f"tenant-{n:05}", None, 1e6, 1e6) for n in range(kept)
    ]
    daemon = quotas.Quotas(RULE, 1)
    daemon.set_tenants({tenant.name: tenant for tenant in known})
    ids = [f"entry-{n:02}" for n in range(members)]
    daemon.set_serving(ids[0], ids, True)
    daemon.take_report(100.0)
    for sequence, id in enumerate(ids[1:], 1):
        header = quota_reports.Header(1, sequence, 1, ids)
        entries = [(tenant.name, 5.0, 3) for tenant in known[:64]]
        daemon.record_report(id, header, entries, 100.05)
    for tenant in known:
        daemon.admit(tenant, 100.1)
    return daemon, known


def _admit_us(kept: int, members: int) -> float:
    daemon, known = _daemon(kept, members)
    start_s = time.perf_counter()
    for number in range(ADMITS):
        daemon.admit(known[number % kept], 100.1 + number * 1e-6)
    return (time.perf_counter() - start_s) / ADMITS * 1e6


def _report_costs(kept: int, members: int) -> tuple[float, float]:
    """Returns the microseconds of a round and of a report of 16 tenants."""
    daemon, known = _daemon(kept, members)
    start_s = time.perf_counter()
    for number in range(REPORTS // 10):
        daemon.admit(known[number % kept], 100.2 + number * 0.1)
        daemon.take_report(100.2 + number * 0.1)
    round_us = (time.perf_counter() - start_s) / (REPORTS // 10) * 1e6
    daemon, known = _daemon(kept, members)
    start_s = time.perf_counter()
    for number in range(REPORTS):
        header = quota_reports.Header(1, 100 + number, 1, None)
        entries = [(t.name, 5.0, 3 + number) for t in known[:16]]
        datagram = datagrams.QuotaReportDatagram("entry-01", header, entries, 2)
        received = codec.decode(
            orjson.loads(orjson.dumps(codec.encode(datagram)))
        )
        assert isinstance(received, datagrams.QuotaReportDatagram)
        daemon.record_report(
            "entry-01", received.header, received.entries, 100.2 + number * 1e-5
        )
    return round_us, (time.perf_counter() - start_s) / REPORTS * 1e6


def _bytes_each(kept: int) -> float:
    """Returns the memory of a tenant's state."""
    known = [
        tenants.Tenant(f"tenant-{n:05}", None, 10.0, 5.0) for n in range(kept)
    ]
    daemon = quotas.Quotas(RULE, 1)
    daemon.set_serving("entry-00", ["entry-00"], True)
    tracemalloc.start()
    for tenant in known:
        daemon.admit(tenant, 100.0)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / kept
