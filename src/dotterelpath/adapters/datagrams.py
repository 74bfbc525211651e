"""Sends datagrams between daemons as JSON over UDP."""

from __future__ import annotations

import asyncio
import math
import typing

import orjson
import structlog

from dotterelpath import errors
from dotterelpath.domain import health_reports
from dotterelpath.domain import quota_reports
from dotterelpath.domain import steering
from dotterelpath.domain import store_position
from dotterelpath.ports import datagrams

# The largest number in a datagram; JSON encoders refuse larger ones.
MAX_INTEGER = 2**63 - 1

_log = structlog.get_logger()


class UdpDatagrams(asyncio.DatagramProtocol):
    """A UDP socket; see datagrams.Datagrams."""

    __slots__ = ("_host", "_listener", "_port", "_transport")

    def __init__(
        self, host: str, port: int, listener: datagrams.Listener
    ) -> None:
        """Creates a socket that is not yet open.

        Args:
            host: The IP address to bind to.
            port: The port to bind to.
            listener: Receives the datagrams.
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
                errors.ResultCode.ADDRESS_IN_USE,
                f"cannot listen on {self._host}:{self._port}: {error}",
            ) from error

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the open socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes a datagram; drops it if it is malformed."""
        try:
            datagram = decode(orjson.loads(data))
        except (ValueError, KeyError, TypeError) as error:
            _log.warning(
                "malformed datagram dropped", sender=addr[0], reason=repr(error)
            )
            return
        self._listener.on_datagram(addr[0], addr[1], datagram)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors: an unreachable daemon also shows by missing pongs."""

    def send(self, host: str, port: int, datagram: datagrams.Datagram) -> None:
        """Sends a datagram; see datagrams.Datagrams."""
        if self._transport is not None:
            self._transport.sendto(orjson.dumps(encode(datagram)), (host, port))

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()


def encode(datagram: datagrams.Datagram) -> dict[str, typing.Any]:
    """Encodes a datagram as a JSON object.

    Args:
        datagram: The datagram.
    """
    if isinstance(datagram, datagrams.Ping):
        return {"ping": datagram.sequence, "from": datagram.sender_id}
    if isinstance(datagram, datagrams.Pong):
        return _encode_pong(datagram)
    if isinstance(datagram, datagrams.QuotaReportDatagram):
        return _encode_quota_report(datagram)
    if isinstance(datagram, datagrams.QuotaUsedUpDatagram):
        return {"used_up": datagram.tenant_names, "from": datagram.sender_id}
    if isinstance(datagram, datagrams.LeavingReportDatagram):
        return {
            "leaving": datagram.report.instances,
            "from": datagram.sender_id,
        }
    if isinstance(datagram, datagrams.LimitReportDatagram):
        return {
            "limits": datagram.report.limits,
            "from": datagram.sender_id,
            "service": datagram.report.service,
            "serving": datagram.serving_count,
        }
    if isinstance(datagram, datagrams.SuccessReportDatagram):
        return {
            "served": datagram.report.instances,
            "from": datagram.sender_id,
            "service": datagram.report.service,
            "serving": datagram.serving_count,
        }
    report = datagram.report
    return {
        "seen": report.symptom.value,
        "from": datagram.sender_id,
        "service": report.service,
        "instance": report.instance_id,
        "started_ms": report.started_ms,
    }


def decode(data: dict[str, typing.Any]) -> datagrams.Datagram:
    """Decodes a datagram.

    Args:
        data: The JSON object.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has another type.
        ValueError: A field has an invalid value.
    """
    sender = str(data["from"])
    if "ping" in data:
        return datagrams.Ping(sender, _decode_integer(data["ping"]))
    if "pong" in data:
        return _decode_pong(sender, data)
    if "quota" in data:
        return _decode_quota_report(sender, data)
    if "used_up" in data:
        names = data["used_up"][: quota_reports.MAX_ENTRIES]
        return datagrams.QuotaUsedUpDatagram(sender, [str(n) for n in names])
    if "leaving" in data:
        return datagrams.LeavingReportDatagram(
            sender,
            health_reports.LeavingReport(
                [
                    (str(service), str(id), _decode_integer(started))
                    for service, id, started in data["leaving"]
                ]
            ),
        )
    if "limits" in data:
        return _decode_limits(sender, data)
    if "served" in data:
        return datagrams.SuccessReportDatagram(
            sender,
            health_reports.SuccessReport(
                str(data["service"]),
                [
                    (str(id), _decode_integer(started))
                    for id, started in data["served"]
                ],
            ),
            _decode_serving_count(data),
        )
    report = health_reports.HealthReport(
        str(data["service"]),
        str(data["instance"]),
        _decode_integer(data["started_ms"]),
        health_reports.Symptom(data["seen"]),
    )
    return datagrams.HealthReportDatagram(sender, report)


def _encode_pong(pong: datagrams.Pong) -> dict[str, typing.Any]:
    data = {
        "pong": pong.sequence,
        "from": pong.sender_id,
        "state": pong.state.value,
        "cores": round(pong.usage.cores, 3),
        "link_mbps": round(pong.usage.link_mbps, 3),
        # Daemons of an older build expect both fields.
        "revision": None,
        "revision_age_s": None,
    }
    if pong.position is not None:
        data["era"] = pong.position.era
        data["revision"] = pong.position.revision
        data["revision_age_s"] = round(pong.position_age_s, 3)
        data["large_revision"] = pong.large_revision
    return data


def _decode_pong(sender: str, data: dict[str, typing.Any]) -> datagrams.Pong:
    pong = datagrams.Pong(
        sender,
        _decode_integer(data["pong"]),
        steering.DaemonState(data["state"]),
        steering.Resources(
            _decode_number(data["cores"]), _decode_number(data["link_mbps"])
        ),
        None,
    )
    # A daemon of an older build does not send the age. Its revision may be of
    # any age, so that it is of no use. Without an era, it is of use only if the
    # store states none either.
    if data["revision"] is not None and data.get("revision_age_s") is not None:
        pong.position = store_position.Position(
            _decode_integer(data.get("era") or 0),
            _decode_integer(data["revision"]),
        )
        pong.position_age_s = max(0.0, _decode_number(data["revision_age_s"]))
        pong.large_revision = _decode_integer(data.get("large_revision") or 0)
    return pong


def _encode_quota_report(
    datagram: datagrams.QuotaReportDatagram,
) -> dict[str, typing.Any]:
    header = datagram.header
    data = {
        "quota": datagram.entries,
        "from": datagram.sender_id,
        "run": header.run,
        "seq": header.sequence,
        "ack": header.acknowledged,
        "serving": datagram.serving_count,
    }
    if header.heard is not None:
        data["heard"] = list(header.heard)
    return data


def _decode_quota_report(
    sender: str, data: dict[str, typing.Any]
) -> datagrams.QuotaReportDatagram:
    heard = data.get("heard")
    return datagrams.QuotaReportDatagram(
        sender,
        quota_reports.Header(
            _decode_integer(data["run"]),
            _decode_integer(data["seq"]),
            _decode_integer(data["ack"]),
            None
            if heard is None
            else [str(id) for id in heard[: quota_reports.MAX_HEARD]],
        ),
        [
            (str(name), _decode_number(demand), _decode_integer(count))
            for name, demand, count in data["quota"][
                : quota_reports.MAX_ENTRIES
            ]
        ],
        _decode_serving_count(data),
    )


def _decode_limits(
    sender: str, data: dict[str, typing.Any]
) -> datagrams.LimitReportDatagram:
    limits = [
        (
            str(id),
            _decode_integer(started),
            None if per_s is None else _decode_number(per_s),
        )
        for id, started, per_s in data["limits"]
    ]
    return datagrams.LimitReportDatagram(
        sender,
        health_reports.LimitReport(str(data["service"]), limits),
        _decode_serving_count(data),
    )


def _decode_serving_count(data: dict[str, typing.Any]) -> int | None:
    """Decodes the number that daemons of an older build do not send."""
    count = data.get("serving")
    return None if count is None else _decode_integer(count)


def _decode_integer(value: typing.Any) -> int:
    """Decodes a number that can be encoded again.

    Raises:
        ValueError: The number has more than 64 bits.
    """
    number = int(value)
    if abs(number) > MAX_INTEGER:
        raise ValueError(f"{number!r} has more than 64 bits")
    return number


def _decode_number(value: typing.Any) -> float:
    """Decodes a finite number.

    Raises:
        ValueError: The number is infinite or none.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not finite")
    return number
