"""Sets options of TCP sockets."""

from __future__ import annotations

import asyncio
import socket

# The kernel detects a dead connection after IDLE + COUNT * INTERVAL, which is
# shorter than the usual deadlines of callers.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
UNACKNOWLEDGED_TIMEOUT_MS = 3000


def enable_keep_alive(transport: asyncio.BaseTransport) -> None:
    """Lets the kernel close a connection whose peer no longer responds.

    Args:
        transport: The transport of the connection.
    """
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)
