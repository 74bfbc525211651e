"""The port for the other daemons of the fleet."""

from __future__ import annotations

import typing

from dotterelpath.domain import document
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import ledger
from dotterelpath.domain import members
from dotterelpath.domain import records
from dotterelpath.domain import vms


class PeerUnreachableError(Exception):
    """A peer could not be reached, so it did not get the message."""


class PeerNoResponseError(Exception):
    """A peer may have got the message and did not answer."""


class HandOff:
    """The records of one home, on their way to a successor."""

    __slots__ = ("age_s", "home", "is_closed", "min_epoch", "records")

    def __init__(
        self,
        home: keys.Home,
        age_s: float,
        min_epoch: int,
        is_closed: bool,
        records: dict[str, records.Record],
    ) -> None:
        """Creates a hand-off.

        Args:
            home: The home whose records these are.
            age_s: Seconds since that home started.
            min_epoch: The oldest epoch whose keys may start.
            is_closed: Whether the successor may only give kept outcomes.
            records: All records by scoped key.
        """
        self.home = home
        self.age_s = age_s
        self.min_epoch = min_epoch
        self.is_closed = is_closed
        self.records = records


class Snapshot:
    """What is in force at a daemon."""

    __slots__ = ("head", "ledgers")

    def __init__(
        self, head: document.Head | None, ledgers: list[ledger.Ledger]
    ) -> None:
        """Creates a snapshot.

        Args:
            head: The head of the document, if there is one.
            ledgers: The ledgers of all services.
        """
        self.head = head
        self.ledgers = ledgers


class Peers(typing.Protocol):
    """Calls to other daemons.

    Each raises PeerUnreachableError where the peer certainly did not get the
    message, and PeerNoResponseError where it may have.
    """

    async def heartbeat(
        self, vm: vms.Vm, heartbeat: members.Heartbeat
    ) -> members.Heartbeat:
        """Exchanges heartbeats.

        Args:
            vm: The peer.
            heartbeat: What this daemon says of itself.

        Returns:
            What the peer says of itself.
        """

    async def forward(
        self,
        vm: vms.Vm,
        request: exchange.Request,
        timeout_s: float,
        claimed_home: keys.Home | None,
    ) -> exchange.Outcome:
        """Has the home of a key decide and run a request.

        Args:
            vm: The home, or the daemon that adopted its records.
            request: The request.
            timeout_s: How long to wait, in seconds.
            claimed_home: The home that the store names, for a key that the
                caller made itself.

        Returns:
            How the request ended.
        """

    async def hand_off(self, vm: vms.Vm, hand_off: HandOff) -> None:
        """Gives the records of a home to a successor.

        Args:
            vm: The successor.
            hand_off: The records.
        """

    async def snapshot(self, vm: vms.Vm) -> Snapshot:
        """Reads what is in force at a peer.

        Args:
            vm: The peer.

        Returns:
            The head of its document and its ledgers.
        """

    async def blob(self, vm: vms.Vm, digest: str) -> str | None:
        """Reads a section's text from a peer.

        Args:
            vm: The peer.
            digest: The content hash.

        Returns:
            The text, or None where the peer does not have it.
        """

    async def key_prefix(self, vm: vms.Vm) -> str:
        """Asks a peer for a prefix of keys whose outcomes it keeps.

        Args:
            vm: The peer.

        Returns:
            The prefix.
        """

    async def report(
        self, vm: vms.Vm, service: str, scores: dict[str, float]
    ) -> None:
        """Reports all that this daemon suspects of a service's instances.

        Args:
            vm: The service's steward.
            service: The service.
            scores: The log-likelihood ratio against each suspect; empty
                withdraws earlier reports.
        """
