"""The port for clocks."""

from __future__ import annotations

import typing


class Clock(typing.Protocol):
    """Reads the monotonic clock and the wall clock."""

    def now_s(self) -> float:
        """Reads a monotonic clock, in seconds."""

    def wall_s(self) -> float:
        """Reads the wall clock, in seconds since 1970."""
