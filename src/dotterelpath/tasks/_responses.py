"""Reads what answers say, and tells waiting receivers of outcomes."""

from __future__ import annotations

from dotterelpath import errors
from dotterelpath.domain import attempts
from dotterelpath.domain import document
from dotterelpath.domain import exchange
from dotterelpath.domain import hashing
from dotterelpath.domain import keys
from dotterelpath.domain import vms

LOAD_HEADER = b"dotterelpath-load"
DRAINING_HEADER = b"dotterelpath-draining"
MAX_SUCCESSORS = 2
MIN_ERROR_STATUS = 500
_MAX_LOAD = 1000.0


class InstanceStatus:
    """What an instance says of itself on an answer."""

    __slots__ = ("is_draining", "load")

    def __init__(self, load: float | None, is_draining: bool) -> None:
        """Creates the signs.

        Args:
            load: Its requests running and waiting, per slot.
            is_draining: Whether it drains.
        """
        self.load = load
        self.is_draining = is_draining


def needs_record(request: exchange.Request) -> bool:
    """Tells whether a request's outcome must be kept under its key.

    Args:
        request: The request.

    Returns:
        Whether it has a key and a method that is not safe.
    """
    return (
        request.key is not None and request.method not in document.SAFE_METHODS
    )


def is_refusal(response: exchange.Response, refusal_header: str | None) -> bool:
    """Tells whether an instance says that it did not run the request.

    Args:
        response: Its answer.
        refusal_header: The header that the service's section declares.

    Returns:
        Whether the answer is such a refusal.
    """
    if refusal_header is None or response.status < 400:
        return False
    return response.header(refusal_header.encode()) is not None


def instance_succeeded(
    result: attempts.AttemptResult, response: exchange.Response | None
) -> bool | None:
    """Judges an instance by the end of a try.

    Args:
        result: How the try ended.
        response: The answer, if there is one.

    Returns:
        Whether it did its work; None where it shed load.
    """
    if result is attempts.AttemptResult.REFUSED:
        return None
    if result is not attempts.AttemptResult.ANSWERED or response is None:
        return False
    return response.status < MIN_ERROR_STATUS


def read_instance_status(response: exchange.Response) -> InstanceStatus:
    """Reads an instance's load report and drain sign.

    Args:
        response: Its answer.

    Returns:
        What it says; an invalid report counts as none.
    """
    load = None
    raw = response.header(LOAD_HEADER)
    if raw is not None:
        try:
            load = min(max(float(raw), 0.0), _MAX_LOAD)
        except ValueError:
            load = None
    return InstanceStatus(load, response.header(DRAINING_HEADER) is not None)


def home_candidates(
    home: keys.Home,
    vms_by_id: dict[str, vms.Vm],
    live: list[str],
    adopters: dict[keys.Home, str],
) -> list[vms.Vm]:
    """Orders the daemons that may answer for a key's home.

    Args:
        home: The home.
        vms_by_id: All VMs by id.
        live: Ids of the live daemons.
        adopters: The daemon that answers for each stopped home.

    Returns:
        The known adopter, else the home itself, then those that it would
        have chosen as its successors.
    """
    ids = [adopters[home]] if home in adopters else []
    ids.append(home.daemon_id)
    peers = [member for member in live if member != home.daemon_id]
    ids += hashing.ranked(home.daemon_id, peers)[:MAX_SUCCESSORS]
    candidates = []
    for daemon_id in dict.fromkeys(ids):
        vm = vms_by_id.get(daemon_id)
        if vm is not None and vm.role is vms.VmRole.ENTRY:
            candidates.append(vm)
    return candidates


def outcome_for_joined(outcome: exchange.Outcome) -> exchange.Outcome:
    """Builds what an attempt is told that joined a running one.

    A long answer streams to the one that runs; others learn only that it ran.

    Args:
        outcome: How the running attempt ended.

    Returns:
        The outcome for the attempt that joined.
    """
    if outcome.stream_id is None:
        return outcome
    return exchange.Outcome(errors.ResultCode.ANSWER_NOT_KEPT)
