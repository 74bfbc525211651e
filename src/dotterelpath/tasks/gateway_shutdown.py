"""The graceful shutdown of a gateway daemon, which hands off no records."""

from __future__ import annotations

import asyncio
import typing

import structlog

from dotterelpath.ports import clock as clock_port
from dotterelpath.tasks import events
from dotterelpath.tasks import front_end as front_end_task
from dotterelpath.tasks import mailbox

# Some callers cache addresses for up to this multiple of their time to live.
ADDRESS_TTL_MULTIPLE = 3.0
# The largest fraction of the shutdown time spent on waiting for callers to move
# to other daemons. The rest is for their last requests.
MAX_LEAVE_WAIT_FRACTION = 0.5
# The fraction of the shutdown time reserved for the exit of the process.
EXIT_RESERVE_FRACTION = 0.12
# The fraction before that in which requests that no instance got are refused,
# and the refusals reach their callers.
REFUSAL_FRACTION = 0.1
# The fraction before that in which requests still at work are answered in place
# of their instances, so that the answers behind them reach their callers. It
# lies in the last sixth of the time, until which instances may answer.
OVERDUE_FRACTION = 0.03

_log = structlog.get_logger()


class GatewayShutdown:
    """Waits for callers to move to other daemons, then drains connections."""

    __slots__ = (
        "_address_ttl_s",
        "_clock",
        "_front_end",
        "_gateway",
        "_grace_s",
        "_subscribers",
    )

    def __init__(
        self,
        clock: clock_port.Clock,
        front_end: front_end_task.FrontEnd,
        subscribers: tuple[mailbox.Mailbox[typing.Any], ...],
        gateway: mailbox.Mailbox[typing.Any],
        address_ttl_s: float,
        grace_s: float,
    ) -> None:
        """Creates the shutdown.

        Args:
            clock: Tells the time.
            front_end: Signals when the last connection is closed.
            subscribers: Mailboxes that get the start of the shutdown; the first
                one is the front end's, which also gets the drain.
            gateway: Mailbox of the task that refuses waiting requests.
            address_ttl_s: The time to live of resolved addresses, in seconds.
            grace_s: The time until the process is killed, in seconds.
        """
        self._clock = clock
        self._front_end = front_end
        self._subscribers = subscribers
        self._gateway = gateway
        self._address_ttl_s = address_ttl_s
        self._grace_s = grace_s

    async def run(self) -> None:
        """Shuts down; returns when drained or when the time is over.

        Each request that was read is answered before: those that wait for an
        instance until shortly before the end are refused, and those that are
        still at work at the end get an error.
        """
        started_s = self._clock.now_s()
        end_s = started_s + self._grace_s * (1.0 - EXIT_RESERVE_FRACTION)
        _log.info("stop began", grace_s=self._grace_s)
        self._gateway.force(events.StopBegan(end_s))
        for subscriber in self._subscribers:
            subscriber.force(events.LeaveBegan())
        leave_wait_s = min(
            self._address_ttl_s * ADDRESS_TTL_MULTIPLE,
            self._grace_s * MAX_LEAVE_WAIT_FRACTION,
        )
        await asyncio.sleep(leave_wait_s)
        self._subscribers[0].force(events.DrainBegan())
        if not await self._wait_until(end_s - self._grace_s * REFUSAL_FRACTION):
            self._gateway.force(events.StopEnding())
            overdue_s = end_s - self._grace_s * OVERDUE_FRACTION
            if not await self._wait_until(overdue_s):
                _log.warning("stop interrupted requests", grace_s=self._grace_s)
                self._gateway.force(events.StopOverdue())
                await self._wait_until(end_s)
        _log.info("stop ended", took_s=self._clock.now_s() - started_s)

    async def _wait_until(self, end_s: float) -> bool:
        """Waits for the last connection to close.

        Args:
            end_s: How long to wait, on the monotonic clock, in seconds.

        Returns:
            Whether it has closed.
        """
        try:
            async with asyncio.timeout(max(0.0, end_s - self._clock.now_s())):
                await self._front_end.drained.wait()
        except TimeoutError:
            return False
        return True
