"""Keys of tenants that are replaced during a soak, and their invariants."""

from __future__ import annotations

import math
import random
import time
import typing

from soak import callers
from soak import invariants
from standins import gateway_fleet

TENANTS = ("ada", "bob")
# The share of requests with a key that is in force when they are sent.
VALID_SHARE = 0.8
# How long daemons may need to read the store again after a fault of the store,
# in seconds.
RECOVERY_S = 2.0
# Store faults that may delay a change.
DELAYING_FAULTS = ("down", "silent", "busy", "slow")


class Key:
    """A key, and the times of the writes that added and removed it."""

    __slots__ = ("added_s", "removal_began_s", "removed_s", "tenant", "text")

    def __init__(self, tenant: str, text: str) -> None:
        """Creates a key that is not written yet.

        Args:
            tenant: The name of the tenant.
            text: The key.
        """
        self.tenant = tenant
        self.text = text
        self.added_s = math.inf
        self.removal_began_s = math.inf
        self.removed_s = math.inf

    def is_in_force(self, start_s: float, end_s: float, delay_s: float) -> bool:
        """Whether each daemon must accept the key during a request."""
        is_known = self.added_s + delay_s < start_s
        return is_known and end_s < self.removal_began_s


class KeyRing:
    """The keys of all tenants. Each has one that stays and one that changes."""

    def __init__(self, seed: int) -> None:
        """Creates the first keys.

        Args:
            seed: The seed of the random numbers.
        """
        self._random = random.Random(f"keys/{seed}")
        self._count = 0
        self.keys: dict[str, Key] = {}
        self._current: dict[str, list[Key]] = {
            tenant: [self._create(tenant), self._create(tenant)]
            for tenant in TENANTS
        }

    def _create(self, tenant: str) -> Key:
        self._count += 1
        key = Key(tenant, f"secret-{self._count}")
        self.keys[key.text] = key
        return key

    def to_json(self) -> list[dict[str, typing.Any]]:
        """Returns the tenants for a configuration."""
        return [
            {"name": tenant, "api_keys": [key.text for key in keys]}
            for tenant, keys in self._current.items()
        ]

    def rotate(self, write: typing.Callable[[], None]) -> None:
        """Replaces the changing key of a tenant.

        Args:
            write: Writes the configuration.
        """
        tenant = self._random.choice(TENANTS)
        old = self._current[tenant][1]
        self._current[tenant][1] = self._create(tenant)
        old.removal_began_s = time.monotonic()
        write()
        old.removed_s = time.monotonic()

    def on_written(self) -> None:
        """Records that the current keys are in the store."""
        now_s = time.monotonic()
        for keys in self._current.values():
            for key in keys:
                key.added_s = min(key.added_s, now_s)

    def draw(self, source: random.Random) -> Key:
        """Draws the key of a request, which may have been removed."""
        current = [key for keys in self._current.values() for key in keys]
        if source.random() < VALID_SHARE:
            return source.choice(current)
        removed = [k for k in self.keys.values() if k.removed_s < math.inf]
        return source.choice(removed or current)


def find_violations(
    records: dict[str, callers.RequestRecord],
    runs: dict[str, list[invariants.Run]],
    identities: dict[str, list[list[str]]],
    outages: list[tuple[float, float]],
) -> list[str]:
    """Finds requests that ran or were refused despite the state of their key.

    Args:
        records: The requests that callers sent, by request id.
        runs: The runs that instances recorded, by request id.
        identities: The headers on the caller's identity that instances saw, by
            request id.
        outages: Start and end of each fault of the store, in seconds of the
            monotonic clock.

    Returns:
        One line for each violation.
    """
    violations = []
    bound_s = gateway_fleet.BOUNDS["config_apply_s"]
    for request_id, record in records.items():
        key = record.key
        if key is None:
            continue
        late_s = record.sent_s - key.removed_s
        if late_s > 0.0:
            late_s -= _overlap(outages, key.removed_s, record.sent_s)
        if request_id in runs and late_s > bound_s:
            violations.append(
                f"ran with a revoked key: {request_id}, {late_s:.2f} s late"
            )
        added_delay_s = bound_s + _overlap(outages, key.added_s, record.sent_s)
        is_in_force = key.is_in_force(
            record.sent_s, record.ended_s or math.inf, added_delay_s
        )
        if record.status == 401 and is_in_force:
            violations.append(f"refused with a known key: {request_id}")
        seen = identities.get(request_id, [])
        expected = [["tenant-id", key.tenant]]
        if request_id in runs and seen != expected:
            violations.append(f"wrong identity: {request_id} {seen}")
    return violations


def _overlap(
    outages: list[tuple[float, float]], start_s: float, end_s: float
) -> float:
    """Sums the time of outages and recoveries within a period, in seconds."""
    return sum(
        max(0.0, min(end_s, until_s + RECOVERY_S) - max(start_s, from_s))
        for from_s, until_s in outages
    )
