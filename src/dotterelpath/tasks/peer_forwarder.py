"""The task that forwards keyed requests to the homes of their keys."""

from __future__ import annotations

import asyncio
import typing

from dotterelpath import errors
from dotterelpath.domain import exchange
from dotterelpath.ports import peers as peers_port
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

# A request is not forwarded while this many are in progress.
MAX_OPEN_FORWARDS = 1024


class PeerForwarder:
    """Forwards each request to the first daemon that has the home's records."""

    __slots__ = ("_dispatcher", "_mailbox", "_open_tasks", "_peers")

    def __init__(
        self,
        peers: peers_port.Peers,
        inbox: mailbox.Mailbox[typing.Any],
        dispatcher: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            peers: The client for other daemons.
            inbox: This task's mailbox.
            dispatcher: The mailbox that gets the outcomes.
        """
        self._peers = peers
        self._mailbox = inbox
        self._dispatcher = dispatcher
        self._open_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Handles messages until cancelled."""
        try:
            while True:
                self.on_forward_request(await self._mailbox.receive())
        finally:
            for task in self._open_tasks:
                task.cancel()

    def on_forward_request(self, message: messages.ForwardRequest) -> None:
        """Forwards a request, or fails it if too many are in progress.

        Args:
            message: The request and the candidate daemons.
        """
        if len(self._open_tasks) >= MAX_OPEN_FORWARDS:
            outcome = exchange.Outcome(errors.ResultCode.HOME_UNREACHABLE)
            self._reply(message, outcome)
            return
        task = asyncio.get_running_loop().create_task(self._forward(message))
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)

    async def _forward(self, message: messages.ForwardRequest) -> None:
        outcome = exchange.Outcome(errors.ResultCode.HOME_UNREACHABLE)
        for vm in message.candidates:
            try:
                outcome = await self._peers.forward(
                    vm,
                    message.request,
                    message.timeout_s,
                    message.claimed_home,
                )
            except peers_port.PeerUnreachableError:
                continue
            except peers_port.PeerNoResponseError as error:
                # The request may be running there, so it must not be sent
                # to another daemon.
                outcome = exchange.Outcome(
                    errors.ResultCode.HOME_UNREACHABLE, str(error)
                )
                break
            if outcome.code is not errors.ResultCode.HOME_REPLACED:
                break
        self._reply(message, outcome)

    def _reply(
        self, message: messages.ForwardRequest, outcome: exchange.Outcome
    ) -> None:
        self._dispatcher.force(
            messages.ForwardEnded(message.dispatch_id, outcome)
        )
