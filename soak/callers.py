"""Callers with persistent connections, which record each response."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
import typing

from dotterelpath.platform import headers as platform_headers
from standins import fleet as fleet_harness
from standins import gateway_fleet

# Timeout of a request, sent to the daemon in its headers.
TIMEOUT_S = 4.0
# Time after which a caller resolves the addresses again.
ADDRESS_TTL_S = 1.0
# "/deposits/1" is listed twice, so that it is drawn more often.
PATHS = ("/presses/1", "/deposits/1", "/deposits/1", "/moving/1")
# A list of connection options with one that is not one; a proxy must not let
# it remove the header.
ODD_OPTIONS = "keep-alive, Host"
ODD_OPTIONS_SHARE = 0.1
# Pause between two requests of one caller.
PAUSE_S = 0.02


class RequestRecord:
    """A request and its outcome as the caller sees it.

    Attributes:
        path: The path without the query.
        sent_s: Start of the request, in seconds of the monotonic clock.
        ended_s: End of the request, or 0 while it is open.
        is_sent: Whether the complete request was written.
        status: The status code, or 0 without a complete response.
        is_behind: Whether the request was sent behind an outstanding one, so
            that the daemon may end the connection without reading it.
        response: Headers (names in lower case) and decoded body, or None.
        key: The key of a tenant that was sent (see keys.Key), or None.
    """

    __slots__ = (
        "ended_s",
        "is_behind",
        "is_sent",
        "key",
        "path",
        "response",
        "sent_s",
        "status",
        "target",
    )

    def __init__(self, path: str, target: str = "") -> None:
        """Creates the record of a request that is about to be sent."""
        self.path = path
        self.target = target
        self.is_behind = False
        self.sent_s = time.monotonic()
        self.ended_s = 0.0
        self.is_sent = False
        self.status = 0
        self.response: typing.Any = None
        self.key: typing.Any = None

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return not self.path.startswith("/deposits/")


class Caller(threading.Thread):
    """A thread that resolves addresses and sends one request at a time."""

    def __init__(
        self,
        number: int,
        seed: int,
        fleet: gateway_fleet.GatewayFleet,
        key_ring: typing.Any = None,
    ) -> None:
        """Creates a caller; start() runs it.

        Args:
            number: The number of the caller; its request ids, data centre and
                random numbers depend on it.
            seed: The seed of the random numbers.
            fleet: The daemons to send requests to.
            key_ring: Gives each request a key (see keys.KeyRing); by default
                requests have none.
        """
        super().__init__(name=f"caller {number}", daemon=True)
        self.records: dict[str, RequestRecord] = {}
        self.stop_requested = threading.Event()
        self._number = number
        self._random = random.Random(f"{seed}/{number}")
        self._key_random = random.Random(f"{seed}/{number}/keys")
        self._key_ring = key_ring
        self._fleet = fleet
        self._data_centre = "abc"[number % 3]
        self._daemon_ports: list[int] = []
        self._resolved_s = -1.0
        self._connection: http.client.HTTPConnection | None = None
        self._daemon_port = 0

    def run(self) -> None:
        """Sends requests until `stop_requested` is set."""
        count = 0
        while not self.stop_requested.is_set():
            self._resolve()
            count += 1
            self._send(f"{self._number:04x}{count:08x}")
            self.stop_requested.wait(PAUSE_S)

    def _resolve(self) -> None:
        """Resolves the addresses again once they are older than their TTL.

        Tries up to three daemons, and closes the connection to a daemon that is
        no longer among the addresses.
        """
        if time.monotonic() - self._resolved_s < ADDRESS_TTL_S:
            return
        nodes = list(self._fleet.gateways.values())
        for node in self._random.sample(nodes, min(3, len(nodes))):
            query = f"name={gateway_fleet.HOST}&region=r"
            target = f"/v1/resolve?{query}&zone={self._data_centre}"
            try:
                response = fleet_harness.call(
                    node.directory_port, "GET", target, timeout_s=1.0
                )
                endpoints = response.json()["addresses"]
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                continue
            self._daemon_ports = [
                int(endpoint.rpartition(":")[2]) for endpoint in endpoints
            ]
            self._resolved_s = time.monotonic()
            if self._daemon_port not in self._daemon_ports:
                self._close()
            return

    def _add_key(self, record: RequestRecord) -> dict[str, str]:
        """Draws a key for a request; returns the header that has it."""
        if self._key_ring is None:
            return {}
        record.key = self._key_ring.draw(self._key_random)
        name = platform_headers.AUTHORIZATION.decode()
        return {name: f"Token {record.key.text}"}

    def _send(self, request_id: str) -> None:
        """Sends a random request and records its outcome."""
        path = self._random.choice(PATHS)
        record = RequestRecord(path, f"{path}?id={request_id}")
        if not self._connect():
            return
        assert self._connection is not None
        self.records[request_id] = record
        method = "GET" if record.is_idempotent else "POST"
        headers = {
            "Host": gateway_fleet.HOST,
            platform_headers.REQUEST_ID.decode(): request_id,
            platform_headers.TIMEOUT_MS.decode(): str(int(TIMEOUT_S * 1000)),
            **self._add_key(record),
        }
        if self._random.random() < ODD_OPTIONS_SHARE:
            headers["Connection"] = ODD_OPTIONS
        try:
            self._connection.request(
                method,
                record.target,
                None if method == "GET" else b"x",
                headers,
            )
            record.is_sent = True
            response = self._connection.getresponse()
            body = response.read()
            record.status = response.status
            response_headers = {k.lower(): v for k, v in response.getheaders()}
            record.response = (response_headers, decode_json(body))
            if response.will_close:
                self._close()
        except (OSError, http.client.HTTPException):
            self._close()
        record.ended_s = time.monotonic()

    def _connect(self) -> bool:
        """Returns whether a connection is open, and opens one if needed."""
        if self._connection is not None:
            return True
        if not self._daemon_ports:
            return False
        self._daemon_port = self._random.choice(self._daemon_ports)
        connection = http.client.HTTPConnection(
            fleet_harness.HOST, self._daemon_port, timeout=TIMEOUT_S + 1.0
        )
        # Makes a request on a closed connection fail instead of reconnecting.
        connection.auto_open = 0
        try:
            connection.connect()
        except OSError:
            self._daemon_ports.remove(self._daemon_port)
            return False
        self._connection = connection
        return True

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def decode_json(body: bytes) -> typing.Any:
    """Decodes a body.

    Args:
        body: The body.

    Returns:
        The decoded value, or None if it is not JSON.
    """
    try:
        return json.loads(body)
    except ValueError:
        return None
