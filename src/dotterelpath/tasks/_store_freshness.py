"""The part of the peer monitor that judges the age of the tenants."""

from __future__ import annotations

import math
import typing

import structlog

from dotterelpath.domain import bounds as bounds_domain
from dotterelpath.domain import fleet_view
from dotterelpath.domain import hashing
from dotterelpath.domain import revocation
from dotterelpath.domain import steering
from dotterelpath.domain import store_position
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox

# The daemons that are asked besides the usual ones while nothing confirms what
# this daemon knows. If the store refuses half of the daemons, at least one of
# those asked within 4 s reaches it with a probability of 94%.
ASKED_COUNT = 2
# How long the same daemons are asked, in seconds. A daemon that is asked begins
# to watch the store, and reports with the next response.
ASKED_FOR_S = 2.0

_log = structlog.get_logger()


class StoreFreshness:
    """Knows whether the tenants may be served as this daemon knows them.

    Does nothing while the configuration has no tenants.
    """

    __slots__ = (
        "_gateway",
        "_guard",
        "_has_tenants",
        "_is_stale",
        "_own_id",
        "_published",
    )

    def __init__(
        self,
        own_id: str,
        bounds: bounds_domain.Bounds,
        gateway: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the state of a daemon that has read nothing.

        Args:
            own_id: The id of this daemon.
            bounds: The limits from the settings.
            gateway: Is told from when it must refuse requests.
        """
        self._own_id = own_id
        self._gateway = gateway
        self._guard = revocation.RevocationGuard(bounds)
        self._has_tenants = False
        self._is_stale = False
        self._published = (-math.inf, math.inf)

    def is_stale(self, now_s: float) -> bool:
        """Tells whether this daemon knows that its tenants are outdated.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self._has_tenants and now_s >= self._guard.not_ready_from_s()

    def set_bounds(self, bounds: bounds_domain.Bounds) -> None:
        """Sets changed limits.

        Args:
            bounds: The limits from the settings.
        """
        self._guard.set_bounds(bounds)

    def set_has_tenants(self, has_tenants: bool, now_s: float) -> None:
        """Sets whether the configuration has tenants.

        Args:
            has_tenants: Whether it has.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._has_tenants = has_tenants
        self.update(now_s)

    def must_check(self, daemons: dict[str, steering.Daemon]) -> bool:
        """Tells whether time alone may make further daemons worth asking.

        Args:
            daemons: All daemons by id.
        """
        return self._has_tenants and len(daemons) > 1

    def record_report(
        self,
        position: store_position.Position,
        confirmed_s: float,
        now_s: float,
    ) -> None:
        """Records a report; see revocation.RevocationGuard."""
        self._guard.record_report(position, confirmed_s, now_s)
        self.update(now_s)

    def on_store_read(
        self, message: fleet_events.StoreRead, now_s: float
    ) -> None:
        """Records a read of the store by this daemon.

        Args:
            message: The read.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._guard.record_read(
            message.position, message.sent_s, message.is_exact
        )
        self.update(now_s)

    def daemons_to_ask(
        self,
        daemons: dict[str, steering.Daemon],
        usual: list[steering.Daemon],
        now_s: float,
    ) -> list[steering.Daemon]:
        """Chooses daemons to ask for their revision besides the usual ones.

        The usual ones may be refused by the store, as this daemon may be.

        Args:
            daemons: All daemons by id.
            usual: The daemons that are asked in any case.
            now_s: The current time on the monotonic clock, in seconds.
        """
        if not self._has_tenants or not self._guard.must_ask_others(now_s):
            return []
        known = {daemon.id for daemon in usual} | {self._own_id}
        others = [daemon for id, daemon in daemons.items() if id not in known]
        period = int(now_s / ASKED_FOR_S)
        positions = {
            hashing.score(self._own_id, f"{period} {n}") % len(others)
            for n in range(ASKED_COUNT if others else 0)
        }
        return [others[position] for position in positions]

    def update(self, now_s: float) -> None:
        """Publishes and logs what has changed.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        if not self._has_tenants:
            self._is_stale = False
            return
        confirmed_s = self._guard.confirmed_s
        refuse_from_s = self._guard.refuse_from_s()
        before = self._published
        if _has_moved(before[0], confirmed_s) or _has_moved(
            before[1], refuse_from_s
        ):
            self._published = (confirmed_s, refuse_from_s)
            self._gateway.force(
                fleet_events.FreshnessChanged(confirmed_s, refuse_from_s)
            )
        is_stale = self.is_stale(now_s)
        if is_stale != self._is_stale:
            self._is_stale = is_stale
            _log.warning(
                "tenants outdated, not ready"
                if is_stale
                else "tenants current again",
                behind_s=_age(now_s, self._guard.behind_since_s),
                confirmed_age_s=_age(now_s, confirmed_s),
                refusing_in_s=_age(refuse_from_s, now_s),
            )


def _has_moved(before_s: float, after_s: float) -> bool:
    """Whether two times differ by more than the interval of reports."""
    return before_s != after_s and not (
        abs(before_s - after_s) < fleet_view.PING_S
    )


def _age(now_s: float, at_s: float) -> float | None:
    """Returns a duration to log, or None if there is none."""
    age_s = now_s - at_s
    return round(age_s, 3) if math.isfinite(age_s) else None
