"""Messages on the fleet: its document, members, instances and stops."""

from __future__ import annotations

import asyncio

from dotterelpath.domain import document
from dotterelpath.domain import keys
from dotterelpath.domain import ledger
from dotterelpath.domain import members
from dotterelpath.domain import records
from dotterelpath.domain import vms


class DocumentChanged:
    """A newer document is in force."""

    __slots__ = ("document",)

    def __init__(self, document: document.Document) -> None:
        """Creates the message.

        Args:
            document: The document.
        """
        self.document = document


class VmsChanged:
    """The platform's list changed."""

    __slots__ = ("table",)

    def __init__(self, table: vms.VmTable) -> None:
        """Creates the message.

        Args:
            table: The list, which the receiver must not change.
        """
        self.table = table


class LedgerChanged:
    """The ejections of a service changed."""

    __slots__ = ("ledger",)

    def __init__(self, ledger: ledger.Ledger) -> None:
        """Creates the message.

        Args:
            ledger: The service's ledger.
        """
        self.ledger = ledger


class MembersChanged:
    """The live daemons changed."""

    __slots__ = ("adopters", "data_centres", "live")

    def __init__(
        self,
        live: list[str],
        data_centres: dict[str, str],
        adopters: dict[keys.Home, str],
    ) -> None:
        """Creates the message.

        Args:
            live: Ids of the live daemons, this one included.
            data_centres: The data centre of each.
            adopters: The daemon that answers for each stopped home.
        """
        self.live = live
        self.data_centres = data_centres
        self.adopters = adopters


class FreshnessChanged:
    """The daemon has, or has not, lately heard the store or a peer."""

    __slots__ = ("is_fresh",)

    def __init__(self, is_fresh: bool) -> None:
        """Creates the message.

        Args:
            is_fresh: Whether the document may be taken as current.
        """
        self.is_fresh = is_fresh


class BookAdopted:
    """A stopping daemon gave its records to this one."""

    __slots__ = ("book",)

    def __init__(self, book: records.Book) -> None:
        """Creates the message.

        Args:
            book: The records of the home, frozen if only kept outcomes may
                be given.
        """
        self.book = book


class DrainBegan:
    """The daemon is to stop; finish what is in flight."""

    __slots__ = ()


class FreezeBegan:
    """The records are to be handed off; no key may start here any more."""

    __slots__ = ("books",)

    def __init__(self, books: asyncio.Future[list[records.Book]]) -> None:
        """Creates the message.

        Args:
            books: Gets all books once nothing in them runs.
        """
        self.books = books


class HandOffEnded:
    """A successor has the records, or none could be found."""

    __slots__ = ("successor",)

    def __init__(self, successor: vms.Vm | None) -> None:
        """Creates the message.

        Args:
            successor: The daemon that answers from now on.
        """
        self.successor = successor


class SuspicionScoresChanged:
    """This daemon's suspicions of a service's instances changed."""

    __slots__ = ("scores", "service")

    def __init__(self, service: str, scores: dict[str, float]) -> None:
        """Creates the message.

        Args:
            service: The service.
            scores: The log-likelihood ratio against each suspect.
        """
        self.service = service
        self.scores = scores


class SuspicionReportReceived:
    """A daemon reports all that it suspects of a service's instances."""

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
            data_centre: Where it stands.
            scores: The log-likelihood ratio against each suspect.
        """
        self.service = service
        self.daemon_id = daemon_id
        self.data_centre = data_centre
        self.scores = scores


class HeadReceived:
    """The store or a peer has shown a head of the document."""

    __slots__ = ("head", "source")

    def __init__(
        self, head: document.Head, source: vms.Vm | None = None
    ) -> None:
        """Creates the message.

        Args:
            head: The head.
            source: The peer that showed it; None for the store.
        """
        self.head = head
        self.source = source


class PeerAhead:
    """A peer has a newer document in force."""

    __slots__ = ("vm",)

    def __init__(self, vm: vms.Vm) -> None:
        """Creates the message.

        Args:
            vm: The peer.
        """
        self.vm = vm


class StoreResponded:
    """The store answered a call."""

    __slots__ = ("at_s",)

    def __init__(self, at_s: float) -> None:
        """Creates the message.

        Args:
            at_s: When, on the monotonic clock, in seconds.
        """
        self.at_s = at_s


class HeartbeatArrived:
    """A peer sent a heartbeat and waits for this daemon's own."""

    __slots__ = ("heartbeat", "reply")

    def __init__(
        self,
        heartbeat: members.Heartbeat,
        reply: asyncio.Future[members.Heartbeat],
    ) -> None:
        """Creates the message.

        Args:
            heartbeat: What the peer says.
            reply: Gets this daemon's heartbeat.
        """
        self.heartbeat = heartbeat
        self.reply = reply


class HeartbeatResponse:
    """A peer answered a heartbeat, or did not."""

    __slots__ = ("heartbeat", "member_id")

    def __init__(
        self, member_id: str, heartbeat: members.Heartbeat | None
    ) -> None:
        """Creates the message.

        Args:
            member_id: The peer.
            heartbeat: What it said; None where it was silent.
        """
        self.member_id = member_id
        self.heartbeat = heartbeat


class RoundDue:
    """It is time for a task's periodic work."""

    __slots__ = ()


class LeaveBegan:
    """This daemon is to leave the fleet."""

    __slots__ = ()
