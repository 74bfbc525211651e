"""Callers that pipeline requests, which take different times."""

from __future__ import annotations

import socket
import time

import h11

from dotterelpath.platform import headers as platform_headers
from soak import callers
from standins import fleet as fleet_harness
from standins import gateway_fleet

# Only requests that may run more than once are pipelined.
PATHS = ("/presses/1", "/moving/1")
MAX_BATCH = 10
# The durations of requests, in milliseconds: short ones behind long ones are
# ready early.
WORK_MS = (0, 20, 100, 400, 900)
# The longest pause before a further request of a batch, in seconds.
MAX_PAUSE_S = 0.2
READ_BYTES = 65536


class PipeliningCaller(callers.Caller):
    """A thread that keeps several requests outstanding on one connection."""

    def run(self) -> None:
        """Sends batches until `stop_requested` is set."""
        count = 0
        while not self.stop_requested.is_set():
            self._resolve()
            if self._daemon_ports:
                size = self._random.randint(1, MAX_BATCH)
                self._send_batch(count, size)
                count += size
            self.stop_requested.wait(callers.PAUSE_S)

    def _send_batch(self, first: int, size: int) -> None:
        """Sends requests on one connection, and reads their responses."""
        port = self._random.choice(self._daemon_ports)
        sent: list[callers.RequestRecord] = []
        try:
            with socket.create_connection(
                (fleet_harness.HOST, port), callers.TIMEOUT_S + 1.0
            ) as raw:
                for number in range(first, first + size):
                    sent.append(self._send_one(raw, number, bool(sent)))
                    time.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
                raw.settimeout(callers.TIMEOUT_S + 1.0)
                _read_all(raw, sent)
        except OSError:
            pass
        for record in sent:
            record.ended_s = time.monotonic()

    def _send_one(
        self, raw: socket.socket, number: int, is_behind: bool
    ) -> callers.RequestRecord:
        request_id = f"{self._number:04x}{number:08x}"
        path = self._random.choice(PATHS)
        work_ms = self._random.choice(WORK_MS)
        target = f"{path}?id={request_id}&work_ms={work_ms}"
        record = callers.RequestRecord(path, target)
        record.is_behind = is_behind
        self.records[request_id] = record
        key_lines = "".join(
            f"{name}: {value}\r\n"
            for name, value in self._add_key(record).items()
        )
        head = (
            f"GET {target} HTTP/1.1\r\nHost: {gateway_fleet.HOST}\r\n"
            f"{platform_headers.REQUEST_ID.decode()}: {request_id}\r\n"
            f"{platform_headers.TIMEOUT_MS.decode()}:"
            f" {int(callers.TIMEOUT_S * 1000)}\r\n{key_lines}\r\n"
        )
        raw.sendall(head.encode())
        record.is_sent = True
        return record


def _read_all(raw: socket.socket, sent: list[callers.RequestRecord]) -> None:
    """Reads the responses to requests, in order, up to one that closes."""
    unread = b""
    for record in sent:
        client = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method="GET", target=record.target, headers=[("Host", "h")]
        )
        client.send(request)
        client.send(h11.EndOfMessage())
        if unread:
            # h11 takes no bytes as the end of the connection.
            client.receive_data(unread)
        head, body = _read_one(raw, client)
        if head is None:
            return
        record.status = head.status_code
        fields = {
            name.decode(): value.decode("latin-1")
            for name, value in head.headers
        }
        record.response = (fields, callers.decode_json(body))
        if fields.get("connection") == "close":
            return
        unread = client.trailing_data[0]


def _read_one(
    raw: socket.socket, client: h11.Connection
) -> tuple[h11.Response | None, bytes]:
    """Reads a response; returns no head if the connection ends before."""
    head = None
    body = b""
    while True:
        try:
            event = client.next_event()
        except h11.RemoteProtocolError:
            return None, b""
        if event is h11.NEED_DATA:
            client.receive_data(raw.recv(READ_BYTES))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return head, body
        else:
            return None, b""
