"""Tells callers that read slowly from callers that do not read at all."""

from __future__ import annotations

# A caller that has taken nothing for this long while output waits, in seconds,
# is closed first if memory is short.
STALLED_S = 2.0


class OutputProgress:
    """When a caller last took some of the output that waits for it."""

    __slots__ = ("_since_s", "_taken_bytes")

    def __init__(self) -> None:
        """Creates the progress of a connection without output."""
        self._taken_bytes = 0
        self._since_s: float | None = None

    def record(
        self, taken_bytes: int, waiting_bytes: int, now_s: float
    ) -> None:
        """Records the state of the output.

        Args:
            taken_bytes: What the caller has taken since it connected.
            waiting_bytes: What waits for it.
            now_s: The current time on the monotonic clock, in seconds.
        """
        if not waiting_bytes:
            self._since_s = None
        elif self._since_s is None or taken_bytes > self._taken_bytes:
            self._since_s = now_s
        self._taken_bytes = taken_bytes

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long the caller has taken nothing, in seconds.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return 0.0 if self._since_s is None else now_s - self._since_s
