"""Processes the input of connections without an event loop."""

from __future__ import annotations

import collections

from dotterelpath.domain import work_sharing


class ImmediateScheduler:
    """Processes input in pieces of the usual size, one after the other."""

    def record_received(self, connection, size):
        pass

    def process(self, connection):
        if connection.is_scheduled:
            return
        connection.is_scheduled = True
        try:
            connection.process_input(work_sharing.PIECE_WORK)
            while connection.has_input:
                connection.process_input(work_sharing.PIECE_WORK)
        finally:
            connection.is_scheduled = False


class HeldScheduler:
    """Lets all input wait until the test plays a turn."""

    def __init__(self):
        self.waiting = collections.deque()

    def record_received(self, connection, size):
        pass

    def process(self, connection):
        if not connection.is_scheduled:
            connection.is_scheduled = True
            self.waiting.append(connection)

    def play_turn(self):
        """Processes one piece of the connection that waited longest."""
        connection = self.waiting.popleft()
        connection.process_input(work_sharing.PIECE_WORK)
        connection.is_scheduled = False
        if connection.has_input:
            self.process(connection)

    def play_all(self):
        """Processes pieces until nothing waits; returns their number."""
        count = 0
        while self.waiting:
            self.play_turn()
            count += 1
        return count
