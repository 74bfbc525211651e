"""Checks that each daemon serves each service again after the faults."""

from __future__ import annotations

import threading
import time
import typing

from dotterelpath.platform import headers as platform_headers
from standins import fleet as fleet_harness
from standins import gateway_fleet

# The time after the last fault within which requests must be served again: the
# bound that the users' platform sets.
RECOVERY_S = 15.0
RETRY_PAUSE_S = 0.2
# Begins the ids of the requests of this check, which have no record.
ID_PREFIX = "recovery-"
# One path for each service.
PATHS = ("/presses/1", "/deposits/1")


def find_unserved_services(
    fleet: gateway_fleet.GatewayFleet, recovery_s: float = RECOVERY_S
) -> list[str]:
    """Finds daemons that do not serve a service although no fault lasts.

    Requests of a daemon may use up its connections or its instances for good
    without breaking a promise to any one caller.

    Args:
        fleet: The fleet; all faults have ended.
        recovery_s: The time within which requests must be served, in seconds.

    Returns:
        One line for each daemon and path.
    """
    violations: list[str] = []
    threads = [
        threading.Thread(
            target=_check, args=(node, path, recovery_s, violations)
        )
        for node in fleet.gateways.values()
        for path in PATHS
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return violations


def _check(
    node: gateway_fleet.GatewayProcess,
    path: str,
    recovery_s: float,
    violations: list[str],
) -> None:
    ends_s = time.monotonic() + recovery_s
    statuses: list[typing.Any] = []
    while time.monotonic() < ends_s:
        try:
            status = fleet_harness.call(
                node.caller_port,
                "GET",
                path,
                headers={
                    "Host": gateway_fleet.HOST,
                    platform_headers.REQUEST_ID.decode(): _next_id(node.id),
                    platform_headers.TIMEOUT_MS.decode(): "1000",
                },
                timeout_s=2.0,
            ).status
        except OSError as error:
            status = type(error).__name__
        if status == 200:
            return
        statuses.append(status)
        time.sleep(RETRY_PAUSE_S)
    violations.append(
        f"not served again: {node.id} {path} got {statuses[-5:]} for"
        f" {recovery_s:.0f} s after the last fault"
    )


def _next_id(daemon_id: str) -> str:
    return f"{ID_PREFIX}{daemon_id}-{time.monotonic_ns()}"
