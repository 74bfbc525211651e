"""After a drill of the store a daemon keeps to a configuration for good."""

from __future__ import annotations

import asyncio
import base64
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import scene  # noqa: E402

DAEMONS = 12
# "for a moment", and "from a copy some seconds old".
AWAY_S = 1.0
COPY_AGE_S = 2.0
# How long the instances take to write again, and the operator to send a newer
# configuration, after the store is back.
REWRITE_S = 0.3
CHANGE_AFTER_S = 0.1
WATCHED_S = 25.0
INTERVAL_S = 0.5
BUDGET_MS = "5000"


def routes(service: str) -> list[dict[str, object]]:
    """Returns the routes, the only one of which goes to a service."""
    return [
        scene.route(
            "r-refund",
            "/refund/",
            service,
            route_type="non_idempotent",
            timeout_s=5,
        )
    ]


async def drill(stage: scene.Scene) -> None:
    """Takes the store away and brings it back from an older copy."""
    store = stage.store
    port = store.port
    known = store.revision
    copy = store.revision_before(COPY_AGE_S)
    stage.record.add(f"the store goes away at revision {known}")
    store.close()
    await asyncio.sleep(AWAY_S)
    store.restore(copy)
    await store.open(port)
    stage.record.add(f"the store is back with revision {copy}, era {store.era}")
    value = base64.b64decode(store.items["op/config"]["value"])
    store.put("op/config", json.loads(value))
    asyncio.get_running_loop().create_task(write_again(stage))


async def write_again(stage: scene.Scene) -> None:
    """Lets the instances write their entries again."""
    for instance in list(stage.instances):
        await asyncio.sleep(REWRITE_S / len(stage.instances))
        stage.beat(instance)
    stage.record.add(f"all is written again, revision {stage.store.revision}")


async def ask(stage: scene.Scene, daemon: scene.Daemon, request_id: str) -> str:
    """Sends one request; returns the service that ran it, or its status."""
    headers = {"Request-Id": request_id, "Deadline-Ms": BUDGET_MS}
    stage.record.add(f"sent     {request_id} to {daemon.name}")
    answer = await scene.call(
        daemon.front, "POST", "/refund/1", headers, 6.0, b"refund"
    )
    stage.record.add(f"answered {request_id} {answer.status}")
    ran = [i.service for i in stage.instances if request_id in i.runs]
    return ran[0] if ran else str(answer.status)


async def play(stage: scene.Scene) -> bool:
    """Plays the case; returns whether the rule held."""
    instances = [
        scene.Instance(f"i-{service}-{number}", service, stage.record)
        for service in ("deposits", "ledger")
        for number in range(1, 4)
    ]
    await stage.open(instances, DAEMONS)
    stage.configure(routes("deposits"))
    await stage.wait_until_ready()
    await asyncio.sleep(10.0)
    if stage.has_trouble:
        await drill(stage)
    back_s = time.monotonic()
    await asyncio.sleep(CHANGE_AFTER_S)
    stage.configure(routes("ledger"))
    acknowledged_s = time.monotonic()
    bounds = scene.BOUNDS
    due_s = max(
        acknowledged_s + bounds["config_apply_s"],
        back_s + bounds["stable_s"] + bounds["max_stretch_s"],
    )
    await asyncio.sleep(due_s + 0.5 - time.monotonic())
    served = 0
    stale: list[str] = []
    step = 0
    while time.monotonic() < back_s + WATCHED_S:
        step += 1
        for number, daemon in enumerate(stage.daemons, 1):
            service = await ask(stage, daemon, f"refund-{number}-{step}")
            served += service == "ledger"
            if service == "deposits":
                stale.append(daemon.name)
        await asyncio.sleep(INTERVAL_S)
    stage.record.add(
        f"run by the service of the newest configuration: {served}, by that of"
        f" the older one: {len(stale)}, at {sorted(set(stale))}"
    )
    if served + len(stale) < DAEMONS:
        raise scene.CaseError("the deployment served nothing")
    return not stale


if __name__ == "__main__":
    sys.exit(scene.run(FOLDER, play))
