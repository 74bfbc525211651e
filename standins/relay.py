"""Stands in for a network path with delays, loss and frozen connections."""

from __future__ import annotations

import asyncio
import typing

import click
import orjson
import uvloop

from dotterelpath.domain import exchange
from dotterelpath.ports import frontend
from standins import http

CHUNK_BYTES = 65536


class Relay:
    """TCP relay with fault modes.

    Modes:
        delay_s: Delays each chunk by this many seconds.
        drop_forth: Discards the bytes from the client to the target.
        drop_back: Discards the bytes from the target to the client.
        freeze_open: Discards from now on all bytes of the connections that
            are open when the mode is set. They stay open. New connections
            work.
    """

    __slots__ = ("_connection_count", "_last_frozen", "_mode", "_target_port")

    def __init__(self, port: int) -> None:
        """Creates a relay.

        Args:
            port: The port of the target on this host.
        """
        self._target_port = port
        self._mode: dict[str, typing.Any] = {}
        self._connection_count = 0
        self._last_frozen = 0

    async def handle(
        self, request: exchange.Request, connection: frontend.Connection
    ) -> exchange.Response | None:
        """Sets the mode from the JSON body of a request."""
        self._mode = orjson.loads(request.body)
        if self._mode.get("freeze_open"):
            self._last_frozen = self._connection_count
        return http.json_response({})

    async def on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays a connection until both directions have ended."""
        self._connection_count += 1
        number = self._connection_count
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.close()
            return
        to_target = self._copy(reader, target_writer, "drop_forth", number)
        to_client = self._copy(target_reader, writer, "drop_back", number)
        await asyncio.gather(to_target, to_client, return_exceptions=True)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop_mode: str,
        number: int,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self._mode.get("delay_s", 0.0))
                if self._mode.get(drop_mode) or number <= self._last_frozen:
                    continue
                writer.write(data)
                await writer.drain()
        finally:
            if number > self._last_frozen:
                writer.close()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--to-port", type=int, required=True)
@click.option("--control-port", type=int, required=True)
def main(port: int, to_port: int, control_port: int) -> None:
    """Runs the relay and its control server."""

    async def serve() -> None:
        relay = Relay(to_port)
        await asyncio.start_server(relay.on_connection, "127.0.0.1", port)
        await http.Server(relay.handle).listen("127.0.0.1", control_port)
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    main()
