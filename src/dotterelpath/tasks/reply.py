"""The receiver of the outcome of a request."""

from __future__ import annotations

import typing

from dotterelpath.tasks import mailbox


class ReplyTo:
    """Identifies the receiver of an outcome and its request."""

    __slots__ = ("inbox", "token")

    def __init__(self, inbox: mailbox.Mailbox[typing.Any], token: int) -> None:
        """Creates a receiver.

        Args:
            inbox: The mailbox that gets RequestEnded.
            token: Identifies the request at the receiver.
        """
        self.inbox = inbox
        self.token = token

    def __eq__(self, other: object) -> bool:
        """Compares by mailbox and token."""
        if not isinstance(other, ReplyTo):
            return NotImplemented
        return self.inbox is other.inbox and self.token == other.token

    def __hash__(self) -> int:
        """Hashes by mailbox and token."""
        return hash((id(self.inbox), self.token))
