"""The port that decodes the items of the platform's store.

An item is a key with its value; the value of an instance or a daemon is called
its entry.
"""

from __future__ import annotations

import typing

from dotterelpath.domain import configuration
from dotterelpath.domain import registry
from dotterelpath.domain import steering
from dotterelpath.ports import store


class ConfigurationItem:
    """The operators' configuration."""

    __slots__ = ("configuration", "tenant_faults", "unknown_request_kinds")

    def __init__(
        self,
        configuration: configuration.Configuration,
        unknown_request_kinds: dict[str, str] | None = None,
        tenant_faults: list[str] | None = None,
    ) -> None:
        """Creates an item.

        Args:
            configuration: The configuration.
            unknown_request_kinds: The unknown types by the name of their route;
                the requests of these routes run at most once.
            tenant_faults: What is wrong with tenants or keys that are left
                out, without the keys.
        """
        self.tenant_faults = tenant_faults or []
        self.configuration = configuration
        self.unknown_request_kinds = unknown_request_kinds or {}


class InstanceItem:
    """The entry of an instance."""

    __slots__ = ("entry", "id")

    def __init__(self, id: str, entry: registry.Entry | None) -> None:
        """Creates an item.

        Args:
            id: The instance's id.
            entry: The instance's entry; None if it was deleted.
        """
        self.id = id
        self.entry = entry


class DaemonItem:
    """The entry of a daemon."""

    __slots__ = ("daemon", "id")

    def __init__(self, id: str, daemon: steering.Daemon | None) -> None:
        """Creates an item.

        Args:
            id: The daemon's id.
            daemon: The daemon's entry; None if it was deleted.
        """
        self.id = id
        self.daemon = daemon


class InvalidItem:
    """An item with a malformed value."""

    __slots__ = ("instance_id", "key", "reason")

    def __init__(
        self, key: str, reason: str, instance_id: str | None = None
    ) -> None:
        """Creates an item.

        Args:
            key: The item's key.
            reason: What is wrong with the value.
            instance_id: The instance that the key names, if any.
        """
        self.key = key
        self.reason = reason
        self.instance_id = instance_id


Item = ConfigurationItem | InstanceItem | DaemonItem | InvalidItem


class StoreItemCodec(typing.Protocol):
    """Decodes the items of the store and encodes this daemon's own."""

    @property
    def prefix(self) -> str:
        """The prefix of all keys that concern the fleet."""

    def decode(self, item: store.VersionedValue) -> Item | None:
        """Decodes an item.

        Args:
            item: The key with its value.

        Returns:
            The decoded item, or None if it does not concern the fleet.
        """

    def daemon_key(self, daemon_id: str) -> str:
        """Returns the key of a daemon's entry.

        Args:
            daemon_id: The daemon's id.
        """

    def encode_daemon(self, daemon: steering.Daemon) -> str:
        """Encodes a daemon's entry.

        Args:
            daemon: The daemon.

        Returns:
            The value to store.
        """
