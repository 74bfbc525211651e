"""Received bytes of a caller that are not parsed yet."""

from __future__ import annotations

import collections


class UnreadInput:
    """A queue of bytes that is taken in pieces."""

    __slots__ = ("_chunks", "_offset", "_size")

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._chunks: collections.deque[bytes] = collections.deque()
        # How many bytes of the first chunk were taken.
        self._offset = 0
        self._size = 0

    def __len__(self) -> int:
        """Returns the number of bytes."""
        return self._size

    def append(self, data: bytes) -> None:
        """Adds received bytes.

        Args:
            data: The bytes.
        """
        self._chunks.append(data)
        self._size += len(data)

    def take(self, size: int) -> bytes:
        """Removes bytes from the front.

        Args:
            size: The most bytes to remove.

        Returns:
            The bytes, at most those that were received together.
        """
        if not self._chunks:
            return b""
        chunk = self._chunks[0]
        end = self._offset + size
        data = chunk if end == size >= len(chunk) else chunk[self._offset : end]
        self._offset = end
        if end >= len(chunk):
            self._chunks.popleft()
            self._offset = 0
        self._size -= len(data)
        return data

    def clear(self) -> None:
        """Drops all bytes."""
        self._chunks.clear()
        self._offset = 0
        self._size = 0
