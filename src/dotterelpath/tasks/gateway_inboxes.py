"""The mailboxes of the tasks of a gateway daemon."""

from __future__ import annotations

import typing

from dotterelpath.tasks import mailbox


class Inboxes:
    """The mailboxes of the tasks, one for each attribute.

    Errors and log lines show the attribute as the name of the mailbox or of its
    task. Three attributes differ from the class of the task: back_ends belongs
    to BackendPool, neighbourhood to PeerMonitor, and enroller to
    SelfRegistration.
    """

    __slots__ = (
        "back_ends",
        "enroller",
        "front_end",
        "gateway",
        "neighbourhood",
        "registrar",
        "store_reader",
    )

    back_ends: mailbox.Mailbox[typing.Any]
    enroller: mailbox.Mailbox[typing.Any]
    front_end: mailbox.Mailbox[typing.Any]
    gateway: mailbox.Mailbox[typing.Any]
    neighbourhood: mailbox.Mailbox[typing.Any]
    registrar: mailbox.Mailbox[typing.Any]
    store_reader: mailbox.Mailbox[typing.Any]

    def __init__(self) -> None:
        """Creates empty mailboxes, which are named after the attributes."""
        for name in self.__slots__:
            setattr(self, name, mailbox.Mailbox(name))
