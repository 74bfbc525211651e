"""Defines the daemon's settings and checks them at the start."""

from __future__ import annotations

import ipaddress
import re

import click

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
