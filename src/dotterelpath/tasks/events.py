"""Messages about the document, the VMs, the fleet and its shutdowns."""

from __future__ import annotations

import asyncio

from dotterelpath.domain import document
from dotterelpath.domain import fleet_membership
from dotterelpath.domain import keys
from dotterelpath.domain import ledger
from dotterelpath.domain import records
from dotterelpath.domain import vms


class DocumentChanged:
    """A newer document was applied."""

    __slots__ = ("document",)

    def __init__(self, document: document.Document) -> None:
        """Creates the message.

        Args:
            document: The document.
        """
        self.document = document


class VmsChanged:
    """The list of VMs changed."""

    __slots__ = ("table",)

    def __init__(self, table: vms.VmTable) -> None:
        """Creates the message.

        Args:
            table: The VMs. Receivers share the table and must not change
                it.
        """
        self.table = table


class LedgerChanged:
    """The ledger of a service changed."""

    __slots__ = ("ledger",)

    def __init__(self, ledger: ledger.Ledger) -> None:
        """Creates the message.

        Args:
            ledger: The ledger, which lists the service's ejections.
        """
        self.ledger = ledger


class MembersChanged:
    """The set of live daemons changed."""

    __slots__ = ("adopters", "data_centres", "live")

    def __init__(
        self,
        live: list[str],
        data_centres: dict[str, str],
        adopters: dict[keys.Home, str],
    ) -> None:
        """Creates the message.

        Args:
            live: The ids of the live daemons, this one included.
            data_centres: The data centre of each daemon, by id.
            adopters: For each stopped home, the id of the daemon that took
                over its records.
        """
        self.live = live
        self.data_centres = data_centres
        self.adopters = adopters


class FreshnessChanged:
    """The document became stale, or current again.

    It counts as stale after some time without a response of the store or a
    heartbeat of a peer.
    """

    __slots__ = ("is_fresh",)

    def __init__(self, is_fresh: bool) -> None:
        """Creates the message.

        Args:
            is_fresh: Whether the document can be assumed to be current.
        """
        self.is_fresh = is_fresh


class RecordTableAdopted:
    """This daemon took over the records of a daemon that stops."""

    __slots__ = ("record_table",)

    def __init__(self, record_table: records.RecordTable) -> None:
        """Creates the message.

        Args:
            record_table: The records of the home. No request with a new key
                may start in a frozen table.
        """
        self.record_table = record_table


class DrainBegan:
    """The daemon shuts down; requests in flight are to be finished."""

    __slots__ = ()


class StopBegan:
    """The daemon shuts down and cuts off what runs at a given time."""

    __slots__ = ("end_s",)

    def __init__(self, end_s: float) -> None:
        """Creates the message.

        Args:
            end_s: That time on the monotonic clock, in seconds.
        """
        self.end_s = end_s


class StopEnding:
    """The time of a stop is nearly over; requests that wait are refused."""

    __slots__ = ()


class StopOverdue:
    """The time of a stop is over; requests at work do not end any more."""

    __slots__ = ()


class FreezeBegan:
    """The records are to be handed off; keyed requests must wait."""

    __slots__ = ("record_tables",)

    def __init__(
        self, record_tables: asyncio.Future[list[records.RecordTable]]
    ) -> None:
        """Creates the message.

        Args:
            record_tables: The future that receives all record tables once
                no keyed request runs.
        """
        self.record_tables = record_tables


class HandOffEnded:
    """The records were handed off, or no successor was found."""

    __slots__ = ("successor",)

    def __init__(self, successor: vms.Vm | None) -> None:
        """Creates the message.

        Args:
            successor: The daemon that took over the records, if there is
                one.
        """
        self.successor = successor


class SuspicionScoresChanged:
    """This daemon's suspicion scores of a service's instances changed."""

    __slots__ = ("scores", "service")

    def __init__(self, service: str, scores: dict[str, float]) -> None:
        """Creates the message.

        Args:
            service: The service.
            scores: By instance, the log-likelihood ratio that it is
                unhealthy.
        """
        self.service = service
        self.scores = scores


class SuspicionReportReceived:
    """A daemon reported all its suspicion scores for a service."""

    __slots__ = ("daemon_id", "data_centre", "scores", "service")

    def __init__(
        self,
        service: str,
        daemon_id: str,
        data_centre: str,
        scores: dict[str, float],
    ) -> None:
        """Creates the message.

        Args:
            service: The service.
            daemon_id: The reporting daemon.
            data_centre: The data centre of the reporting daemon.
            scores: By instance, the log-likelihood ratio that it is
                unhealthy.
        """
        self.service = service
        self.daemon_id = daemon_id
        self.data_centre = data_centre
        self.scores = scores


class HeadReceived:
    """The store or a peer sent a head of the document.

    A head has the version of the document and the digest of each section.
    """

    __slots__ = ("head", "source")

    def __init__(
        self, head: document.Head, source: vms.Vm | None = None
    ) -> None:
        """Creates the message.

        Args:
            head: The head.
            source: The peer that sent the head; None for the store.
        """
        self.head = head
        self.source = source


class PeerAhead:
    """A peer has a newer document or ledger."""

    __slots__ = ("vm",)

    def __init__(self, vm: vms.Vm) -> None:
        """Creates the message.

        Args:
            vm: The peer.
        """
        self.vm = vm


class StoreResponded:
    """The store responded to a call."""

    __slots__ = ("at_s",)

    def __init__(self, at_s: float) -> None:
        """Creates the message.

        Args:
            at_s: The time of the response, on the monotonic clock, in
                seconds.
        """
        self.at_s = at_s


class HeartbeatArrived:
    """A peer sent a heartbeat and waits for a reply."""

    __slots__ = ("heartbeat", "reply")

    def __init__(
        self,
        heartbeat: fleet_membership.Heartbeat,
        reply: asyncio.Future[fleet_membership.Heartbeat],
    ) -> None:
        """Creates the message.

        Args:
            heartbeat: The heartbeat of the peer.
            reply: The future that receives this daemon's heartbeat.
        """
        self.heartbeat = heartbeat
        self.reply = reply


class HeartbeatResponse:
    """A peer replied to a heartbeat, or failed to."""

    __slots__ = ("heartbeat", "peer_id")

    def __init__(
        self, peer_id: str, heartbeat: fleet_membership.Heartbeat | None
    ) -> None:
        """Creates the message.

        Args:
            peer_id: The peer.
            heartbeat: The heartbeat of the peer; None without a reply.
        """
        self.peer_id = peer_id
        self.heartbeat = heartbeat


class RoundDue:
    """The next round of a task's periodic work is due."""

    __slots__ = ()


class LeaveBegan:
    """This daemon leaves the fleet."""

    __slots__ = ()
