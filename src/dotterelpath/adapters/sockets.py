"""Options of TCP sockets."""

from __future__ import annotations

import asyncio
import socket

# A connection that went silent is found after IDLE + COUNT * INTERVAL, in
# seconds, which is shorter than callers' usual deadlines.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
UNACKNOWLEDGED_TIMEOUT_MS = 3000


def enable_keep_alive(transport: asyncio.BaseTransport) -> None:
    """Has the kernel end a connection whose other end went silent.

    Args:
        transport: The connection.
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
