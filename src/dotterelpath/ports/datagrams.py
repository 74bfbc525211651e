"""The port for short messages between daemons, any of which may be lost."""

from __future__ import annotations

import typing

from dotterelpath.domain import health_reports
from dotterelpath.domain import steering


class Ping:
    """Asks a daemon how it is."""

    __slots__ = ("sender_id", "sequence")

    def __init__(self, sender_id: str, sequence: int) -> None:
        """Creates a ping.

        Args:
            sender_id: Who asks.
            sequence: Names the question.
        """
        self.sender_id = sender_id
        self.sequence = sequence


class Pong:
    """Tells how a daemon is."""

    __slots__ = ("revision", "sender_id", "sequence", "state", "usage")

    def __init__(
        self,
        sender_id: str,
        sequence: int,
        state: steering.DaemonState,
        usage: steering.Resources,
        revision: int | None,
    ) -> None:
        """Creates an answer.

        Args:
            sender_id: Who answers.
            sequence: The question.
            state: What the daemon does.
            usage: What it uses of its processor and link.
            revision: The store's revision up to which it knows all changes;
                None where it does not watch the store.
        """
        self.sender_id = sender_id
        self.sequence = sequence
        self.state = state
        self.usage = usage
        self.revision = revision


class EvidenceReport:
    """Tells what a daemon saw of an instance."""

    __slots__ = ("evidence", "sender_id")

    def __init__(
        self, sender_id: str, seen: health_reports.HealthReport
    ) -> None:
        """Creates a message.

        Args:
            sender_id: Who saw it.
            seen: The observation.
        """
        self.sender_id = sender_id
        self.evidence = seen


Datagram = Ping | Pong | EvidenceReport


class Datagrams(typing.Protocol):
    """Sends short messages."""

    def send(self, host: str, port: int, datagram: Datagram) -> None:
        """Sends a message, which may be lost.

        Args:
            host: The receiver's IP address.
            port: Its port.
            datagram: The message.
        """


class Listener(typing.Protocol):
    """Hears short messages."""

    def on_datagram(self, host: str, port: int, datagram: Datagram) -> None:
        """A message came in.

        Args:
            host: The sender's IP address.
            port: Its port.
            datagram: The message.
        """
