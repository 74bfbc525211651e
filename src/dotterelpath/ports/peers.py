"""The port for calls to peers, the other daemons of the fleet."""

from __future__ import annotations

import typing

from dotterelpath.domain import document
from dotterelpath.domain import exchange
from dotterelpath.domain import fleet_membership
from dotterelpath.domain import keys
from dotterelpath.domain import ledger
from dotterelpath.domain import records
from dotterelpath.domain import vms


class PeerUnreachableError(Exception):
    """A peer could not be reached, so it did not receive the call."""


class PeerNoResponseError(Exception):
    """A peer may have received the call, but gave no usable response."""


class HandOff:
    """The records of one home that a successor takes over."""

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
            home: The home that made the records.
            age_s: The time since that home started, in seconds.
            min_epoch: The oldest epoch whose keys may still start a request.
            is_closed: Whether the successor may only replay recorded
                outcomes and must start no request.
            records: The records by scoped key; those without an outcome are
                not sent.
        """
        self.home = home
        self.age_s = age_s
        self.min_epoch = min_epoch
        self.is_closed = is_closed
        self.records = records


class Snapshot:
    """The head of the document and the ledgers that a daemon uses."""

    __slots__ = ("head", "ledgers")

    def __init__(
        self, head: document.Head | None, ledgers: list[ledger.Ledger]
    ) -> None:
        """Creates a snapshot.

        Args:
            head: The head of the document; None if the daemon has none.
            ledgers: The ledgers of all services.
        """
        self.head = head
        self.ledgers = ledgers


class Peers(typing.Protocol):
    """Calls peers.

    A call raises PeerUnreachableError if the peer certainly did not receive
    it, and PeerNoResponseError if it may have.
    """

    async def heartbeat(
        self, vm: vms.Vm, heartbeat: fleet_membership.Heartbeat
    ) -> fleet_membership.Heartbeat:
        """Exchanges heartbeats.

        Args:
            vm: The peer.
            heartbeat: This daemon's heartbeat.

        Returns:
            The peer's heartbeat.
        """

    async def forward(
        self,
        vm: vms.Vm,
        request: exchange.Request,
        timeout_s: float,
        claimed_home: keys.Home | None,
    ) -> exchange.Outcome:
        """Forwards a request to the home of its key.

        Args:
            vm: The peer that is the home or that adopted its records.
            request: The request.
            timeout_s: How long to wait, in seconds.
            claimed_home: The home that the store records for a key that the
                caller generated; None for a key that names its home.

        Returns:
            How the request ended.
        """

    async def hand_off(self, vm: vms.Vm, hand_off: HandOff) -> None:
        """Sends the records of a home to a successor.

        Args:
            vm: The successor.
            hand_off: The records.
        """

    async def snapshot(self, vm: vms.Vm) -> Snapshot:
        """Reads the document head and the ledgers of a peer.

        Args:
            vm: The peer.

        Returns:
            The snapshot.
        """

    async def blob(self, vm: vms.Vm, digest: str) -> str | None:
        """Reads the text of a section from a peer.

        Args:
            vm: The peer.
            digest: The content hash of the section.

        Returns:
            The text, or None if the peer does not have it.
        """

    async def key_prefix(self, vm: vms.Vm) -> str:
        """Requests a prefix for keys whose records the peer stores.

        Args:
            vm: The peer.

        Returns:
            The prefix.
        """

    async def report(
        self, vm: vms.Vm, service: str, scores: dict[str, float]
    ) -> None:
        """Reports which instances of a service this daemon suspects.

        A report replaces this daemon's earlier ones for the service.

        Args:
            vm: The daemon that decides the service's ejections.
            service: The service.
            scores: The log-likelihood ratio of unhealthy to healthy of each
                suspected instance, by id; empty to withdraw earlier reports.
        """
