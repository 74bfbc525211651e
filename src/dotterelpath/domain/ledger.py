"""Decides the ejections of a service.

The ledger of a service's ejections is stored in the platform's store and
changed by compare-and-swap, so that all daemons agree on it.
"""

from __future__ import annotations

import enum
import typing

from dotterelpath.domain import document
from dotterelpath.domain import outlier_detection
from dotterelpath.domain import vms

# The durations of the first and of the longest ejection.
FIRST_EJECTION_S = 10.0
MAX_EJECTION_S = 640.0
# The duration of the trial after an ejection.
TRIAL_S = 10.0
# No ejection in this time after a trial begins, in seconds: reports from
# before the trial may still arrive.
TRIAL_GRACE_S = 3.0
# Earlier ejections of a restored instance are forgotten after this time.
EJECTION_MEMORY_S = 900.0
# Suspicion reports older than this are ignored.
REPORT_MAX_AGE_S = 10.0


class EjectionState(enum.Enum):
    """State of an instance in the ledger.

    An ejected instance gets no work, one on trial a small share. A restored
    one gets its full share; its entry is kept so that a further ejection lasts
    longer.
    """

    EJECTED = "ejected"
    TRIAL = "trial"
    RESTORED = "restored"


class Ejection:
    """Ledger entry of an instance that is or recently was ejected."""

    __slots__ = ("changed_s", "ejection_count", "state")

    def __init__(
        self, state: EjectionState, changed_s: float, ejection_count: int
    ) -> None:
        """Creates an entry.

        Args:
            state: The instance's state.
            changed_s: Wall-clock time of the last change of the state, in
                seconds.
            ejection_count: Number of recent ejections of the instance.
        """
        self.state = state
        self.changed_s = changed_s
        self.ejection_count = ejection_count

    @property
    def duration_s(self) -> float:
        """Duration of the ejection, in seconds.

        It doubles with each recent ejection, up to MAX_EJECTION_S.
        """
        return min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (self.ejection_count - 1)
        )

    def with_state(self, state: EjectionState, wall_s: float) -> Ejection:
        """Builds the entry after a change of the state.

        Args:
            state: The new state.
            wall_s: Wall-clock time, in seconds.

        Returns:
            The new entry.
        """
        return Ejection(state, wall_s, self.ejection_count)


class Ledger:
    """All ejections of one service at one revision of the store."""

    __slots__ = ("entries", "revision", "service")

    def __init__(
        self,
        service: str,
        revision: int = 0,
        entries: dict[str, Ejection] | None = None,
    ) -> None:
        """Creates a ledger.

        Args:
            service: The service.
            revision: The store revision of the ledger; 0 if it is not stored.
            entries: The ejections by instance.
        """
        self.service = service
        self.revision = revision
        self.entries = entries or {}

    @property
    def ejected(self) -> tuple[str, ...]:
        """Instances that get no work, oldest ejection first."""
        return self._in_state(EjectionState.EJECTED)

    @property
    def trial(self) -> tuple[str, ...]:
        """Instances that get a small share of work, oldest trial first."""
        return self._in_state(EjectionState.TRIAL)

    def _in_state(self, state: EjectionState) -> tuple[str, ...]:
        found = [
            (entry.changed_s, instance)
            for instance, entry in self.entries.items()
            if entry.state is state
        ]
        return tuple(instance for _, instance in sorted(found))

    def copy(self) -> Ledger:
        """Copies the ledger, so that the copy's entries can be changed."""
        return Ledger(self.service, self.revision, dict(self.entries))


class SuspicionReport:
    """A daemon's evidence against one instance."""

    __slots__ = ("data_centre", "received_s", "score")

    def __init__(
        self, data_centre: str, score: float, received_s: float
    ) -> None:
        """Creates a report.

        Args:
            data_centre: The daemon's data centre.
            score: The daemon's log-likelihood ratio that the instance is
                unhealthy.
            received_s: When the report arrived, in seconds on the monotonic
                clock of the daemon that coordinates the service's ejections.
        """
        self.data_centre = data_centre
        self.score = score
        self.received_s = received_s


class SuspicionReports:
    """The recent reports on the instances of one service."""

    __slots__ = ("_by_instance",)

    def __init__(self) -> None:
        """Creates an empty set of reports."""
        self._by_instance: dict[str, dict[str, SuspicionReport]] = {}

    def update(
        self,
        daemon_id: str,
        data_centre: str,
        scores: dict[str, float],
        now_s: float,
    ) -> None:
        """Replaces all reports of a daemon.

        Args:
            daemon_id: The daemon.
            data_centre: The daemon's data centre.
            scores: Its log-likelihood ratio for each suspected instance.
            now_s: The current time on the coordinator's monotonic clock, in
                seconds.
        """
        for instance, by_daemon in self._by_instance.items():
            if instance not in scores:
                by_daemon.pop(daemon_id, None)
        for instance, score in scores.items():
            by_daemon = self._by_instance.setdefault(instance, {})
            by_daemon[daemon_id] = SuspicionReport(data_centre, score, now_s)

    def clear(self, instance: str) -> None:
        """Drops all reports on an instance.

        Args:
            instance: The instance's id.
        """
        self._by_instance.pop(instance, None)

    def confirmed_unhealthy(
        self,
        now_s: float,
        daemons: int,
        data_centres: int,
        ejection_policy: document.EjectionPolicy,
    ) -> list[str]:
        """Lists instances that the combined reports confirm as unhealthy.

        Reports of at least two daemons in two data centres are needed, where
        the fleet has as many: the fault may be in the network of a single
        daemon or data centre.

        Args:
            now_s: The current time on the coordinator's monotonic clock, in
                seconds.
            daemons: Number of daemons that observe the instances.
            data_centres: Number of data centres of these daemons.
            ejection_policy: Whether to avoid false ejections or late detection.

        Returns:
            The instances, the most suspected first.
        """
        found = []
        for instance, by_daemon in self._by_instance.items():
            recent = [
                report
                for report in by_daemon.values()
                if now_s - report.received_s <= REPORT_MAX_AGE_S
            ]
            if len(recent) < min(2, daemons):
                continue
            reporting_centres = {report.data_centre for report in recent}
            if len(reporting_centres) < min(2, data_centres):
                continue
            scores = [report.score for report in recent]
            log_p = outlier_detection.combined_log_p(
                scores, max(daemons, len(scores))
            )
            if log_p <= outlier_detection.EJECT_LOG_P[ejection_policy]:
                found.append((log_p, instance))
        return [instance for _, instance in sorted(found)]


def available_instances(
    listed: typing.Iterable[vms.Vm], draining: typing.Collection[str] = ()
) -> set[str]:
    """Finds the instances that count as capacity.

    Args:
        listed: The VMs of the service.
        draining: Ids of the instances that signalled that they drain.

    Returns:
        Ids of the live instances that do not drain.
    """
    return {
        vm.id
        for vm in listed
        if vm.state is vms.VmState.LIVE and vm.id not in draining
    }


def next_ledger(
    current: Ledger,
    available: set[str],
    floor: int,
    confirmed: list[str],
    wall_s: float,
) -> Ledger | None:
    """Decides the next state of a service's ledger.

    Args:
        current: The stored ledger.
        available: Ids of the instances that count as capacity.
        floor: The least number of instances that stay in rotation.
        confirmed: Instances confirmed as unhealthy, worst first.
        wall_s: Wall-clock time, in seconds.

    Returns:
        The new ledger, or None if nothing changes.
    """
    updated = current.copy()
    for instance in list(updated.entries):
        if instance not in available:
            del updated.entries[instance]
    for instance in list(updated.entries):
        _advance_entry(updated, instance, confirmed, wall_s)
    _restore_to_floor(updated, available, floor, wall_s)
    _eject_confirmed(updated, available, floor, confirmed, wall_s)
    return updated if updated.entries != current.entries else None


def _full_capacity(ledger: Ledger, available: set[str]) -> int:
    """Counts the available instances that get a full share of work."""
    return len(available - set(ledger.ejected) - set(ledger.trial))


def _advance_entry(
    ledger: Ledger, instance: str, confirmed: list[str], wall_s: float
) -> None:
    """Moves an entry to its next state once its time is over."""
    entry = ledger.entries[instance]
    age_s = wall_s - entry.changed_s
    if entry.state is EjectionState.EJECTED:
        if age_s >= entry.duration_s:
            ledger.entries[instance] = entry.with_state(
                EjectionState.TRIAL, wall_s
            )
    elif instance in confirmed:
        # _eject_confirmed needs the entry to eject the instance for longer.
        return
    elif entry.state is EjectionState.TRIAL:
        if age_s >= TRIAL_S:
            ledger.entries[instance] = entry.with_state(
                EjectionState.RESTORED, wall_s
            )
    elif age_s >= EJECTION_MEMORY_S:
        del ledger.entries[instance]


def _restore_to_floor(
    ledger: Ledger, available: set[str], floor: int, wall_s: float
) -> None:
    """Restores instances until the service has its floor again.

    Other instances may have left, or the owners may have raised the floor.
    """
    for instance in ledger.trial + ledger.ejected:
        if _full_capacity(ledger, available) >= floor:
            return
        entry = ledger.entries[instance]
        ledger.entries[instance] = entry.with_state(
            EjectionState.RESTORED, wall_s
        )


def _is_in_trial_grace(ledger: Ledger, instance: str, wall_s: float) -> bool:
    """Returns whether reports may still date from before the trial."""
    entry = ledger.entries.get(instance)
    if entry is None or entry.state is not EjectionState.TRIAL:
        return False
    return wall_s - entry.changed_s < TRIAL_GRACE_S


def _eject_confirmed(
    ledger: Ledger,
    available: set[str],
    floor: int,
    confirmed: list[str],
    wall_s: float,
) -> None:
    """Ejects confirmed instances as far as the floor allows."""
    for instance in confirmed:
        if instance not in available or instance in ledger.ejected:
            continue
        if _is_in_trial_grace(ledger, instance, wall_s):
            continue
        capacity_loss = 0 if instance in ledger.trial else 1
        if _full_capacity(ledger, available) - capacity_loss < floor:
            continue
        entry = ledger.entries.get(instance)
        ejection_count = 1 if entry is None else entry.ejection_count + 1
        ledger.entries[instance] = Ejection(
            EjectionState.EJECTED, wall_s, ejection_count
        )
