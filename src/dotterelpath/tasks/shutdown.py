"""The steps of a planned stop, which cuts off no request in flight."""

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
LINGER_S = 1.0

_log = structlog.get_logger()


class Shutdown:
    """Takes a daemon out of use step by step."""

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
        """Creates the steps.

        Args:
            clock: Tells the time.
            peers: The other daemons.
            front_end: Knows when the last caller is gone.
            front_end_inbox: Its mailbox.
            gossip: Knows the successors.
            gossip_inbox: Its mailbox.
            dispatcher: The dispatcher's mailbox.
            grace_s: How long to go on accepting callers, in seconds.
            timeout_s: The longest wait for work in flight, in seconds.
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
        # Callers keep an address answer for a while; peers learn at once.
        await asyncio.sleep(self._grace_s)
        self._front_end_inbox.force(events.DrainBegan())
        await self._wait_for(self._front_end.drained.wait(), "callers")
        books: asyncio.Future[list[records.Book]] = (
            asyncio.get_running_loop().create_future()
        )
        self._dispatcher.force(events.FreezeBegan(books))
        await self._wait_for(asyncio.shield(books), "records")
        successor = None
        if books.done():
            successor = await self._hand_off(books.result())
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

    async def _hand_off(self, books: list[records.Book]) -> vms.Vm | None:
        """Gives all books to one successor.

        Only the first one that may have received them lets new keys start,
        since two daemons that do could each run the same key.
        """
        membership = self._gossip.membership
        for member_id in membership.successors():
            vm = membership.peers[member_id].vm
            try:
                for book in books:
                    await self._send(vm, book)
            except peers_port.PeerUnreachableError:
                continue
            except peers_port.PeerNoResponseError as error:
                _log.warning("hand-off unsettled", to=vm.id, error=str(error))
            return vm
        return None

    async def _send(self, vm: vms.Vm, book: records.Book) -> None:
        hand_off = peers_port.HandOff(
            book.home,
            self._clock.now_s() - book.started_at_s,
            book.floor_epoch,
            book.is_closed,
            book.records,
        )
        for attempts_left in reversed(range(HAND_OFF_ATTEMPTS)):
            try:
                await self._peers.hand_off(vm, hand_off)
                return
            except peers_port.PeerNoResponseError:
                if not attempts_left:
                    raise
