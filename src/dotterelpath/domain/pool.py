"""Chooses the instance that gets a request, by load and ejections."""

from __future__ import annotations

import math
import typing

from dotterelpath.domain import document
from dotterelpath.domain import outlier_detection
from dotterelpath.domain import vms
from dotterelpath.ports import randomness

# If an avoided instance or one on trial is drawn for an idempotent request, the
# instance gets the request with this probability.
AVOIDED_ACCEPT_PROBABILITY = 0.05
TRIAL_ACCEPT_PROBABILITY = 0.05
# An instance's own drain signal is forgotten after this time, unless the
# platform also lists the instance as leaving.
DRAIN_SIGNAL_TTL_S = 60.0
LOAD_REPORT_MAX_AGE_S = 5.0
# The most requests that all daemons together keep in flight for each slot of an
# instance. Requests beyond the slots are queued at the instance.
REQUESTS_PER_SLOT = 1.5
# The most random draws to find two suitable instances. If none is found, all
# instances are searched.
MAX_CANDIDATE_DRAWS = 8
# The first and the longest backoff of an instance that did no work.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 8.0


class Instance:
    """State of one backend server as seen by this daemon."""

    __slots__ = (
        "backoff_s",
        "draining_since_s",
        "in_flight",
        "load",
        "load_reported_s",
        "vm",
    )

    def __init__(self, vm: vms.Vm) -> None:
        """Creates an instance with no requests in flight.

        Args:
            vm: The platform's entry for the instance's VM.
        """
        self.vm = vm
        self.in_flight = 0
        self.draining_since_s: float | None = None
        self.load = 0.0
        self.load_reported_s = -math.inf
        self.backoff_s = 0.0

    @property
    def id(self) -> str:
        """The id of the instance's VM."""
        return self.vm.id

    def estimated_load(self, now_s: float) -> float:
        """Estimates the instance's load.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            This daemon's requests in flight, plus the load that the instance
            reported, weighted less as the report grows older.
        """
        age_s = now_s - self.load_reported_s
        weight = max(0.0, 1.0 - age_s / LOAD_REPORT_MAX_AGE_S)
        return self.in_flight + weight * self.load


class Pool:
    """Tracks the instances of one service and chooses among them.

    An instance gets less work, or none, in these states:

    - starting or leaving: no work.
    - ejected, by the fleet's ledger: no work from any daemon.
    - on trial after an ejection: a small share of the idempotent requests.
    - avoided, by this daemon's own evidence: a small share of the idempotent
      requests.

    Ejection and avoidance never leave fewer instances in rotation than the
    service's floor.
    """

    __slots__ = (
        "_avoided",
        "_backing_off",
        "_daemon_count",
        "_detector",
        "_ejected",
        "_instances",
        "_on_trial",
        "_rotation",
        "_service",
        "_unhealthy",
    )

    def __init__(
        self,
        service: document.Service,
        detector: outlier_detection.Detector | None = None,
    ) -> None:
        """Creates an empty pool.

        Args:
            service: The service as the document declares it.
            detector: Detects unhealthy instances; a CusumDetector by default.
        """
        self._service = service
        self._detector = detector or outlier_detection.CusumDetector()
        self._instances: dict[str, Instance] = {}
        self._ejected: tuple[str, ...] = ()
        self._on_trial: frozenset[str] = frozenset()
        self._unhealthy: list[str] = []
        self._backing_off: dict[str, float] = {}
        self._rotation: list[Instance] = []
        self._daemon_count = 1
        self._avoided: frozenset[str] = frozenset()

    @property
    def service(self) -> document.Service:
        """The service as the document declares it."""
        return self._service

    @property
    def instances(self) -> dict[str, Instance]:
        """All listed instances by id."""
        return self._instances

    @property
    def unhealthy(self) -> list[str]:
        """Instances that this daemon considers unhealthy, worst first."""
        return self._unhealthy

    @property
    def avoided(self) -> list[str]:
        """Ids of the unhealthy instances that this daemon avoids."""
        return sorted(self._avoided)

    @property
    def suspicion_scores(self) -> dict[str, float]:
        """Log-likelihood ratios to report to other daemons, by instance."""
        return self._detector.scores()

    @property
    def ejected(self) -> tuple[str, ...]:
        """Ids of the ejected instances, oldest ejection first."""
        return self._ejected

    @property
    def rotation(self) -> list[str]:
        """Ids of the instances that may currently get requests."""
        return [instance.id for instance in self._rotation]

    @property
    def max_in_flight_per_instance(self) -> int:
        """The most requests that this daemon keeps in flight at an instance."""
        share = self._service.slots * REQUESTS_PER_SLOT / self._daemon_count
        return max(1, math.ceil(share))

    def set_service(self, service: document.Service) -> None:
        """Applies a changed declaration of the service.

        Args:
            service: The service as the document now declares it.
        """
        self._service = service
        self._rebuild()

    def set_daemon_count(self, count: int) -> None:
        """Sets the number of daemons that share the instances.

        Args:
            count: The number of daemons that serve callers of this service.
        """
        self._daemon_count = max(1, count)

    def set_vms(self, listed: typing.Iterable[vms.Vm], now_s: float) -> None:
        """Adds, updates and removes instances by the platform's list.

        Args:
            listed: The VMs of this service.
            now_s: The current time on the monotonic clock, in seconds.
        """
        listed_by_id = {vm.id: vm for vm in listed}
        for instance_id in [
            i for i in self._instances if i not in listed_by_id
        ]:
            del self._instances[instance_id]
            self._backing_off.pop(instance_id, None)
            self._detector.forget(instance_id)
        for instance_id, vm in listed_by_id.items():
            instance = self._instances.get(instance_id)
            if instance is None or _has_new_address(instance.vm, vm):
                self._detector.forget(instance_id)
                self._instances[instance_id] = Instance(vm)
                continue
            instance.vm = vm
            self._expire_drain_signal(instance, now_s)
        self._rebuild()

    def set_ledger(
        self, ejected: tuple[str, ...], on_trial: frozenset[str]
    ) -> None:
        """Applies the service's ledger.

        Args:
            ejected: Ejected instances, oldest ejection first.
            on_trial: Instances on trial after an ejection.
        """
        # Evidence from before an ejection or a trial does not count after it.
        newly_ejected = {*ejected} - {*self._ejected}
        for instance_id in newly_ejected | (on_trial - self._on_trial):
            self._detector.forget(instance_id)
        self._ejected = ejected
        self._on_trial = on_trial
        self._rebuild()

    def mark_draining(self, instance_id: str, now_s: float) -> None:
        """Records that an instance signalled that it drains.

        Args:
            instance_id: The instance.
            now_s: The current time on the monotonic clock, in seconds.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return
        is_new = instance.draining_since_s is None
        instance.draining_since_s = now_s
        if is_new:
            self._rebuild()

    def report_load(self, instance_id: str, load: float, now_s: float) -> None:
        """Records the load that an instance reported of itself.

        Args:
            instance_id: The instance.
            load: Its running and waiting requests, divided by its slots.
            now_s: The current time on the monotonic clock, in seconds.
        """
        instance = self._instances.get(instance_id)
        if instance is not None:
            instance.load = load
            instance.load_reported_s = now_s

    def choose(
        self,
        random: randomness.RandomSource,
        now_s: float,
        idempotent: bool,
        tried: typing.Collection[str] = (),
    ) -> Instance | None:
        """Chooses the less loaded of two random instances below their limit.

        Instances in backoff are used only if the request can neither be sent
        to another instance nor wait for a busy one. Instances that are
        avoided or on trial get a small share of the idempotent requests. They
        also get a request if no other instance is left; an instance on trial
        gets the request only if it is idempotent.

        Args:
            random: Source of random numbers.
            now_s: The current time on the monotonic clock, in seconds.
            idempotent: Whether the request may run twice.
            tried: Instances that this request has already been sent to.

        Returns:
            The instance, or None if no suitable instance is below its limit.
        """
        backing_off = self._in_backoff(now_s)
        if backing_off:
            excluded = {*tried, *backing_off}
            found = self._draw_two(random, now_s, idempotent, excluded)
            if found is not None or self._has_busy_preferred(excluded):
                return found
        found = self._draw_two(random, now_s, idempotent, tried)
        if found is not None or self._has_busy_preferred(tried):
            return found
        return self._fallback(idempotent, tried)

    def request_started(self, instance: Instance) -> None:
        """Counts a request that is sent to an instance.

        Args:
            instance: The instance.
        """
        instance.in_flight += 1

    def request_ended(
        self,
        instance_id: str,
        ok: bool | None,
        latency_s: float,
        now_s: float,
    ) -> bool:
        """Records the outcome of a request at an instance.

        Args:
            instance_id: The instance.
            ok: Whether the instance succeeded; None if the outcome says
                nothing about its health.
            latency_s: Duration of the request, in seconds.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether the set of avoided instances changed.
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
        unhealthy = self._detector.unhealthy()
        if unhealthy == self._unhealthy:
            return False
        previously_avoided = self._avoided
        self._unhealthy = unhealthy
        self._update_avoided()
        return self._avoided != previously_avoided

    def back_off(self, instance_id: str, now_s: float) -> None:
        """Starts or extends the backoff of an instance that did no work.

        An instance that fails at once looks idle and would otherwise attract
        most of the requests. The backoff doubles until a request succeeds.

        Args:
            instance_id: The instance.
            now_s: The current time on the monotonic clock, in seconds.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return
        doubled_s = max(FIRST_BACKOFF_S, instance.backoff_s * 2.0)
        instance.backoff_s = min(MAX_BACKOFF_S, doubled_s)
        self._backing_off[instance_id] = now_s + instance.backoff_s

    def is_available(self, instance: Instance) -> bool:
        """Returns whether an instance counts as capacity.

        Args:
            instance: The instance.

        Returns:
            Whether the platform lists it as live and it does not drain.
        """
        return (
            instance.vm.state is vms.VmState.LIVE
            and instance.draining_since_s is None
        )

    def _draw_two(
        self,
        random: randomness.RandomSource,
        now_s: float,
        idempotent: bool,
        excluded: typing.Collection[str],
    ) -> Instance | None:
        """Draws up to two instances and returns the less loaded one.

        Returns:
            The instance. If the draws find none, the preferred instance with
            the fewest requests in flight, or None if all are at their limit.
        """
        count = len(self._rotation)
        max_in_flight = self.max_in_flight_per_instance
        found: Instance | None = None
        for _ in range(MAX_CANDIDATE_DRAWS if count else 0):
            drawn = self._rotation[random.randrange(count)]
            if drawn.in_flight >= max_in_flight or drawn.id in excluded:
                continue
            if not self._accepts(drawn, random, idempotent):
                continue
            if found is None:
                found = drawn
                continue
            if drawn.estimated_load(now_s) < found.estimated_load(now_s):
                found = drawn
            return found
        return found or self._least_loaded(max_in_flight, excluded)

    def _least_loaded(
        self, max_in_flight: int, excluded: typing.Collection[str]
    ) -> Instance | None:
        below_limit = [
            instance
            for instance in self._preferred(excluded)
            if instance.in_flight < max_in_flight
        ]
        return min(below_limit, key=_in_flight, default=None)

    def _has_busy_preferred(self, excluded: typing.Collection[str]) -> bool:
        """Returns whether a preferred instance is busy and may become free."""
        return any(instance.in_flight for instance in self._preferred(excluded))

    def _preferred(self, excluded: typing.Collection[str]) -> list[Instance]:
        """Lists the instances that are neither on trial nor avoided."""
        return [
            instance
            for instance in self._rotation
            if instance.id not in excluded
            and instance.id not in self._on_trial
            and instance.id not in self._avoided
        ]

    def _fallback(
        self, idempotent: bool, tried: typing.Collection[str]
    ) -> Instance | None:
        """Finds the least busy instance, avoided ones included."""
        max_in_flight = self.max_in_flight_per_instance
        found = [
            instance
            for instance in self._rotation
            if instance.in_flight < max_in_flight
            and instance.id not in tried
            and (idempotent or instance.id not in self._on_trial)
        ]
        return min(found, key=_in_flight, default=None)

    def _in_backoff(self, now_s: float) -> set[str]:
        """Drops ended backoffs and returns the instances still in backoff."""
        if not self._backing_off:
            return set()
        for instance_id, until_s in list(self._backing_off.items()):
            if until_s <= now_s:
                del self._backing_off[instance_id]
        return set(self._backing_off)

    def _accepts(
        self,
        instance: Instance,
        random: randomness.RandomSource,
        idempotent: bool,
    ) -> bool:
        """Decides whether an instance on trial or avoided gets a request."""
        if instance.id in self._on_trial:
            return idempotent and random.random() < TRIAL_ACCEPT_PROBABILITY
        if instance.id in self._avoided:
            return idempotent and random.random() < AVOIDED_ACCEPT_PROBABILITY
        return True

    def _rebuild(self) -> None:
        """Recomputes the rotation and the avoided instances."""
        available = [
            i for i in self._instances.values() if self.is_available(i)
        ]
        ejected = set(self._ejected)
        rotation = [i for i in available if i.id not in ejected]
        by_id = {i.id: i for i in available}
        for instance_id in self._ejected:
            # Instances may have left since the fleet agreed on the ejections.
            # The oldest ejections are then ignored to keep the floor.
            if len(rotation) >= self._service.floor:
                break
            if instance_id in by_id:
                rotation.append(by_id[instance_id])
        self._rotation = rotation
        self._update_avoided()

    def _update_avoided(self) -> None:
        """Avoids the worst unhealthy instances, as far as the floor allows."""
        rotation = {instance.id for instance in self._rotation}
        serving_count = len(rotation - self._on_trial)
        avoidable_count = max(0, serving_count - self._service.floor)
        unhealthy = [
            instance_id
            for instance_id in self._unhealthy
            if instance_id in rotation and instance_id not in self._on_trial
        ]
        self._avoided = frozenset(unhealthy[:avoidable_count])

    def _expire_drain_signal(self, instance: Instance, now_s: float) -> None:
        """Forgets an old drain signal that the platform does not confirm."""
        since_s = instance.draining_since_s
        if since_s is None or instance.vm.state is vms.VmState.LEAVING:
            return
        if now_s - since_s > DRAIN_SIGNAL_TTL_S:
            instance.draining_since_s = None


def _has_new_address(old: vms.Vm, new: vms.Vm) -> bool:
    return (old.host, old.port) != (new.host, new.port)


def _in_flight(instance: Instance) -> int:
    return instance.in_flight
