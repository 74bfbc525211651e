"""Steps with gateway daemons on the users' platform."""

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

SLOW_WORK_S = 0.4
_ids = itertools.count(1)


def send_request(
    context, node, method, path, host=gateway_fleet.HOST, deadline_ms=4000
):
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


def last_request_runs(context):
    """Counts how often the instances ran the scenario's last request."""
    return context.fleet.count_runs().get(context.request_id, 0)


def encode_request(path="/presses/1", extra=""):
    """Encodes a GET request with a unique id."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {gateway_fleet.HOST}\r\n"
        f"Request-Id: r{next(_ids):015d}\r\nDeadline-Ms: 4000\r\n{extra}\r\n"
    ).encode()


def connect(context, node="g1"):
    """Opens a connection to a daemon's port for callers."""
    port = context.fleet.gateways[node].caller_port
    return socket.create_connection(("127.0.0.1", port), timeout=10)


def read_until(raw, mark, count):
    """Reads until a mark has arrived a number of times, or to the end."""
    received = b""
    while received.count(mark) < count:
        data = raw.recv(65536)
        if not data:
            break
        received += data
    return received


@behave.when("a platform caller sends {method} {path} to {node:w}")
def step_send_request(context, method, path, node):
    send_request(context, node, method, path)


@behave.then("the platform response is {status:d}")
def step_status(context, status):
    response = context.response
    assert response.status == status, (response.status, response.body)


@behave.then("the platform response is 200 and signed")
def step_signed(context):
    step_status(context, 200)
    assert context.response.headers["response-signature"].startswith("signed-")
    assert context.response.headers["request-id"] == context.request_id


@behave.then(
    "the instance received the request id, a reduced deadline and its own id"
)
def step_instance_received(context):
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
def step_routed_to(context, path, service):
    for _ in range(4):
        response = send_request(context, "g1", "GET", path)
        assert response.status == 200, response.body
        instance = response.json()["instance"]
        assert instance.startswith(f"i-{service}-"), instance


@behave.then("GET {path} of another host gets the status 404")
def step_unknown_host(context, path):
    response = send_request(context, "g1", "GET", path, host="other.example")
    assert response.status == 404, response.status


@behave.when(
    "a raw request with both content-length and transfer-encoding is sent"
)
def step_ambiguous_length(context):
    with connect(context) as raw:
        raw.sendall(
            encode_request(
                extra="Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
            )
            + b"0\r\n\r\n"
        )
        context.received = read_until(raw, b"}", 1)


@behave.when("half a request head is sent and nothing more")
def step_incomplete_head(context):
    with connect(context) as raw:
        raw.sendall(encode_request()[:-10])
        context.received = read_until(raw, b"}", 1)


@behave.then("the raw platform response has status {status:d}")
def step_raw_status(context, status):
    received = context.received
    assert received.startswith(b"HTTP/1.1 %d " % status), received


@behave.when("a caller sends one request and then stays idle")
def step_idle(context):
    with connect(context) as raw:
        raw.sendall(encode_request())
        read_until(raw, b"}", 1)
        raw.settimeout(8)
        context.received = raw.recv(65536)


@behave.then("its connection is closed without further bytes")
def step_closed(context):
    assert context.received == b"", context.received


@behave.when("a caller sends two requests with half the idle time-out between")
def step_reuse_connection(context):
    with connect(context) as raw:
        raw.sendall(encode_request())
        context.received = read_until(raw, b"}", 1)
        time.sleep(1.5)
        raw.sendall(encode_request())
        context.received += read_until(raw, b"}", 1)


@behave.then("both of its requests get the status 200")
def step_both_ok(context):
    assert context.received.count(b"HTTP/1.1 200 ") == 2, context.received


@behave.when("a caller pipelines 4 requests to slow instances")
def step_pipeline(context):
    for number in range(1, 4):
        context.fleet.set_mode(f"i-presses-{number}", work_s=SLOW_WORK_S)
    with connect(context) as raw:
        began_s = time.monotonic()
        raw.sendall(b"".join(encode_request(f"/presses/{n}") for n in range(4)))
        context.received = read_until(raw, b'"target"', 4)
        context.took_s = time.monotonic() - began_s


@behave.then(
    "the responses arrive in order in less than the time of two requests"
)
def step_responses_in_order(context):
    positions = [context.received.find(b"/presses/%d" % n) for n in range(4)]
    assert positions == sorted(positions) and positions[0] > 0, context.received
    assert context.took_s < 2 * SLOW_WORK_S, context.took_s


@behave.given("the instances of presses take 5 seconds")
def step_slow_instances(context):
    for number in range(1, 4):
        context.fleet.set_mode(f"i-presses-{number}", work_s=5.0)


@behave.when("a caller sends 3 pipelined GETs and closes its connection")
def step_disconnect(context):
    requests = [encode_request() for _ in range(3)]
    context.sent = {re.search(rb"r\d{15}", r)[0].decode() for r in requests}
    with connect(context) as raw:
        raw.sendall(b"".join(requests))
        fleet_harness.wait_until(
            lambda: context.sent <= context.fleet.count_runs().keys(),
            "three requests run at the instances",
        )
    context.disconnected_s = time.monotonic()


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

    fleet_harness.wait_until(
        lambda: context.sent <= cancelled(), "three requests are cancelled"
    )
    assert time.monotonic() - context.disconnected_s < 0.5


@behave.given("all instances of {service} have the fault {fault}")
def step_all_faulty(context, service, fault):
    for instance in context.fleet.instances:
        if instance.startswith(f"i-{service}-"):
            context.fleet.set_mode(instance, **{fault: True})


@behave.then(
    "a response of deposits that is cut off after any part of its head is "
    "{status:d}"
)
def step_head_cut(context, status):
    # The head has somewhat more than 100 bytes.
    for length in (*range(1, 96, 8), *range(-9, 0)):
        for instance in context.fleet.instances:
            if instance.startswith("i-deposits-"):
                context.fleet.set_mode(instance, cut_head=length)
        send_request(context, "g1", "POST", "/deposits/1")
        response = context.response
        assert response.status == status, (length, response.status)


@behave.given("one instance of presses fails")
def step_one_failing(context):
    context.fleet.set_mode("i-presses-1", fail=True)


@behave.when("{count:d} GETs of {path} are sent to {node:w}")
def step_send_many(context, count, path, node):
    context.responses = [
        send_request(context, node, "GET", path) for _ in range(count)
    ]


@behave.then("all of them get the status 200")
def step_all_ok(context):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses


@behave.then("the request ran exactly once")
def step_ran_once(context):
    assert last_request_runs(context) == 1, context.fleet.count_runs()


@behave.then("the platform response is {status:d} within {max_s:f} seconds")
def step_status_within(context, status, max_s):
    step_status(context, status)
    assert context.took_s < max_s, context.took_s


@behave.then("the platform response is 503 with a retry-after header")
def step_retry_after(context):
    step_status(context, 503)
    assert 0.0 < float(context.response.headers["retry-after"]) < 4.0


@behave.then("{count:d} of them went to {service}")
def step_split(context, count, service):
    found = [r.json()["instance"] for r in context.responses]
    sent_count = sum(i.startswith(f"i-{service}-") for i in found)
    assert abs(sent_count - count) <= 1, sent_count


@behave.when("the operator moves /presses/ to deposits")
def step_move_route(context):
    moved = gateway_fleet.route("/presses/", "deposits")
    context.fleet.configure(moved, *environment.ROUTES[1:])
    context.fleet.wait_for_configuration(context.fleet.version)


@behave.when("the operator writes the previous configuration again")
def step_write_previous(context):
    newest = context.fleet.version
    context.fleet.configure(*environment.ROUTES, version=newest - 1)
    context.fleet.version = newest
    time.sleep(1.0)


@behave.when("the operator writes a truncated configuration")
def step_write_truncated(context):
    context.fleet.put_configuration('{"version": "r99", "services": [')
    time.sleep(1.0)


@behave.when("{instance:S} is listed as draining")
def step_draining(context, instance):
    context.fleet.register_instance(
        instance, "presses", state="draining", sequence=2
    )


@behave.when("{instance:S} is removed from the list")
def step_removed(context, instance):
    context.fleet.remove_instance(instance)


@behave.when("{instance:S} has an invalid list entry")
def step_invalid_entry(context, instance):
    context.fleet.register_instance(
        instance, "presses", capacity=None, sequence=2
    )


@behave.when("{instance:S} is listed as draining and an older entry follows")
def step_late_write(context, instance):
    step_draining(context, instance)
    fleet_harness.wait_until(
        lambda: (
            instance
            not in context.fleet.instance_states(
                context.fleet.gateways["g1"], "presses"
            )
        ),
        "the daemon knows that the instance is draining",
    )
    context.fleet.register_instance(instance, "presses", sequence=1)
    time.sleep(1.0)


@behave.then("{node} sends it no more requests")
def step_no_requests(context, node):
    gateway = context.fleet.gateways[node]
    fleet_harness.wait_until(
        lambda: (
            "i-presses-1"
            not in context.fleet.instance_states(gateway, "presses")
        ),
        "the daemon has removed the instance",
        context.fleet.bounds["drain_s"],
    )
    before = len(context.fleet.instance_record("i-presses-1")["runs"])
    step_send_many(context, 12, "/presses/1", node)
    step_all_ok(context)
    assert len(context.fleet.instance_record("i-presses-1")["runs"]) == before


@behave.given("the platform's store is down")
def step_store_down(context):
    context.fleet.set_store_faults(down=True)


@behave.when(
    "/presses/ is moved while the store is down and compacts its history"
)
def step_compact(context):
    context.fleet.set_store_faults(down=True)
    time.sleep(0.3)
    moved = gateway_fleet.route("/presses/", "deposits")
    context.fleet.configure(moved, *environment.ROUTES[1:])
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


@behave.then("GET {path} at {node} gets the status 503 and never 404")
def step_unavailable(context, path, node):
    for _ in range(5):
        response = send_request(context, node, "GET", path)
        assert response.status == 503, response.status
        assert "retry-after" in response.headers


@behave.when("the settings file of g1 changes")
def step_change_settings(context):
    context.fleet.bounds["retry_slack"] = 10
    context.fleet.write_settings(context.fleet.gateways["g1"])


@behave.then("g1 logs that the settings are in force")
def step_settings_logged(context):
    fleet_harness.wait_until(
        lambda: '"settings in force"' in log_since(context.log_start),
        "the log shows the settings in force",
    )


@behave.then("the log has the route, the instance and the outcome for its id")
def step_request_logged(context):
    def lines():
        return [
            json.loads(line)
            for line in log_since(context.log_start).splitlines()
            if context.request_id in line
        ]

    fleet_harness.wait_until(lambda: len(lines()) >= 2, "the request is logged")
    ended = [line for line in lines() if line["event"] == "request ended"]
    assert ended[0]["route"] == "r-/deposits/"
    assert ended[0]["code"] == 3001
    assert ended[0]["instances"][0].startswith("i-deposits-")


def log_since(start):
    """Reads what all processes have logged from an offset on."""
    content = (environment.OUT / "features.log").read_bytes()
    return content[start:].decode(errors="replace")


def resolve(context, node, data_centre):
    """Queries a daemon for the addresses for callers in a data centre."""
    port = context.fleet.gateways[node].directory_port
    query = f"name={gateway_fleet.HOST}&region=r&zone={data_centre}"
    response = fleet_harness.call(port, "GET", f"/v1/resolve?{query}")
    assert response.status == 200, response.body
    return response.json()["addresses"]


def serving_daemon(context, data_centre):
    """Finds the first daemon that callers of a data centre are sent to."""
    address = resolve(context, "g1", data_centre)[0]
    return next(
        node
        for node in context.fleet.gateways.values()
        if address.endswith(f":{node.caller_port}")
    )


def wait_for_daemons(context):
    """Waits until each daemon lists all daemons."""
    count = len(context.fleet.gateways)
    for node in context.fleet.gateways.values():
        fleet_harness.wait_until(
            lambda n=node: (
                len(fleet_harness.status(n.metrics_port)["daemons"]) == count
            ),
            f"{node.id} lists all daemons",
        )


@behave.when("a caller in each data centre resolves the address at each daemon")
def step_resolve_all(context):
    wait_for_daemons(context)
    context.found = {
        data_centre: {
            tuple(resolve(context, node, data_centre))
            for node in context.fleet.gateways
        }
        for data_centre in "abc"
    }


@behave.then("all return the same daemon, which is in the caller's data centre")
def step_same_daemon(context):
    for data_centre, responses in context.found.items():
        assert len(responses) == 1, responses
        (addresses,) = responses
        assert len(addresses) == 1, addresses
        assert serving_daemon(context, data_centre).data_centre == data_centre


@behave.when("the serving daemon of data centre a is killed")
def step_kill_serving(context):
    wait_for_daemons(context)
    context.killed_node = serving_daemon(context, "a")
    # Queries go to a daemon that keeps running.
    context.queried_id = next(
        name
        for name, node in context.fleet.gateways.items()
        if node is not context.killed_node
    )
    resolve(context, context.queried_id, "a")
    context.killed_node.process.kill()


@behave.then(
    "callers are sent to another daemon of data centre a within two seconds"
)
def step_other_serving(context):
    old_suffix = f":{context.killed_node.caller_port}"
    fleet_harness.wait_until(
        lambda: (
            not resolve(context, context.queried_id, "a")[0].endswith(
                old_suffix
            )
        ),
        "callers are sent to another daemon",
        2.0,
    )


class Caller(threading.Thread):
    """Resolves an address once a second and sends requests without pause."""

    def __init__(self, context):
        super().__init__(daemon=True)
        self.context = context
        self.lost = []
        self.answered_count = 0
        self.is_stopped = False

    def run(self):
        while not self.is_stopped:
            port = int(resolve(self.context, "g2", "a")[0].rpartition(":")[2])
            until_s = time.monotonic() + 1.0
            with socket.create_connection(("127.0.0.1", port), 5) as raw:
                self.send_until(raw, until_s)

    def send_until(self, raw, until_s):
        while time.monotonic() < until_s and not self.is_stopped:
            raw.sendall(encode_request())
            received = read_until(raw, b"}", 1)
            if not received.startswith(b"HTTP/1.1 200 "):
                self.lost.append(received)
                return
            self.answered_count += 1
            if b"connection: close" in received:
                return


@behave.given("callers that query the address and send requests without pause")
def step_callers(context):
    wait_for_daemons(context)
    context.callers = [Caller(context) for _ in range(4)]
    for caller in context.callers:
        caller.start()
    time.sleep(0.5)


@behave.when("the serving daemon of data centre a gets SIGTERM")
def step_stop_serving(context):
    context.stopped = serving_daemon(context, "a")
    if context.stopped.id == "g2":
        # The callers resolve addresses at g2, which must keep running.
        context.stopped = context.fleet.gateways["g1"]
    context.fleet.terminate(context.stopped)


@behave.then("it exits within its grace period with exit code 0")
def step_exits(context):
    grace_s = context.fleet.bounds["grace_s"]
    assert context.stopped.process.wait(grace_s) == 0


@behave.then("no caller lost a request")
def step_none_lost(context):
    for caller in context.callers:
        caller.is_stopped = True
    for caller in context.callers:
        caller.join(10)
        assert not caller.lost, caller.lost
        assert caller.answered_count > 20, caller.answered_count


@behave.when(
    "a platform caller sends POST /deposits/1 to the serving daemon of a"
)
def step_send_to_serving(context):
    wait_for_daemons(context)
    context.instance = send_request(
        context, serving_daemon(context, "a").id, "POST", "/deposits/1"
    ).json()["failed"]


@behave.then("the serving daemon of b suspects the same instance")
def step_suspects(context):
    node = serving_daemon(context, "b")

    def failure_probability():
        states = context.fleet.instance_states(node, "deposits")
        return states[context.instance]["failing"]

    fleet_harness.wait_until(
        lambda: failure_probability() > 0.5,
        "the peer suspects the instance",
        2.0,
    )


@behave.given("the platform's store sends no responses for 9 seconds")
def step_store_silent(context):
    context.fleet.set_store_faults(silent=True)
    time.sleep(9.0)


@behave.when("it responds again and the operator moves /presses/ at once")
def step_store_responds(context):
    context.fleet.set_store_faults()
    moved = gateway_fleet.route("/presses/", "deposits")
    context.fleet.configure(moved, *environment.ROUTES[1:])
    context.changed_s = time.monotonic()


@behave.then("the change is in force within {max_s:d} seconds")
def step_in_force(context, max_s):
    context.fleet.wait_for_configuration(context.fleet.version)
    took_s = time.monotonic() - context.changed_s
    assert took_s < max_s, took_s


@behave.when("the operator runs the tool's gateway command for g1")
def step_run_tool(context):
    metrics = context.fleet.gateways["g1"].metrics_port
    context.output = subprocess.run(
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
    assert f"configuration {context.fleet.version}" in context.output
    assert "service presses" in context.output, context.output
    assert "i-deposits-1" in context.output, context.output


@behave.then("it shows that the newest configuration is refused, with a reason")
def step_tool_shows_refusal(context):
    found = re.search(r"newest configuration refused: (.+)", context.output)
    assert found and "unexpected end" in found[1], context.output
