"""Short messages between daemons as JSON over UDP."""

from __future__ import annotations

import asyncio
import typing

import orjson
import structlog

from dotterelpath import errors
from dotterelpath.domain import health_reports
from dotterelpath.domain import steering
from dotterelpath.ports import datagrams

_log = structlog.get_logger()


class UdpDatagrams(asyncio.DatagramProtocol):
    """A UDP socket; see datagrams.Datagrams."""

    __slots__ = ("_host", "_listener", "_port", "_transport")

    def __init__(
        self, host: str, port: int, listener: datagrams.Listener
    ) -> None:
        """Creates a socket that is not yet open.

        Args:
            host: This daemon's IP address.
            port: Its port.
            listener: Hears what comes in.
        """
        self._host = host
        self._port = port
        self._listener = listener
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self) -> None:
        """Opens the socket.

        Raises:
            DotterelpathError: The address is in use.
        """
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=(self._host, self._port)
            )
        except OSError as error:
            raise errors.DotterelpathError(
                errors.ResultCode.ADDRESS_IN_USE, f"{self._host}:{self._port}"
            ) from error

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes that the socket is open."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Reads a message; one that cannot be read is dropped."""
        try:
            read = _read(orjson.loads(data))
        except (ValueError, KeyError, TypeError) as error:
            _log.warning("datagram refused", sender=addr[0], reason=repr(error))
            return
        self._listener.on_datagram(addr[0], addr[1], read)

    def error_received(self, exc: Exception) -> None:
        """Ignores that nobody listens; a missing answer says the same."""

    def send(self, host: str, port: int, datagram: datagrams.Datagram) -> None:
        """Sends a message; see datagrams.Datagrams."""
        if self._transport is not None:
            self._transport.sendto(orjson.dumps(_write(datagram)), (host, port))

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()


def _write(datagram: datagrams.Datagram) -> dict[str, typing.Any]:
    if isinstance(datagram, datagrams.Ping):
        return {"ping": datagram.number, "from": datagram.sender_id}
    if isinstance(datagram, datagrams.Pong):
        return {
            "pong": datagram.number,
            "from": datagram.sender_id,
            "state": datagram.state.value,
            "cores": round(datagram.used.cores, 3),
            "link_mbps": round(datagram.used.link_mbps, 3),
            "revision": datagram.revision,
        }
    seen = datagram.evidence
    return {
        "seen": seen.symptom.value,
        "from": datagram.sender_id,
        "service": seen.service,
        "instance": seen.instance_id,
        "started_ms": seen.started_ms,
    }


def _read(data: dict[str, typing.Any]) -> datagrams.Datagram:
    sender = str(data["from"])
    if "ping" in data:
        return datagrams.Ping(sender, int(data["ping"]))
    if "pong" in data:
        state = steering.DaemonState(data["state"])
        used = steering.Resources(
            float(data["cores"]), float(data["link_mbps"])
        )
        told = data["revision"]
        revision = None if told is None else int(told)
        return datagrams.Pong(sender, int(data["pong"]), state, used, revision)
    seen = health_reports.HealthReport(
        str(data["service"]),
        str(data["instance"]),
        int(data["started_ms"]),
        health_reports.Symptom(data["seen"]),
    )
    return datagrams.Seen(sender, seen)
