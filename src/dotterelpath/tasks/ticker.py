"""Triggers the periodic work of tasks."""

from __future__ import annotations

import asyncio
import typing

from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox


async def post_rounds(
    inbox: mailbox.Mailbox[typing.Any], period_s: float
) -> None:
    """Posts RoundDue to a task at equal intervals until cancelled.

    Args:
        inbox: The task's mailbox.
        period_s: The time between two rounds, in seconds.
    """
    while True:
        await asyncio.sleep(period_s)
        inbox.force(events.RoundDue())
