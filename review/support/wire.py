"""HTTP/1.1 messages of the stand-ins, on asyncio streams."""

from __future__ import annotations

import asyncio
import json
import typing

Headers = list[tuple[str, str]]


class Message:
    """A request or a response."""

    __slots__ = ("body", "headers", "start")

    def __init__(self, start: str, headers: Headers, body: bytes) -> None:
        """Creates a message.

        Args:
            start: The first line.
            headers: The headers, with names in lower case.
            body: The body.
        """
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name: str, default: str = "") -> str:
        """Returns the first value of a header.

        Args:
            name: The name in lower case.
            default: The value to return if there is no such header.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]


async def read(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with a length or in chunks.

    Args:
        reader: The connection.

    Returns:
        The message; None if the connection ended before it was complete.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *lines = head[:-4].split("\r\n")
        headers = []
        for line in lines:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
        message = Message(start, headers, b"")
        if message.header("transfer-encoding") == "chunked":
            message.body = await _read_chunks(reader)
        else:
            length = int(message.header("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    chunks = []
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(chunks)
        chunks.append(data[:-2])


def encode(start: str, headers: Headers, body: bytes = b"") -> bytes:
    """Encodes a message whose body has a length.

    Args:
        start: The first line.
        headers: The headers.
        body: The body.
    """
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_json(status: int, data: typing.Any) -> bytes:
    """Encodes a response with a JSON body.

    Args:
        status: The status.
        data: The value.
    """
    fields = [("content-type", "application/json")]
    return encode(f"HTTP/1.1 {status} .", fields, json.dumps(data).encode())
