"""Seeded schedules of faults."""

from __future__ import annotations

import random

# Faults that operators plan; they must cost no request.
PLANNED = ("stop", "reload", "configure", "drain")
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
KINDS = ("daemon", "store", "instance", "instance", "path", "operator")
PATH_FAULTS = ("delay", "drop_forth", "drop_back", "freeze_open")
# The mean time between two faults, in seconds; several overlap.
GAP_S = 0.4
LEAST_FOR_S = 0.3
MOST_FOR_S = 4.0
# A leaving instance must stay long enough for late work to show.
DRAIN_S = (4.0, 6.0)
# Planned work comes one after the other, as a careful operator does it.
PLANNED_GAP_S = 2.5


class Fault:
    """One fault: what happens to whom, when and for how long."""

    __slots__ = ("at_s", "for_s", "kind", "what", "target")

    def __init__(
        self, at_s: float, kind: str, what: str, target: str, for_s: float
    ) -> None:
        """Creates a fault.

        Args:
            at_s: When it begins, in seconds from the start.
            kind: Whom it hits: daemon, store, instance, path or operator.
            what: What happens.
            target: The id of the daemon or instance.
            for_s: How long it lasts, in seconds.
        """
        self.at_s = at_s
        self.kind = kind
        self.what = what
        self.target = target
        self.for_s = for_s

    def __str__(self) -> str:
        """Shows it in one line."""
        return (
            f"{self.at_s:.1f} s {self.kind} {self.target}: {self.what}"
            f" for {self.for_s:.1f} s"
        )


def is_planned_only(seed: int) -> bool:
    """Whether a seed's schedule has planned work alone."""
    return seed % 3 == 0


def plan(
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
    drawn = random.Random(seed)
    planned = is_planned_only(seed)
    gap_s = PLANNED_GAP_S if planned else GAP_S
    found = []
    at_s = drawn.expovariate(1.0 / gap_s)
    while at_s < seconds:
        kind, what = _draw(drawn, planned)
        targets = {"daemon": daemons, "store": ["store"], "operator": ["-"]}
        target = drawn.choice(targets.get(kind, instances))
        for_s = drawn.uniform(LEAST_FOR_S, MOST_FOR_S)
        if what == "drain":
            for_s = drawn.uniform(*DRAIN_S)
        found.append(Fault(at_s, kind, what, target, for_s))
        if planned:
            at_s += gap_s
        else:
            at_s += drawn.expovariate(1.0 / gap_s)
    return found


def _draw(drawn: random.Random, planned: bool) -> tuple[str, str]:
    if planned:
        what = drawn.choice(PLANNED)
        kinds = {"configure": "operator", "drain": "instance"}
        return kinds.get(what, "daemon"), what
    kind = drawn.choice(KINDS)
    choices = {
        "daemon": DAEMON_FAULTS,
        "store": STORE_FAULTS,
        "instance": (*INSTANCE_FAULTS, "drain"),
        "path": PATH_FAULTS,
        "operator": ("configure",),
    }
    return kind, drawn.choice(choices[kind])
