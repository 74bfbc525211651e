"""Sends and receives what daemons tell each other of tenants' quotas."""

from __future__ import annotations

import itertools
import typing

from dotterelpath.domain import fleet_view
from dotterelpath.ports import datagrams
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox


class QuotaExchange:
    """Chooses the receivers of reports, and passes on those of others.

    Part of the peer monitor, which owns its state.
    """

    __slots__ = (
        "_datagrams",
        "_fleet_view",
        "_gateway",
        "_own_id",
        "_turn",
    )

    def __init__(
        self,
        own_id: str,
        view: fleet_view.FleetView,
        gateway: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates an object that can not send yet.

        Args:
            own_id: The id of this daemon.
            view: The known daemons.
            gateway: Gets the reports of other daemons.
        """
        self._own_id = own_id
        self._fleet_view = view
        self._gateway = gateway
        self._datagrams: datagrams.Datagrams | None = None
        # Turns the division of daemons for announcements.
        self._turn = itertools.count()

    def connect(self, sender: datagrams.Datagrams) -> None:
        """Sets the sender of datagrams to other daemons.

        Args:
            sender: The sender.
        """
        self._datagrams = sender

    def send_report(
        self, message: fleet_events.QuotaReportIssued, now_s: float
    ) -> None:
        """Sends a report to the other serving daemons.

        Each gets the acknowledgement of its own last report only, since all of
        them would take more bytes than the tenants.

        Args:
            message: The report.
            now_s: The current time on the monotonic clock, in seconds.
        """
        if self._datagrams is None:
            return
        daemons = self._fleet_view.daemons
        receivers = self._fleet_view.serving_ids(now_s) - {self._own_id}
        if message.report.receivers is not None:
            receivers &= message.report.receivers
        for daemon_id in receivers:
            datagram = datagrams.QuotaReportDatagram(
                self._own_id,
                message.report.header_for(daemon_id),
                message.report.entries,
                self._fleet_view.own_serving_count,
            )
            peer = daemons[daemon_id]
            self._datagrams.send(peer.peer_host, peer.peer_port, datagram)

    def send_used_up(
        self, message: fleet_events.QuotaUsedUpIssued, now_s: float
    ) -> None:
        """Names tenants without quota to daemons that serve no callers.

        The serving daemons divide these among themselves. The division changes
        each time, so that a daemon that has failed leaves none without news.

        Args:
            message: The tenants.
            now_s: The current time on the monotonic clock, in seconds.
        """
        serving = sorted(self._fleet_view.serving_ids(now_s))
        if self._datagrams is None or self._own_id not in serving:
            return
        daemons = self._fleet_view.daemons
        datagram = datagrams.QuotaUsedUpDatagram(
            self._own_id, message.tenant_names
        )
        others = sorted(daemons.keys() - set(serving))
        first = (serving.index(self._own_id) + next(self._turn)) % len(serving)
        for daemon_id in others[first :: len(serving)]:
            peer = daemons[daemon_id]
            self._datagrams.send(peer.peer_host, peer.peer_port, datagram)

    def on_report(self, datagram: datagrams.QuotaReportDatagram) -> None:
        """Passes a listed daemon's report to the gateway.

        Args:
            datagram: The report.
        """
        self._gateway.force(
            fleet_events.QuotaReportReceived(
                datagram.sender_id, datagram.header, datagram.entries
            )
        )

    def on_used_up(self, datagram: datagrams.QuotaUsedUpDatagram) -> None:
        """Passes a listed daemon's announcement to the gateway.

        Args:
            datagram: The announcement.
        """
        if datagram.sender_id in self._fleet_view.daemons:
            self._gateway.force(
                fleet_events.QuotaUsedUpReceived(datagram.tenant_names)
            )
