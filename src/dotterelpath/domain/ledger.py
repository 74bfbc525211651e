"""The ejections of a service, agreed by compare-and-swap in the store."""

from __future__ import annotations

import enum
import typing

from dotterelpath.domain import document
from dotterelpath.domain import outlier_detection
from dotterelpath.domain import vms

FIRST_BACKOFF_S = 10.0
MAX_BACKOFF_S = 640.0
TRIAL_S = 10.0
# Reports from before a trial may still be on their way when it begins.
TRIAL_GRACE_S = 3.0
STRIKE_MEMORY_S = 900.0
REPORT_MAX_AGE_S = 10.0


class Standing(enum.Enum):
    """How much work an instance of the ledger gets."""

    EJECTED = "ejected"
    TRIAL = "trial"
    RESTORED = "restored"


class Ejection:
    """One instance that is, or lately was, ejected."""

    __slots__ = ("changed_s", "standing", "strikes")

    def __init__(
        self, standing: Standing, changed_s: float, strikes: int
    ) -> None:
        """Creates an ejection.

        Args:
            standing: How much work the instance gets.
            changed_s: When the standing changed, in seconds of wall-clock
                time.
            strikes: How often the instance was ejected of late.
        """
        self.standing = standing
        self.changed_s = changed_s
        self.strikes = strikes

    @property
    def backoff_s(self) -> float:
        """How long the instance stays ejected; it doubles by strike."""
        return min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (self.strikes - 1))

    def moved_to(self, standing: Standing, wall_s: float) -> Ejection:
        """Builds the entry after a change.

        Args:
            standing: The new standing.
            wall_s: Wall-clock time, in seconds.

        Returns:
            The new entry.
        """
        return Ejection(standing, wall_s, self.strikes)


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
            revision: The store's revision of the key; 0 where it is absent.
            entries: The ejections by instance.
        """
        self.service = service
        self.revision = revision
        self.entries = entries or {}

    @property
    def ejected(self) -> tuple[str, ...]:
        """Instances that get no work, oldest ejection first."""
        return self._with(Standing.EJECTED)

    @property
    def trial(self) -> tuple[str, ...]:
        """Instances that get a trickle of work, oldest trial first."""
        return self._with(Standing.TRIAL)

    def _with(self, standing: Standing) -> tuple[str, ...]:
        found = [
            (entry.changed_s, instance)
            for instance, entry in self.entries.items()
            if entry.standing is standing
        ]
        return tuple(instance for _, instance in sorted(found))

    def copy(self) -> Ledger:
        """Copies the ledger for a change."""
        return Ledger(self.service, self.revision, dict(self.entries))


class Report:
    """A daemon's suspicion of one instance."""

    __slots__ = ("at_s", "data_centre", "score")

    def __init__(self, data_centre: str, score: float, at_s: float) -> None:
        """Creates a report.

        Args:
            data_centre: Where the daemon stands.
            score: Its log-likelihood ratio against the instance.
            at_s: When it arrived, on the steward's monotonic clock.
        """
        self.data_centre = data_centre
        self.score = score
        self.at_s = at_s


class Reports:
    """The recent reports on the instances of one service."""

    __slots__ = ("_by_instance",)

    def __init__(self) -> None:
        """Creates an empty set of reports."""
        self._by_instance: dict[str, dict[str, Report]] = {}

    def update(
        self,
        daemon_id: str,
        data_centre: str,
        scores: dict[str, float],
        now_s: float,
    ) -> None:
        """Takes in all that a daemon suspects; it replaces earlier reports.

        Args:
            daemon_id: The daemon.
            data_centre: Where it stands.
            scores: Its log-likelihood ratio against each suspect.
            now_s: The steward's monotonic clock, in seconds.
        """
        for instance, of_instance in self._by_instance.items():
            if instance not in scores:
                of_instance.pop(daemon_id, None)
        for instance, score in scores.items():
            of_instance = self._by_instance.setdefault(instance, {})
            of_instance[daemon_id] = Report(data_centre, score, now_s)

    def clear(self, instance: str) -> None:
        """Drops all reports on an instance.

        Args:
            instance: The instance.
        """
        self._by_instance.pop(instance, None)

    def confirmed(
        self,
        now_s: float,
        daemons: int,
        data_centres: int,
        weigh: document.Weigh,
    ) -> list[str]:
        """Lists instances that the daemons together call sick.

        One daemon is never enough where there are more, nor daemons of one
        data centre where there are more: their own link may be what is sick.

        Args:
            now_s: The steward's monotonic clock, in seconds.
            daemons: How many daemons judge the instances.
            data_centres: In how many data centres they stand.
            weigh: Which error the service's owners fear more.

        Returns:
            The instances, the most suspected first.
        """
        found = []
        for instance, of_instance in self._by_instance.items():
            fresh = [
                report
                for report in of_instance.values()
                if now_s - report.at_s <= REPORT_MAX_AGE_S
            ]
            if len(fresh) < min(2, daemons):
                continue
            places = {report.data_centre for report in fresh}
            if len(places) < min(2, data_centres):
                continue
            scores = [report.score for report in fresh]
            log_p = outlier_detection.combined_log_p(
                scores, max(daemons, len(scores))
            )
            if log_p <= outlier_detection.EJECT_LOG_P[weigh]:
                found.append((log_p, instance))
        return [instance for _, instance in sorted(found)]


def usable(
    listed: typing.Iterable[vms.Vm], draining: typing.Collection[str] = ()
) -> set[str]:
    """Finds the instances that count as capacity.

    Args:
        listed: The VMs of the service.
        draining: Instances that said themselves that they drain.

    Returns:
        The ids of those that are neither starting nor leaving.
    """
    return {
        vm.id
        for vm in listed
        if vm.state is vms.VmState.LIVE and vm.id not in draining
    }


def next_ledger(
    current: Ledger,
    capacity: set[str],
    floor: int,
    confirmed: list[str],
    wall_s: float,
) -> Ledger | None:
    """Decides the next state of a service's ledger.

    Args:
        current: The ledger as the store has it.
        capacity: Instances that are neither starting nor leaving.
        floor: The least number of instances that stay in use.
        confirmed: Instances that enough daemons call sick, worst first.
        wall_s: Wall-clock time, in seconds.

    Returns:
        The new ledger, or None where nothing changes.
    """
    changed = current.copy()
    for instance in list(changed.entries):
        if instance not in capacity:
            del changed.entries[instance]
    for instance in list(changed.entries):
        _advance(changed, instance, confirmed, wall_s)
    _keep_floor(changed, capacity, floor, wall_s)
    _eject(changed, capacity, floor, confirmed, wall_s)
    return changed if changed.entries != current.entries else None


def _in_use(ledger: Ledger, capacity: set[str]) -> int:
    """Counts full capacity: an instance on trial gets only a trickle."""
    return len(capacity - set(ledger.ejected) - set(ledger.trial))


def _advance(
    ledger: Ledger, instance: str, confirmed: list[str], wall_s: float
) -> None:
    entry = ledger.entries[instance]
    age_s = wall_s - entry.changed_s
    if entry.standing is Standing.EJECTED:
        if age_s >= entry.backoff_s:
            ledger.entries[instance] = entry.moved_to(Standing.TRIAL, wall_s)
    elif instance in confirmed:
        return
    elif entry.standing is Standing.TRIAL:
        if age_s >= TRIAL_S:
            ledger.entries[instance] = entry.moved_to(Standing.RESTORED, wall_s)
    elif age_s >= STRIKE_MEMORY_S:
        del ledger.entries[instance]


def _keep_floor(
    ledger: Ledger, capacity: set[str], floor: int, wall_s: float
) -> None:
    """Restores instances where others left or the owners raised the floor."""
    for instance in ledger.trial + ledger.ejected:
        if _in_use(ledger, capacity) >= floor:
            return
        entry = ledger.entries[instance]
        ledger.entries[instance] = entry.moved_to(Standing.RESTORED, wall_s)


def _is_on_new_trial(ledger: Ledger, instance: str, wall_s: float) -> bool:
    entry = ledger.entries.get(instance)
    if entry is None or entry.standing is not Standing.TRIAL:
        return False
    return wall_s - entry.changed_s < TRIAL_GRACE_S


def _eject(
    ledger: Ledger,
    capacity: set[str],
    floor: int,
    confirmed: list[str],
    wall_s: float,
) -> None:
    for instance in confirmed:
        if instance not in capacity or instance in ledger.ejected:
            continue
        if _is_on_new_trial(ledger, instance, wall_s):
            continue
        costs = 0 if instance in ledger.trial else 1
        if _in_use(ledger, capacity) - costs < floor:
            continue
        entry = ledger.entries.get(instance)
        strikes = 1 if entry is None else entry.strikes + 1
        ledger.entries[instance] = Ejection(Standing.EJECTED, wall_s, strikes)
