"""Steps before gateway daemons on the users' platform."""

from __future__ import annotations

import itertools
import json
import re
import socket
import subprocess
import sys
import threading
import time

import behave

from features import environment
from standins import fleet as fleet_harness
from standins import gateway_fleet

SLOW_S = 0.4
_ids = itertools.count(1)


def ask(context, node, method, path, host=gateway_fleet.HOST, deadline_ms=4000):
    """Sends a request as the platform's callers do."""
    context.request_id = f"r{next(_ids):015d}"
    headers = {
        "Host": host,
        "Request-Id": context.request_id,
        "Deadline-Ms": str(deadline_ms),
    }
    began_s = time.monotonic()
    body = b"work" if method == "POST" else b""
    context.response = fleet_harness.call(
        context.fleet.gateways[node].caller_port, method, path, body, headers
    )
    context.took_s = time.monotonic() - began_s
    return context.response


def own_runs(context):
    """Counts the runs of the scenario's last request."""
    return context.fleet.count_runs().get(context.request_id, 0)


def raw_request(path="/presses/1", extra=""):
    """Builds a request's bytes, with an id of its own."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {gateway_fleet.HOST}\r\n"
        f"Request-Id: r{next(_ids):015d}\r\nDeadline-Ms: 4000\r\n{extra}\r\n"
    ).encode()


def connect(context, node="g1"):
    """Opens a connection to a daemon."""
    port = context.fleet.gateways[node].caller_port
    return socket.create_connection(("127.0.0.1", port), timeout=10)


def read_until(raw, marks):
    """Reads until a mark was seen a number of times, or the end."""
    received = b""
    while received.count(marks[0]) < marks[1]:
        data = raw.recv(65536)
        if not data:
            break
        received += data
    return received


@behave.when("a platform caller sends {method} {path} to {node:w}")
def step_ask(context, method, path, node):
    ask(context, node, method, path)


@behave.then("the platform answer is {status:d}")
def step_status(context, status):
    response = context.response
    assert response.status == status, (response.status, response.body)


@behave.then("the platform answer is 200 and signed")
def step_signed(context):
    step_status(context, 200)
    assert context.response.headers["response-signature"].startswith("signed-")
    assert context.response.headers["request-id"] == context.request_id


@behave.then(
    "the instance got the id, less time than the caller gave, and its own id"
)
def step_instance_got(context):
    signed = context.response.headers["response-signature"]
    instance = signed.removeprefix("signed-")
    last = context.fleet.instance_record(instance)["last"]
    assert last["headers"]["request-id"] == context.request_id
    assert last["headers"]["target-instance"] == instance
    assert 2000 < int(last["headers"]["deadline-ms"]) <= 3000, last
    assert last["target"] == "/presses/7?x=1"
    assert last["headers"]["host"] == gateway_fleet.HOST


@behave.when("the operator adds the prefix /presses/old/ for deposits")
def step_add_prefix(context):
    added = gateway_fleet.route("/presses/old/", "deposits")
    context.fleet.configure(*environment.ROUTES, added)
    context.fleet.wait_for_configuration(context.fleet.version)


@behave.then("GET {path} goes to an instance of {service}")
def step_goes_to(context, path, service):
    for _ in range(4):
        response = ask(context, "g1", "GET", path)
        assert response.status == 200, response.body
        instance = response.json()["instance"]
        assert instance.startswith(f"i-{service}-"), instance


@behave.then("GET {path} of another host is answered with 404")
def step_other_host(context, path):
    response = ask(context, "g1", "GET", path, host="other.example")
    assert response.status == 404, response.status


@behave.when(
    "a raw request with both content-length and transfer-encoding is sent"
)
def step_two_lengths(context):
    with connect(context) as raw:
        raw.sendall(
            raw_request(
                extra="Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
            )
            + b"0\r\n\r\n"
        )
        context.received = read_until(raw, (b"}", 1))


@behave.when("half a head is sent and nothing more")
def step_half_head(context):
    with connect(context) as raw:
        raw.sendall(raw_request()[:-10])
        context.received = read_until(raw, (b"}", 1))


@behave.then("the raw platform answer has status {status:d}")
def step_raw_status(context, status):
    received = context.received
    assert received.startswith(b"HTTP/1.1 %d " % status), received


@behave.when("a caller asks once and then stays idle")
def step_stay_idle(context):
    with connect(context) as raw:
        raw.sendall(raw_request())
        read_until(raw, (b"}", 1))
        raw.settimeout(8)
        context.received = raw.recv(65536)


@behave.then("its connection is closed without further bytes")
def step_closed(context):
    assert context.received == b"", context.received


@behave.when("a caller asks, waits for half the idle limit, and asks again")
def step_ask_again(context):
    with connect(context) as raw:
        raw.sendall(raw_request())
        context.received = read_until(raw, (b"}", 1))
        time.sleep(1.5)
        raw.sendall(raw_request())
        context.received += read_until(raw, (b"}", 1))


@behave.then("both of its requests are answered with 200")
def step_both(context):
    assert context.received.count(b"HTTP/1.1 200 ") == 2, context.received


@behave.when("a caller pipelines 4 requests of which the first is slow")
def step_pipeline(context):
    for number in range(1, 4):
        context.fleet.set_mode(f"i-presses-{number}", work_s=SLOW_S)
    with connect(context) as raw:
        began_s = time.monotonic()
        raw.sendall(b"".join(raw_request(f"/presses/{n}") for n in range(4)))
        context.received = read_until(raw, (b'"target"', 4))
        context.took_s = time.monotonic() - began_s


@behave.then("they are answered in order within the time of two")
def step_in_order(context):
    places = [context.received.find(b"/presses/%d" % n) for n in range(4)]
    assert places == sorted(places) and places[0] > 0, context.received
    assert context.took_s < 2 * SLOW_S, context.took_s


@behave.given("the instances of presses take 5 seconds")
def step_slow(context):
    for number in range(1, 4):
        context.fleet.set_mode(f"i-presses-{number}", work_s=5.0)


@behave.when("a caller sends 3 pipelined GETs and closes its connection")
def step_leave(context):
    requests = [raw_request() for _ in range(3)]
    context.sent = {re.search(rb"r\d{15}", r)[0].decode() for r in requests}
    with connect(context) as raw:
        raw.sendall(b"".join(requests))
        fleet_harness.wait_until(
            lambda: context.sent <= context.fleet.count_runs().keys(),
            "three requests run",
        )
    context.left_s = time.monotonic()


@behave.then("the instances have cancelled all 3 within half a second")
def step_cancelled(context):
    def cancelled():
        return {
            request_id
            for n in range(1, 4)
            for request_id in context.fleet.instance_record(f"i-presses-{n}")[
                "cancelled"
            ]
        }

    fleet_harness.wait_until(lambda: context.sent <= cancelled(), "cancelled")
    assert time.monotonic() - context.left_s < 0.5


@behave.given("all instances of {service} {fault}")
def step_all_fault(context, service, fault):
    mode = fault.removeprefix("are ")
    for instance in context.fleet.instances:
        if instance.startswith(f"i-{service}-"):
            context.fleet.set_mode(instance, **{mode: True})


@behave.given("one instance of presses fails")
def step_one_fails(context):
    context.fleet.set_mode("i-presses-1", fail=True)


@behave.when("{count:d} GETs of {path} are sent to {node:w}")
def step_many(context, count, path, node):
    context.responses = [ask(context, node, "GET", path) for _ in range(count)]


@behave.then("all of them are answered with 200")
def step_all_ok(context):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses


@behave.then("the request ran exactly once")
def step_once(context):
    assert own_runs(context) == 1, context.fleet.count_runs()


@behave.then("the platform answer is {status:d} within {most_s:f} seconds")
def step_status_within(context, status, most_s):
    step_status(context, status)
    assert context.took_s < most_s, context.took_s


@behave.then("the platform answer is 503 and says when to come back")
def step_retry_after(context):
    step_status(context, 503)
    assert 0.0 < float(context.response.headers["retry-after"]) < 4.0


@behave.then("{count:d} of them went to {service}")
def step_share(context, count, service):
    found = [r.json()["instance"] for r in context.responses]
    gone_to = sum(i.startswith(f"i-{service}-") for i in found)
    assert abs(gone_to - count) <= 1, gone_to


@behave.when("the operator moves /presses/ to deposits")
def step_move(context):
    moved = gateway_fleet.route("/presses/", "deposits")
    context.fleet.configure(moved, *environment.ROUTES[1:])
    context.fleet.wait_for_configuration(context.fleet.version)


@behave.when("the operator writes the configuration before that again")
def step_older(context):
    newest = context.fleet.version
    context.fleet.configure(*environment.ROUTES, version=newest - 1)
    context.fleet.version = newest
    time.sleep(1.0)


@behave.when("the operator writes a configuration that is cut short")
def step_cut_short(context):
    context.fleet.put_configuration('{"version": "r99", "services": [')
    time.sleep(1.0)


@behave.when("{instance:S} says that it drains")
def step_drains(context, instance):
    context.fleet.register_instance(
        instance, "presses", state="draining", sequence=2
    )


@behave.when("{instance:S} is taken off the list")
def step_taken_off(context, instance):
    context.fleet.remove_instance(instance)


@behave.when("{instance:S} is listed unreadably")
def step_unreadable(context, instance):
    context.fleet.register_instance(
        instance, "presses", capacity=None, sequence=2
    )


@behave.when("{instance:S} says that it drains and an older entry follows")
def step_late_write(context, instance):
    step_drains(context, instance)
    fleet_harness.wait_until(
        lambda: (
            instance
            not in context.fleet.instance_states(
                context.fleet.gateways["g1"], "presses"
            )
        ),
        "the drain is known",
    )
    context.fleet.register_instance(instance, "presses", sequence=1)
    time.sleep(1.0)


@behave.then("{node} gives it no more work")
def step_no_work(context, node):
    gateway = context.fleet.gateways[node]
    fleet_harness.wait_until(
        lambda: (
            "i-presses-1"
            not in context.fleet.instance_states(gateway, "presses")
        ),
        "the instance is not used",
        context.fleet.bounds["drain_s"],
    )
    before = len(context.fleet.instance_record("i-presses-1")["runs"])
    step_many(context, 12, "/presses/1", node)
    step_all_ok(context)
    assert len(context.fleet.instance_record("i-presses-1")["runs"]) == before


@behave.given("the platform's store is down")
def step_store_down(context):
    context.fleet.set_store_faults(down=True)


@behave.when("the store forgets its history and the operator moves /presses/")
def step_forget(context):
    context.fleet.set_store_faults(down=True)
    time.sleep(0.3)
    step_config = gateway_fleet.route("/presses/", "deposits")
    context.fleet.configure(step_config, *environment.ROUTES[1:])
    fleet_harness.post(context.fleet.store, "/_compact", {})
    context.fleet.set_store_faults()
    context.fleet.wait_for_configuration(context.fleet.version)


@behave.when("g2 is killed and starts again")
def step_restart(context):
    node = context.fleet.gateways["g2"]
    node.process.kill()
    node.process.wait()
    context.fleet.start_gateway(node)
    fleet_harness.wait_for_port(node.caller_port)


@behave.then("GET {path} at {node} is answered with 503 and never with 404")
def step_not_yet(context, path, node):
    for _ in range(5):
        response = ask(context, node, "GET", path)
        assert response.status == 503, response.status
        assert "retry-after" in response.headers


@behave.when("the settings file of g1 changes")
def step_settings(context):
    context.fleet.bounds["retry_slack"] = 10
    context.fleet.write_settings(context.fleet.gateways["g1"])


@behave.then("g1 logs that the settings are in force")
def step_settings_logged(context):
    fleet_harness.wait_until(
        lambda: '"settings in force"' in log_since(context.log_start),
        "reloaded",
    )


@behave.then("the log tells the route, the instance and the outcome of its id")
def step_logged(context):
    def lines():
        return [
            json.loads(line)
            for line in log_since(context.log_start).splitlines()
            if context.request_id in line
        ]

    fleet_harness.wait_until(lambda: len(lines()) >= 2, "logged")
    ended = [line for line in lines() if line["event"] == "request ended"]
    assert ended[0]["route"] == "r-/deposits/"
    assert ended[0]["code"] == 3001
    assert ended[0]["instances"][0].startswith("i-deposits-")


def log_since(start):
    """Reads what all processes logged since the scenario began."""
    content = (environment.OUT / "features.log").read_bytes()
    return content[start:].decode(errors="replace")


def resolve(context, node, data_centre):
    """Asks a daemon where a caller is to connect."""
    port = context.fleet.gateways[node].directory_port
    query = f"name={gateway_fleet.HOST}&region=r&zone={data_centre}"
    response = fleet_harness.call(port, "GET", f"/v1/resolve?{query}")
    assert response.status == 200, response.body
    return response.json()["addresses"]


def named(context, data_centre):
    """Finds the daemon that callers of a data centre are sent to."""
    address = resolve(context, "g1", data_centre)[0]
    return next(
        node
        for node in context.fleet.gateways.values()
        if address.endswith(f":{node.caller_port}")
    )


def wait_for_daemons(context):
    """Waits until all daemons know each other."""
    count = len(context.fleet.gateways)
    for node in context.fleet.gateways.values():
        fleet_harness.wait_until(
            lambda n=node: (
                len(fleet_harness.status(n.metrics_port)["daemons"]) == count
            ),
            f"{node.id} knows all daemons",
        )


@behave.when("a caller in each data centre asks each daemon where to connect")
def step_resolve_all(context):
    wait_for_daemons(context)
    context.found = {
        data_centre: {
            tuple(resolve(context, node, data_centre))
            for node in context.fleet.gateways
        }
        for data_centre in "abc"
    }


@behave.then(
    "all name the same daemon, which stands in the caller's data centre"
)
def step_same(context):
    for data_centre, responses in context.found.items():
        assert len(responses) == 1, responses
        (addresses,) = responses
        assert len(addresses) == 1, addresses
        assert named(context, data_centre).data_centre == data_centre


@behave.when("the daemon that is named in data centre a is killed")
def step_kill_named(context):
    wait_for_daemons(context)
    context.killed = next(node for node in [named(context, "a")])
    # The asked daemon must outlive the kill.
    context.asked = next(
        name
        for name, node in context.fleet.gateways.items()
        if node is not context.killed
    )
    resolve(context, context.asked, "a")
    context.killed.process.kill()


@behave.then("another daemon of data centre a is named within two seconds")
def step_other_named(context):
    old = f":{context.killed.caller_port}"
    fleet_harness.wait_until(
        lambda: not resolve(context, context.asked, "a")[0].endswith(old),
        "another daemon is named",
        2.0,
    )


class Caller(threading.Thread):
    """Asks where to connect once a second and sends without pause."""

    def __init__(self, context):
        super().__init__(daemon=True)
        self.context = context
        self.lost = []
        self.answered = 0
        self.is_stopped = False

    def run(self):
        while not self.is_stopped:
            port = int(resolve(self.context, "g2", "a")[0].rpartition(":")[2])
            until_s = time.monotonic() + 1.0
            with socket.create_connection(("127.0.0.1", port), 5) as raw:
                self.use(raw, until_s)

    def use(self, raw, until_s):
        while time.monotonic() < until_s and not self.is_stopped:
            raw.sendall(raw_request())
            received = read_until(raw, (b"}", 1))
            if not received.startswith(b"HTTP/1.1 200 "):
                self.lost.append(received)
                return
            self.answered += 1
            if b"connection: close" in received:
                return


@behave.given("callers who ask where to connect and send without pause")
def step_callers(context):
    wait_for_daemons(context)
    context.callers = [Caller(context) for _ in range(4)]
    for caller in context.callers:
        caller.start()
    time.sleep(0.5)


@behave.when("the daemon that is named in data centre a is asked to stop")
def step_stop_named(context):
    context.stopped = named(context, "a")
    if context.stopped.id == "g2":
        # The callers ask g2, which must go on.
        context.stopped = context.fleet.gateways["g1"]
    context.fleet.terminate(context.stopped)


@behave.then("it ends within its time with exit code 0")
def step_ends(context):
    grace_s = context.fleet.bounds["grace_s"]
    assert context.stopped.process.wait(grace_s) == 0


@behave.then("no caller lost a request")
def step_none_lost(context):
    for caller in context.callers:
        caller.is_stopped = True
    for caller in context.callers:
        caller.join(10)
        assert not caller.lost, caller.lost
        assert caller.answered > 20, caller.answered


@behave.when(
    "a platform caller sends POST /deposits/1 to the named daemon of a"
)
def step_ask_named(context):
    wait_for_daemons(context)
    context.instance = ask(
        context, named(context, "a").id, "POST", "/deposits/1"
    ).json()["failed"]


@behave.then("the named daemon of b suspects the same instance")
def step_suspects(context):
    node = named(context, "b")

    def chance():
        believed = context.fleet.instance_states(node, "deposits")
        return believed[context.instance]["failing"]

    fleet_harness.wait_until(lambda: chance() > 0.5, "suspected", 2.0)


@behave.given("the platform's store gives no answers for 9 seconds")
def step_store_silent(context):
    context.fleet.set_store_faults(silent=True)
    time.sleep(9.0)


@behave.when("it answers again and the operator moves /presses/ at once")
def step_answers_again(context):
    context.fleet.set_store_faults()
    moved = gateway_fleet.route("/presses/", "deposits")
    context.fleet.configure(moved, *environment.ROUTES[1:])
    context.changed_s = time.monotonic()


@behave.then("the change is in force within {most_s:d} seconds")
def step_in_force(context, most_s):
    context.fleet.wait_for_configuration(context.fleet.version)
    took_s = time.monotonic() - context.changed_s
    assert took_s < most_s, took_s


@behave.when("the operator runs the tool's gateway command for g1")
def step_tool(context):
    metrics = context.fleet.gateways["g1"].metrics_port
    context.shown = subprocess.run(
        [
            sys.executable,
            "-m",
            "dotterelpath.cli.main",
            "gateway",
            f"127.0.0.1:{metrics}",
        ],
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    ).stdout


@behave.then("it shows the version, the services and the instances")
def step_tool_shows(context):
    assert f"configuration {context.fleet.version}" in context.shown
    assert "service presses" in context.shown, context.shown
    assert "i-deposits-1" in context.shown, context.shown
