"""Defines the daemon's settings and checks them at the start."""

from __future__ import annotations

import ipaddress
import re
import typing

import click

from dotterelpath.adapters import logs
from dotterelpath.adapters import process_limits
from dotterelpath.domain import deployment

MAX_PORT = 65535
_ID = re.compile(r"[A-Za-z0-9_-]{1,64}\Z")


class AddressType(click.ParamType):
    """Parses HOST:PORT from a flag or an environment variable."""

    __slots__ = ()

    name = "HOST:PORT"

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> deployment.Endpoint:
        """Parses an address; see click.ParamType."""
        host, _, port = str(value).rpartition(":")
        try:
            ipaddress.ip_address(host)
        except ValueError:
            self.fail(f"{value!r} does not start with an IP address")
        if (
            not (port.isascii() and port.isdigit())
            or not 0 < int(port) <= MAX_PORT
        ):
            self.fail(f"{value!r} does not end with a port from 1 to 65535")
        return deployment.Endpoint(host, int(port))


class DaemonIdType(click.ParamType):
    """Checks a daemon's id, which becomes part of the keys it issues."""

    __slots__ = ()

    name = "ID"

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Checks an id; see click.ParamType."""
        if not _ID.match(str(value)):
            self.fail(
                f"{value!r} is not 1 to 64 characters out of A-Z a-z 0-9 _ -"
            )
        return str(value)


class Settings:
    """The settings of a daemon."""

    __slots__ = (
        "control_listen",
        "daemon_id",
        "data_centre",
        "drain_grace_s",
        "drain_timeout_s",
        "listen",
        "log_level",
        "max_fds",
        "memory_bytes",
        "peer_listen",
        "store",
        "store_watchers",
        "vm_list",
    )

    def __init__(
        self,
        daemon_id: str,
        data_centre: str,
        listen: deployment.Endpoint,
        peer_listen: deployment.Endpoint,
        control_listen: deployment.Endpoint,
        store: deployment.Endpoint,
        store_watchers: int,
        vm_list: deployment.Endpoint,
        drain_grace_s: float,
        drain_timeout_s: float,
        log_level: str,
        memory_mb: float | None = None,
        max_fds: int | None = None,
    ) -> None:
        """Creates settings.

        Args:
            daemon_id: This daemon's id in the VM list.
            data_centre: The data centre of this daemon.
            listen: The address for callers.
            peer_listen: The address for other daemons.
            control_listen: The address for operators.
            store: The configuration store's address.
            store_watchers: How many daemons of the fleet watch the store.
            vm_list: The VM list's address.
            drain_grace_s: How long a daemon that shuts down still accepts
                callers, in seconds.
            drain_timeout_s: The longest wait for requests in flight, in
                seconds.
            log_level: The lowest level that is logged.
            memory_mb: The most memory that the process may use, in MB; None
                for that of the machine.
            max_fds: The most descriptors that it may open; None for as many
                as the system allows.
        """
        self.daemon_id = daemon_id
        self.data_centre = data_centre
        self.listen = listen
        self.peer_listen = peer_listen
        self.control_listen = control_listen
        self.store = store
        self.store_watchers = store_watchers
        self.vm_list = vm_list
        self.drain_grace_s = drain_grace_s
        self.drain_timeout_s = drain_timeout_s
        self.log_level = log_level
        self.memory_bytes = (
            process_limits.memory_bytes()
            if memory_mb is None
            else memory_mb * 1024 * 1024
        )
        self.max_fds: float = (
            process_limits.max_descriptors() if max_fds is None else max_fds
        )


_OPTIONS = (
    click.option(
        "--id",
        "daemon_id",
        type=DaemonIdType(),
        required=True,
        envvar="DOTTERELPATH_ID",
        help="This daemon's id in the VM list.",
    ),
    click.option(
        "--data-centre", required=True, help="This daemon's data centre."
    ),
    click.option(
        "--listen",
        type=AddressType(),
        required=True,
        help="The address for callers.",
    ),
    click.option(
        "--peer-listen",
        type=AddressType(),
        required=True,
        help="The address for other daemons.",
    ),
    click.option(
        "--control-listen",
        type=AddressType(),
        required=True,
        help="The address for operators.",
    ),
    click.option(
        "--store",
        type=AddressType(),
        required=True,
        help="The configuration store.",
    ),
    click.option(
        "--store-watchers",
        type=click.IntRange(1, 10_000),
        default=64,
        show_default=True,
        help="How many daemons of the fleet watch the store.",
    ),
    click.option(
        "--vm-list", type=AddressType(), required=True, help="The VM list."
    ),
    click.option(
        "--drain-grace-s",
        type=click.FloatRange(0.0, 300.0),
        default=2.0,
        show_default=True,
        help="How long a daemon that shuts down still accepts callers.",
    ),
    click.option(
        "--drain-timeout-s",
        type=click.FloatRange(0.1, 3600.0),
        default=30.0,
        show_default=True,
        help="The longest wait for requests in flight at a shutdown.",
    ),
    click.option(
        "--memory-mb",
        type=click.FloatRange(min=64.0),
        default=None,
        help="The memory of the process; by default that of the machine.",
    ),
    click.option(
        "--max-fds",
        type=click.IntRange(min=256),
        default=None,
        help="The most descriptors; by default those that the system allows.",
    ),
    click.option(
        "--log-level",
        type=click.Choice(logs.LEVELS),
        default="info",
        show_default=True,
    ),
)


def add_options(
    command: typing.Callable[..., typing.Any],
) -> typing.Callable[..., typing.Any]:
    """Adds the flags of all settings to a command.

    Args:
        command: Gets the values as keyword arguments.

    Returns:
        The command with the flags.
    """
    for option in reversed(_OPTIONS):
        command = option(command)
    return command
