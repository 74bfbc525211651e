"""The port for what stands in the platform's store."""

from __future__ import annotations

import typing

from dotterelpath.domain import configuration
from dotterelpath.domain import registry
from dotterelpath.domain import steering
from dotterelpath.ports import store


class ConfigurationItem:
    """The operators' configuration."""

    __slots__ = ("configuration",)

    def __init__(self, configuration: configuration.Configuration) -> None:
        """Creates an item.

        Args:
            configuration: The configuration.
        """
        self.configuration = configuration


class InstanceItem:
    """An instance's entry."""

    __slots__ = ("entry", "id")

    def __init__(self, id: str, entry: registry.Entry | None) -> None:
        """Creates an item.

        Args:
            id: The instance's id.
            entry: Its entry; None where it was deleted.
        """
        self.id = id
        self.entry = entry


class DaemonItem:
    """A daemon's entry."""

    __slots__ = ("daemon", "id")

    def __init__(self, id: str, daemon: steering.Daemon | None) -> None:
        """Creates an item.

        Args:
            id: The daemon's id.
            daemon: Its entry; None where it was deleted.
        """
        self.id = id
        self.daemon = daemon


class InvalidItem:
    """An item that says nothing that could be believed."""

    __slots__ = ("instance_id", "key", "reason")

    def __init__(
        self, key: str, reason: str, instance_id: str | None = None
    ) -> None:
        """Creates an item.

        Args:
            key: Its key.
            reason: What is wrong with it.
            instance_id: The instance that it stands for, if it does.
        """
        self.key = key
        self.reason = reason
        self.instance_id = instance_id


Item = ConfigurationItem | InstanceItem | DaemonItem | InvalidItem


class StoreItemCodec(typing.Protocol):
    """Finds out what the items of the store are."""

    @property
    def prefix(self) -> str:
        """Begins all keys that matter."""

    def decode(self, item: store.VersionedValue) -> Item | None:
        """Reads an item.

        Args:
            item: The key with its value.

        Returns:
            What it says, or None where it does not concern the fleet.
        """

    def daemon_key(self, daemon_id: str) -> str:
        """Names the key of a daemon's entry.

        Args:
            daemon_id: The daemon.
        """

    def encode_daemon(self, daemon: steering.Daemon) -> str:
        """Writes a daemon's entry.

        Args:
            daemon: The daemon.

        Returns:
            The value.
        """
