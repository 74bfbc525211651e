"""Stands in for consumers."""

from __future__ import annotations

import asyncio
import itertools
import typing

from support import fleet as fleet_module
from support import record as record_file
from support import wire

_ids = itertools.count(1)


class Sent:
    """A request and what became of it."""

    __slots__ = (
        "deadline_s",
        "ended",
        "ended_s",
        "id",
        "response",
        "sent_s",
    )

    def __init__(self, id: str, sent_s: float, deadline_s: float) -> None:
        """Creates a request without a response.

        Args:
            id: The request id.
            sent_s: When its last byte was sent.
            deadline_s: When its time budget ends.
        """
        self.id = id
        self.sent_s = sent_s
        self.deadline_s = deadline_s
        self.response: wire.Message | None = None
        # When the response was complete, or the connection had ended.
        self.ended_s: float | None = None
        self.ended = asyncio.Event()

    def end(self, now_s: float) -> None:
        """Records that the response is complete or will not come.

        Args:
            now_s: The time since the start of the case, in seconds.
        """
        self.ended_s = now_s
        self.ended.set()

    @property
    def status(self) -> int:
        """The status of the response; 0 if the connection ended without."""
        return self.response.status if self.response is not None else 0


class Connection:
    """A kept connection, on which requests may be pipelined."""

    __slots__ = (
        "_reader",
        "_record",
        "_waiting",
        "_writer",
        "announces_close",
        "is_closed",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        record: record_file.Record,
    ) -> None:
        """Creates a connection; use open_connection."""
        self._reader = reader
        self._writer = writer
        self._record = record
        self._waiting: list[Sent] = []
        self.announces_close = False
        self.is_closed = False

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    def send(
        self,
        method: str,
        target: str,
        deadline_ms: int,
        body: bytes = b"",
        headers: typing.Sequence[tuple[str, str]] = (),
    ) -> Sent:
        """Sends a request behind those that wait.

        Args:
            method: The method.
            target: The target.
            deadline_ms: The time budget, in milliseconds.
            body: The body.
            headers: Additional headers.
        """
        request_id = f"{next(_ids):016x}"
        now_s = self._record.now_s
        sent = Sent(request_id, now_s, now_s + deadline_ms / 1000.0)
        fields = [
            ("host", fleet_module.CALLER_HOST),
            ("request-id", request_id),
            ("deadline-ms", str(deadline_ms)),
            *headers,
        ]
        self._waiting.append(sent)
        self._writer.write(
            wire.encode(f"{method} {target} HTTP/1.1", fields, body)
        )
        self._record.write(f"caller sends {request_id} {method} {target}")
        return sent

    async def read(self) -> None:
        """Reads responses until the connection ends."""
        while True:
            response = await wire.read(self._reader)
            if response is None:
                break
            if not self._waiting:
                self._record.write(f"caller gets {response.start} unasked")
                continue
            sent = self._waiting.pop(0)
            sent.response = response
            sent.end(self._record.now_s)
            closes = response.header("connection") == "close"
            self.announces_close |= closes
            self._record.write(
                f"caller gets {response.status} for {sent.id}"
                + (", and the connection will close" if closes else "")
            )
        self.is_closed = True
        for sent in self._waiting:
            sent.end(self._record.now_s)
            self._record.write(f"connection ends without answer to {sent.id}")
        self._writer.close()


async def open_connection(
    fleet: fleet_module.Fleet, daemon: fleet_module.Daemon
) -> tuple[Connection, asyncio.Task[None]]:
    """Connects to a daemon.

    Args:
        fleet: The fleet, whose record is used.
        daemon: The daemon.

    Returns:
        The connection, and the task that reads its responses.
    """
    reader, writer = await asyncio.open_connection(
        fleet_module.HOST, daemon.front_port
    )
    made = Connection(reader, writer, fleet.record)
    return made, asyncio.create_task(made.read())
