"""Decides how a daemon learns of changes of the store.

A daemon either watches the store, or follows peers that do.
"""

from __future__ import annotations

import enum
import math

# A peer counts as a follower for this time after its last query, in seconds.
# Peers query with each ping; four pings fit into the time.
FOLLOWER_TIMEOUT_S = 1.0
# A daemon starts its own watch if the watching peers are silent for this share
# of the time within which a change must be in force. The rest is enough to
# watch the store and to apply a change.
MAX_SILENCE_SHARE = 0.4
# The same if they respond, but the store last confirmed their revision longer
# ago than this share: they may have lost the store without knowing it.
MAX_CONFIRMED_AGE_SHARE = 0.6
# A daemon with followers lets the store confirm its revision at intervals of
# this share. With the pings' interval and a lost ping, the confirmation that
# followers know stays younger than its highest age.
CONFIRMATION_SHARE = 0.3


class Step(enum.Enum):
    """The next step of a daemon to learn of changes."""

    # Watch the store.
    WATCH = "watch"
    # Read the changes up to a revision that a peer has reported.
    CATCH_UP = "catch up"
    # Wait for reports from peers.
    FOLLOW = "follow"


class StoreFollower:
    """Decides whether a daemon watches the store or follows peers that do.

    Calls to the store are costly, and a change ends all pending watches, so
    that each must be renewed by another call. Therefore only daemons with
    followers watch the store. They report the newest revision in each response
    to a ping, and their followers read the store only if that revision is new.
    A response proves that its sender lives, not that the sender still hears the
    store, so each report tells when the store last confirmed the revision.
    A daemon that gets no reports, or only reports of old confirmations, watches
    the store itself.
    """

    __slots__ = (
        "_confirmation_interval_s",
        "_confirmed_s",
        "_max_confirmed_age_s",
        "_max_silence_s",
        "_queried_s",
        "_reported_revision",
        "_reported_s",
    )

    def __init__(self, apply_s: float) -> None:
        """Creates the state of a daemon without reports and followers.

        Args:
            apply_s: The time within which a change must be in force, in
                seconds.
        """
        self.set_apply_s(apply_s)
        self._confirmed_s = -math.inf
        self._queried_s = -math.inf
        self._reported_s = -math.inf
        self._reported_revision = 0

    @property
    def reported_revision(self) -> int:
        """The newest revision that a peer has reported."""
        return self._reported_revision

    @property
    def confirmation_interval_s(self) -> float:
        """How often the store is to confirm a watched revision, in seconds."""
        return self._confirmation_interval_s

    def set_apply_s(self, apply_s: float) -> None:
        """Sets the time within which a change must be in force.

        Args:
            apply_s: The time, in seconds.
        """
        self._max_silence_s = apply_s * MAX_SILENCE_SHARE
        self._max_confirmed_age_s = apply_s * MAX_CONFIRMED_AGE_SHARE
        self._confirmation_interval_s = apply_s * CONFIRMATION_SHARE

    def record_query(self, now_s: float) -> None:
        """Records a query from a peer.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._queried_s = max(self._queried_s, now_s)

    def record_first_read(self, now_s: float) -> None:
        """Records the first read of the store: the wait for reports starts.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._reported_s = max(self._reported_s, now_s)
        self._confirmed_s = max(self._confirmed_s, now_s)

    def record_report(
        self, revision: int, confirmed_s: float, now_s: float
    ) -> None:
        """Records a report from a peer that watches the store.

        Args:
            revision: The revision of the store that the peer knows.
            confirmed_s: When the store confirmed to the peer that it has no
                later changes, on this daemon's monotonic clock, in seconds.
            now_s: The time of the report on the monotonic clock, in seconds.
        """
        self._reported_s = max(self._reported_s, now_s)
        self._confirmed_s = max(self._confirmed_s, confirmed_s)
        self._reported_revision = max(self._reported_revision, revision)

    def next_step(self, revision: int, now_s: float) -> Step:
        """Decides on the next step.

        Args:
            revision: The revision of the store up to which changes are known;
                0 before the first read.
            now_s: The current time on the monotonic clock, in seconds.
        """
        is_silent = self.silence_left_s(now_s) <= 0.0
        if self.has_followers(now_s) or not revision or is_silent:
            return Step.WATCH
        if self._reported_revision > revision:
            return Step.CATCH_UP
        return Step.FOLLOW

    def has_followers(self, now_s: float) -> bool:
        """Tells whether a peer has queried this daemon recently.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return now_s - self._queried_s < FOLLOWER_TIMEOUT_S

    def silence_left_s(self, now_s: float) -> float:
        """Returns the time left to wait for a report, in seconds.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return (
            min(
                self._reported_s + self._max_silence_s,
                self._confirmed_s + self._max_confirmed_age_s,
            )
            - now_s
        )

    def confirmed_age_s(self, now_s: float) -> float:
        """Returns the age of the newest confirmation by the store, in seconds.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return now_s - self._confirmed_s
