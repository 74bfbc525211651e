"""Bounded mailboxes, over which tasks exchange messages."""

from __future__ import annotations

import asyncio
import collections
import typing

DEFAULT_CAPACITY = 4096

M = typing.TypeVar("M")


class MailboxFullError(Exception):
    """A message was refused because the receiver is too far behind."""


class Mailbox(typing.Generic[M]):
    """A bounded queue with one receiver.

    A full mailbox is an answer to the sender, never a silent wait. Messages
    that settle work already admitted are posted with force, so that a burst of
    new work cannot lose them.
    """

    __slots__ = ("_capacity", "_messages", "_waiter", "name")

    def __init__(self, name: str, capacity: int = DEFAULT_CAPACITY) -> None:
        """Creates an empty mailbox.

        Args:
            name: The receiver, for errors.
            capacity: The most messages that wait.
        """
        self.name = name
        self._capacity = capacity
        self._messages: collections.deque[M] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None

    def __len__(self) -> int:
        """Counts the waiting messages."""
        return len(self._messages)

    def post(self, message: M) -> None:
        """Adds a message that may be refused.

        Args:
            message: The message.

        Raises:
            MailboxFullError: The receiver is too far behind.
        """
        if len(self._messages) >= self._capacity:
            raise MailboxFullError(self.name)
        self.force(message)

    def force(self, message: M) -> None:
        """Adds a message that must not be lost.

        Args:
            message: The message.
        """
        self._messages.append(message)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def poll(self) -> M | None:
        """Takes the next message if there is one.

        Returns:
            The oldest message, or None.
        """
        return self._messages.popleft() if self._messages else None

    async def receive(self) -> M:
        """Takes the next message, waiting for one.

        Returns:
            The oldest message.
        """
        while not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._messages.popleft()
