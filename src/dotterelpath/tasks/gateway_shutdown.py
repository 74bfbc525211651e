"""The steps of a planned stop of a daemon that keeps nothing."""

from __future__ import annotations

import asyncio
import typing

import structlog

from dotterelpath.ports import clock as clock_port
from dotterelpath.tasks import events
from dotterelpath.tasks import front_end as front_end_task
from dotterelpath.tasks import mailbox

# Some callers keep an address answer so many times as long as they are told.
ADDRESS_TTL_MULTIPLE = 3.0
# At most this part of the time is spent on waiting for callers to leave; the
# rest is for their requests.
MAX_LINGER_FRACTION = 0.5
# The part of the time that is left for the end of the process.
EXIT_RESERVE_FRACTION = 0.12

_log = structlog.get_logger()


class GatewayShutdown:
    """Lets callers go elsewhere, and then waits for their last requests."""

    __slots__ = (
        "_address_ttl_s",
        "_clock",
        "_front_end",
        "_grace_s",
        "_receivers",
    )

    def __init__(
        self,
        clock: clock_port.Clock,
        front_end: front_end_task.FrontEnd,
        receivers: tuple[mailbox.Mailbox[typing.Any], ...],
        address_ttl_s: float,
        grace_s: float,
    ) -> None:
        """Creates the steps.

        Args:
            clock: Tells the time.
            front_end: Knows when the last caller is gone.
            receivers: Hear that the daemon leaves; the first one drains.
            address_ttl_s: How long callers keep addresses, in seconds.
            grace_s: The time until the process is killed, in seconds.
        """
        self._clock = clock
        self._front_end = front_end
        self._receivers = receivers
        self._address_ttl_s = address_ttl_s
        self._grace_s = grace_s

    async def run(self) -> None:
        """Leaves, drains, and returns when nothing is due any more."""
        started_s = self._clock.now_s()
        _log.info("stop began", grace_s=self._grace_s)
        for receiver in self._receivers:
            receiver.force(events.LeaveBegan())
        linger_s = min(
            self._address_ttl_s * ADDRESS_TTL_MULTIPLE,
            self._grace_s * MAX_LINGER_FRACTION,
        )
        await asyncio.sleep(linger_s)
        self._receivers[0].force(events.DrainBegan())
        drain_timeout_s = (
            started_s
            + self._grace_s * (1.0 - EXIT_RESERVE_FRACTION)
            - self._clock.now_s()
        )
        try:
            async with asyncio.timeout(max(0.0, drain_timeout_s)):
                await self._front_end.drained.wait()
        except TimeoutError:
            _log.warning("stop cut off requests", grace_s=self._grace_s)
        _log.info("stop ended", took_s=self._clock.now_s() - started_s)
