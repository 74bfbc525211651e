"""Callers that send requests at a steady rate, and others without a pause."""

from __future__ import annotations

import asyncio
import time

# The most bytes of a response that a caller reads at once.
READ_BYTES = 65536


class Load:
    """Requests of one kind and what became of them.

    Attributes:
        sent: The requests that were sent.
        served_s: How long each request took whose whole response has status
            200, in seconds.
    """

    def __init__(self, port, request, per_s, patience_s):
        """Creates a load.

        Args:
            port: The port of the daemon.
            request: The encoded request, which asks to close the connection.
            per_s: The requests a second.
            patience_s: After how long a caller leaves, in seconds.
        """
        self.sent = 0
        self.served_s = []
        self._port = port
        self._request = request
        self._per_s = per_s
        self._patience_s = patience_s

    async def run(self, duration_s):
        """Sends requests for a while, and waits for the last response."""
        began_s = time.monotonic()
        calls = []
        while time.monotonic() < began_s + duration_s:
            if self.sent < (time.monotonic() - began_s) * self._per_s:
                self.sent += 1
                calls.append(asyncio.create_task(self._call()))
            await asyncio.sleep(0.01)
        await asyncio.gather(*calls)

    async def _call(self):
        began_s = time.monotonic()
        received = b""
        try:
            async with asyncio.timeout(self._patience_s):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._port
                )
                try:
                    writer.write(self._request)
                    while data := await reader.read(READ_BYTES):
                        # A response without end is not kept.
                        received = (received + data)[:READ_BYTES]
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return
        if received.startswith(b"HTTP/1.1 200 "):
            self.served_s.append(time.monotonic() - began_s)


async def repeat(port, data, duration_s, patience_s):
    """Sends the same bytes again and again, each time on a new connection.

    Args:
        port: The port of the daemon.
        data: The bytes.
        duration_s: For how long, in seconds.
        patience_s: The longest time for one connection, in seconds.
    """
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        try:
            async with asyncio.timeout(patience_s):
                await _send_all(port, data)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)


async def _send_all(port, data):
    """Sends bytes while it reads responses, until the daemon closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        while await reader.read(READ_BYTES):
            pass
    finally:
        writer.close()
