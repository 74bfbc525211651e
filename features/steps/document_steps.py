"""Steps on edits of the document."""

from __future__ import annotations

import concurrent.futures
import json
import time

import behave

from dotterelpath.domain import document
from dotterelpath.domain import service_table
from features.support import calls
from standins import fleet as fleet_harness

SECTION = """
[[service]]
name = "{service}"
floor = 1

[[route]]
service = "{service}"
prefix = "{prefix}"
"""
CONFLICTS = (4004,)


def section(prefix, service="extra"):
    text = SECTION.format(prefix=prefix, service=service)
    return fleet_harness.owners_line() + text


def save(context, name, text, node="entry-1", **headers):
    fields = {n.replace("_", "-"): v for n, v in headers.items()}
    context.response = context.fleet.save_section(name, text, node, **fields)
    return context.response


def has_route(context, node, path):
    """Whether a daemon has a route of a service without instances."""
    return calls.send(context, node, "GET", path).result == 2008


def document_versions(context):
    return {
        name: fleet_harness.status(node.control_port)["document_version"]
        for name, node in context.fleet.nodes.items()
    }


@behave.given("a service table with document version {version:d} in force")
def step_in_force(context, version):
    context.service_table = service_table.ServiceTable()
    newer = document.Document(version, ())
    assert context.service_table.set_document(newer, 0.0)


@behave.when("a document of version {version:d} arrives late")
def step_late_document(context, version):
    older = document.Document(version, ())
    assert not context.service_table.set_document(older, 0.0)


@behave.then("document version {version:d} is in force")
def step_is_in_force(context, version):
    assert context.service_table.document.version == version


@behave.given("the owner has saved section extra with prefix {prefix}")
@behave.when("the owner saves section extra with prefix {prefix}")
def step_save(context, prefix):
    context.prefix_path = prefix
    save(context, "extra", section(prefix))


@behave.then("all daemons route {path} within {seconds:d} s")
def step_all_route(context, path, seconds):
    assert context.response.status == 200, context.response.body
    for node in context.fleet.nodes:
        fleet_harness.wait_until(
            lambda n=node: has_route(context, n, path), node, float(seconds)
        )


@behave.when("an edit of section extra has {fault}")
def step_bad_edit(context, fault):
    context.versions_before = document_versions(context)
    text = section("/extra")
    headers = {}
    name = "extra"
    if fault == "invalid TOML":
        text = "this = is = not"
    elif fault == "a floor of zero":
        text = text.replace("floor = 1", "floor = 0")
    elif fault == "a misspelt field":
        text = text.replace("floor", "flour")
    elif fault == "another section's route":
        text = section("/catalogue")
    elif fault == "another section's name":
        text = section("/extra", "bookings")
    elif fault == "a reserved prefix":
        text = section("/-/mine")
    elif fault == "a wrong token":
        name = "bookings"
        headers = {"authorization": "Bearer wrong"}
    elif fault == "no token":
        headers = {"authorization": ""}
    elif fault == "a stale If-Match":
        headers = {"if-match": '"' + "0" * 64 + '"'}
    if fault == "no If-Match":
        control = context.fleet.nodes["entry-1"].control_port
        context.response = fleet_harness.call(
            control,
            "PUT",
            "/document/sections/extra",
            text.encode(),
            {"authorization": f"Bearer {fleet_harness.TOKEN}"},
        )
        return
    context.response = context.fleet.save_section(name, text, **headers)


@behave.then("the document version is unchanged at all daemons")
def step_version_unchanged(context):
    assert document_versions(context) == context.versions_before
    assert len(set(context.versions_before.values())) == 1, (
        context.versions_before
    )


@behave.then("only one daemon watches the store")
def step_one_watcher(context):
    def watch_calls():
        counts = fleet_harness.call(context.fleet.store, "GET", "/counts")
        return counts.json().get("watch", 0)

    before = watch_calls()
    time.sleep(4.0)
    # A watch call lasts 2 s: three daemons would make 6 calls in 4 s.
    assert watch_calls() - before <= 4, watch_calls() - before


@behave.when("{count:d} operators save different sections at once")
def step_edit_different_sections(context, count):
    nodes = list(context.fleet.nodes)

    def save_own(number):
        name = f"team{number}"
        text = section(f"/{name}", name)
        return context.fleet.save_section(
            name, text, nodes[number % len(nodes)]
        )

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.saved = list(pool.map(save_own, range(count)))


@behave.then("all {count:d} edits were accepted")
def step_all_accepted(context, count):
    rejected = [r.body for r in context.saved if r.status != 200]
    assert len(context.saved) == count and not rejected, rejected


@behave.then("all {count:d} sections are in force at all daemons")
def step_all_in_force(context, count):
    for number in range(count):
        for node in context.fleet.nodes:
            fleet_harness.wait_until(
                lambda n=node, p=f"/team{number}": has_route(context, n, p),
                node,
            )


@behave.when(
    "{count:d} operators save section extra from the same base at once"
)
def step_edit_same_section(context, count):
    nodes = list(context.fleet.nodes)

    def save_from_base(number):
        text = section(f"/extra-{number}")
        node = nodes[number % len(nodes)]
        fields = {"if-match": '""'}
        return context.fleet.save_section("extra", text, node, **fields)

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.saved = list(pool.map(save_from_base, range(count)))


@behave.then(
    "{accepted:d} edit was accepted and {conflicts:d} were rejected as"
    " conflicts"
)
def step_accepted_and_conflicts(context, accepted, conflicts):
    results = sorted(r.result for r in context.saved)
    assert results == [1000] * accepted + [4004] * conflicts, results


@behave.given("the store loses the responses to the next {count:d} writes")
def step_lose_responses(context, count):
    context.fleet.set_store_faults(lose=count)


@behave.then("the section was saved once")
def step_saved_once(context):
    control = context.fleet.nodes["entry-1"].control_port
    document_status = fleet_harness.call(control, "GET", "/document").json()
    assert document_status["version"] == 3, document_status


@behave.then(
    "the edit was rejected with an unavailable store or an unknown outcome"
)
def step_unavailable_or_unknown(context):
    assert context.response.result in (4007, 4008), context.response.body


@behave.then("no daemon routes {path}")
def step_no_route(context, path):
    for node in context.fleet.nodes:
        result = calls.send(context, node, "GET", path).result
        assert result == 2004, f"expected no route at {node}, got {result}"


@behave.then("requests are served for {seconds:d} s")
def step_requests_served(context, seconds):
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        for node in context.fleet.nodes:
            result = calls.send(context, node, "GET", "/catalogue/x").result
            assert result == 1000, (node, result)
        time.sleep(0.2)


def restart(context, node, **options):
    restarted = context.fleet.nodes[node]
    restarted.process.kill()
    restarted.process.wait()
    context.fleet.start_node(restarted, **options)
    fleet_harness.wait_for_port(restarted.control_port)
    context.fleet.wait_for_discovery({"bookings": 6, "catalogue": 8})


@behave.given("{node} cannot reach the store")
def step_cut_off(context, node):
    closed = fleet_harness.free_ports(1)[0]
    restart(context, node, store=f"{fleet_harness.HOST}:{closed}")


@behave.given("{node} reaches the store over a connection that goes silent")
def step_silent_connection(context, node):
    port, control = fleet_harness.free_ports(2)
    context.fleet.spawn(
        "-m",
        "standins.relay",
        "--port",
        port,
        "--to-port",
        context.fleet.store,
        "--control-port",
        control,
    )
    fleet_harness.wait_for_port(control)
    restart(context, node, store=f"{fleet_harness.HOST}:{port}")
    fleet_harness.post(control, "/mode", {"drop_back": True})


@behave.when("a fourth daemon starts")
def step_fourth(context):
    context.fourth = context.fleet.add_nodes(1)[0]


@behave.then("the fourth daemon serves requests")
def step_fourth_serves(context):
    def is_serving():
        node = context.fourth.id
        return calls.send(context, node, "GET", "/catalogue/x").result == 1000

    fleet_harness.wait_until(is_serving, "the fourth daemon serves")


@behave.given("{one} and {two} are frozen")
def step_freeze_two(context, one, two):
    context.execute_steps(f"given {one} is frozen\ngiven {two} is frozen")


def wait_for_result(context, node, code, seconds):
    fleet_harness.wait_until(
        lambda: calls.send(context, node, "GET", "/catalogue/x").result == code,
        f"{node} returns {code}",
        float(seconds),
    )


@behave.then("{node} rejects new requests with {code:d} within {seconds:d} s")
def step_rejects(context, node, code, seconds):
    wait_for_result(context, node, code, seconds)


@behave.when("the store is up again")
def step_store_up(context):
    context.fleet.set_store_faults()


@behave.then("{node} serves again within {seconds:d} s")
def step_serves_again(context, node, seconds):
    wait_for_result(context, node, 1000, seconds)


@behave.when("the store responds to watches with the state before that edit")
def step_stale_watch(context):
    old = {"version": 1, "sections": {}, "recent_edits": []}
    entry = {"key": "fleet/head", "value": json.dumps(old), "revision": 1}
    context.fleet.set_store_faults(
        stale={"entries": [entry], "revision": 10**6}
    )


@behave.then("{node} still routes {path} after {seconds:d} s")
def step_still_routes(context, node, path, seconds):
    time.sleep(seconds)
    assert has_route(context, node, path), f"{node} has no route {path}"
