"""Fixtures shared by the features, and the list of scenario results."""

from __future__ import annotations

import json
import pathlib
import random
import shutil

import behave

from standins import fleet as fleet_harness
from standins import gateway_fleet

OUT = fleet_harness.ROOT / "out"

SECTIONS = {
    "bookings": """
[[service]]
name = "bookings"
floor = 4
weigh = "false-ejections"
refusal_header = "x-not-run"

[[route]]
service = "bookings"
prefix = "/bookings"
methods = ["GET", "POST"]
class = "critical"

[[route]]
service = "bookings"
prefix = "/bookings/availability"
methods = ["GET"]
class = "sheddable"
timeout_ms = 1500
""",
    "catalogue": """
[[service]]
name = "catalogue"
floor = 5
weigh = "detection"
refusal_header = "x-not-run"

[[route]]
service = "catalogue"
prefix = "/catalogue"
""",
}


@behave.fixture
def fleet(context, **options):
    """Starts 3 daemons and the servers of two services, with a document."""
    OUT.mkdir(exist_ok=True)
    context.fleet = fleet_harness.Fleet(OUT / "features.log")
    try:
        context.fleet.options = options
        context.fleet.start_platform()
        context.fleet.start_backends("bookings", 6)
        context.fleet.start_backends("catalogue", 8)
        context.fleet.add_nodes(3)
        context.fleet.wait_for_version(0)
        for name, text in SECTIONS.items():
            saved = context.fleet.save_section(
                name, fleet_harness.owners_line() + text
            )
            assert saved.status == 200, saved.body
        context.fleet.wait_for_version(saved.json()["version"])
        context.fleet.wait_for_discovery({"bookings": 6, "catalogue": 8})
        yield context.fleet
    finally:
        context.fleet.stop()


ROUTES = (
    gateway_fleet.route("/presses/", "presses"),
    gateway_fleet.route(
        "/deposits/", "deposits", route_type="non_idempotent", priority=0
    ),
    gateway_fleet.route(
        "/mixed/",
        traffic_split=[
            {"service": "presses", "weight": 75},
            {"service": "deposits", "weight": 25},
        ],
    ),
)


@behave.fixture
def gateway(context, daemons=2):
    """Starts gateway daemons on a platform with two services."""
    OUT.mkdir(exist_ok=True)
    folder = OUT / "settings"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    context.fleet = gateway_fleet.GatewayFleet(OUT / "features.log", folder)
    try:
        context.fleet.start_store()
        context.fleet.configure(*ROUTES)
        context.fleet.start_instances("presses", 3)
        context.fleet.start_instances("deposits", 2)
        context.fleet.add_gateways(daemons)
        context.fleet.wait_until_ready()
        context.fleet.wait_for_instances("presses", 3)
        context.fleet.wait_for_instances("deposits", 2)
        yield context.fleet
    finally:
        context.fleet.stop()


def log_size():
    """Returns the size of the common log of all processes in bytes."""
    return (OUT / "features.log").stat().st_size


def before_all(context):
    context.verdict = {"passed": [], "failed": []}


def before_tag(context, tag):
    if tag == "fixture.fleet":
        behave.use_fixture(fleet, context)
    elif tag == "fixture.gateway":
        behave.use_fixture(gateway, context)
    elif tag == "fixture.lone_gateway":
        behave.use_fixture(gateway, context, daemons=1)
    elif tag == "fixture.gateway_pair":
        behave.use_fixture(gateway, context, daemons=6)
    elif tag == "fixture.gateway_followers":
        # Two daemons of each data centre watch the store, one follows them.
        behave.use_fixture(gateway, context, daemons=9)
    elif tag == "fixture.one_watcher":
        behave.use_fixture(fleet, context, **{"store-watchers": 1})


def before_scenario(context, scenario):
    context.random = random.Random(scenario.name)
    started = getattr(context, "fleet", None)
    if isinstance(started, gateway_fleet.GatewayFleet):
        context.log_start = log_size()
        started.reset(*ROUTES)


def after_scenario(context, scenario):
    failed = scenario.status.has_failed()
    status = "failed" if failed else "passed"
    if not scenario.status.is_passed() and not failed:
        return
    context.verdict[status].append(scenario.name.strip())


def after_all(context):
    OUT.mkdir(exist_ok=True)
    path = pathlib.Path(OUT / "verdict.json")
    path.write_text(json.dumps(context.verdict))
