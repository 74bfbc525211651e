"""Round-robin proxy, the baseline of the benchmarks.

Forwards each request to the next server in turn, without limits, deadlines,
retries or health checks.
"""

from __future__ import annotations

import asyncio
import itertools

import click
import uvloop

from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import http_client
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend
from standins import http

TIMEOUT_S = 4.0


class RoundRobin:
    """Forwards requests to the servers in turn."""

    __slots__ = ("_client", "_servers")

    def __init__(self, servers: list[tuple[str, int]]) -> None:
        """Creates a proxy.

        Args:
            servers: Host and port of each server.
        """
        self._client = http_client.HttpClient(clock_adapter.SystemClock())
        self._servers = itertools.cycle(servers)

    async def handle(
        self, request: exchange.Request, connection: frontend.Connection
    ) -> exchange.Response | None:
        """Forwards a request; responds 502 or 504 if the server fails."""
        host, port = next(self._servers)
        try:
            return await self._client.call(host, port, request, TIMEOUT_S)
        except http_client.NotSentError:
            return http.json_response({"error": "not sent"}, 502)
        except http_client.NoResponseError:
            return http.json_response({"error": "no answer"}, 504)


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--server", "servers", multiple=True, required=True)
def main(port: int, servers: tuple[str, ...]) -> None:
    """Runs the proxy in front of servers given as HOST:PORT."""
    pairs = [server.rpartition(":") for server in servers]
    proxy = RoundRobin([(host, int(number)) for host, _, number in pairs])

    async def serve() -> None:
        await http.Server(proxy.handle).listen("127.0.0.1", port)
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    main()
