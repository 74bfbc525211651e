"""Decides when a daemon that misses changes of the store stops serving.

A revoked key is a change of the store. A daemon that cannot read changes while
others can would go on accepting the key.
"""

from __future__ import annotations

import collections
import math

from dotterelpath.domain import bounds as bounds_domain
from dotterelpath.domain import store_following
from dotterelpath.domain import store_position

# A report of another daemon shows that the store can be reached if the store
# proved the reported revision within this share of the time within which a
# change must be in force. The proofs of healthy daemons are not older.
MAX_EVIDENCE_AGE_SHARE = store_following.MAX_PROOF_AGE_SHARE
# The same share for the knowledge of this daemon: if it was confirmed longer
# ago, the daemon asks further daemons for their revisions.
MAX_CONFIRMED_AGE_SHARE = store_following.MAX_PROOF_AGE_SHARE
# A refusal takes effect within this time, in seconds: reports arrive with the
# responses to pings, of which one may be lost.
REACTION_S = 0.5
# The most reported revisions that are kept with the times of their reports.
MAX_REPORTS = 64


class _Report:
    """A position that is not known here yet, and when it was reported first."""

    __slots__ = ("confirmed_s", "position", "reported_s")

    def __init__(
        self,
        position: store_position.Position,
        confirmed_s: float,
        reported_s: float,
    ) -> None:
        self.position = position
        self.confirmed_s = confirmed_s
        self.reported_s = reported_s


class RevocationGuard:
    """Knows since when this daemon misses changes that others have read.

    The revision of the store rises all the time, so that a healthy daemon is
    always a little behind. What counts is therefore the age of the oldest
    report that this daemon has not caught up with.

    If no daemon reaches the store any more, the last change may have reached
    one of them only. The others then go on: a daemon is refused by the store
    only if another one reaches the store meanwhile.
    """

    __slots__ = (
        "_bounds",
        "_confirmed_s",
        "_evidence_s",
        "_position",
        "_reports",
    )

    def __init__(self, bounds: bounds_domain.Bounds) -> None:
        """Creates a guard of a daemon that knows nothing.

        Args:
            bounds: The limits from the settings.
        """
        self._bounds = bounds
        self._position = store_position.NOTHING
        self._confirmed_s = -math.inf
        # When the store confirmed a revision that is not known here to another
        # daemon.
        self._evidence_s = -math.inf
        # The reports that are not caught up with, by rising position.
        self._reports: collections.deque[_Report] = collections.deque()

    @property
    def behind_since_s(self) -> float:
        """Since when this daemon knows of changes that it has not read.

        On the monotonic clock, in seconds; infinite if it knows of none.
        """
        return self._reports[0].reported_s if self._reports else math.inf

    @property
    def confirmed_s(self) -> float:
        """When this daemon last knew all changes of the store.

        On the monotonic clock, in seconds.
        """
        return self._confirmed_s

    def set_bounds(self, bounds: bounds_domain.Bounds) -> None:
        """Sets changed limits.

        Args:
            bounds: The limits from the settings.
        """
        self._bounds = bounds

    def record_report(
        self,
        position: store_position.Position,
        confirmed_s: float,
        now_s: float,
    ) -> None:
        """Records a report of a daemon that watches the store.

        Args:
            position: The position that the daemon knows.
            confirmed_s: When the store confirmed this position to it, on this
                daemon's monotonic clock, in seconds.
            now_s: The time of the report on the monotonic clock, in seconds.
        """
        if position <= self._position:
            # A lower position may be confirmed by a copy of the store that
            # lags behind.
            if position == self._position:
                self._confirmed_s = max(self._confirmed_s, confirmed_s)
            return
        self._evidence_s = max(self._evidence_s, confirmed_s)
        last = self._reports[-1] if self._reports else None
        if last is None or position > last.position:
            if last is None or len(self._reports) < MAX_REPORTS:
                report = _Report(position, confirmed_s, now_s)
                self._reports.append(report)
                return
            last.position = position
        if position == last.position:
            last.confirmed_s = max(last.confirmed_s, confirmed_s)

    def record_read(
        self, position: store_position.Position, sent_s: float, is_exact: bool
    ) -> None:
        """Records a successful read of the store.

        An exact read is the answer to all earlier reports, also to one with a
        revision that the store has never had. Another read confirms what is
        known only if it leaves no report open, and not if the revocation is
        strict.

        Args:
            position: The position up to which all changes are known now.
            sent_s: When the read was sent, on the monotonic clock, in seconds.
            is_exact: Whether the response cannot be older than the read.
        """
        self._position = max(self._position, position)
        while self._reports:
            report = self._reports[0]
            if report.position <= self._position:
                self._confirmed_s = max(self._confirmed_s, report.confirmed_s)
            elif not is_exact or report.reported_s > sent_s:
                break
            self._reports.popleft()
        may_confirm = (
            not self._reports and not self._bounds.is_revocation_strict
        )
        if is_exact or may_confirm:
            self._confirmed_s = max(self._confirmed_s, sent_s)

    def not_ready_from_s(self) -> float:
        """Returns from when this daemon is not ready.

        Returns:
            The time on the monotonic clock, in seconds; infinite if nothing is
            known to be wrong.
        """
        from_s = self.behind_since_s + self._bounds.apply_s
        if not self._is_refused_by_store(from_s):
            from_s = math.inf
        return min(from_s, self.refuse_from_s())

    def refuse_from_s(self) -> float:
        """Returns from when this daemon refuses requests.

        A change that it has not read is younger than the last confirmation, and
        must be in force before the whole stretch has passed. This may be soon
        for a daemon that heard late of the change.

        Returns:
            The time on the monotonic clock, in seconds; infinite if nothing is
            known to be wrong.
        """
        bounds = self._bounds
        not_ready_s = self.behind_since_s + bounds.apply_s
        last_s = self._confirmed_s + bounds.apply_s + bounds.max_stretch_s
        from_s = min(
            not_ready_s + bounds.max_stretch_s / 2.0,
            max(not_ready_s, last_s - REACTION_S),
        )
        if not self._is_refused_by_store(from_s):
            from_s = math.inf
        if bounds.is_revocation_strict:
            from_s = min(from_s, self._confirmed_s + bounds.revoke_s)
        return from_s

    def must_ask_others(self, now_s: float) -> bool:
        """Tells whether to ask further daemons for their revisions.

        Those that are asked usually may be refused by the store as well.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        max_age_s = self._bounds.apply_s * MAX_CONFIRMED_AGE_SHARE
        return now_s - self._confirmed_s > max_age_s

    def _is_refused_by_store(self, at_s: float) -> bool:
        """Whether others reach the store at a time and this daemon does not."""
        if not self._reports:
            return False
        max_age_s = self._bounds.apply_s * MAX_EVIDENCE_AGE_SHARE
        return self._evidence_s >= at_s - max_age_s


class FreezeDetector:
    """Notices that this process did not run for a while.

    Requests that arrived meanwhile are handled before the changes of the store
    that were made meanwhile are known.
    """

    __slots__ = ("_apply_s", "_seen_s", "_woke_s")

    def __init__(self, apply_s: float) -> None:
        """Creates a detector.

        Args:
            apply_s: The time within which a change must be in force, in
                seconds.
        """
        self._apply_s = apply_s
        self._seen_s = math.inf
        self._woke_s = -math.inf

    def set_apply_s(self, apply_s: float) -> None:
        """Sets the time within which a change must be in force.

        Args:
            apply_s: The time, in seconds.
        """
        self._apply_s = apply_s

    def start(self, now_s: float) -> None:
        """Begins to expect calls of `observe` at short intervals.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._seen_s = now_s

    def observe(self, now_s: float) -> bool:
        """Records that the process runs.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether it did not run for long before.
        """
        has_woken = now_s - self._seen_s > self._apply_s / 2.0
        if has_woken:
            self._woke_s = now_s
        self._seen_s = now_s
        return has_woken

    def is_outdated(self, confirmed_s: float, now_s: float) -> bool:
        """Tells whether changes may have been missed.

        If nothing confirms what is known for long, no daemon may reach the
        store, and this one goes on as the others do.

        Args:
            confirmed_s: When what is known was last confirmed, on the monotonic
                clock, in seconds.
            now_s: The current time on the same clock.
        """
        return (
            confirmed_s < self._woke_s
            and now_s - self._woke_s < self._apply_s + REACTION_S
        )
