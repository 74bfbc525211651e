"""Callers that keep connections open and record what they were told."""

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

TIMEOUT_S = 4.0
ADDRESS_TTL_S = 1.0
PATHS = ("/presses/1", "/deposits/1", "/deposits/1", "/moving/1")
# The pause between two requests of one caller, in seconds.
PAUSE_S = 0.02


class RequestRecord:
    """One request and what its caller got."""

    __slots__ = ("ended_s", "is_sent", "path", "response", "sent_s", "status")

    def __init__(self, path: str) -> None:
        """Creates the record of a request that is about to be sent."""
        self.path = path
        self.sent_s = time.monotonic()
        self.ended_s = 0.0
        # Whether the whole request was written.
        self.is_sent = False
        # 0 where no whole answer came.
        self.status = 0
        self.response: typing.Any = None

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run again."""
        return not self.path.startswith("/deposits/")


class Caller(threading.Thread):
    """Asks for addresses and sends requests one after the other."""

    def __init__(
        self, number: int, seed: int, fleet: gateway_fleet.GatewayFleet
    ) -> None:
        """Creates a caller that does not run yet.

        Args:
            number: Names the caller.
            seed: Draws its requests.
            fleet: The daemons.
        """
        super().__init__(name=f"caller {number}", daemon=True)
        self.records: dict[str, RequestRecord] = {}
        self.stop_requested = threading.Event()
        self._number = number
        self._random = random.Random(f"{seed}/{number}")
        self._fleet = fleet
        self._data_centre = "abc"[number % 3]
        self._daemon_ports: list[int] = []
        self._resolved_s = -1.0
        self._connection: http.client.HTTPConnection | None = None
        self._daemon_port = 0

    def run(self) -> None:
        """Sends until told to end."""
        count = 0
        while not self.stop_requested.is_set():
            self._resolve()
            count += 1
            self._send(f"{self._number:04x}{count:08x}")
            self.stop_requested.wait(PAUSE_S)

    def _resolve(self) -> None:
        """Asks up to three daemons for addresses, and drops old ones."""
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

    def _send(self, request_id: str) -> None:
        record = RequestRecord(self._random.choice(PATHS))
        if not self._connect():
            return
        assert self._connection is not None
        self.records[request_id] = record
        method = "GET" if record.is_idempotent else "POST"
        headers = {
            "Host": gateway_fleet.HOST,
            platform_headers.REQUEST_ID.decode(): request_id,
            platform_headers.TIMEOUT_MS.decode(): str(int(TIMEOUT_S * 1000)),
        }
        try:
            self._connection.request(
                method,
                f"{record.path}?id={request_id}",
                None if method == "GET" else b"x",
                headers,
            )
            record.is_sent = True
            response = self._connection.getresponse()
            body = response.read()
            record.status = response.status
            response_headers = {k.lower(): v for k, v in response.getheaders()}
            record.response = (response_headers, _decode_json(body))
            if response.will_close:
                self._close()
        except (OSError, http.client.HTTPException):
            self._close()
        record.ended_s = time.monotonic()

    def _connect(self) -> bool:
        if self._connection is not None:
            return True
        if not self._daemon_ports:
            return False
        self._daemon_port = self._random.choice(self._daemon_ports)
        connection = http.client.HTTPConnection(
            fleet_harness.HOST, self._daemon_port, timeout=TIMEOUT_S + 1.0
        )
        # A closed connection must show, not be opened again unseen.
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


def _decode_json(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError:
        return None
