"""Clients that send requests and read the responses slowly or not at all."""

from __future__ import annotations

import contextlib
import os
import pathlib
import re
import select
import socket
import time

RECEIVE_BUFFER_BYTES = 4096
# The segment size of an Ethernet link. With that of the loopback device, the
# kernel alone holds 2.5 MB of responses for each connection.
SEGMENT_BYTES = 1400
# A crowd has sent what it can once nobody took a byte for this long.
STALL_S = 2.0
# The longest wait for a daemon that processes what it was sent.
MAX_WAIT_S = 120.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Client:
    """A connection on which a request is repeated.

    Attributes:
        raw: The socket.
        received: What was read.
        is_ended: Whether the daemon has closed the connection.
    """

    def __init__(self, port, request, count):
        """Connects and prepares a request to be sent a number of times."""
        self.raw = socket.socket()
        for level, option, value in (
            (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
            (socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES),
        ):
            self.raw.setsockopt(level, option, value)
        self.raw.settimeout(5.0)
        self.is_ended = False
        self.received = bytearray()
        self._request = request
        self._left = count
        self._unsent = memoryview(b"")
        try:
            self.raw.connect(("127.0.0.1", port))
        except OSError:
            self.is_ended = True
        self.raw.setblocking(False)

    @property
    def wants_to_send(self):
        """Whether there is more to send."""
        return not self.is_ended and bool(self._unsent or self._left)

    def send(self):
        """Sends as much as the daemon takes now; returns the bytes sent."""
        if not self._unsent:
            batch = min(self._left, 1 + 65536 // len(self._request))
            self._left -= batch
            self._unsent = memoryview(self._request * batch)
        try:
            sent = self.raw.send(self._unsent)
        except BlockingIOError:
            return 0
        except OSError:
            self.is_ended = True
            return 0
        self._unsent = self._unsent[sent:]
        return sent

    def read(self, size):
        """Reads some bytes if there are any; returns their number."""
        try:
            data = self.raw.recv(size)
        except BlockingIOError:
            return 0
        except OSError:
            data = b""
        self.is_ended = self.is_ended or not data
        self.received += data
        return len(data)


class Crowd:
    """Clients that send at the same time."""

    def __init__(self, port, count, request, each):
        """Opens connections, each of which sends a request several times."""
        self.clients = [Client(port, request, each) for _ in range(count)]

    def send_all(self, stall_s=STALL_S):
        """Sends until all is sent, or nothing was taken for a time."""
        stalled_s = time.monotonic() + stall_s
        while time.monotonic() < stalled_s:
            senders = {c.raw: c for c in self.clients if c.wants_to_send}
            if not senders:
                return
            _, ready, _ = select.select([], senders, [], 0.1)
            if sum(senders[raw].send() for raw in ready):
                stalled_s = time.monotonic() + stall_s

    def read_for(self, duration_s, size, pause_s=0.0):
        """Reads some bytes of each connection again and again."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            readers = {c.raw: c for c in self.clients if not c.is_ended}
            if not readers:
                return
            ready, _, _ = select.select(readers, [], [], 0.1)
            for raw in ready:
                readers[raw].read(size)
            time.sleep(pause_s)

    def leave(self):
        """Closes all connections."""
        for client in self.clients:
            client.raw.close()


class Watch:
    """Reads the memory and the descriptors of a process."""

    def __init__(self, process):
        """Watches a process that was started by the caller."""
        self._process = process

    @property
    def is_alive(self):
        """Whether the process runs."""
        return self._process.poll() is None

    def memory_mb(self, name="VmHWM"):
        """Returns the peak (VmHWM) or present (VmRSS) memory, in MB."""
        path = pathlib.Path(f"/proc/{self._process.pid}/status")
        found = re.search(rf"{name}:\s+(\d+) kB", path.read_text())
        return int(found[1]) / 1024.0 if found else 0.0

    def wait_until_idle(self):
        """Waits until the process has processed what it was sent.

        It is idle once it used less than a fifth of a core for a second.
        """
        end_s = time.monotonic() + MAX_WAIT_S
        while self.is_alive and time.monotonic() < end_s:
            used_s = self._cpu_s()
            time.sleep(1.0)
            if self._cpu_s() - used_s < 0.2:
                return

    def _cpu_s(self):
        path = pathlib.Path(f"/proc/{self._process.pid}/stat")
        fields = path.read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def count_descriptors(self):
        """Counts the open descriptors."""
        folder = pathlib.Path(f"/proc/{self._process.pid}/fd")
        with contextlib.suppress(FileNotFoundError):
            return len(list(folder.iterdir()))
        return 0
