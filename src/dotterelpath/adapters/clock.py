"""Reads the system's clocks."""

from __future__ import annotations

import resource
import time


class SystemClock:
    """Reads the clocks of the machine; see clock.Clock."""

    __slots__ = ()

    def now_s(self) -> float:
        """Reads a monotonic clock, in seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Reads the wall clock, in seconds since 1970."""
        return time.time()

    def cpu_time_s(self) -> float:
        """Reads the CPU time that this process has used, in seconds.

        Reads the resource usage instead of the CPU clock of the process, since
        that clock may also advance while other processes run.
        """
        used = resource.getrusage(resource.RUSAGE_SELF)
        return used.ru_utime + used.ru_stime
