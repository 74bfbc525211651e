"""Counts what the processing of received bytes costs, by peer."""

from __future__ import annotations

# Peers beyond this number share one entry until the counts are taken.
MAX_PEERS = 1024
OTHER_PEERS = "other"


class PeerUsage:
    """The input of one peer since the counts were last taken."""

    __slots__ = ("duration_s", "events", "longest_s", "peer", "size")

    def __init__(self, peer: str) -> None:
        """Creates counts of nothing.

        Args:
            peer: The peer's kind and address.
        """
        self.peer = peer
        self.size = 0
        self.events = 0
        # The processing time, and that of the longest call, in seconds.
        self.duration_s = 0.0
        self.longest_s = 0.0

    def add(self, size: int, events: int, duration_s: float) -> None:
        """Adds one call.

        Args:
            size: The bytes received.
            events: The parts of messages that were parsed.
            duration_s: The processing time, in seconds.
        """
        self.size += size
        self.events += events
        self.duration_s += duration_s
        self.longest_s = max(self.longest_s, duration_s)


class InputUsage:
    """The input of all peers of a process."""

    __slots__ = ("_peers", "_total")

    def __init__(self) -> None:
        """Creates counts of nothing."""
        self._peers: dict[str, PeerUsage] = {}
        self._total = PeerUsage("")

    def record(
        self, peer: str, size: int, events: int, duration_s: float
    ) -> None:
        """Records the processing of received bytes.

        Args:
            peer: The peer's kind and address.
            size: The bytes received.
            events: The parts of messages that were parsed.
            duration_s: The processing time, in seconds.
        """
        usage = self._peers.get(peer)
        if usage is None:
            usage = self._add_peer(peer)
        usage.add(size, events, duration_s)
        self._total.add(size, events, duration_s)

    def _add_peer(self, peer: str) -> PeerUsage:
        if len(self._peers) >= MAX_PEERS:
            peer = OTHER_PEERS
        return self._peers.setdefault(peer, PeerUsage(peer))

    def take(self, count: int) -> tuple[PeerUsage, list[PeerUsage]]:
        """Takes the counts, which start again at zero.

        Args:
            count: How many peers to return at most.

        Returns:
            The counts of all peers together, and those of the peers that took
            most time, the first one most.
        """
        total, self._total = self._total, PeerUsage("")
        peers, self._peers = self._peers, {}
        ranked = sorted(peers.values(), key=lambda usage: -usage.duration_s)
        return total, ranked[:count]
