"""Steps on the revocation of keys, with the daemons' processes."""

from __future__ import annotations

import re
import signal
import socket
import threading
import time

import behave

from features.steps import gateway_steps
from features.steps import tenant_steps
from standins import fleet as fleet_harness

PAUSE_S = 0.02
# How long a caller goes on after the bound, in seconds.
MARGIN_S = 1.5
# How many requests at least show that none runs.
REQUEST_COUNT = 20


class Caller(threading.Thread):
    """Pipelines requests with a key, and connects again when it must."""

    def __init__(self, context, node, key):
        super().__init__(daemon=True)
        self._context = context
        self._node = node
        self._key = key
        self._end = threading.Event()
        self.sent_s = {}

    def run(self):
        while not self._end.is_set():
            try:
                with gateway_steps.connect(self._context, self._node) as raw:
                    self._send_all(raw)
            except OSError:
                time.sleep(PAUSE_S)

    def _send_all(self, raw):
        raw.setblocking(False)
        while not self._end.is_set():
            request = encode(self._key)
            raw.sendall(request)
            self.sent_s[request_id(request)] = time.monotonic()
            time.sleep(PAUSE_S)
            try:
                if not raw.recv(1 << 20):
                    return
            except BlockingIOError:
                continue

    def end(self):
        self._end.set()
        self.join(10)


def encode(key):
    line = f"Authorization: Token {key}\r\n"
    return gateway_steps.encode_request("/presses/1", line)


def request_id(request):
    return request.partition(b"Request-Id: ")[2].partition(b"\r")[0].decode()


def send(context, node, key):
    """Sends one request with a key; returns the status."""
    with gateway_steps.connect(context, node) as raw:
        raw.sendall(encode(key))
        received = gateway_steps.read_until(raw, b"}", 1)
    return int(received.split()[1])


def put_tenants(context, *keys):
    """Writes the keys of ada, without waiting."""
    tenants = [{"name": "ada", "api_keys": list(keys)}]
    context.fleet.configure(*tenant_steps.ROUTES, tenants=tenants)


@behave.given(
    "the tenant ada with the keys old and kept, and daemons that know them"
)
def step_ada(context):
    put_tenants(context, "old-key", "kept-key")
    context.fleet.wait_for_configuration(context.fleet.version)
    context.callers = []
    context.sent_s = {}


@behave.given(
    "a caller that pipelines requests with the key old on one connection to"
    " {node}"
)
def step_caller(context, node):
    start_caller(context, node)
    time.sleep(0.5)


def start_caller(context, node):
    caller = Caller(context, node, "old-key")
    caller.start()
    context.add_cleanup(caller.end)
    context.callers.append(caller)


@behave.when("the key old is replaced by the key new")
def step_revoke(context):
    put_tenants(context, "new-key", "kept-key")
    context.revoked_s = time.monotonic()


@behave.when("g1 is killed and started again, while a caller uses the key old")
def step_restart(context):
    node = context.fleet.gateways["g1"]
    node.process.kill()
    node.process.wait()
    start_caller(context, "g1")
    context.fleet.start_gateway(node)
    context.fleet.wait_until_ready()


@behave.when(
    "the store is {fault} to {ids}, and the key old is replaced by the key new"
)
def step_turn_away(context, fault, ids):
    ports = [context.fleet.gateways[id].store_port for id in ids.split(",")]
    context.fleet.set_store_faults(**{f"{fault}_ports": ports})
    step_revoke(context)


@behave.then(
    "no request with the key old ran that was sent later than {bound_s:d}"
    " second after"
)
@behave.then(
    "no request with the key old ran that was sent later than {bound_s:d}"
    " seconds after"
)
def step_none_ran(context, bound_s):
    end_s = context.revoked_s + bound_s + MARGIN_S
    time.sleep(max(0.0, end_s - time.monotonic()))
    sent_s = context.sent_s
    for caller in context.callers:
        caller.end()
        sent_s |= caller.sent_s
    # A daemon that was frozen has many requests to handle.
    time.sleep(1.0)
    ran = context.fleet.count_runs()
    late = {
        id: round(at_s - context.revoked_s, 2)
        for id, at_s in sent_s.items()
        if at_s > context.revoked_s + bound_s
    }
    assert len(late) >= REQUEST_COUNT, len(late)
    wrong = sorted(late[id] for id in late if id in ran)
    assert not wrong, (len(wrong), wrong[-5:])


@behave.then("a request with the key new is served by {node}")
def step_new_served(context, node):
    fleet_harness.wait_until(
        lambda: send(context, node, "new-key") == 200, "the new key is known"
    )


@behave.then("g1 read the change from the copy of another daemon")
def step_copied(context):
    log = gateway_steps.log_since(context.log_start)
    holders = re.findall(r'"copied_from":"(g\d)"', log)
    assert set(holders) - {"g1", "g4"}, holders


@behave.then("all daemons are ready")
def step_all_ready(context):
    ready = {
        node.id
        for node in context.fleet.gateways.values()
        if context.fleet.is_ready(node)
    }
    assert ready == set(context.fleet.gateways), ready


@behave.then("g1 is ready again once the store answers it")
def step_ready_again(context):
    context.fleet.set_store_faults()
    context.fleet.wait_until_ready()


@behave.when(
    "a key is added, and the store is down a moment later for {down_s:d}"
    " seconds"
)
def step_down(context, down_s):
    put_tenants(context, "old-key", "kept-key", "added-key")
    fleet_harness.wait_until(
        lambda: any(
            fleet_harness.status(node.metrics_port)["version"]
            == context.fleet.version
            for node in context.fleet.gateways.values()
        ),
        "a daemon has the last change",
    )
    context.fleet.set_store_faults(down=True)
    time.sleep(down_s)


@behave.then("a request with the key kept is served by each daemon")
def step_kept_served(context):
    found = {id: send(context, id, "kept-key") for id in context.fleet.gateways}
    assert set(found.values()) == {200}, found


@behave.when(
    "g1 is frozen for {frozen_s:d} seconds, and gets requests with the key old"
    " at the end"
)
def step_freeze(context, frozen_s):
    process = context.fleet.gateways["g1"].process
    process.send_signal(signal.SIGSTOP)
    try:
        time.sleep(frozen_s)
        for _ in range(REQUEST_COUNT):
            raw = gateway_steps.connect(context)
            context.add_cleanup(raw.close)
            request = encode("old-key")
            raw.sendall(request)
            context.sent_s[request_id(request)] = time.monotonic()
    finally:
        process.send_signal(signal.SIGCONT)


@behave.when(
    "requests with known and unknown keys are sent to g1, also malformed ones"
)
def step_audit(context):
    for key in ("old-key", "secret-key", "secret-key x", "secret-\x01key"):
        send(context, "g1", key)
    for line in ("Authorization : Token secret-key", "Authorization Token"):
        with gateway_steps.connect(context) as raw:
            raw.sendall(gateway_steps.encode_request(extra=f"{line}\r\n"))
            raw.shutdown(socket.SHUT_WR)
            gateway_steps.read_until(raw, b"}", 1)


@behave.then("neither the log nor the pages of g1 have a key")
def step_no_key(context):
    port = context.fleet.gateways["g1"].metrics_port
    texts = [gateway_steps.log_since(context.log_start)]
    texts += [
        fleet_harness.call(port, "GET", path).body.decode()
        for path in ("/status", "/metrics")
    ]
    for text in texts:
        assert "-key" not in text, text[text.index("-key") - 300 :][:400]


@behave.then("the metrics of g1 have the tenant ada")
def step_metrics(context):
    port = context.fleet.gateways["g1"].metrics_port
    text = fleet_harness.call(port, "GET", "/metrics").body.decode()
    assert 'workspace="ada"' in text


@behave.then("the tool's gateway command shows 1 tenant and that g1 is current")
def step_tool(context):
    gateway_steps.step_run_tool(context)
    assert "tenants 1  current  faults 0" in context.output, context.output


def write_bounds(context, **changed):
    """Writes bounds into the settings of all daemons and lets them reload."""
    context.fleet.bounds |= changed
    for node in context.fleet.gateways.values():
        context.fleet.write_settings(node)
        node.process.send_signal(signal.SIGHUP)


@behave.given("the settings revoke keys strictly within {revoke_s:d} seconds")
def step_strict(context, revoke_s):
    context.add_cleanup(write_bounds, context, strict_revoke="false")
    write_bounds(context, strict_revoke="true", revoke_s=revoke_s)


@behave.then(
    "a request with the key kept is served by each daemon for {for_s:d} seconds"
)
def step_served_for(context, for_s):
    end_s = time.monotonic() + for_s
    while time.monotonic() < end_s:
        step_kept_served(context)


@behave.when("the store is down for {down_s:d} seconds")
def step_store_down(context, down_s):
    context.fleet.set_store_faults(down=True)
    time.sleep(down_s)


@behave.then("each daemon refuses a request with the key kept as stale")
def step_refused(context):
    found = {id: send(context, id, "kept-key") for id in context.fleet.gateways}
    assert set(found.values()) == {503}, found
    log = gateway_steps.log_since(context.log_start)
    assert '"code":2011' in log


@behave.then("once the store is back, each daemon serves it")
def step_serves_again(context):
    context.fleet.set_store_faults()
    for node in context.fleet.gateways:
        fleet_harness.wait_until(
            lambda id=node: send(context, id, "kept-key") == 200,
            f"{node} serves again",
        )
