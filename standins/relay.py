"""Stands in for a network path that delays, drops one way or goes silent."""

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
    """Copies bytes between two ends as its mode says.

    Modes: `delay_s`; `drop_forth` and `drop_back` lose bytes one way;
    `freeze_open` silences the connections open now while new ones work.
    """

    __slots__ = ("_frozen", "_mode", "_number", "_port")

    def __init__(self, port: int) -> None:
        """Creates a relay.

        Args:
            port: Where it connects to.
        """
        self._port = port
        self._mode: dict[str, typing.Any] = {}
        self._number = 0
        self._frozen = 0

    async def handle(
        self, request: exchange.Request, connection: frontend.Connection
    ) -> exchange.Response | None:
        """Sets the mode."""
        self._mode = orjson.loads(request.body)
        if self._mode.get("freeze_open"):
            self._frozen = self._number
        return http.response({})

    async def on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays one connection."""
        self._number += 1
        number = self._number
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._port
            )
        except OSError:
            writer.close()
            return
        forth = self._copy(reader, far_writer, "drop_forth", number)
        back = self._copy(far_reader, writer, "drop_back", number)
        await asyncio.gather(forth, back, return_exceptions=True)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop: str,
        number: int,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self._mode.get("delay_s", 0.0))
                if self._mode.get(drop) or number <= self._frozen:
                    continue
                writer.write(data)
                await writer.drain()
        finally:
            if number > self._frozen:
                writer.close()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--to-port", type=int, required=True)
@click.option("--control-port", type=int, required=True)
def main(port: int, to_port: int, control_port: int) -> None:
    """Runs the relay."""

    async def work() -> None:
        relay = Relay(to_port)
        await asyncio.start_server(relay.on_connection, "127.0.0.1", port)
        await http.Server(relay.handle).listen("127.0.0.1", control_port)
        await asyncio.Event().wait()

    uvloop.run(work())


if __name__ == "__main__":
    main()
