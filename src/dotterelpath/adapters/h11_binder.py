"""Opens sockets that serve callers over HTTP/1.1."""

from __future__ import annotations

import asyncio
import errno
import os

from dotterelpath import errors
from dotterelpath.adapters import caller_codec
from dotterelpath.adapters import connection_guard
from dotterelpath.adapters import h11_frontend
from dotterelpath.adapters import input_scheduler
from dotterelpath.adapters import traffic
from dotterelpath.ports import frontend

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 1024 * 1024
# The most connections that wait to be accepted.
LISTEN_BACKLOG = 1024


class H11Binder:
    """Opens sockets that serve callers over HTTP/1.1."""

    __slots__ = (
        "_codec",
        "_guard",
        "_limits",
        "_scheduler",
        "_traffic_counter",
    )

    def __init__(
        self,
        codec: frontend.CallerCodec,
        limits: frontend.Limits,
        traffic_counter: traffic.TrafficCounter | None = None,
        guard: connection_guard.ConnectionGuard | None = None,
        scheduler: input_scheduler.Scheduler | None = None,
    ) -> None:
        """Creates a binder.

        Args:
            codec: Decodes requests and encodes responses.
            limits: Limits of each connection; later changes of the object
                apply to open connections too.
            traffic_counter: Counts the bytes written.
            guard: Limits the connections and the memory that they hold;
                without limits by default.
            scheduler: Decides when received bytes are processed; by default
                one for the connections of this binder.
        """
        self._scheduler = scheduler or input_scheduler.InputScheduler()
        self._codec = codec
        self._limits = limits
        self._traffic_counter = traffic_counter or traffic.TrafficCounter()
        self._guard = guard or connection_guard.ConnectionGuard()

    async def listen(
        self, host: str, port: int, listener: frontend.Listener
    ) -> asyncio.Server:
        """Listens for callers; see frontend.Binder."""
        loop = asyncio.get_running_loop()
        try:
            return await loop.create_server(
                lambda: h11_frontend.H11Connection(
                    listener,
                    self._codec,
                    self._limits,
                    self._traffic_counter,
                    self._guard,
                    self._scheduler,
                ),
                host,
                port,
                backlog=LISTEN_BACKLOG,
            )
        except OSError as error:
            if error.errno in (errno.EADDRINUSE, errno.EADDRNOTAVAIL):
                raise errors.DotterelpathError(
                    errors.ResultCode.ADDRESS_IN_USE,
                    f"cannot listen on {host}:{port}:"
                    f" {os.strerror(error.errno)}",
                ) from error
            raise


def native_binder(
    id_prefix: str,
    max_body_bytes: int = MAX_BODY_BYTES,
    guard: connection_guard.ConnectionGuard | None = None,
    head_timeout_s: float | None = None,
    idle_timeout_s: float | None = None,
    scheduler: input_scheduler.Scheduler | None = None,
) -> H11Binder:
    """Creates a binder that speaks the fleet's own protocol.

    Args:
        id_prefix: The prefix of the ids of this daemon's requests.
        max_body_bytes: The longest request body that is accepted, in bytes.
        guard: Limits the connections and the memory that they hold.
        head_timeout_s: See frontend.Limits.
        idle_timeout_s: See frontend.Limits.
        scheduler: Decides when received bytes are processed.

    Returns:
        The binder.
    """
    return H11Binder(
        caller_codec.CallerCodec(id_prefix),
        frontend.Limits(
            MAX_HEAD_BYTES, max_body_bytes, head_timeout_s, idle_timeout_s
        ),
        guard=guard,
        scheduler=scheduler,
    )
