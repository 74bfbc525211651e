"""Steps on responses whose body has no end."""

from __future__ import annotations

import concurrent.futures
import time

import behave

from features.steps import gateway_steps
from features.steps import upload_steps
from standins import fleet as fleet_harness


@behave.when(
    "{count:d} callers with a deadline of 1.5 seconds read GET {path} at once"
)
def step_read_endless(context, count, path):
    context.memory_mb = upload_steps.peak_memory_mb(context)

    def read(_):
        began_s = time.monotonic()
        received_bytes = 0
        tail = b""
        with gateway_steps.connect(context) as raw:
            request = gateway_steps.encode_request(path).replace(
                b": 4000", b": 1500"
            )
            raw.sendall(request)
            while data := raw.recv(65536):
                received_bytes += len(data)
                tail = (tail + data)[-16:]
        return received_bytes, tail, time.monotonic() - began_s

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.read = list(pool.map(read, range(count)))


@behave.then("each sees its response break off within {max_s:f} seconds")
def step_break_off(context, max_s):
    for received_bytes, tail, took_s in context.read:
        assert received_bytes > 0 and not tail.endswith(b"0\r\n\r\n"), tail
        assert took_s < max_s, took_s


@behave.then(
    "g1 has no requests in flight, and the instances have cancelled all"
    " {count:d}"
)
def step_endless_cancelled(context, count):
    port = context.fleet.gateways["g1"].metrics_port

    def cancelled_count():
        return sum(
            len(context.fleet.instance_record(f"i-presses-{n}")["cancelled"])
            for n in range(1, 4)
        )

    fleet_harness.wait_until(
        lambda: fleet_harness.status(port)["in_flight"] == 0,
        "g1 has no requests in flight",
    )
    fleet_harness.wait_until(
        lambda: cancelled_count() >= count, "the instances have cancelled"
    )
