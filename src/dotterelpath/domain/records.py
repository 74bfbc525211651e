"""Records the outcomes of requests with idempotency keys.

A key starts when its request runs for the first time. The records ensure that
the request of a key runs at most once.

A record table holds the records of one home, the daemon incarnation to which
the keys belong. The table is bounded in count, bytes and age. When it drops a
record, it raises its minimum epoch. No key of an earlier epoch may start, so a
key whose record was dropped never runs again.
"""

from __future__ import annotations

import collections
import enum

from dotterelpath import errors
from dotterelpath.domain import exchange
from dotterelpath.domain import keys

# The time for which records are kept, in epochs of keys.EPOCH_S (600 s in all).
RETENTION_EPOCHS = 60
MAX_RECORDS = 100_000
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Stands for the unknown epoch of a key that a caller made itself.
OPAQUE_EPOCH = -1


class RecordState(enum.Enum):
    """Progress of a key's request."""

    RUNNING = "running"
    ENDED = "ended"


class Decision(enum.Enum):
    """What to do with an arriving attempt.

    RUN sends the request to an instance, JOIN waits for the outcome of the
    running request, REPLAY returns the recorded outcome.
    """

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"


class Record:
    """State and outcome of the request with one key."""

    __slots__ = ("attempt", "epoch", "fingerprint", "outcome", "state")

    def __init__(self, epoch: int, fingerprint: str, attempt: int) -> None:
        """Creates a running record.

        Args:
            epoch: The key's epoch.
            fingerprint: A digest of method, target and body.
            attempt: The highest attempt number of the caller so far.
        """
        self.epoch = epoch
        self.fingerprint = fingerprint
        self.attempt = attempt
        self.state = RecordState.RUNNING
        self.outcome: exchange.Outcome | None = None


class AdmitResult:
    """The decision on an arriving attempt."""

    __slots__ = ("decision", "outcome")

    def __init__(
        self, decision: Decision, outcome: exchange.Outcome | None = None
    ) -> None:
        """Creates a result.

        Args:
            decision: What to do.
            outcome: The recorded outcome to replay; None unless REPLAY.
        """
        self.decision = decision
        self.outcome = outcome


class RecordTable:
    """The records of one home."""

    __slots__ = (
        "_by_epoch",
        "_closed",
        "_frozen",
        "_max_records",
        "_max_response_bytes",
        "_min_epoch",
        "_records",
        "_response_bytes",
        "adopted_at_s",
        "home",
        "started_at_s",
    )

    def __init__(
        self,
        home: keys.Home,
        started_at_s: float,
        max_records: int = MAX_RECORDS,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Creates an empty table.

        Args:
            home: The home to which the keys belong.
            started_at_s: When the home started, in seconds on the monotonic
                clock of the daemon that holds the table.
            max_records: The most records to keep.
            max_response_bytes: The most bytes of response bodies to keep.
        """
        self.home = home
        self.started_at_s = started_at_s
        self.adopted_at_s = started_at_s
        self._max_records = max_records
        self._max_response_bytes = max_response_bytes
        self._response_bytes = 0
        self._min_epoch = 0
        self._frozen = False
        self._closed = False
        self._records: dict[str, Record] = {}
        self._by_epoch: dict[int, collections.deque[str]] = {}

    @property
    def min_epoch(self) -> int:
        """The earliest epoch whose keys may still start."""
        return self._min_epoch

    @property
    def records(self) -> dict[str, Record]:
        """The records by scoped key."""
        return self._records

    @property
    def is_frozen(self) -> bool:
        """Whether this table lets no further keys start."""
        return self._frozen

    @property
    def is_closed(self) -> bool:
        """Whether any successor, too, must not let further keys start."""
        return self._closed

    def freeze(self) -> None:
        """Stops further keys from starting here; a successor may start them."""
        self._frozen = True

    def close(self) -> None:
        """Stops further keys from starting, here and at any successor."""
        self._frozen = True
        self._closed = True

    def admit(
        self,
        scoped_key: str,
        epoch: int,
        fingerprint: str,
        attempt: int,
        now_s: float,
        may_start: bool = True,
    ) -> AdmitResult:
        """Decides on an arriving attempt and records it if it may run.

        Args:
            scoped_key: The key with its workspace.
            epoch: The key's epoch; OPAQUE_EPOCH for a caller's own key, which
                is claimed for this home in the store.
            fingerprint: A digest of method, target and body.
            attempt: The caller's attempt number.
            now_s: The current time on this daemon's monotonic clock, in
                seconds.
            may_start: Whether a key without a record may run.

        Returns:
            Whether to run, join the running attempt, or replay an outcome.

        Raises:
            DotterelpathError: The key is too old or belongs to another
                request, or the table is full or frozen.
        """
        record = self._records.get(scoped_key)
        if record is not None:
            return self._admit_known(record, fingerprint, attempt)
        if not may_start:
            raise errors.DotterelpathError(errors.ResultCode.KEY_EXPIRED)
        self._check_may_start(epoch, now_s)
        self._evict_if_full(now_s)
        if epoch == OPAQUE_EPOCH:
            epoch = keys.epoch_at(now_s - self.started_at_s)
        record = Record(epoch, fingerprint, attempt)
        self._insert(scoped_key, record)
        return AdmitResult(Decision.RUN)

    def finish(self, scoped_key: str, outcome: exchange.Outcome) -> None:
        """Records the outcome of a running key.

        Args:
            scoped_key: The key with its workspace.
            outcome: How the request ended.
        """
        record = self._records.get(scoped_key)
        if record is None or record.state is RecordState.ENDED:
            return
        record.state = RecordState.ENDED
        record.outcome = outcome
        if outcome.stream_id is not None:
            _discard_response(record)
        elif outcome.response is not None:
            self._response_bytes += len(outcome.response.body)
            self._evict_responses()

    def remove_running(self, scoped_key: str) -> None:
        """Drops the record of a key whose claim for this home failed.

        Args:
            scoped_key: The key with its workspace.
        """
        record = self._records.pop(scoped_key, None)
        if record is not None:
            self._by_epoch[record.epoch].remove(scoped_key)

    def has_record(self, scoped_key: str) -> bool:
        """Returns whether a key has a record.

        Args:
            scoped_key: The key with its workspace.
        """
        return scoped_key in self._records

    def import_record(self, scoped_key: str, record: Record) -> None:
        """Adds a record that a stopped home handed over.

        Args:
            scoped_key: The key with its workspace.
            record: The record; ignored if the key already has one.
        """
        if scoped_key not in self._records:
            self._insert(scoped_key, record)

    def raise_min_epoch(self, epoch: int) -> None:
        """Stops keys of earlier epochs from starting.

        Args:
            epoch: The new minimum; a lower one than now changes nothing.
        """
        self._min_epoch = max(self._min_epoch, epoch)

    def expire(self, now_s: float) -> None:
        """Drops records older than RETENTION_EPOCHS.

        Args:
            now_s: The current time on this daemon's monotonic clock, in
                seconds.
        """
        current = keys.epoch_at(now_s - self.started_at_s)
        self.raise_min_epoch(current - RETENTION_EPOCHS)
        for epoch in [e for e in self._by_epoch if e < self._min_epoch]:
            self._evict_epoch(epoch)

    def _admit_known(
        self, record: Record, fingerprint: str, attempt: int
    ) -> AdmitResult:
        if record.fingerprint != fingerprint:
            raise errors.DotterelpathError(errors.ResultCode.KEY_REUSED)
        if record.state is RecordState.RUNNING:
            # Joined attempts share the outcome, so only an attempt number
            # above all of theirs may run the request again.
            record.attempt = max(record.attempt, attempt)
            return AdmitResult(Decision.JOIN)
        outcome = record.outcome
        assert outcome is not None
        if not outcome.is_not_run or attempt <= record.attempt or self._frozen:
            return AdmitResult(Decision.REPLAY, outcome)
        record.attempt = attempt
        record.state = RecordState.RUNNING
        record.outcome = None
        return AdmitResult(Decision.RUN)

    def _check_may_start(self, epoch: int, now_s: float) -> None:
        if self._frozen:
            raise errors.DotterelpathError(errors.ResultCode.HOME_REPLACED)
        if epoch == OPAQUE_EPOCH:
            return
        current = keys.epoch_at(now_s - self.started_at_s)
        oldest = max(self._min_epoch, current - RETENTION_EPOCHS)
        if not oldest <= epoch <= current:
            raise errors.DotterelpathError(errors.ResultCode.KEY_EXPIRED)

    def _insert(self, scoped_key: str, record: Record) -> None:
        self._records[scoped_key] = record
        keys_of_epoch = self._by_epoch.setdefault(
            record.epoch, collections.deque()
        )
        keys_of_epoch.append(scoped_key)
        if record.outcome is not None and record.outcome.response is not None:
            self._response_bytes += len(record.outcome.response.body)

    def _evict_if_full(self, now_s: float) -> None:
        """Makes room for a record by dropping the oldest epochs.

        Raises:
            DotterelpathError: The records of the current epoch fill the table.
        """
        if len(self._records) < self._max_records:
            return
        self.expire(now_s)
        current = keys.epoch_at(now_s - self.started_at_s)
        while len(self._records) >= self._max_records:
            earlier = [e for e in self._by_epoch if e < current]
            oldest = min(earlier, default=None)
            if oldest is None:
                raise errors.DotterelpathError(errors.ResultCode.RECORDS_FULL)
            self.raise_min_epoch(oldest + 1)
            self._evict_epoch(oldest)

    def _evict_epoch(self, epoch: int) -> None:
        kept: collections.deque[str] = collections.deque()
        for scoped_key in self._by_epoch.pop(epoch):
            record = self._records[scoped_key]
            if record.state is RecordState.RUNNING:
                kept.append(scoped_key)
                continue
            self._response_bytes -= _response_size(record)
            del self._records[scoped_key]
        if kept:
            # Running records move to the next epoch, so that the attempts
            # that joined them get the outcome.
            self._by_epoch.setdefault(
                epoch + 1, collections.deque()
            ).extendleft(kept)

    def _evict_responses(self) -> None:
        """Drops the oldest responses, but keeps their records.

        Evicts down to half of the limit, so that further responses fit without
        another eviction.
        """
        if self._response_bytes <= self._max_response_bytes:
            return
        for epoch in sorted(self._by_epoch):
            for scoped_key in self._by_epoch[epoch]:
                record = self._records[scoped_key]
                self._response_bytes -= _response_size(record)
                if record.outcome is not None:
                    _discard_response(record)
                if self._response_bytes <= self._max_response_bytes // 2:
                    return


def _response_size(record: Record) -> int:
    if record.outcome is None or record.outcome.response is None:
        return 0
    return len(record.outcome.response.body)


def _discard_response(record: Record) -> None:
    outcome = record.outcome
    if outcome is None or outcome.response is None:
        return
    record.outcome = exchange.Outcome(
        errors.ResultCode.ANSWER_NOT_KEPT, instance=outcome.instance
    )
