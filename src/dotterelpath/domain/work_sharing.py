"""Decides whose input is processed next, and how much of it in one turn.

Work is counted in parts of messages: heads, chunks and ends. A peer chooses
how many of them its bytes hold, so that bytes do not measure the work.
"""

from __future__ import annotations

import heapq
import itertools
import math
import typing

# The most work for one connection before it is the next one's turn.
PIECE_WORK = 64
# The most work for connections that wait, in one turn of the event loop. The
# other callbacks of the loop run between two turns.
TURN_WORK = 256
# The most work in one turn for input that is processed on arrival.
ARRIVAL_WORK = 1024
# The input of a peer with more recent work than this always waits for a turn.
# A process that does nothing but pass on ordinary requests does less in all.
MAX_ARRIVAL_WORK = 16384
# The fraction of the time that input which waits and completes no message may
# take up, and how much of it is allowed at once, in seconds.
WAITING_SHARE = 0.25
WAITING_BURST_S = 0.05
# The time in which past work comes to count half, in seconds.
HALF_LIFE_S = 2.0
# Accounts are searched for those that can be dropped from this number on.
MIN_ACCOUNTS = 1024

# The fields of a head that take about as long to parse as another part of a
# message.
FIELDS_PER_PART = 8

ItemT = typing.TypeVar("ItemT")


def field_work(fields: typing.Sized) -> int:
    """Returns the work for the fields of a head or of trailers.

    Args:
        fields: The fields.
    """
    return len(fields) // FIELDS_PER_PART


class Account:
    """The recent work for one peer, which counts less the older it is."""

    __slots__ = ("_rank",)

    def __init__(self) -> None:
        """Creates an account without work."""
        # The logarithm of the work as of time 0. All accounts decay alike, so
        # that the order of two of them changes only with further work.
        self._rank = -math.inf

    def work(self, now_s: float) -> float:
        """Returns the recent work.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return 2.0 ** (self._rank - now_s / HALF_LIFE_S)

    def rank(self, now_s: float) -> float:
        """Returns a number that is lower for less recent work.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return max(self._rank, now_s / HALF_LIFE_S)

    def charge(self, work: float, now_s: float) -> None:
        """Adds work.

        Args:
            work: The parts of messages that were processed, above 0.
            now_s: The current time on the monotonic clock, in seconds.
        """
        total = self.work(now_s) + work
        self._rank = math.log2(total) + now_s / HALF_LIFE_S


class Accounts:
    """The accounts of peers with recent work, by address."""

    __slots__ = ("_accounts", "_purge_size")

    def __init__(self) -> None:
        """Creates an object without accounts."""
        self._accounts: dict[str, Account] = {}
        self._purge_size = MIN_ACCOUNTS

    def __len__(self) -> int:
        """Returns the number of accounts."""
        return len(self._accounts)

    def get(self, address: str, now_s: float) -> Account:
        """Returns the account of a peer, created on first use.

        Args:
            address: The peer's address.
            now_s: The current time on the monotonic clock, in seconds.
        """
        account = self._accounts.get(address)
        if account is None:
            if len(self._accounts) >= self._purge_size:
                self._purge(now_s)
            account = self._accounts[address] = Account()
        return account

    def _purge(self, now_s: float) -> None:
        self._accounts = {
            address: account
            for address, account in self._accounts.items()
            if account.work(now_s) >= 1.0
        }
        self._purge_size = max(MIN_ACCOUNTS, 2 * len(self._accounts))


class WorkSharing(typing.Generic[ItemT]):
    """Connections that wait for a turn, those with least recent work first.

    A short message does not wait for one without end, and peers that always
    send get equal parts of a share of the time. A waiting connection keeps its
    place while work for others adds up, so that it is reached in the end.
    """

    __slots__ = (
        "_arrival_left",
        "_heap",
        "_paid_until_s",
        "_sequence",
        "_turn_began_s",
        "_turn_left",
    )

    def __init__(self) -> None:
        """Creates an object in which nothing waits."""
        self._heap: list[tuple[float, int, ItemT]] = []
        self._sequence = itertools.count()
        self._arrival_left = ARRIVAL_WORK
        self._turn_left = TURN_WORK
        self._turn_began_s = -math.inf
        # When the share has paid for the work so far, on the monotonic clock.
        self._paid_until_s = -math.inf

    def __len__(self) -> int:
        """Returns the number of connections that wait."""
        return len(self._heap)

    def may_process_on_arrival(self, account: Account, now_s: float) -> bool:
        """Tells whether input need not wait for a turn.

        Args:
            account: The account of its peer.
            now_s: The current time on the monotonic clock, in seconds.
        """
        return (
            self._arrival_left > 0 and account.work(now_s) <= MAX_ARRIVAL_WORK
        )

    def record_on_arrival(
        self, account: Account, work: int, now_s: float
    ) -> None:
        """Records work for input that did not wait.

        Args:
            account: The account of its peer.
            work: The parts of messages that were processed.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._arrival_left -= work
        if work:
            account.charge(work, now_s)

    def add(self, item: ItemT, account: Account, now_s: float) -> None:
        """Adds a connection that waits for a turn.

        Args:
            item: The connection.
            account: The account of its peer.
            now_s: The current time on the monotonic clock, in seconds.
        """
        entry = (account.rank(now_s), next(self._sequence), item)
        heapq.heappush(self._heap, entry)

    def begin_turn(self, now_s: float) -> None:
        """Begins another turn of the event loop.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._turn_began_s = now_s
        self._turn_left = TURN_WORK
        self._arrival_left = ARRIVAL_WORK

    def take(self) -> ItemT | None:
        """Removes the next connection; None if the turn has ended."""
        if not self._heap or self._turn_left <= 0:
            return None
        if self._wait_s(self._turn_began_s) > 0.0:
            return None
        return heapq.heappop(self._heap)[2]

    def record_in_turn(
        self,
        account: Account,
        work: int,
        now_s: float,
        duration_s: float,
        has_completed: bool,
    ) -> None:
        """Records work for a connection that was taken.

        Args:
            account: The account of its peer.
            work: The parts of messages that were processed.
            now_s: The current time on the monotonic clock, in seconds.
            duration_s: The time that they took, in seconds.
            has_completed: Whether a message was complete among them.
        """
        # A connection that had nothing left counts too, so that a turn ends.
        self._turn_left -= max(work, 1)
        if not has_completed:
            paid_s = max(self._paid_until_s, self._turn_began_s)
            self._paid_until_s = paid_s + duration_s / WAITING_SHARE
        if work:
            account.charge(work, now_s)

    def next_turn_in_s(self, now_s: float) -> float | None:
        """Tells when the next turn has something to do.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The time until then in seconds, 0 for the next turn of the event
            loop; None if nothing waits.
        """
        if self._arrival_left < ARRIVAL_WORK:
            return 0.0
        return self._wait_s(now_s) if self._heap else None

    def _wait_s(self, now_s: float) -> float:
        """Returns how long the share is used up, in seconds."""
        ahead_s = WAITING_BURST_S / WAITING_SHARE
        return max(0.0, self._paid_until_s - ahead_s - now_s)
