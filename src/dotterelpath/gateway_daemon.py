"""The daemon on the users' platform: wires adapters to ports and tasks."""

from __future__ import annotations

import asyncio
import gc
import os
import pathlib
import random
import signal
import sys
import typing

import structlog
import uvloop

from dotterelpath import errors
from dotterelpath.adapters import api
from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import datagrams
from dotterelpath.adapters import gateway_status
from dotterelpath.adapters import h11_backend
from dotterelpath.adapters import h11_frontend
from dotterelpath.adapters import http_client
from dotterelpath.adapters import logs
from dotterelpath.adapters import metrics as metrics_adapter
from dotterelpath.adapters import store_client
from dotterelpath.adapters import traffic
from dotterelpath.domain import deployment
from dotterelpath.platform import caller_codec
from dotterelpath.platform import catalog as platform_catalog
from dotterelpath.platform import entry_api
from dotterelpath.platform import server_codec
from dotterelpath.platform import settings as platform_settings
from dotterelpath.platform import store_codec
from dotterelpath.ports import frontend
from dotterelpath.ports import store
from dotterelpath.tasks import backend_pool
from dotterelpath.tasks import front_end
from dotterelpath.tasks import gateway
from dotterelpath.tasks import gateway_shutdown
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import peer_monitor
from dotterelpath.tasks import registrar
from dotterelpath.tasks import self_registration
from dotterelpath.tasks import settings_watcher
from dotterelpath.tasks import store_reader
from dotterelpath.tasks import supervisor
from dotterelpath.tasks import timers

# The part of the store's rates that the fleet allows itself; the rest is for
# the operators and their other systems.
STORE_PART = 0.5
# Until a configuration sets them; the platform's usual values.
FIRST_LIMITS = (16 * 1024, 64 * 1024 * 1024, 3.0, 15.0)
# Requests of one connection that are worked on at once.
MAX_PIPELINED = 32
CONTROL_BODY_BYTES = 1024 * 1024
# A server in the same region answers a connection within a few milliseconds;
# work that waits longer for one is better off elsewhere, in seconds.
CONNECT_TIMEOUT_S = 0.3
# How lately a connection must have carried bytes to be trusted with work that
# must not run twice, in seconds; keep-alive probes find silence after this.
FRESH_S = 3.0

_log = structlog.get_logger()


class Inboxes:
    """The mailboxes of all tasks."""

    __slots__ = (
        "back_ends",
        "front_end",
        "gateway",
        "neighbourhood",
        "registrar",
        "store_reader",
    )

    def __init__(self) -> None:
        """Creates empty mailboxes."""
        for name in self.__slots__:
            setattr(self, name, mailbox.Mailbox(name))


class GatewayDaemon:
    """One daemon with its adapters and tasks."""

    __slots__ = (
        "_apis",
        "_client",
        "_clock",
        "_content",
        "_datagrams",
        "_deployment",
        "_front_end",
        "_gateway",
        "_inboxes",
        "_metrics",
        "_path",
        "_peer_monitor",
        "_random",
        "_settings_watcher",
        "_store",
        "_supervisor",
        "_traffic",
    )

    def __init__(
        self,
        placed: deployment.Deployment,
        path: pathlib.Path,
        content: bytes,
    ) -> None:
        """Creates a daemon that does not run yet.

        Args:
            placed: What the settings say.
            path: The settings file.
            content: What it held.
        """
        self._deployment = placed
        self._path = path
        self._content = content
        self._clock = clock_adapter.SystemClock()
        self._random = random.Random()
        self._metrics = metrics_adapter.Metrics()
        self._traffic = traffic.TrafficCounter()
        self._inboxes = Inboxes()
        self._supervisor = supervisor.Supervisor()
        self._client = http_client.HttpClient(self._clock)
        self._store = store_client.StoreClient(
            placed.store_endpoint.host,
            placed.store_endpoint.port,
            self._client,
            self._clock,
            self._metrics,
            store_codec.StoreCodec(),
            store.CallRates(
                placed.store_reads_per_s * STORE_PART,
                placed.store_writes_per_s * STORE_PART,
            ),
        )
        self._create_tasks()
        self._datagrams = datagrams.UdpDatagrams(
            placed.peer_endpoint.host,
            placed.peer_endpoint.port,
            self._peer_monitor,
        )
        self._peer_monitor.connect(self._datagrams)
        self._apis = self._create_apis()

    async def run(self) -> None:
        """Runs until a signal asks for a stop or a task dies.

        Raises:
            DotterelpathError: An address is in use, or a task died.
        """
        await self._front_end.listen()
        await self._datagrams.listen()
        for served in self._apis:
            await served.listen()
        self._start_tasks()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_stop)
        loop.add_signal_handler(signal.SIGHUP, self._settings_watcher.reload)
        gc.freeze()
        _log.info(
            "daemon started",
            daemon=self._deployment.daemon_id,
            data_centre=self._deployment.data_centre,
            listen=str(self._deployment.caller_endpoint),
        )
        try:
            await self._supervisor.wait()
        finally:
            await self._supervisor.cancel_all()
            for served in self._apis:
                served.close()
            self._datagrams.close()
            self._client.close()

    def _create_tasks(self) -> None:
        boxes = self._inboxes
        placed = self._deployment
        limits = frontend.Limits(*FIRST_LIMITS, MAX_PIPELINED, True)
        self._front_end = front_end.FrontEnd(
            h11_frontend.H11Binder(
                caller_codec.CallerCodec(), limits, self._traffic
            ),
            placed.caller_endpoint.host,
            placed.caller_endpoint.port,
            boxes.front_end,
            boxes.gateway,
            None,
            boxes.back_ends,
            limits,
        )
        self._gateway = gateway.Gateway(
            placed.data_centre,
            placed.bounds,
            server_codec.read_signs,
            self._clock,
            self._random,
            timers.Timers(self._clock, boxes.gateway),
            self._metrics,
            boxes.gateway,
            boxes.back_ends,
            boxes.neighbourhood,
        )
        self._peer_monitor = peer_monitor.PeerMonitor(
            placed,
            self._clock,
            self._clock.cpu_time_s,
            self._traffic.sent_bytes,
            boxes.neighbourhood,
            boxes.gateway,
            boxes.store_reader,
        )
        self._settings_watcher = settings_watcher.SettingsWatcher(
            self._path,
            self._content,
            platform_settings.read,
            (boxes.gateway, boxes.registrar),
        )

    def _create_apis(self) -> list[api.Api]:
        placed = self._deployment
        entry = entry_api.EntryApi(self._peer_monitor)
        status = gateway_status.GatewayStatus(
            self._gateway, self._peer_monitor, self._metrics
        )
        served = [
            (placed.readiness_endpoint, entry.ready_handlers),
            (placed.metrics_endpoint, status.handlers),
        ]
        if placed.directory_endpoint is not None:
            served.append((placed.directory_endpoint, entry.directory_handlers))
        binder = h11_frontend.native_binder(
            placed.daemon_id, CONTROL_BODY_BYTES
        )
        return [
            api.Api(binder, endpoint.host, endpoint.port, handlers)
            for endpoint, handlers in served
        ]

    def _start_tasks(self) -> None:
        boxes = self._inboxes
        start = self._supervisor.start
        start("gateway", self._gateway.run())
        start("front end", self._front_end.run())
        start("neighbourhood", self._peer_monitor.run())
        start("settings watcher", self._settings_watcher.run())
        pool = backend_pool.BackendPool(
            h11_backend.H11Connector(
                self._clock, server_codec.ServerCodec(), self._traffic
            ),
            self._clock,
            boxes.back_ends,
            boxes.gateway,
            backend_pool.Policy(FRESH_S, CONNECT_TIMEOUT_S),
        )
        start("back ends", pool.run())
        catalog = platform_catalog.Catalog()
        placed_bounds = self._deployment.bounds
        start("registrar", self._registrar(catalog).run())
        reader = store_reader.StoreReader(
            catalog.prefix,
            self._store,
            self._clock,
            self._random,
            boxes.store_reader,
            boxes.registrar,
            boxes.neighbourhood,
            min(placed_bounds.apply_s, placed_bounds.drain_s),
        )
        start("store reader", reader.run())
        daemon = self._deployment.daemon
        enrolled = self_registration.SelfRegistration(
            catalog.daemon_key(daemon.id),
            catalog.encode_daemon(daemon),
            self._store,
            self._random,
        )
        start("enroller", enrolled.run())

    def _registrar(
        self, catalog: platform_catalog.Catalog
    ) -> registrar.Registrar:
        boxes = self._inboxes
        return registrar.Registrar(
            self._deployment.bounds.drain_s,
            catalog,
            self._clock,
            timers.Timers(self._clock, boxes.registrar),
            boxes.registrar,
            (boxes.gateway, boxes.neighbourhood, boxes.front_end),
            boxes.neighbourhood,
        )

    def _on_stop(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            # A second signal stops the process at once.
            loop.remove_signal_handler(number)
        self._supervisor.start("stop", self._stop())

    async def _stop(self) -> None:
        bounds = self._deployment.bounds
        steps = gateway_shutdown.GatewayShutdown(
            self._clock,
            self._front_end,
            (self._inboxes.front_end, self._inboxes.neighbourhood),
            min(peer_monitor.ADDRESS_TTL_S, bounds.address_ttl_s),
            bounds.grace_s,
        )
        await steps.run()
        self._supervisor.stop()


def run(path: pathlib.Path) -> int:
    """Runs a daemon in this process.

    Args:
        path: The platform's settings file.

    Returns:
        The process's exit code.
    """
    writer = logs.configure("info", logs.STDOUT)
    try:
        content = path.read_bytes()
        placed = platform_settings.read(content)
    except (OSError, ValueError) as error:
        code = errors.ResultCode.BAD_SETTING
        _log.error("settings refused", code=int(code), error=str(error))
        return 1

    async def work() -> None:
        await GatewayDaemon(placed, path, content).run()

    try:
        uvloop.run(work())
    except errors.DotterelpathError as error:
        _log.error("daemon failed", code=int(error.code), error=error.detail)
        return 1
    finally:
        writer.flush()
    return 0


def main(arguments: typing.Sequence[str]) -> int:
    """Runs a daemon with the settings file that the platform names.

    Args:
        arguments: The path of another settings file, if there is one.

    Returns:
        The process's exit code.
    """
    named = os.environ.get(platform_settings.PATH_VARIABLE, "")
    path = arguments[0] if arguments else named
    if not path:
        print(f"set {platform_settings.PATH_VARIABLE}", file=sys.stderr)
        return 2
    return run(pathlib.Path(path))
