"""Schedules of faults, reproducible by seed."""

from __future__ import annotations

import random

# Operations that operators plan. No request may be lost to them.
MAINTENANCE_ACTIONS = (
    "stop",
    "stop_twice",
    "stop_changed",
    "reload",
    "configure",
    "drain",
)
DAEMON_FAULTS = ("kill", "pause", "stop", "reload")
STORE_FAULTS = (
    "down",
    "silent",
    "busy",
    "slow",
    "lose",
    "stale",
    "compact",
)
INSTANCE_FAULTS = (
    "fail",
    "silent",
    "drop",
    "truncate",
    "late",
    "unframed",
    "shed",
    "shed_endless",
    "moved",
)
# What a fault applies to. "instance" is listed twice, so that it is drawn more
# often: the way an instance fails decides whether a retry is allowed.
FAULT_KINDS = ("daemon", "store", "instance", "instance", "path", "operator")
# Faults of all instances of a service at the same time, which use up all
# attempts, connections and retries.
SERVICE_FAULTS = ("fail", "silent", "shed", "shed_endless")
PATH_FAULTS = ("delay", "drop_forth", "drop_back", "freeze_open")
# Mean time between the starts of two faults. Most faults last longer, so that
# several overlap.
MEAN_INTERVAL_S = 0.4
MIN_DURATION_S = 0.3
MAX_DURATION_S = 4.0
# Longer than invariants.DRAIN_DEADLINE_S, after which requests to a draining
# instance count as violations.
DRAIN_DURATION_RANGE_S = (4.0, 6.0)
# Fixed time between the starts of two maintenance operations: careful operators
# start them one after the other.
MAINTENANCE_INTERVAL_S = 2.5


class Fault:
    """A fault: its target, its action, its start and its duration."""

    __slots__ = ("action", "duration_s", "kind", "start_s", "target")

    def __init__(
        self,
        start_s: float,
        kind: str,
        action: str,
        target: str,
        duration_s: float,
    ) -> None:
        """Creates a fault.

        Args:
            start_s: The start, in seconds from the start of the schedule.
            kind: The kind of target: "daemon", "store", "instance", "service"
                (all its instances), "path" (network path to an instance) or
                "operator".
            action: The action, such as "kill" or "drain".
            target: The id of the daemon or instance, the name of the service,
                "store", or "-" for the operator.
            duration_s: The duration, in seconds.
        """
        self.start_s = start_s
        self.kind = kind
        self.action = action
        self.target = target
        self.duration_s = duration_s

    def __str__(self) -> str:
        """Formats the fault as one line."""
        return (
            f"{self.start_s:.1f} s {self.kind} {self.target}: {self.action}"
            f" for {self.duration_s:.1f} s"
        )


def is_maintenance_only(seed: int) -> bool:
    """Returns whether the schedule of a seed has maintenance only."""
    return seed % 3 == 0


def generate(
    seed: int, seconds: float, daemons: list[str], instances: list[str]
) -> list[Fault]:
    """Generates the schedule of a seed.

    The same arguments give the same schedule.

    Args:
        seed: The seed of the random numbers.
        seconds: Length of the schedule; all faults start within it.
        daemons: Ids of the daemons.
        instances: Ids of the instances.

    Returns:
        The faults, ordered by their start.
    """
    rng = random.Random(seed)
    is_maintenance = is_maintenance_only(seed)
    interval_s = MAINTENANCE_INTERVAL_S if is_maintenance else MEAN_INTERVAL_S
    faults = []
    start_s = rng.expovariate(1.0 / interval_s)
    while start_s < seconds:
        kind, action = _draw_action(rng, is_maintenance)
        targets_by_kind = {
            "daemon": daemons,
            "store": ["store"],
            "operator": ["-"],
        }
        target = rng.choice(targets_by_kind.get(kind, instances))
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        if action == "drain":
            duration_s = rng.uniform(*DRAIN_DURATION_RANGE_S)
        faults.append(Fault(start_s, kind, action, target, duration_s))
        if is_maintenance:
            start_s += interval_s
        else:
            start_s += rng.expovariate(1.0 / interval_s)
    if not is_maintenance:
        faults.append(_draw_service_fault(seed, seconds, instances))
    return sorted(faults, key=lambda fault: fault.start_s)


def _draw_service_fault(
    seed: int, seconds: float, instances: list[str]
) -> Fault:
    """Draws a fault of a whole service, without changing the other draws."""
    rng = random.Random(f"service {seed}")
    services = sorted({instance.split("-")[1] for instance in instances})
    return Fault(
        rng.uniform(0.0, max(0.0, seconds - MAX_DURATION_S)),
        "service",
        rng.choice(SERVICE_FAULTS),
        rng.choice(services),
        MAX_DURATION_S,
    )


def _draw_action(rng: random.Random, is_maintenance: bool) -> tuple[str, str]:
    """Draws the kind and the action of a fault."""
    if is_maintenance:
        action = rng.choice(MAINTENANCE_ACTIONS)
        kind_by_action = {"configure": "operator", "drain": "instance"}
        return kind_by_action.get(action, "daemon"), action
    kind = rng.choice(FAULT_KINDS)
    actions_by_kind = {
        "daemon": DAEMON_FAULTS,
        "store": STORE_FAULTS,
        "instance": (*INSTANCE_FAULTS, "drain"),
        "path": PATH_FAULTS,
        "operator": ("configure",),
    }
    return kind, rng.choice(actions_by_kind[kind])
