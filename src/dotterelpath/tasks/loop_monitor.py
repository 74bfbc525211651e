"""The task that measures how late the event loop runs, and what delays it."""

from __future__ import annotations

import asyncio

import structlog

from dotterelpath.domain import input_usage
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port

# The time between two measurements, in seconds.
INTERVAL_S = 0.1
# Delays from this on are logged, in seconds.
LOGGED_DELAY_S = 0.1
# The period of the counts, and the least time between log lines, in seconds.
PERIOD_S = 1.0
# How many peers a log line names.
SHOWN_PEERS = 3

_log = structlog.get_logger()


class LoopMonitor:
    """Measures delays of timers; counts and logs the input that costs most."""

    __slots__ = ("_clock", "_longest_s", "_metrics", "_taken_s", "_usage")

    def __init__(
        self,
        clock: clock_port.Clock,
        metrics: metrics_port.Metrics,
        usage: input_usage.InputUsage,
    ) -> None:
        """Creates the task's state.

        Args:
            clock: Tells the time.
            metrics: Gets the delays and the counts.
            usage: The input of all connections of the process.
        """
        self._clock = clock
        self._metrics = metrics
        self._usage = usage
        self._taken_s = clock.now_s()
        # The longest delay since the counts were last taken, in seconds.
        self._longest_s = 0.0

    async def run(self) -> None:
        """Measures until cancelled."""
        while True:
            due_s = self._clock.now_s() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            now_s = self._clock.now_s()
            self._on_delay(max(0.0, now_s - due_s))
            if now_s - self._taken_s >= PERIOD_S:
                self._on_period_ended(now_s)

    def _on_delay(self, delay_s: float) -> None:
        self._metrics.record_loop_delay(delay_s)
        self._longest_s = max(self._longest_s, delay_s)

    def _on_period_ended(self, now_s: float) -> None:
        total, peers = self._usage.take(SHOWN_PEERS)
        self._metrics.record_input(total.size, total.events, total.duration_s)
        if self._longest_s >= LOGGED_DELAY_S:
            _log.warning(
                "event loop delayed",
                longest_s=round(self._longest_s, 3),
                period_s=round(now_s - self._taken_s, 3),
                input_s=round(total.duration_s, 3),
                peers=[
                    {
                        "peer": usage.peer,
                        "bytes": usage.size,
                        "events": usage.events,
                        "took_s": round(usage.duration_s, 3),
                        "longest_s": round(usage.longest_s, 3),
                    }
                    for usage in peers
                ],
            )
        self._taken_s = now_s
        self._longest_s = 0.0
