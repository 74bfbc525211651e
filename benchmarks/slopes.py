"""Measures how the cost of a daemon's control work grows with the fleet.

Each cost is measured at several sizes, up to the planned size, and fitted with
a least-squares line. The last column is the cost at the planned size: the value
of the line or the measured value, whichever is higher.
"""

from __future__ import annotations

import asyncio
import gc
import random
import time
import tracemalloc
import typing

import orjson

from benchmarks import report
from dotterelpath import errors
from dotterelpath.adapters import document_codec as codec_adapter
from dotterelpath.adapters import metrics as metrics_adapter
from dotterelpath.adapters import peer_codec
from dotterelpath.domain import addresses
from dotterelpath.domain import document
from dotterelpath.domain import exchange
from dotterelpath.domain import fleet_membership
from dotterelpath.domain import keys
from dotterelpath.domain import records
from dotterelpath.domain import routing
from dotterelpath.domain import service_table
from dotterelpath.domain import vms

PLANNED_SIZES = {
    "routes": 2_900,
    "workspaces": 42_000,
    "instances": 7_700,
    "daemons": 900,
    "sections": 150,
    "records": records.MAX_RECORDS,
    "series": metrics_adapter.MAX_WORKSPACES,
}
# Runs of each timed operation, of which the fastest counts.
REPEATS = 5
MAX_MEMORY_MB = 256.0
# Fraction of one core.
MAX_CPU_FRACTION = 0.028
MAX_BYTES_PER_S = 8192.0
EDITS_PER_DAY = 1_400
RESTARTS_PER_DAY = 1_000
DAY_S = 86_400.0
SCRAPES_PER_S = 1.0 / 15.0

Measure = typing.Callable[[int], float]


def run() -> report.Table:
    """Runs the benchmark.

    Returns:
        A table with a row for each cost, and bounds on the totals.
    """
    table = report.Table(
        "control work: slopes over the size",
        ("cost", "unit", "over", "slope", "at 0", "at plan"),
    )
    planned_costs: dict[str, float] = {}
    for name, unit, dimension, measure in _MEASURES:
        size = PLANNED_SIZES[dimension]
        sizes = [max(1, size // 8), size // 4, size // 2, size]
        points = [(n, measure(n)) for n in sizes]
        slope, intercept = _fit_line(points)
        planned_costs[name] = max(slope * size + intercept, points[-1][1])
        table.add_row(
            name,
            unit,
            f"{size} {dimension}",
            f"{slope:.3g}",
            f"{intercept:.3g}",
            f"{planned_costs[name]:.4g}",
        )
    _add_totals(table, planned_costs)
    return table


def _add_totals(table: report.Table, planned_costs: dict[str, float]) -> None:
    """Adds the bounds on the total costs at the planned sizes."""
    memory_mb = (
        planned_costs["document"]
        + planned_costs["instances"]
        + planned_costs["members"]
    ) / 1e6
    # Each second a daemon sends up to RING_PEERS + 1 heartbeats and receives as
    # many.
    heartbeats_per_s = 2 * (fleet_membership.RING_PEERS + 1)
    cpu_fraction = (
        heartbeats_per_s * planned_costs["heartbeat"]
        + EDITS_PER_DAY
        / DAY_S
        * (planned_costs["apply"] + planned_costs["parse"])
        + 2 * RESTARTS_PER_DAY / DAY_S * planned_costs["vm change"]
        + 2 * RESTARTS_PER_DAY / DAY_S * planned_costs["members change"]
        + SCRAPES_PER_S * planned_costs["render"]
    )
    bytes_per_s = heartbeats_per_s * planned_costs["heartbeat bytes"]
    table.add_note(
        f"state in memory, without the process itself: {memory_mb:.0f} MB"
    )
    table.add_bound("state in MB", memory_mb, MAX_MEMORY_MB)
    table.add_bound("processor share of these", cpu_fraction, MAX_CPU_FRACTION)
    table.add_bound("heartbeat bytes a second", bytes_per_s, MAX_BYTES_PER_S)


def _fit_line(points: list[tuple[int, float]]) -> tuple[float, float]:
    """Returns slope and intercept of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def _measure_time_s(work: typing.Callable[[], object]) -> float:
    """Returns the time of the fastest of several runs, in seconds."""
    best = float("inf")
    for _ in range(REPEATS):
        gc.collect()
        started_s = time.perf_counter()
        work()
        best = min(best, time.perf_counter() - started_s)
    return best


def _measure_memory_bytes(build: typing.Callable[[], object]) -> float:
    """Returns the memory that a built object occupies, in bytes."""
    gc.collect()
    tracemalloc.start()
    result = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(size)


def _measure_records(count: int) -> float:
    """Measures the record table of a home.

    The responses of the records are already dropped.
    """

    def build() -> records.RecordTable:
        record_table = records.RecordTable(keys.Home("entry-0", "1"), 0.0)
        code = errors.ResultCode.ANSWER_NOT_KEPT
        for n in range(count):
            key = f"workspace-1\x00dk1.entry-0.18c4f2a1b3c0001.12.unique{n:08}"
            record_table.admit(key, 0, f"{n:064x}", 1, 0.0)
            record_table.finish(
                key, exchange.Outcome(code, instance="instance-1")
            )
        return record_table

    return _measure_memory_bytes(build)


def _build_routes(count: int) -> list[document.Route]:
    return [
        document.Route(f"s{n % 150}", f"/team{n % 150}/path{n}", frozenset())
        for n in range(count)
    ]


def _build_document(
    routes: int = PLANNED_SIZES["routes"],
    workspaces: int = PLANNED_SIZES["workspaces"],
) -> document.Document:
    sections = PLANNED_SIZES["sections"]
    built = []
    by_service: dict[str, list[document.Route]] = {}
    for route in _build_routes(routes):
        by_service.setdefault(route.service, []).append(route)
    for number in range(sections):
        name = f"s{number}"
        limits = tuple(
            document.WorkspaceLimit(f"workspace-{n}", 10)
            for n in range(number, workspaces, sections)
        )
        service = document.Service(name, 20)
        built.append(
            document.Section(
                name,
                ("0" * 64,),
                (service,),
                tuple(by_service.get(name, ())),
                limits,
            )
        )
    return document.Document(1, tuple(built))


def _build_backend_vms(count: int) -> list[vms.Vm]:
    return [
        vms.Vm(
            f"instance-{n}",
            vms.VmRole.BACKEND,
            f"10.0.{n // 250}.{n % 250}",
            8080,
            "abcdef"[n % 6],
            service=f"s{n % 150}",
        )
        for n in range(count)
    ]


def _build_entry_vms(count: int) -> list[vms.Vm]:
    return [
        vms.Vm(
            f"entry-{n}",
            vms.VmRole.ENTRY,
            f"10.1.{n // 250}.{n % 250}",
            7000,
            "abcdef"[n % 6],
            peer_port=7001,
        )
        for n in range(count)
    ]


def _build_membership(count: int) -> fleet_membership.Membership:
    membership = fleet_membership.Membership(
        keys.Home("entry-0", "abcd1234"), 0.0
    )
    membership.set_vms(_build_entry_vms(count), 0.0)
    return membership


def _measure_route_lookup(count: int) -> float:
    table = routing.RouteTable(_build_routes(count))
    paths = [f"/team{n % 150}/path{n}/a/b" for n in range(1000)]
    found = [p for p in paths if int(p.split("path")[1].split("/")[0]) < count]
    return _measure_time_s(lambda: [table.find("GET", p) for p in found]) / len(
        found
    )


def _measure_apply(count: int) -> float:
    new_document = _build_document(workspaces=count)
    return _measure_time_s(
        lambda: service_table.ServiceTable().set_document(new_document, 0.0)
    )


def _measure_parse(count: int) -> float:
    """Measures the parsing of one section, as an edit does.

    The section has its share of all routes and workspaces.
    """
    workspaces_per_section = count // PLANNED_SIZES["sections"]
    toml_lines = [f'owners = ["{"0" * 64}"]', "[[service]]", 'name = "s"']
    toml_lines += ["floor = 2"]
    for n in range(PLANNED_SIZES["routes"] // PLANNED_SIZES["sections"]):
        toml_lines += ["[[route]]", 'service = "s"', f'prefix = "/p{n}"']
    toml_lines += [
        f"[workspaces.w{n}]\nconcurrency = 5"
        for n in range(workspaces_per_section)
    ]
    text = "\n".join(toml_lines)
    codec = codec_adapter.DocumentCodec()
    return _measure_time_s(lambda: codec.parse_section("s", text))


def _measure_document(count: int) -> float:
    return _measure_memory_bytes(lambda: _build_document(workspaces=count))


def _build_service_table(count: int) -> service_table.ServiceTable[object]:
    services: service_table.ServiceTable[object] = service_table.ServiceTable()
    services.set_document(_build_document(workspaces=150), 0.0)
    services.set_vms(vms.VmTable.from_vms(_build_backend_vms(count)), 0.0)
    return services


def _measure_instances(count: int) -> float:
    return _measure_memory_bytes(lambda: _build_service_table(count))


def _measure_vm_change(count: int) -> float:
    services = _build_service_table(count)
    table = vms.VmTable.from_vms(_build_backend_vms(count))
    leaving_vm = _build_backend_vms(1)[0]
    leaving_vm.state = vms.VmState.LEAVING
    return _measure_time_s(
        lambda: services.set_vms(table.with_changes([leaving_vm], []), 1.0)
    )


def _measure_members(count: int) -> float:
    return _measure_memory_bytes(lambda: _build_membership(count))


def _build_heartbeat(
    membership: fleet_membership.Membership,
) -> fleet_membership.Heartbeat:
    return fleet_membership.Heartbeat(
        keys.Home("entry-7", "abcd1234"),
        5,
        fleet_membership.DaemonState.ALIVE,
        12345,
        67890,
        1.0,
        (),
        membership.take_updates(),
    )


def _build_active_membership(count: int) -> fleet_membership.Membership:
    """Builds a membership that spreads the updates of an ordinary day.

    About one in 100 daemons is leaving at the same time.
    """
    membership = _build_membership(count)
    for n in range(1, 1 + max(1, count // 100)):
        membership.on_heartbeat(
            fleet_membership.Heartbeat(
                keys.Home(f"entry-{n}", "1"),
                1,
                fleet_membership.DaemonState.LEAVING,
                1,
                1,
                0.0,
                (),
                (),
            ),
            1.0,
        )
    return membership


def _measure_heartbeat(count: int) -> float:
    membership = _build_active_membership(count)

    def handle_heartbeat() -> None:
        text = orjson.dumps(
            peer_codec.heartbeat_to_json(_build_heartbeat(membership))
        )
        received = peer_codec.heartbeat_from_json(orjson.loads(text))
        membership.on_heartbeat(received, 1.0)
        membership.heartbeat_targets(random.Random(1))

    return (
        _measure_time_s(lambda: [handle_heartbeat() for _ in range(10)]) / 10.0
    )


def _measure_heartbeat_bytes(count: int) -> float:
    membership = _build_active_membership(count)
    heartbeat = peer_codec.heartbeat_to_json(_build_heartbeat(membership))
    http_bytes = 260.0
    return http_bytes + len(orjson.dumps(heartbeat))


def _measure_addresses(count: int) -> float:
    locations = [
        addresses.DaemonLocation(vm.id, vm.data_centre)
        for vm in _build_entry_vms(count)
    ]
    chosen = addresses.subset("s1", locations)
    return _measure_time_s(
        lambda: addresses.order_for_workspace(chosen, "workspace-1", "a")
    )


def _measure_subset(count: int) -> float:
    locations = [
        addresses.DaemonLocation(vm.id, vm.data_centre)
        for vm in _build_entry_vms(count)
    ]
    return _measure_time_s(lambda: addresses.subset("s1", locations))


def _measure_members_change(count: int) -> float:
    services = _build_service_table(PLANNED_SIZES["instances"])
    locations = [
        addresses.DaemonLocation(vm.id, vm.data_centre)
        for vm in _build_entry_vms(count)
    ]
    return _measure_time_s(lambda: services.set_daemons(locations))


def _build_metrics(workspaces: int) -> metrics_adapter.Metrics:
    metrics = metrics_adapter.Metrics()
    for n in range(workspaces):
        for code in (errors.ResultCode.ANSWERED, errors.ResultCode.OVERLOADED):
            metrics.record_request(
                f"s{n % 20}", "normal", f"w{n}", code, 0.01, 0.001
            )
    return metrics


def _measure_observe(count: int) -> float:
    metrics = _build_metrics(count)
    code = errors.ResultCode.ANSWERED

    def observe() -> None:
        for _ in range(100):
            metrics.record_request("s1", "normal", "w0", code, 0.01, 0.001)

    return _measure_time_s(observe) / 100.0


def _measure_render(count: int) -> float:
    metrics = _build_metrics(count)
    return _measure_time_s(lambda: asyncio.run(metrics.render()))


_MEASURES: tuple[tuple[str, str, str, Measure], ...] = (
    ("route lookup", "s", "routes", _measure_route_lookup),
    ("apply", "s", "workspaces", _measure_apply),
    ("parse", "s", "workspaces", _measure_parse),
    ("document", "bytes", "workspaces", _measure_document),
    ("instances", "bytes", "instances", _measure_instances),
    ("vm change", "s", "instances", _measure_vm_change),
    ("members", "bytes", "daemons", _measure_members),
    ("records", "bytes", "records", _measure_records),
    ("heartbeat", "s", "daemons", _measure_heartbeat),
    ("heartbeat bytes", "bytes", "daemons", _measure_heartbeat_bytes),
    ("address answer", "s", "daemons", _measure_addresses),
    ("subset of a service", "s", "daemons", _measure_subset),
    ("members change", "s", "daemons", _measure_members_change),
    ("observe", "s", "series", _measure_observe),
    ("render", "s", "series", _measure_render),
)
