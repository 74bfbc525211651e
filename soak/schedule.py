"""Seeded schedules of faults."""

from __future__ import annotations

import random

# Faults that operators plan; they must cost no request.
MAINTENANCE_ACTIONS = ("stop", "reload", "configure", "drain")
DAEMON_FAULTS = ("kill", "pause", "stop", "reload")
STORE_FAULTS = ("down", "silent", "busy", "slow", "lose", "stale", "compact")
INSTANCE_FAULTS = (
    "fail",
    "silent",
    "drop",
    "truncate",
    "late",
    "unframed",
    "shed",
    "moved",
)
# Whom faults hit; instances more often, since what they do to a request
# decides whether it may run again.
FAULT_KINDS = ("daemon", "store", "instance", "instance", "path", "operator")
PATH_FAULTS = ("delay", "drop_forth", "drop_back", "freeze_open")
# The mean time between two faults, in seconds; several overlap.
MEAN_INTERVAL_S = 0.4
MIN_DURATION_S = 0.3
MAX_DURATION_S = 4.0
# A leaving instance must stay long enough for late work to show.
DRAIN_DURATION_RANGE_S = (4.0, 6.0)
# Planned work comes one after the other, as a careful operator does it.
MAINTENANCE_INTERVAL_S = 2.5


class Fault:
    """One fault: what happens to whom, when and for how long."""

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
            start_s: When it begins, in seconds from the start.
            kind: Whom it hits: daemon, store, instance, path or operator.
            action: What happens.
            target: The id of the daemon or instance.
            duration_s: How long it lasts, in seconds.
        """
        self.start_s = start_s
        self.kind = kind
        self.action = action
        self.target = target
        self.duration_s = duration_s

    def __str__(self) -> str:
        """Shows it in one line."""
        return (
            f"{self.start_s:.1f} s {self.kind} {self.target}: {self.action}"
            f" for {self.duration_s:.1f} s"
        )


def is_maintenance_only(seed: int) -> bool:
    """Whether a seed's schedule has planned work alone."""
    return seed % 3 == 0


def generate(
    seed: int, seconds: float, daemons: list[str], instances: list[str]
) -> list[Fault]:
    """Draws a schedule.

    Args:
        seed: The same seed gives the same schedule.
        seconds: How long the soak runs.
        daemons: Ids of the daemons.
        instances: Ids of the instances.

    Returns:
        The faults in the order of their beginnings.
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
    return faults


def _draw_action(rng: random.Random, is_maintenance: bool) -> tuple[str, str]:
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
