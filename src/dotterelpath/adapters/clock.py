"""The system's clocks."""

from __future__ import annotations

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
