"""The system's clocks."""

from __future__ import annotations

import resource
import time


class SystemClock:
    """Reads the clocks of the machine."""

    __slots__ = ()

    def now_s(self) -> float:
        """Reads a monotonic clock, in seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Reads the wall clock, in seconds since 1970."""
        return time.time()

    def cpu_time_s(self) -> float:
        """Reads the processor time of this process, in seconds.

        The resource usage is read, since a process may see a processor clock
        that goes on while others run.
        """
        used = resource.getrusage(resource.RUSAGE_SELF)
        return used.ru_utime + used.ru_stime
