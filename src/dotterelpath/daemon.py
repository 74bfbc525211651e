"""The daemon with the fleet's own interface: creates adapters, runs tasks.

It runs on entry VMs, the VMs that callers connect to.
"""

from __future__ import annotations

import asyncio
import gc
import random
import secrets
import signal
import sys
import typing

import click
import structlog
import uvloop

from dotterelpath import errors
from dotterelpath.adapters import api
from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import connection_guard
from dotterelpath.adapters import control_api
from dotterelpath.adapters import document_codec as codec_adapter
from dotterelpath.adapters import h11_backend
from dotterelpath.adapters import h11_binder
from dotterelpath.adapters import http_client
from dotterelpath.adapters import input_scheduler
from dotterelpath.adapters import logs
from dotterelpath.adapters import metrics as metrics_adapter
from dotterelpath.adapters import peer_api
from dotterelpath.adapters import peer_client
from dotterelpath.adapters import settings as settings_adapter
from dotterelpath.adapters import store_client
from dotterelpath.adapters import vm_list_client
from dotterelpath.domain import caller_memory
from dotterelpath.domain import connection_limits
from dotterelpath.domain import input_usage
from dotterelpath.domain import keys
from dotterelpath.tasks import address_directory
from dotterelpath.tasks import backend_pool
from dotterelpath.tasks import dispatcher
from dotterelpath.tasks import document_editor
from dotterelpath.tasks import document_loader
from dotterelpath.tasks import ejection_coordinator
from dotterelpath.tasks import front_end
from dotterelpath.tasks import gossip
from dotterelpath.tasks import key_claimer
from dotterelpath.tasks import loop_monitor
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import peer_forwarder
from dotterelpath.tasks import shutdown
from dotterelpath.tasks import store_watcher
from dotterelpath.tasks import supervisor
from dotterelpath.tasks import ticker
from dotterelpath.tasks import timers
from dotterelpath.tasks import vm_watcher

# The longest time for the head of a request, in seconds.
HEAD_TIMEOUT_S = 10.0
# A hand-off carries all records of a home in one body.
MAX_PEER_BODY_BYTES = 64 * 1024 * 1024
MAX_CONTROL_BODY_BYTES = 1024 * 1024
# The interval of the checks for the document, and the delay between its arrival
# and the freeze of the garbage collector.
MEMORY_FREEZE_DELAY_S = 1.0

_log = structlog.get_logger()


class Inboxes:
    """The mailboxes of the tasks, one for each attribute.

    Errors and log lines show the attribute as the name of the mailbox or of its
    task. Some attributes differ from the class of the task: back_ends belongs
    to BackendPool, claims to KeyClaimer, directory to AddressDirectory, editor
    to DocumentEditor, keeper to DocumentLoader, peer_link to PeerForwarder,
    peer_replies to PeerApi, and steward to EjectionCoordinator.
    """

    __slots__ = (
        "back_ends",
        "claims",
        "directory",
        "dispatcher",
        "editor",
        "front_end",
        "gossip",
        "keeper",
        "peer_link",
        "peer_replies",
        "steward",
        "store_watcher",
    )

    def __init__(self) -> None:
        """Creates empty mailboxes, which are named after the attributes."""
        for name in self.__slots__:
            setattr(self, name, mailbox.Mailbox(name))


class Daemon:
    """One daemon with its adapters and tasks."""

    __slots__ = (
        "_callers",
        "_client",
        "_clock",
        "_codec",
        "_control_server",
        "_dispatcher",
        "_front_end",
        "_gossip",
        "_home",
        "_inboxes",
        "_input_usage",
        "_is_stopping",
        "_document_loader",
        "_metrics",
        "_peer_api",
        "_peer_server",
        "_peers",
        "_scheduler",
        "_settings",
        "_ejection_coordinator",
        "_store",
        "_supervisor",
    )

    def __init__(self, settings: settings_adapter.Settings) -> None:
        """Creates a daemon; run starts it.

        Args:
            settings: The daemon's settings.
        """
        self._settings = settings
        self._clock = clock_adapter.SystemClock()
        incarnation = keys.new_incarnation(
            self._clock.wall_s(), secrets.randbelow(65536)
        )
        self._home = keys.Home(settings.daemon_id, incarnation)
        self._codec = codec_adapter.DocumentCodec()
        self._metrics = metrics_adapter.Metrics()
        self._callers = connection_guard.CallerRegistry(
            caller_memory.for_process(settings.memory_bytes), self._metrics
        )
        self._input_usage = input_usage.InputUsage()
        self._scheduler = input_scheduler.InputScheduler(self._input_usage)
        self._inboxes = Inboxes()
        self._is_stopping = False
        self._supervisor = supervisor.Supervisor()
        self._client = http_client.HttpClient(
            self._clock, scheduler=self._scheduler
        )
        self._store = store_client.StoreClient(
            settings.store.host,
            settings.store.port,
            self._client,
            self._clock,
            self._metrics,
        )
        self._peers = peer_client.PeerClient(
            self._home, settings.data_centre, self._client, self._codec
        )
        self._create_tasks()
        self._create_servers()

    async def run(self) -> None:
        """Runs until a signal requests a shutdown or a task fails.

        Raises:
            DotterelpathError: An address is in use, or a task failed.
        """
        await self._front_end.listen()
        await self._peer_server.listen()
        await self._control_server.listen()
        self._start_tasks()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)
        _log.info(
            "daemon started",
            daemon=repr(self._home),
            data_centre=self._settings.data_centre,
            listen=str(self._settings.listen),
        )
        try:
            await self._supervisor.wait()
        finally:
            await self._supervisor.cancel_all()
            self._peer_server.close()
            self._control_server.close()
            self._client.close()

    def _create_tasks(self) -> None:
        inboxes = self._inboxes
        settings = self._settings
        self._dispatcher = dispatcher.Dispatcher(
            self._home,
            self._clock,
            random.Random(),
            timers.Timers(self._clock, inboxes.dispatcher),
            self._metrics,
            inboxes.dispatcher,
            inboxes.back_ends,
            inboxes.peer_link,
            inboxes.claims,
            inboxes.steward,
        )
        self._front_end = front_end.FrontEnd(
            self._binder(connection_limits.CALLER_FRACTION),
            settings.listen.host,
            settings.listen.port,
            inboxes.front_end,
            inboxes.dispatcher,
            inboxes.directory,
            inboxes.back_ends,
        )
        self._document_loader = document_loader.DocumentLoader(
            settings.daemon_id,
            self._store,
            self._peers,
            self._codec,
            inboxes.keeper,
            (
                inboxes.dispatcher,
                inboxes.directory,
                inboxes.gossip,
                inboxes.steward,
            ),
        )
        self._gossip = gossip.Gossip(
            self._home,
            settings.data_centre,
            self._peers,
            self._clock,
            inboxes.gossip,
            inboxes.keeper,
            (
                inboxes.dispatcher,
                inboxes.directory,
                inboxes.steward,
                inboxes.store_watcher,
            ),
        )
        self._ejection_coordinator = ejection_coordinator.EjectionCoordinator(
            settings.daemon_id,
            self._store,
            self._peers,
            self._codec,
            self._clock,
            inboxes.steward,
            (inboxes.dispatcher, inboxes.gossip),
        )

    def _create_servers(self) -> None:
        inboxes = self._inboxes
        settings = self._settings
        self._peer_api = peer_api.PeerApi(
            self._clock,
            self._codec,
            self._document_loader,
            self._ejection_coordinator,
            self._dispatcher.record_tables,
            inboxes.peer_replies,
            inboxes.dispatcher,
            inboxes.gossip,
            inboxes.steward,
        )
        self._peer_server = api.Api(
            self._binder(connection_limits.PEER_FRACTION, MAX_PEER_BODY_BYTES),
            settings.peer_listen.host,
            settings.peer_listen.port,
            self._peer_api.handlers,
        )
        control = control_api.ControlApi(
            inboxes.editor,
            self._document_loader,
            self._dispatcher,
            self._gossip,
            self._ejection_coordinator,
            self._metrics,
            self._callers,
        )
        self._control_server = api.Api(
            self._binder(
                connection_limits.STATUS_FRACTION, MAX_CONTROL_BODY_BYTES
            ),
            settings.control_listen.host,
            settings.control_listen.port,
            control.handlers,
        )

    def _binder(
        self, fraction: float, max_body_bytes: int = h11_binder.MAX_BODY_BYTES
    ) -> h11_binder.H11Binder:
        """Creates the binder of a listening socket.

        Args:
            fraction: The part of the descriptors for its connections.
            max_body_bytes: The longest request body, in bytes.
        """
        max_connections = connection_limits.share_descriptors(
            self._settings.max_fds, fraction
        )
        return h11_binder.native_binder(
            self._settings.daemon_id,
            max_body_bytes,
            connection_guard.ConnectionGuard(self._callers, max_connections),
            HEAD_TIMEOUT_S,
            scheduler=self._scheduler,
        )

    def _start_tasks(self) -> None:
        inboxes = self._inboxes
        start = self._supervisor.start
        start("dispatcher", self._dispatcher.run())
        start("front end", self._front_end.run())
        start("keeper", self._document_loader.run())
        start("gossip", self._gossip.run())
        start("steward", self._ejection_coordinator.run())
        start("peer api", self._peer_api.run())
        start("back ends", self._create_backend_pool().run())
        start("claims", self._create_key_claimer().run())
        editor = document_editor.DocumentEditor(
            self._store, self._codec, inboxes.editor, inboxes.keeper
        )
        start("editor", editor.run())
        start("directory", self._create_address_directory().run())
        forwarder = peer_forwarder.PeerForwarder(
            self._peers, inboxes.peer_link, inboxes.dispatcher
        )
        start("peer link", forwarder.run())
        start("store watcher", self._create_store_watcher().run())
        start("vm watcher", self._create_vm_watcher().run())
        start("memory", self._freeze_memory())
        monitor = loop_monitor.LoopMonitor(
            self._clock, self._metrics, self._input_usage
        )
        start("loop monitor", monitor.run())
        for inbox, period_s in (
            (inboxes.gossip, gossip.ROUND_INTERVAL_S),
            (inboxes.steward, ejection_coordinator.ROUND_INTERVAL_S),
            (inboxes.keeper, document_loader.RETRY_INTERVAL_S),
        ):
            start(
                f"ticker of {inbox.name}", ticker.post_rounds(inbox, period_s)
            )

    def _create_backend_pool(self) -> backend_pool.BackendPool:
        return backend_pool.BackendPool(
            h11_backend.H11Connector(
                self._clock,
                memory=self._callers.memory,
                scheduler=self._scheduler,
            ),
            self._clock,
            self._inboxes.back_ends,
            self._inboxes.dispatcher,
        )

    def _create_key_claimer(self) -> key_claimer.KeyClaimer:
        return key_claimer.KeyClaimer(
            self._home,
            self._store,
            self._inboxes.claims,
            self._inboxes.dispatcher,
        )

    def _create_address_directory(self) -> address_directory.AddressDirectory:
        return address_directory.AddressDirectory(
            self._home,
            self._settings.data_centre,
            self._peers,
            self._clock,
            self._inboxes.directory,
        )

    def _create_store_watcher(self) -> store_watcher.StoreWatcher:
        inboxes = self._inboxes
        return store_watcher.StoreWatcher(
            self._settings.daemon_id,
            self._settings.store_watchers,
            self._store,
            self._codec,
            self._clock,
            inboxes.store_watcher,
            inboxes.keeper,
            inboxes.gossip,
            (inboxes.dispatcher, inboxes.gossip, inboxes.steward),
        )

    def _create_vm_watcher(self) -> vm_watcher.VmWatcher:
        inboxes = self._inboxes
        client = vm_list_client.VmListClient(
            self._settings.vm_list.host,
            self._settings.vm_list.port,
            self._client,
        )
        return vm_watcher.VmWatcher(
            client,
            (
                inboxes.dispatcher,
                inboxes.directory,
                inboxes.gossip,
                inboxes.keeper,
                inboxes.steward,
            ),
        )

    async def _freeze_memory(self) -> None:
        """Excludes long-lived objects from garbage collection.

        The document and the VM list are large; a collection that traverses
        them would delay requests.
        """
        while self._document_loader.head is None:  # noqa: ASYNC110
            await asyncio.sleep(MEMORY_FREEZE_DELAY_S)
        await asyncio.sleep(MEMORY_FREEZE_DELAY_S)
        gc.collect()
        gc.freeze()

    def _on_signal(self) -> None:
        if self._is_stopping:
            _log.info("stop already began")
            return
        self._is_stopping = True
        # A second interrupt from a terminal ends the process immediately.
        asyncio.get_running_loop().remove_signal_handler(signal.SIGINT)
        self._supervisor.start("shutdown", self._shut_down())

    async def _shut_down(self) -> None:
        graceful_shutdown = shutdown.Shutdown(
            self._clock,
            self._peers,
            self._front_end,
            self._inboxes.front_end,
            self._gossip,
            self._inboxes.gossip,
            self._inboxes.dispatcher,
            self._settings.drain_grace_s,
            self._settings.drain_timeout_s,
        )
        await graceful_shutdown.run()
        self._supervisor.stop()


def run(settings: settings_adapter.Settings) -> int:
    """Runs a daemon in this process.

    Args:
        settings: The daemon's settings.

    Returns:
        The exit code of the process.
    """
    logs.configure(settings.log_level, logs.STDERR)

    async def run_daemon() -> None:
        await Daemon(settings).run()

    try:
        uvloop.run(run_daemon())
    except errors.DotterelpathError as error:
        _log.error("daemon failed", code=int(error.code), error=error.detail)
        return 1
    return 0


@click.command(context_settings={"auto_envvar_prefix": "DOTTERELPATH"})
@settings_adapter.add_options
@click.version_option(package_name="dotterelpath")
def main(**options: typing.Any) -> None:
    """Runs a daemon of the fleet on this entry VM."""
    sys.exit(run(settings_adapter.Settings(**options)))


if __name__ == "__main__":
    main()
