"""Steps on headers that callers list as options of their connection."""

from __future__ import annotations

import concurrent.futures
import time

import behave

from standins import fleet as fleet_harness
from standins import gateway_fleet


def send(port, request_id, **headers):
    """Sends a GET to the presses with the given request id."""
    fields = {
        "Host": gateway_fleet.HOST,
        "Request-Id": request_id,
        "Deadline-Ms": "3000",
        **headers,
    }
    return fleet_harness.call(port, "GET", "/presses/1", headers=fields)


@behave.when("a platform caller sends GET /presses/1 with Connection {options}")
def step_options(context, options):
    port = context.fleet.gateways["g1"].caller_port
    for instance_id in context.fleet.instances:
        context.fleet.set_mode(instance_id, work_s=0.3)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        beside = pool.submit(send, port, f"beside-{options}")
        time.sleep(0.1)
        context.response = send(port, f"odd-{options}", Connection=options)
        context.beside = beside.result()
    context.odd_id = f"odd-{options}"


@behave.then("its platform response is 200 and signed")
def step_served(context):
    assert context.response.status == 200, context.response.body
    assert context.response.headers["response-signature"]


@behave.then("an instance of presses ran the request")
def step_ran(context):
    assert context.fleet.count_runs().get(context.odd_id) == 1


@behave.then("all daemons run on, and a request beside it was served")
def step_alive(context):
    assert context.beside.status == 200
    for node in context.fleet.gateways.values():
        assert node.process.poll() is None, node.id
