"""Stands in for the platform's VM list, which shows changes late."""

from __future__ import annotations

import asyncio
import time
import typing
import urllib.parse

import click
import orjson
import uvloop

from dotterelpath.domain import exchange
from dotterelpath.ports import frontend
from standins import http

POLL_S = 0.05


class VmList:
    """VM list whose changes become visible after a lag.

    `/set` and `/remove` change the list, and `/fault` with `down` closes the
    connections of other calls without a response.
    """

    __slots__ = ("_changes", "_down", "_lag_s")

    def __init__(self, lag_s: float) -> None:
        """Creates an empty list.

        Args:
            lag_s: Time until a change becomes visible, in seconds.
        """
        self._lag_s = lag_s
        self._down = False
        self._changes: list[
            tuple[float, str, dict[str, typing.Any] | None]
        ] = []

    async def handle(
        self, request: exchange.Request, connection: frontend.Connection
    ) -> exchange.Response | None:
        """Handles a call that changes, reads or disables the list."""
        if request.path == "/fault":
            self._down = bool(orjson.loads(request.body).get("down"))
            return http.json_response({})
        if request.path == "/set":
            visible_at_s = time.monotonic() + self._lag_s
            for vm in orjson.loads(request.body)["vms"]:
                self._changes.append((visible_at_s, vm["id"], vm))
            return http.json_response({})
        if request.path == "/remove":
            visible_at_s = time.monotonic() + self._lag_s
            for vm_id in orjson.loads(request.body)["ids"]:
                self._changes.append((visible_at_s, vm_id, None))
            return http.json_response({})
        if self._down:
            return None
        return await self._wait_for_changes(request)

    async def _wait_for_changes(
        self, request: exchange.Request
    ) -> exchange.Response:
        query = urllib.parse.parse_qs(request.target.partition("?")[2])
        since = int(query["since"][0])
        deadline_s = time.monotonic() + float(query["wait_s"][0])
        while self._revision() <= since and time.monotonic() < deadline_s:
            await asyncio.sleep(POLL_S)
        revision = self._revision()
        last = {vm_id: vm for _, vm_id, vm in self._changes[since:revision]}
        return http.json_response(
            {
                "revision": revision,
                "changed": [vm for vm in last.values() if vm is not None],
                "removed": [i for i, vm in last.items() if vm is None],
                "is_full": since == 0,
            }
        )

    def _revision(self) -> int:
        now_s = time.monotonic()
        return sum(
            1 for visible_at_s, _, _ in self._changes if visible_at_s <= now_s
        )


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--lag-s", type=float, default=0.0)
def main(port: int, lag_s: float) -> None:
    """Runs the VM list."""

    async def serve() -> None:
        await http.Server(VmList(lag_s).handle).listen("127.0.0.1", port)
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    main()
