"""The instances of one service, and which of them gets a request."""

from __future__ import annotations

import math
import typing

from dotterelpath.domain import document
from dotterelpath.domain import outlier_detection
from dotterelpath.domain import vms
from dotterelpath.ports import randomness

AVOIDED_SHARE = 0.05
TRIAL_SHARE = 0.05
LEAVING_MEMORY_S = 60.0
LOAD_REPORT_MAX_AGE_S = 5.0
QUEUED_PER_SLOT = 1.5
MAX_CANDIDATE_DRAWS = 8
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 8.0


class Instance:
    """One backend server as this daemon sees it."""

    __slots__ = (
        "backoff_s",
        "in_flight",
        "leaving_since_s",
        "load",
        "load_at_s",
        "vm",
    )

    def __init__(self, vm: vms.Vm) -> None:
        """Creates an instance without work.

        Args:
            vm: The platform's entry.
        """
        self.vm = vm
        self.in_flight = 0
        self.leaving_since_s: float | None = None
        self.load = 0.0
        self.load_at_s = -math.inf
        self.backoff_s = 0.0

    @property
    def id(self) -> str:
        """The instance's VM id."""
        return self.vm.id

    def pressure(self, now_s: float) -> float:
        """Estimates how busy the instance is.

        Args:
            now_s: A monotonic clock, in seconds.

        Returns:
            Own requests in flight plus the reported load, which fades with
            the report's age.
        """
        age_s = now_s - self.load_at_s
        weight = max(0.0, 1.0 - age_s / LOAD_REPORT_MAX_AGE_S)
        return self.in_flight + weight * self.load


class Pool:
    """Chooses instances and keeps what is known of them.

    Four states take work away from an instance: starting and leaving ones get
    none; an ejected one gets none anywhere, by the ledger; one on trial after
    an ejection gets a trickle of idempotent work; an avoided one, by this
    daemon's own evidence, gets a small share. Ejection and avoidance never
    leave fewer than the floor in rotation.
    """

    __slots__ = (
        "_sick",
        "_backing_off",
        "_detector",
        "_ejected",
        "_instances",
        "_rotation",
        "_service",
        "_sharing",
        "_spared",
        "_trial",
    )

    def __init__(
        self,
        service: document.Service,
        detector: outlier_detection.Detector | None = None,
    ) -> None:
        """Creates an empty pool.

        Args:
            service: The service as its owners declare it.
            detector: Judges instances; by default a sequential ratio test.
        """
        self._service = service
        self._detector = detector or outlier_detection.CusumDetector()
        self._instances: dict[str, Instance] = {}
        self._ejected: tuple[str, ...] = ()
        self._trial: frozenset[str] = frozenset()
        self._sick: list[str] = []
        self._backing_off: dict[str, float] = {}
        self._rotation: list[Instance] = []
        self._sharing = 1
        self._spared: frozenset[str] = frozenset()

    @property
    def service(self) -> document.Service:
        """The service as its owners declare it."""
        return self._service

    @property
    def instances(self) -> dict[str, Instance]:
        """All known instances by id."""
        return self._instances

    @property
    def sick(self) -> list[str]:
        """Instances that this daemon calls sick, worst first."""
        return self._sick

    @property
    def avoided(self) -> list[str]:
        """Instances that get a small share, never cutting the floor."""
        return sorted(self._spared)

    @property
    def suspicions(self) -> dict[str, float]:
        """Log-likelihood ratios that are worth telling other daemons."""
        return self._detector.scores()

    @property
    def ejected(self) -> tuple[str, ...]:
        """Instances that the ledger ejects, oldest ejection first."""
        return self._ejected

    @property
    def rotation(self) -> list[str]:
        """Ids of the instances that may get work now."""
        return [instance.id for instance in self._rotation]

    @property
    def cap(self) -> int:
        """Requests in flight that this daemon allows to one instance."""
        share = self._service.slots * QUEUED_PER_SLOT / self._sharing
        return max(1, math.ceil(share))

    def set_service(self, service: document.Service) -> None:
        """Takes over a new declaration of the service.

        Args:
            service: The service as its owners now declare it.
        """
        self._service = service
        self._rebuild()

    def set_sharing(self, daemons: int) -> None:
        """Sets how many daemons share the instances.

        Args:
            daemons: The number of daemons that callers of this service use.
        """
        self._sharing = max(1, daemons)

    def set_vms(self, listed: typing.Iterable[vms.Vm], now_s: float) -> None:
        """Takes in the platform's list of the service's VMs.

        Args:
            listed: The VMs of this service.
            now_s: A monotonic clock, in seconds.
        """
        known = {vm.id: vm for vm in listed}
        for instance_id in [i for i in self._instances if i not in known]:
            del self._instances[instance_id]
            self._backing_off.pop(instance_id, None)
            self._detector.forget(instance_id)
        for instance_id, vm in known.items():
            instance = self._instances.get(instance_id)
            if instance is None or _moved(instance.vm, vm):
                self._detector.forget(instance_id)
                self._instances[instance_id] = Instance(vm)
                continue
            instance.vm = vm
            self._forget_old_drain(instance, now_s)
        self._rebuild()

    def set_ledger(
        self, ejected: tuple[str, ...], trial: frozenset[str]
    ) -> None:
        """Takes in the service's ledger.

        Args:
            ejected: Ejected instances, oldest ejection first.
            trial: Instances on trial after an ejection.
        """
        # An ejection uses up the evidence; a trial begins without any.
        newly_ejected = {*ejected} - {*self._ejected}
        for instance_id in newly_ejected | (trial - self._trial):
            self._detector.forget(instance_id)
        self._ejected = ejected
        self._trial = trial
        self._rebuild()

    def mark_leaving(self, instance_id: str, now_s: float) -> None:
        """Takes in an instance's own sign that it drains.

        Args:
            instance_id: The instance.
            now_s: A monotonic clock, in seconds.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return
        is_news = instance.leaving_since_s is None
        instance.leaving_since_s = now_s
        if is_news:
            self._rebuild()

    def report_load(self, instance_id: str, load: float, now_s: float) -> None:
        """Takes in an instance's own load report.

        Args:
            instance_id: The instance.
            load: Its requests running and waiting, per slot.
            now_s: A monotonic clock, in seconds.
        """
        instance = self._instances.get(instance_id)
        if instance is not None:
            instance.load = load
            instance.load_at_s = now_s

    def choose(
        self,
        random: randomness.RandomSource,
        now_s: float,
        idempotent: bool,
        tried: typing.Collection[str] = (),
    ) -> Instance | None:
        """Chooses the less loaded of two random instances below their cap.

        Args:
            random: The random numbers.
            now_s: A monotonic clock, in seconds.
            idempotent: Whether the request may run twice.
            tried: Instances that this request has already tried.

        Returns:
            The instance, or None where each has as much work as it may.
        """
        resting = self._resting(now_s)
        if resting:
            excluded = {*tried, *resting}
            found = self._draw(random, now_s, idempotent, excluded)
            if found is not None or self._is_any_busy(excluded):
                return found
        found = self._draw(random, now_s, idempotent, tried)
        if found is not None or self._is_any_busy(tried):
            return found
        return self._last_resort(idempotent, tried)

    def started(self, instance: Instance) -> None:
        """Counts a request that goes to an instance.

        Args:
            instance: The instance.
        """
        instance.in_flight += 1

    def ended(
        self,
        instance_id: str,
        ok: bool | None,
        latency_s: float,
        now_s: float,
    ) -> bool:
        """Takes in how a request at an instance ended.

        Args:
            instance_id: The instance.
            ok: Whether the instance did its work; None where the end says
                nothing about it.
            latency_s: How long it took, in seconds.
            now_s: A monotonic clock, in seconds.

        Returns:
            Whether other instances are avoided now than before.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return False
        instance.in_flight = max(0, instance.in_flight - 1)
        if ok is None:
            return False
        if ok and instance.backoff_s:
            instance.backoff_s = 0.0
            self._backing_off.pop(instance_id, None)
        self._detector.observe(instance_id, ok, latency_s, now_s)
        sick = self._detector.unhealthy()
        if sick == self._sick:
            return False
        before = self._spared
        self._sick = sick
        self._spare()
        return self._spared != before

    def back_off(self, instance_id: str, now_s: float) -> None:
        """Leaves an instance alone for a while after it did no work.

        An instance that fails at once looks idle, and would otherwise draw
        ever more requests. The time doubles until the instance works again.

        Args:
            instance_id: The instance.
            now_s: A monotonic clock, in seconds.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return
        doubled_s = max(FIRST_BACKOFF_S, instance.backoff_s * 2.0)
        instance.backoff_s = min(MAX_BACKOFF_S, doubled_s)
        self._backing_off[instance_id] = now_s + instance.backoff_s

    def is_in_use(self, instance: Instance) -> bool:
        """Tells whether an instance counts as capacity.

        Args:
            instance: The instance.

        Returns:
            Whether the platform and the instance itself let it take work.
        """
        return (
            instance.vm.state is vms.VmState.LIVE
            and instance.leaving_since_s is None
        )

    def _draw(
        self,
        random: randomness.RandomSource,
        now_s: float,
        idempotent: bool,
        excluded: typing.Collection[str],
    ) -> Instance | None:
        """Draws up to two instances that take the request."""
        count = len(self._rotation)
        cap = self.cap
        found: Instance | None = None
        for _ in range(MAX_CANDIDATE_DRAWS if count else 0):
            drawn = self._rotation[random.randrange(count)]
            if drawn.in_flight >= cap or drawn.id in excluded:
                continue
            if not self._takes(drawn, random, idempotent):
                continue
            if found is None:
                found = drawn
                continue
            if drawn.pressure(now_s) < found.pressure(now_s):
                found = drawn
            return found
        return found or self._least_loaded(cap, excluded)

    def _least_loaded(
        self, cap: int, excluded: typing.Collection[str]
    ) -> Instance | None:
        open_ones = [
            instance
            for instance in self._full(excluded)
            if instance.in_flight < cap
        ]
        return min(open_ones, key=_in_flight, default=None)

    def _is_any_busy(self, excluded: typing.Collection[str]) -> bool:
        """Tells whether waiting for an instance in full use makes sense."""
        return any(instance.in_flight for instance in self._full(excluded))

    def _full(self, excluded: typing.Collection[str]) -> list[Instance]:
        return [
            instance
            for instance in self._rotation
            if instance.id not in excluded
            and instance.id not in self._trial
            and instance.id not in self._spared
        ]

    def _last_resort(
        self, idempotent: bool, tried: typing.Collection[str]
    ) -> Instance | None:
        """Finds an avoided instance where no other is left to try."""
        cap = self.cap
        found = [
            instance
            for instance in self._rotation
            if instance.in_flight < cap
            and instance.id not in tried
            and (idempotent or instance.id not in self._trial)
        ]
        return min(found, key=_in_flight, default=None)

    def _resting(self, now_s: float) -> set[str]:
        """Finds the instances that are left alone after failing at once."""
        if not self._backing_off:
            return set()
        for instance_id, until_s in list(self._backing_off.items()):
            if until_s <= now_s:
                del self._backing_off[instance_id]
        return set(self._backing_off)

    def _takes(
        self,
        instance: Instance,
        random: randomness.RandomSource,
        idempotent: bool,
    ) -> bool:
        if instance.id in self._trial:
            return idempotent and random.random() < TRIAL_SHARE
        if instance.id in self._spared:
            return idempotent and random.random() < AVOIDED_SHARE
        return True

    def _rebuild(self) -> None:
        usable = [i for i in self._instances.values() if self.is_in_use(i)]
        ejected = set(self._ejected)
        rotation = [i for i in usable if i.id not in ejected]
        by_id = {i.id: i for i in usable}
        for instance_id in self._ejected:
            # Instances may have left since the ejection was agreed; the
            # floor then brings the oldest ejections back.
            if len(rotation) >= self._service.floor:
                break
            if instance_id in by_id:
                rotation.append(by_id[instance_id])
        self._rotation = rotation
        self._spare()

    def _spare(self) -> None:
        """Avoids the worst of the sick instances, down to the floor."""
        rotation = {instance.id for instance in self._rotation}
        full = len(rotation - self._trial)
        room = max(0, full - self._service.floor)
        sick = [
            instance_id
            for instance_id in self._sick
            if instance_id in rotation and instance_id not in self._trial
        ]
        self._spared = frozenset(sick[:room])

    def _forget_old_drain(self, instance: Instance, now_s: float) -> None:
        since_s = instance.leaving_since_s
        if since_s is None or instance.vm.state is vms.VmState.LEAVING:
            return
        if now_s - since_s > LEAVING_MEMORY_S:
            instance.leaving_since_s = None


def _moved(old: vms.Vm, new: vms.Vm) -> bool:
    return (old.host, old.port) != (new.host, new.port)


def _in_flight(instance: Instance) -> int:
    return instance.in_flight
