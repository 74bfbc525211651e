"""Reads responses of instances, and orders the candidates for a home."""

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
# How many possible successors of a home are asked after the home itself.
MAX_SUCCESSORS = 2
MIN_ERROR_STATUS = 500
# Reported loads are clamped to this value, in requests per slot.
_MAX_LOAD = 1000.0


class InstanceStatus:
    """The status that an instance reports in response headers."""

    __slots__ = ("is_draining", "load")

    def __init__(self, load: float | None, is_draining: bool) -> None:
        """Creates a status.

        Args:
            load: Requests running and queued, per slot; None if the
                instance does not report it.
            is_draining: Whether the instance is draining.
        """
        self.load = load
        self.is_draining = is_draining


def needs_record(request: exchange.Request) -> bool:
    """Returns whether the outcome of a request must be kept under its key.

    Args:
        request: The request.

    Returns:
        Whether the request has a key and its method is not safe.
    """
    return (
        request.key is not None and request.method not in document.SAFE_METHODS
    )


def is_refusal(response: exchange.Response, refusal_header: str | None) -> bool:
    """Returns whether an instance refused a request without running it.

    Args:
        response: The response of the instance.
        refusal_header: The header that marks refusals of the service, if
            the document declares one.

    Returns:
        Whether the response is an error that has the header.
    """
    if refusal_header is None or response.status < 400:
        return False
    return response.header(refusal_header.encode()) is not None


def instance_succeeded(
    result: attempts.AttemptResult, response: exchange.Response | None
) -> bool | None:
    """Returns whether an attempt counts as a success of its instance.

    Args:
        result: The result of the attempt.
        response: The response, if there is one.

    Returns:
        True without a server error, False after a failure, None if the
        instance refused the request, which counts as neither.
    """
    if result is attempts.AttemptResult.REFUSED:
        return None
    if result is not attempts.AttemptResult.ANSWERED or response is None:
        return False
    return response.status < MIN_ERROR_STATUS


def read_instance_status(response: exchange.Response) -> InstanceStatus:
    """Reads the load and the drain header of a response.

    Args:
        response: The response.

    Returns:
        The reported status; an invalid load is ignored.
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
    """Orders the daemons that may hold the records of a key's home.

    Args:
        home: The home.
        vms_by_id: All VMs by id.
        live: Ids of the live daemons.
        adopters: For each stopped home, the id of the daemon that took
            over its records.

    Returns:
        The known adopter if there is one, then the home itself, then the
        daemons that it would have chosen as successors.
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
    """Builds the outcome of a request that joined a running one.

    A streamed response goes to the running request only. The others are
    told that the request ran and that its response was not kept.

    Args:
        outcome: The outcome of the running request.

    Returns:
        The outcome for a request that joined.
    """
    if outcome.stream_id is None:
        return outcome
    return exchange.Outcome(errors.ResultCode.ANSWER_NOT_KEPT)
