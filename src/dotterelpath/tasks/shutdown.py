"""The graceful shutdown of a daemon, which interrupts no request."""

from __future__ import annotations

import asyncio
import typing

import structlog

from dotterelpath.domain import records
from dotterelpath.domain import vms
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import peers as peers_port
from dotterelpath.tasks import events
from dotterelpath.tasks import front_end as front_end_task
from dotterelpath.tasks import gossip as gossip_task
from dotterelpath.tasks import mailbox

HAND_OFF_ATTEMPTS = 3
# How long the daemon keeps running after a hand-off, in seconds, and forwards
# keyed requests that peers still send to it.
LINGER_S = 1.0

_log = structlog.get_logger()


class Shutdown:
    """Drains a daemon and hands its records to a successor."""

    __slots__ = (
        "_clock",
        "_dispatcher",
        "_front_end",
        "_front_end_inbox",
        "_gossip",
        "_gossip_inbox",
        "_grace_s",
        "_peers",
        "_timeout_s",
    )

    def __init__(
        self,
        clock: clock_port.Clock,
        peers: peers_port.Peers,
        front_end: front_end_task.FrontEnd,
        front_end_inbox: mailbox.Mailbox[typing.Any],
        gossip: gossip_task.Gossip,
        gossip_inbox: mailbox.Mailbox[typing.Any],
        dispatcher: mailbox.Mailbox[typing.Any],
        grace_s: float,
        timeout_s: float,
    ) -> None:
        """Creates the shutdown.

        Args:
            clock: Tells the time.
            peers: The client for other daemons.
            front_end: Signals when the last connection is closed.
            front_end_inbox: The front end's mailbox.
            gossip: Lists the successors of this daemon.
            gossip_inbox: The gossip task's mailbox.
            dispatcher: The dispatcher's mailbox.
            grace_s: How long to accept connections after leaving, in seconds.
            timeout_s: The timeout of each wait for work in flight, in seconds.
        """
        self._clock = clock
        self._peers = peers
        self._front_end = front_end
        self._front_end_inbox = front_end_inbox
        self._gossip = gossip
        self._gossip_inbox = gossip_inbox
        self._dispatcher = dispatcher
        self._grace_s = grace_s
        self._timeout_s = timeout_s

    async def run(self) -> None:
        """Leaves the fleet, drains, and hands the records to a successor."""
        _log.info("stop began")
        self._gossip_inbox.force(events.LeaveBegan())
        # Connections are still accepted, since callers cache addresses for a
        # while. Peers are notified at once.
        await asyncio.sleep(self._grace_s)
        self._front_end_inbox.force(events.DrainBegan())
        await self._wait_for(self._front_end.drained.wait(), "callers")
        record_tables: asyncio.Future[list[records.RecordTable]] = (
            asyncio.get_running_loop().create_future()
        )
        self._dispatcher.force(events.FreezeBegan(record_tables))
        await self._wait_for(asyncio.shield(record_tables), "records")
        successor = None
        if record_tables.done():
            successor = await self._hand_off(record_tables.result())
        self._dispatcher.force(events.HandOffEnded(successor))
        if successor is not None:
            await asyncio.sleep(LINGER_S)
        _log.info("stop ended", successor=successor.id if successor else None)

    async def _wait_for(
        self, condition: typing.Awaitable[typing.Any], name: str
    ) -> None:
        try:
            async with asyncio.timeout(self._timeout_s):
                await condition
        except TimeoutError:
            _log.warning("drain timed out", waiting_for=name)

    async def _hand_off(
        self, record_tables: list[records.RecordTable]
    ) -> vms.Vm | None:
        """Hands all record tables to one successor.

        Stops at the first successor that may have received them, since two
        daemons that both accept new keys could each run the same key.

        Returns:
            That successor, or None if none could be reached.
        """
        membership = self._gossip.membership
        for member_id in membership.successors():
            vm = membership.peers[member_id].vm
            try:
                for record_table in record_tables:
                    await self._send(vm, record_table)
            except peers_port.PeerUnreachableError:
                continue
            except peers_port.PeerNoResponseError as error:
                _log.warning(
                    "hand-off outcome unknown", to=vm.id, error=str(error)
                )
            return vm
        return None

    async def _send(
        self, vm: vms.Vm, record_table: records.RecordTable
    ) -> None:
        hand_off = peers_port.HandOff(
            record_table.home,
            self._clock.now_s() - record_table.started_at_s,
            record_table.min_epoch,
            record_table.is_closed,
            record_table.records,
        )
        for attempts_left in reversed(range(HAND_OFF_ATTEMPTS)):
            try:
                await self._peers.hand_off(vm, hand_off)
                return
            except peers_port.PeerNoResponseError:
                if not attempts_left:
                    raise
