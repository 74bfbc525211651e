"""The daemon on the users' platform: creates adapters and runs tasks."""

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
from dotterelpath.adapters import connection_guard
from dotterelpath.adapters import datagrams
from dotterelpath.adapters import gateway_status
from dotterelpath.adapters import h11_backend
from dotterelpath.adapters import h11_binder
from dotterelpath.adapters import http_client
from dotterelpath.adapters import input_scheduler
from dotterelpath.adapters import logs
from dotterelpath.adapters import metrics as metrics_adapter
from dotterelpath.adapters import process_limits
from dotterelpath.adapters import store_client
from dotterelpath.adapters import store_copies
from dotterelpath.adapters import traffic
from dotterelpath.domain import caller_memory
from dotterelpath.domain import connection_limits
from dotterelpath.domain import deployment
from dotterelpath.domain import input_usage
from dotterelpath.platform import caller_codec
from dotterelpath.platform import discovery_api
from dotterelpath.platform import server_codec
from dotterelpath.platform import settings as platform_settings
from dotterelpath.platform import store_codec
from dotterelpath.platform import store_item_codec
from dotterelpath.ports import frontend
from dotterelpath.ports import store
from dotterelpath.tasks import backend_pool
from dotterelpath.tasks import front_end
from dotterelpath.tasks import gateway
from dotterelpath.tasks import gateway_inboxes
from dotterelpath.tasks import gateway_shutdown
from dotterelpath.tasks import loop_monitor
from dotterelpath.tasks import peer_monitor
from dotterelpath.tasks import registrar
from dotterelpath.tasks import self_registration
from dotterelpath.tasks import settings_watcher
from dotterelpath.tasks import store_reader
from dotterelpath.tasks import supervisor
from dotterelpath.tasks import timers

# The fraction of the store's call rates that the fleet uses; the rest is for
# the operators and their other systems.
STORE_RATE_FRACTION = 0.5
# The limits until the first configuration arrives, the platform's usual values:
# head and body size in bytes, head and idle timeout in seconds.
INITIAL_CALLER_LIMITS = (16 * 1024, 64 * 1024 * 1024, 3.0, 15.0)
# The lowest rate of a request body, in bytes per second: far below that of the
# slowest mobile network.
MIN_BODY_BYTES_PER_S = 100.0
# The most requests of one connection that are processed concurrently.
MAX_PIPELINED = 32
# The calls for readiness, look-up, metrics and status: the longest body in
# bytes, and the longest times for a head and between requests, in seconds.
MAX_STATUS_BODY_BYTES = 64 * 1024
STATUS_HEAD_TIMEOUT_S = 10.0
STATUS_IDLE_TIMEOUT_S = 60.0
# A server in the same region accepts a connection within a few milliseconds; a
# request that waits longer is better sent to another instance.
CONNECT_TIMEOUT_S = 0.3
# A request that must not run twice is sent only on a connection that received
# bytes within this time. Keep-alive probes detect a dead connection only after
# this time.
MAX_FRESH_AGE_S = 3.0

# The fraction of the process's memory that a response of the store may take up.
# It is copied once, and further calls may be in progress.
RESPONSE_MEMORY_FRACTION = 0.08

_log = structlog.get_logger()


class GatewayDaemon:
    """One gateway daemon with its adapters and tasks."""

    __slots__ = (
        "_api_servers",
        "_callers",
        "_client",
        "_clock",
        "_settings_content",
        "_datagrams",
        "_deployment",
        "_front_end",
        "_gateway",
        "_inboxes",
        "_input_usage",
        "_is_stopping",
        "_metrics",
        "_settings_path",
        "_peer_monitor",
        "_random",
        "_registrar",
        "_scheduler",
        "_settings_watcher",
        "_store",
        "_store_reader",
        "_supervisor",
        "_traffic",
    )

    def __init__(
        self,
        local_deployment: deployment.Deployment,
        path: pathlib.Path,
        content: bytes,
    ) -> None:
        """Creates a daemon; run starts it.

        Args:
            local_deployment: The parsed settings.
            path: The settings file, which is watched for changes.
            content: The content that local_deployment was parsed from.
        """
        self._deployment = local_deployment
        self._settings_path = path
        self._settings_content = content
        self._clock = clock_adapter.SystemClock()
        self._random = random.Random()
        self._metrics = metrics_adapter.Metrics()
        self._traffic = traffic.TrafficCounter()
        self._callers = connection_guard.CallerRegistry(
            caller_memory.for_process(local_deployment.memory_bytes),
            self._metrics,
        )
        self._input_usage = input_usage.InputUsage()
        self._scheduler = input_scheduler.InputScheduler(self._input_usage)
        self._inboxes = gateway_inboxes.Inboxes()
        self._is_stopping = False
        self._supervisor = supervisor.Supervisor()
        self._client = http_client.HttpClient(
            self._clock,
            max_response_bytes(local_deployment.memory_bytes),
            self._scheduler,
        )
        self._store = store_client.StoreClient(
            local_deployment.store_endpoint.host,
            local_deployment.store_endpoint.port,
            self._client,
            self._clock,
            self._metrics,
            store_codec.StoreCodec(),
            store.CallRates(
                local_deployment.store_reads_per_s * STORE_RATE_FRACTION,
                local_deployment.store_writes_per_s * STORE_RATE_FRACTION,
            ),
        )
        self._create_tasks()
        self._datagrams = datagrams.UdpDatagrams(
            local_deployment.peer_endpoint.host,
            local_deployment.peer_endpoint.port,
            self._peer_monitor,
        )
        self._peer_monitor.connect(self._datagrams)
        self._api_servers = self._create_api_servers()

    async def run(self) -> None:
        """Runs until a signal requests a shutdown or a task fails.

        Raises:
            DotterelpathError: An address is in use, or a task failed.
        """
        await self._front_end.listen()
        await self._datagrams.listen()
        for server in self._api_servers:
            await server.listen()
        self._start_tasks()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)
        loop.add_signal_handler(signal.SIGHUP, self._settings_watcher.reload)
        # Excludes the objects created so far from garbage collection, as each
        # collection that traverses them would delay requests.
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
            for server in self._api_servers:
                server.close()
            self._datagrams.close()
            self._client.close()

    def _create_tasks(self) -> None:
        inboxes = self._inboxes
        local_deployment = self._deployment
        limits = frontend.Limits(
            *INITIAL_CALLER_LIMITS,
            MAX_PIPELINED,
            True,
            MIN_BODY_BYTES_PER_S,
            local_deployment.bounds.stall_s,
        )
        self._front_end = front_end.FrontEnd(
            h11_binder.H11Binder(
                caller_codec.CallerCodec(),
                limits,
                self._traffic,
                self._guard(connection_limits.CALLER_FRACTION),
                self._scheduler,
            ),
            local_deployment.caller_endpoint.host,
            local_deployment.caller_endpoint.port,
            inboxes.front_end,
            inboxes.gateway,
            None,
            inboxes.back_ends,
            limits,
        )
        self._gateway = gateway.Gateway(
            local_deployment.data_centre,
            local_deployment.bounds,
            server_codec.decode_metadata,
            self._clock,
            self._random,
            timers.Timers(self._clock, inboxes.gateway),
            self._metrics,
            inboxes.gateway,
            inboxes.back_ends,
            inboxes.neighbourhood,
        )
        self._peer_monitor = peer_monitor.PeerMonitor(
            local_deployment,
            self._clock,
            self._clock.cpu_time_s,
            self._traffic.sent_bytes,
            inboxes.neighbourhood,
            inboxes.gateway,
            inboxes.store_reader,
        )
        self._registrar = self._create_registrar()
        self._store_reader = self._create_store_reader()
        self._settings_watcher = settings_watcher.SettingsWatcher(
            self._settings_path,
            self._settings_content,
            local_deployment.bounds,
            platform_settings.parse,
            (
                inboxes.gateway,
                inboxes.neighbourhood,
                inboxes.registrar,
                inboxes.store_reader,
            ),
        )

    def _create_api_servers(self) -> list[api.Api]:
        local_deployment = self._deployment
        discovery = discovery_api.DiscoveryApi(self._peer_monitor)
        status = gateway_status.GatewayStatus(
            self._gateway,
            self._peer_monitor,
            self._registrar,
            self._metrics,
            self._callers,
        )
        status_fraction = connection_limits.STATUS_FRACTION
        servers = [
            (
                local_deployment.readiness_endpoint,
                discovery.ready_handlers,
                status_fraction,
            ),
            (
                local_deployment.metrics_endpoint,
                status.handlers,
                status_fraction,
            ),
            (
                local_deployment.peer_endpoint,
                store_copies.StoreCopyApi(self._store_reader).handlers,
                connection_limits.PEER_FRACTION,
            ),
        ]
        if local_deployment.directory_endpoint is not None:
            servers.append(
                (
                    local_deployment.directory_endpoint,
                    discovery.resolve_handlers,
                    connection_limits.DIRECTORY_FRACTION,
                )
            )
        return [
            api.Api(
                h11_binder.native_binder(
                    local_deployment.daemon_id,
                    MAX_STATUS_BODY_BYTES,
                    self._guard(fraction),
                    STATUS_HEAD_TIMEOUT_S,
                    STATUS_IDLE_TIMEOUT_S,
                    self._scheduler,
                ),
                endpoint.host,
                endpoint.port,
                handlers,
            )
            for endpoint, handlers, fraction in servers
        ]

    def _guard(self, fraction: float) -> connection_guard.ConnectionGuard:
        """Creates the limits of a listening socket.

        Args:
            fraction: Its part of the descriptors.
        """
        max_descriptors = self._deployment.max_descriptors
        if max_descriptors is None:
            max_descriptors = process_limits.max_descriptors()
        return connection_guard.ConnectionGuard(
            self._callers,
            connection_limits.share_descriptors(max_descriptors, fraction),
        )

    def _start_tasks(self) -> None:
        inboxes = self._inboxes
        start = self._supervisor.start
        start("gateway", self._gateway.run())
        start("front end", self._front_end.run())
        start("neighbourhood", self._peer_monitor.run())
        start("settings watcher", self._settings_watcher.run())
        monitor = loop_monitor.LoopMonitor(
            self._clock, self._metrics, self._input_usage
        )
        start("loop monitor", monitor.run())
        pool = backend_pool.BackendPool(
            h11_backend.H11Connector(
                self._clock,
                server_codec.ServerCodec(),
                self._traffic,
                self._callers.memory,
                self._scheduler,
            ),
            self._clock,
            inboxes.back_ends,
            inboxes.gateway,
            backend_pool.ConnectionLimits(MAX_FRESH_AGE_S, CONNECT_TIMEOUT_S),
        )
        start("back ends", pool.run())
        item_codec = store_item_codec.StoreItemCodec()
        start("registrar", self._registrar.run())
        start("store reader", self._store_reader.run())
        daemon = self._deployment.daemon
        registration = self_registration.SelfRegistration(
            item_codec.daemon_key(daemon.id),
            item_codec.encode_daemon(daemon),
            self._store,
            self._random,
            inboxes.enroller,
        )
        # Log lines call this task "enroller".
        start("enroller", registration.run())

    def _create_store_reader(self) -> store_reader.StoreReader:
        inboxes = self._inboxes
        local_deployment = self._deployment
        return store_reader.StoreReader(
            store_item_codec.StoreItemCodec().prefix,
            self._store,
            self._clock,
            self._random,
            inboxes.store_reader,
            inboxes.registrar,
            inboxes.neighbourhood,
            local_deployment.bounds.store_apply_s,
            local_deployment.bounds.is_revocation_strict,
            local_deployment.daemon_id,
            store_copies.StoreCopyClient(
                self._client,
                max_response_bytes(local_deployment.memory_bytes),
                self._metrics,
            ),
        )

    def _create_registrar(self) -> registrar.Registrar:
        inboxes = self._inboxes
        return registrar.Registrar(
            self._deployment.bounds.drain_s,
            store_item_codec.StoreItemCodec(),
            self._clock,
            timers.Timers(self._clock, inboxes.registrar),
            self._metrics,
            inboxes.registrar,
            (inboxes.gateway, inboxes.neighbourhood, inboxes.front_end),
            inboxes.neighbourhood,
            inboxes.enroller,
        )

    def _on_signal(self) -> None:
        if self._is_stopping:
            _log.info("stop already began")
            return
        self._is_stopping = True
        # A second interrupt from a terminal ends the process immediately.
        asyncio.get_running_loop().remove_signal_handler(signal.SIGINT)
        self._supervisor.start("stop", self._shut_down())

    async def _shut_down(self) -> None:
        # The file may have changed just before, without a signal.
        self._settings_watcher.reread()
        bounds = self._settings_watcher.bounds
        graceful_shutdown = gateway_shutdown.GatewayShutdown(
            self._clock,
            self._front_end,
            (self._inboxes.front_end, self._inboxes.neighbourhood),
            self._inboxes.gateway,
            min(peer_monitor.ADDRESS_TTL_S, bounds.address_ttl_s),
            bounds.grace_s,
        )
        await graceful_shutdown.run()
        self._supervisor.stop()


def run(path: pathlib.Path) -> int:
    """Runs a daemon in this process.

    Args:
        path: The platform's settings file.

    Returns:
        The exit code of the process.
    """
    log_writer = logs.configure("info", logs.STDOUT)
    try:
        content = path.read_bytes()
        local_deployment = platform_settings.parse(content)
    except (OSError, ValueError) as error:
        code = errors.ResultCode.BAD_SETTING
        _log.error("settings refused", code=int(code), error=str(error))
        return 1

    async def run_daemon() -> None:
        await GatewayDaemon(local_deployment, path, content).run()

    try:
        uvloop.run(run_daemon())
    except errors.DotterelpathError as error:
        _log.error("daemon failed", code=int(error.code), error=error.detail)
        return 1
    finally:
        log_writer.flush()
    return 0


def main(arguments: typing.Sequence[str]) -> int:
    """Runs a daemon with the settings file that the environment names.

    Args:
        arguments: The path of the settings file to use instead, if any.

    Returns:
        The exit code of the process.
    """
    default_path = os.environ.get(platform_settings.PATH_VARIABLE, "")
    path = arguments[0] if arguments else default_path
    if not path:
        print(
            f"no settings file: set {platform_settings.PATH_VARIABLE}",
            file=sys.stderr,
        )
        return 2
    return run(pathlib.Path(path))


def max_response_bytes(memory_bytes: float) -> int:
    """Returns the longest response of the store that is accepted, in bytes.

    Args:
        memory_bytes: The most memory that this process may use, in bytes.
    """
    return int(
        min(
            http_client.DEFAULT_MAX_RESPONSE_BYTES,
            memory_bytes * RESPONSE_MEMORY_FRACTION,
        )
    )
