"""How a daemon hears of the store's changes: by a watch, or from others."""

from __future__ import annotations

import enum
import math

# Another daemon that asks this one keeps asking; after this time without a
# question, in seconds, it no longer relies on it. Four pings fit into it.
FOLLOWER_TIMEOUT_S = 1.0
# The part of the time in which a change must be in force after which silence
# of those that watch the store is not waited out any more; the rest is enough
# for a watch and for what follows it.
MAX_SILENCE_SHARE = 0.4


class Step(enum.Enum):
    """What a daemon does next to know the store's changes."""

    # Waits at the store for changes.
    WATCH = "watch"
    # Reads changes of which another daemon has told.
    CATCH_UP = "catch up"
    # Waits for what other daemons tell.
    FOLLOW = "follow"


class StoreFollower:
    """Decides whether a daemon watches the store or follows others that do.

    Each call of the store has a price, and a change wakes all that wait. So
    only daemons that others ask watch; they tell the newest revision with
    each answer, and the others read at the store only when it is news. A
    daemon that hears of none that watches does so itself.
    """

    __slots__ = (
        "_max_silence_s",
        "_queried_s",
        "_reported_revision",
        "_reported_s",
    )

    def __init__(self, apply_s: float) -> None:
        """Creates the state of a daemon that has heard nothing.

        Args:
            apply_s: The time in which a change must be in force, in seconds.
        """
        self._max_silence_s = apply_s * MAX_SILENCE_SHARE
        self._queried_s = -math.inf
        self._reported_s = -math.inf
        self._reported_revision = 0

    @property
    def reported_revision(self) -> int:
        """The newest revision that another daemon told."""
        return self._reported_revision

    def record_query(self, now_s: float) -> None:
        """Takes in that another daemon asked this one.

        Args:
            now_s: When, on the monotonic clock, in seconds.
        """
        self._queried_s = max(self._queried_s, now_s)

    def record_first_read(self, now_s: float) -> None:
        """Gives others the time to tell what they know.

        Args:
            now_s: When this daemon first read the store.
        """
        self._reported_s = max(self._reported_s, now_s)

    def record_report(self, revision: int, now_s: float) -> None:
        """Takes in what a daemon that watches the store knows.

        Args:
            revision: The store's revision.
            now_s: When it came in, on the monotonic clock, in seconds.
        """
        self._reported_s = max(self._reported_s, now_s)
        self._reported_revision = max(self._reported_revision, revision)

    def next_step(self, revision: int, now_s: float) -> Step:
        """Decides what to do next.

        Args:
            revision: The store's revision up to which changes are known; 0
                if nothing was read yet.
            now_s: The monotonic clock, in seconds.
        """
        is_silent = self.silence_left_s(now_s) <= 0.0
        if self.has_followers(now_s) or not revision or is_silent:
            return Step.WATCH
        if self._reported_revision > revision:
            return Step.CATCH_UP
        return Step.FOLLOW

    def has_followers(self, now_s: float) -> bool:
        """Whether other daemons have asked this one lately.

        Args:
            now_s: The monotonic clock, in seconds.
        """
        return now_s - self._queried_s < FOLLOWER_TIMEOUT_S

    def silence_left_s(self, now_s: float) -> float:
        """How long silence may still last, in seconds.

        Args:
            now_s: The monotonic clock, in seconds.
        """
        return self._reported_s + self._max_silence_s - now_s
