"""Decides how a daemon learns of changes of the store.

A daemon either watches the store, or follows peers that do.
"""

from __future__ import annotations

import enum
import math

from dotterelpath.domain import store_position

# A peer counts as a follower for this time after its last query, in seconds.
# Peers query with each ping; four pings fit into the time.
FOLLOWER_TIMEOUT_S = 1.0
# All further times are shares of the time within which a change must be in
# force, in which they must fit one after the other. See the design page.
#
# A daemon starts its own watch if the watching peers are silent for this share.
MAX_SILENCE_SHARE = 0.4
# The same if they respond, but the store last proved their revision longer ago
# than this share: they may have lost the store without knowing it. A daemon
# that watches asks the store besides its watch then.
MAX_PROOF_AGE_SHARE = 0.75
# A revision that peers follow is to be proved again after this share, at most.
PROOF_SHARE = 0.55
# A proof reaches the peers within this time, in seconds: an interval of pings
# and their way.
REPORT_DELAY_S = 0.3
# Like PROOF_SHARE, if requests rely on the proofs of this daemon alone.
STRICT_PROOF_AGE_SHARE = 0.3
# Like PROOF_SHARE, for a revision that no peer follows.
LONE_PROOF_SHARE = 0.6
# The wait of a watch while a peer proves the revision.
RESERVE_WAIT_SHARE = 2.0
# The shortest wait of a watch that is to prove the revision.
MIN_WAIT_SHARE = 0.05
# A response is lost if it does not begin within this share, apart from the
# wait, or pauses for as long.
RESPONSE_SHARE = 0.15
# The changes since a revision are given up if they take longer than this share
# to arrive. All keys, of which each comes once, may be shorter.
TRANSFER_SHARE = 0.3
# How long to wait for further changes after a change, to read them in one call.
BATCH_SHARE = 0.25
# The same while a fleet starts, which writes many keys meanwhile.
STARTUP_BATCH_SHARE = 0.35
# Timers may fire this much earlier, in seconds.
TIMER_RESOLUTION_S = 0.001
# The longest time to wait for a response, in seconds, however slow the store.
MAX_RESPONSE_S = 1.0
# How many times longer than the last response the next one may take.
RESPONSE_SLACK = 3.0


class Step(enum.Enum):
    """The next step of a daemon to learn of changes."""

    # Watch the store.
    WATCH = "watch"
    # Read the changes up to a revision that a peer has reported.
    CATCH_UP = "catch up"
    # Wait for reports from peers.
    FOLLOW = "follow"


class StoreFollower:
    """Decides how a daemon learns of changes, and when it must have proof.

    Calls to the store are costly, and a change ends all pending watches, so
    that each must be renewed by another call. Therefore only daemons with
    followers watch the store. They report the newest revision in each response
    to a ping, and their followers read the store only if that revision is new.
    A response proves that its sender lives, not that the sender still hears the
    store, so each report tells when the store last proved the revision.
    A daemon that gets no reports, or only reports of old proofs, watches the
    store itself.

    Only responses that cannot be stale prove that there are no later changes. A
    pending watch proves nothing, since its response may be lost. It proves its
    revision when it ends, so that watches end at the rate of the proofs.

    A later era of the store makes all proofs and reports of earlier ones void.
    """

    __slots__ = (
        "_apply_s",
        "_confirmed_s",
        "_copy_holder_id",
        "_era",
        "_large",
        "_lost_copy",
        "_newer_reported_s",
        "_own_id",
        "_peer_id",
        "_proved_s",
        "_queried_s",
        "_reported",
        "_reported_s",
        "_response_s",
    )

    def __init__(self, apply_s: float, own_id: str = "") -> None:
        """Creates the state of a daemon without reports and followers.

        Args:
            apply_s: The time within which a change must be in force, in
                seconds.
            own_id: The id of this daemon.
        """
        self._own_id = own_id
        self._apply_s = apply_s
        self._confirmed_s = -math.inf
        self._queried_s = -math.inf
        self._reported_s = -math.inf
        self._reported = store_position.NOTHING
        # The newest era that the store or a peer has stated.
        self._era = 0
        # The peer that last reported a newer proof.
        self._peer_id = ""
        # The peer that first reported the newest position.
        self._copy_holder_id: str | None = None
        # The newest position of a large value that a peer has reported.
        self._large = store_position.NOTHING
        # The newest position reported when a copy could not be read.
        self._lost_copy = store_position.NOTHING
        # When the newest position was reported first.
        self._newer_reported_s = -math.inf
        self._proved_s = -math.inf
        # How long the last responses took, times RESPONSE_SLACK.
        self._response_s = 0.0

    @property
    def reported(self) -> store_position.Position:
        """The newest position that a peer has reported."""
        return self._reported

    @property
    def newer_reported_s(self) -> float:
        """When that position was first reported, on the monotonic clock."""
        return self._newer_reported_s

    @property
    def proved_s(self) -> float:
        """When this daemon last had proof that it knew all changes.

        On the monotonic clock, in seconds.
        """
        return self._proved_s

    @property
    def transfer_s(self) -> float:
        """How long changes may take to arrive once they begin, in seconds."""
        return self._apply_s * TRANSFER_SHARE

    @property
    def response_s(self) -> float:
        """How long the next response may take to begin, apart from its wait.

        In seconds. Longer than usual while the store is slow.
        """
        return min(MAX_RESPONSE_S, max(self.copy_response_s, self._response_s))

    @property
    def copy_response_s(self) -> float:
        """How long a peer's response may take to begin, in seconds."""
        return self._apply_s * RESPONSE_SHARE

    @property
    def proof_interval_s(self) -> float:
        """The interval at which a revision that peers follow is proved.

        In seconds. A proof must reach the peers before the last one is too old
        for them.
        """
        oldest_s = self._apply_s * MAX_PROOF_AGE_SHARE
        return min(self._apply_s * PROOF_SHARE, oldest_s - REPORT_DELAY_S)

    def copy_holder_id(
        self, position: store_position.Position, is_store_lost: bool
    ) -> str | None:
        """Returns the peer whose copy of the store to read.

        Large values are read from peers: the store's link does not carry them
        to all daemons at once. So are all keys at a later era, which all
        daemons learn of at once, and all changes while only this daemon does
        not reach the store.

        Args:
            position: The position up to which changes are known; with revision
                0 if all keys must be read.
            is_store_lost: Whether the last call to the store failed.

        Returns:
            The id of the peer; None if the store is to be read.
        """
        if self._reported <= max(position, self._lost_copy):
            return None
        is_later_era = 0 < position.era < self._reported.era
        if self._large > position or is_later_era or is_store_lost:
            return self._copy_holder_id
        return None

    def record_lost_copy(self) -> None:
        """Records that the peer gave no copy of the reported position."""
        self._lost_copy = self._reported

    def set_apply_s(self, apply_s: float) -> None:
        """Sets the time within which a change must be in force.

        Args:
            apply_s: The time, in seconds.
        """
        self._apply_s = apply_s

    def record_response(self, took_s: float) -> None:
        """Records how long a response took to begin, apart from its wait.

        Args:
            took_s: The time, in seconds.
        """
        self._response_s = took_s * RESPONSE_SLACK

    def record_lost_response(self) -> None:
        """Records that there was no response in time."""
        self._response_s = 2.0 * self.response_s

    def record_proof(
        self,
        position: store_position.Position,
        proved_s: float,
        complete_s: float,
    ) -> None:
        """Records an answer of the store that cannot be stale.

        It also refutes earlier reports of a revision that the store has not.

        Args:
            position: The position up to which all changes are known now.
            proved_s: The time for which they are complete, on the monotonic
                clock, in seconds.
            complete_s: The same, even if the answer was delayed on its way.
        """
        self._enter_era(position.era)
        self._proved_s = max(self._proved_s, proved_s)
        if self._newer_reported_s <= complete_s:
            self._reported = min(self._reported, position)

    def proof_due_s(
        self, position: store_position.Position, is_strict: bool
    ) -> float:
        """Returns when the store must be asked for a proof.

        Args:
            position: The position of the store up to which changes are known.
            is_strict: Whether the proofs of peers do not count.

        Returns:
            The time on the monotonic clock, in seconds.
        """
        if is_strict:
            return self._proved_s + self._apply_s * STRICT_PROOF_AGE_SHARE
        newest_s = self._proved_s
        if self._reported <= position:
            newest_s = max(newest_s, self._confirmed_s)
        return newest_s + self._apply_s * MAX_PROOF_AGE_SHARE

    def watch_wait_s(self, now_s: float) -> float:
        """Returns how long the next watch waits for changes.

        Of the daemons that watch for the same followers, the one with the
        smallest id proves the revision. The others ask for a proof if it fails.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The wait, in seconds.
        """
        interval_s = self.proof_interval_s
        if not self.has_followers(now_s):
            interval_s = self._apply_s * LONE_PROOF_SHARE
        elif self._peer_id < self._own_id and (
            now_s - self._confirmed_s < self._apply_s * MAX_PROOF_AGE_SHARE
        ):
            return self._apply_s * RESERVE_WAIT_SHARE
        due_s = self._proved_s + interval_s
        return max(due_s - now_s, self._apply_s * MIN_WAIT_SHARE)

    def batch_s(self, is_start: bool) -> float:
        """Returns how long to wait for further changes, in seconds.

        Args:
            is_start: Whether the fleet may be starting.
        """
        share = STARTUP_BATCH_SHARE if is_start else BATCH_SHARE
        return self._apply_s * share

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
        self._proved_s = max(self._proved_s, now_s)

    def record_report(
        self,
        position: store_position.Position,
        confirmed_s: float,
        now_s: float,
        peer_id: str = "",
        large_revision: int = 0,
    ) -> None:
        """Records a report from a peer that watches the store.

        A report of an earlier era tells nothing.

        Args:
            position: The position of the store that the peer knows.
            confirmed_s: When the store last proved to the peer that it has no
                later changes, on this daemon's monotonic clock, in seconds.
            now_s: The time of the report on the monotonic clock, in seconds.
            peer_id: The id of the peer.
            large_revision: The newest revision of that era at which a large
                value was written.
        """
        self._enter_era(position.era)
        if position.era < self._era:
            return
        large = store_position.Position(position.era, large_revision)
        self._large = max(self._large, large)
        self._reported_s = max(self._reported_s, now_s)
        if confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s
            self._peer_id = peer_id
        if position > self._reported:
            self._reported = position
            self._newer_reported_s = now_s
            self._copy_holder_id = peer_id

    def next_step(
        self,
        position: store_position.Position,
        now_s: float,
        is_store_lost: bool = False,
    ) -> Step:
        """Decides on the next step.

        Args:
            position: The position of the store up to which changes are known;
                with revision 0 if all keys must be read.
            now_s: The current time on the monotonic clock, in seconds.
            is_store_lost: Whether the last call to the store failed.
        """
        must_read_all = not position.revision
        if (
            is_store_lost
            and not must_read_all
            and self.copy_holder_id(position, True)
        ):
            return Step.CATCH_UP
        is_silent = self.silence_left_s(now_s) <= TIMER_RESOLUTION_S
        if self.has_followers(now_s) or must_read_all or is_silent:
            return Step.WATCH
        if self._reported > position:
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
        known_s = max(self._confirmed_s, self._proved_s)
        return (
            min(
                self._reported_s + self._apply_s * MAX_SILENCE_SHARE,
                known_s + self._apply_s * MAX_PROOF_AGE_SHARE,
            )
            - now_s
        )

    def confirmed_age_s(self, now_s: float) -> float:
        """Returns the age of the newest proof that a peer reported, in seconds.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return now_s - self._confirmed_s

    def _enter_era(self, era: int) -> None:
        """Forgets what earlier eras proved, if the era is a later one."""
        if era <= self._era:
            return
        self._era = era
        self._confirmed_s = -math.inf
        self._proved_s = -math.inf
        self._peer_id = ""
