"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Writes lines with the seconds since the start of the case."""

    __slots__ = ("_file", "_started_s")

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates an empty record.

        Args:
            folder: The folder of the case.
        """
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """The time since the start of the case, in seconds."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Writes a line.

        Args:
            text: The line.
        """
        self._file.write(f"{self.now_s:8.3f} {text}\n")
        self._file.flush()
