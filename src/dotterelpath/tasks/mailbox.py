"""Bounded mailboxes through which tasks exchange messages."""

from __future__ import annotations

import asyncio
import collections
import typing

DEFAULT_CAPACITY = 4096

M = typing.TypeVar("M")


class MailboxFullError(Exception):
    """A message was refused because the mailbox is full."""


class Mailbox(typing.Generic[M]):
    """A bounded queue with one receiver.

    A full mailbox refuses new work with an error and never makes the sender
    wait. Messages about admitted work are added with force, which ignores the
    capacity, so that a burst of new work cannot cause their loss.
    """

    __slots__ = ("_capacity", "_messages", "_waiter", "name")

    def __init__(self, name: str, capacity: int = DEFAULT_CAPACITY) -> None:
        """Creates an empty mailbox.

        Args:
            name: The name of the receiver, for errors.
            capacity: The number of messages at which post refuses more.
        """
        self.name = name
        self._capacity = capacity
        self._messages: collections.deque[M] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None

    def __len__(self) -> int:
        """Returns the number of messages."""
        return len(self._messages)

    def post(self, message: M) -> None:
        """Adds a message that may be refused.

        Args:
            message: The message.

        Raises:
            MailboxFullError: The mailbox is full.
        """
        if len(self._messages) >= self._capacity:
            raise MailboxFullError(
                f"mailbox {self.name} is full ({self._capacity} messages)"
            )
        self.force(message)

    def force(self, message: M) -> None:
        """Adds a message even if the mailbox is full.

        Args:
            message: The message.
        """
        self._messages.append(message)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def poll(self) -> M | None:
        """Removes the next message without waiting.

        Returns:
            The oldest message, or None if the mailbox is empty.
        """
        return self._messages.popleft() if self._messages else None

    async def receive(self) -> M:
        """Removes the next message, and waits for one if necessary.

        Returns:
            The oldest message.
        """
        await self.wait()
        return self._messages.popleft()

    async def wait(self) -> None:
        """Waits until there is a message, and leaves it in the mailbox."""
        while not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
