"""Steps on tenants and their keys, with the daemons' processes."""

from __future__ import annotations

import behave

from features.steps import gateway_steps
from standins import gateway_fleet

ROUTES = (
    gateway_fleet.route("/presses/", "presses"),
    gateway_fleet.route("/deposits/", "deposits", auth_exempt=True),
)
TENANTS = (
    {"name": "ada", "api_keys": ["key-ada", "key-both"], "priority": 0},
    {"name": "bob", "api_keys": ["key-bob", "key-b", "key-both"]},
)


def configure(context, tenants):
    """Writes a configuration with tenants and waits until it is in force."""
    context.fleet.configure(*ROUTES, tenants=tenants)
    context.fleet.wait_for_configuration(context.fleet.version)


@behave.given(
    "tenants ada and bob, and a route for /deposits/ that needs no key"
)
def step_tenants(context):
    configure(context, TENANTS)


@behave.when("a GET request to {path} has the headers {headers}")
def step_request(context, path, headers):
    lines = "".join(f"{line.strip()}\r\n" for line in headers.split(";"))
    request = gateway_steps.encode_request(path, lines)
    context.request_id = request.partition(b"Request-Id: ")[2][:16].decode()
    with gateway_steps.connect(context) as raw:
        raw.sendall(request)
        context.received = gateway_steps.read_until(raw, b"}", 1).decode()


@behave.then("its status is {status:d}")
def step_status(context, status):
    assert context.received.startswith(f"HTTP/1.1 {status} "), context.received
    is_named = "\r\nwww-authenticate: token\r\n" in context.received.lower()
    assert is_named == (status == 401), context.received


@behave.then("the instance, if any, saw the tenant {tenant} and no key")
def step_identity(context, tenant):
    expected = [] if tenant == "none" else [["tenant-id", tenant]]
    seen = []
    for instance_id in context.fleet.instances:
        record = context.fleet.instance_record(instance_id)
        seen += record["identities"].get(context.request_id, [])
    assert seen == expected, seen
