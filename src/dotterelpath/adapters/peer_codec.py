"""Encodes and decodes the messages between daemons as JSON."""

from __future__ import annotations

import base64
import reprlib
import typing

from dotterelpath import errors
from dotterelpath.domain import exchange
from dotterelpath.domain import fleet_membership
from dotterelpath.domain import keys
from dotterelpath.domain import records
from dotterelpath.ports import peers

Json = dict[str, typing.Any]


def heartbeat_to_json(heartbeat: fleet_membership.Heartbeat) -> Json:
    """Encodes a heartbeat.

    Args:
        heartbeat: The heartbeat.
    """
    return {
        "id": heartbeat.home.daemon_id,
        "inc": heartbeat.home.incarnation,
        "n": heartbeat.counter,
        "state": heartbeat.state.value,
        "doc": heartbeat.document_version,
        "ledger": heartbeat.ledger_revision,
        "store_age_s": round(heartbeat.store_age_s, 1),
        "adopted": [home_to_json(home) for home in heartbeat.adopted],
        "rumours": [
            [r.subject, r.incarnation, r.counter, r.state.value, r.reporter]
            for r in heartbeat.updates
        ],
    }


def heartbeat_from_json(data: Json) -> fleet_membership.Heartbeat:
    """Decodes a heartbeat.

    Args:
        data: The output of heartbeat_to_json.

    Raises:
        ValueError: The data is malformed.
    """
    try:
        return fleet_membership.Heartbeat(
            keys.Home(str(data["id"]), str(data["inc"])),
            int(data["n"]),
            fleet_membership.DaemonState(data["state"]),
            int(data["doc"]),
            int(data["ledger"]),
            float(data["store_age_s"]),
            tuple(home_from_json(item) for item in data["adopted"]),
            tuple(
                fleet_membership.MembershipUpdate(
                    str(subject),
                    str(incarnation),
                    int(counter),
                    fleet_membership.DaemonState(state),
                    str(reporter),
                )
                for subject, incarnation, counter, state, reporter in data[
                    "rumours"
                ]
            ),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed heartbeat: {error!r}") from error


def home_to_json(home: keys.Home) -> list[str]:
    """Encodes a home.

    Args:
        home: The home.
    """
    return [home.daemon_id, home.incarnation]


def home_from_json(data: typing.Any) -> keys.Home:
    """Decodes a home.

    Args:
        data: The output of home_to_json.

    Raises:
        ValueError: The data is malformed.
    """
    if not isinstance(data, list) or len(data) != 2:
        raise ValueError(
            f"malformed home: {reprlib.repr(data)}, expected [daemon id,"
            " incarnation]"
        )
    return keys.Home(str(data[0]), str(data[1]))


def request_to_json(request: exchange.Request) -> Json:
    """Encodes a request.

    Args:
        request: The request.
    """
    return {
        "method": request.method,
        "target": request.target,
        "headers": _headers_to_json(request.headers),
        "body": _bytes_to_json(request.body),
        "workspace": request.workspace,
        "key": request.key,
        "attempt": request.attempt,
        "request_id": request.request_id,
    }


def request_from_json(data: Json, timeout_s: float) -> exchange.Request:
    """Decodes a request.

    Args:
        data: The output of request_to_json.
        timeout_s: The time left until the caller's deadline, in seconds.

    Raises:
        ValueError: The data is malformed.
    """
    try:
        return exchange.Request(
            str(data["method"]),
            str(data["target"]),
            _headers_from_json(data["headers"]),
            base64.b64decode(data["body"]),
            workspace=str(data["workspace"]),
            key=data["key"],
            attempt=int(data["attempt"]),
            timeout_s=timeout_s,
            request_id=str(data["request_id"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed request: {error!r}") from error


def outcome_to_json(outcome: exchange.Outcome) -> Json:
    """Encodes an outcome.

    Args:
        outcome: The outcome.
    """
    response = outcome.response
    return {
        "code": int(outcome.code),
        "detail": outcome.detail,
        "instance": outcome.instance,
        "answer": None
        if response is None
        else {
            "status": response.status,
            "headers": _headers_to_json(response.headers),
            "body": _bytes_to_json(response.body),
        },
    }


def outcome_from_json(data: Json) -> exchange.Outcome:
    """Decodes an outcome.

    Args:
        data: The output of outcome_to_json.

    Raises:
        ValueError: The data is malformed.
    """
    try:
        response = data["answer"]
        return exchange.Outcome(
            errors.ResultCode(data["code"]),
            str(data["detail"]),
            None
            if response is None
            else exchange.Response(
                int(response["status"]),
                _headers_from_json(response["headers"]),
                base64.b64decode(response["body"]),
            ),
            data["instance"],
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed outcome: {error!r}") from error


def hand_off_to_json(hand_off: peers.HandOff) -> Json:
    """Encodes a hand-off; leaves out the records without an outcome.

    Args:
        hand_off: The records of one home.
    """
    return {
        "home": home_to_json(hand_off.home),
        "age_s": hand_off.age_s,
        "floor_epoch": hand_off.min_epoch,
        "is_closed": hand_off.is_closed,
        "records": [
            [
                scoped_key,
                record.epoch,
                record.fingerprint,
                record.attempt,
                outcome_to_json(record.outcome),
            ]
            for scoped_key, record in hand_off.records.items()
            if record.outcome is not None
        ],
    }


def hand_off_from_json(data: Json) -> peers.HandOff:
    """Decodes a hand-off.

    Args:
        data: The output of hand_off_to_json.

    Raises:
        ValueError: The data is malformed.
    """
    try:
        received = {}
        for scoped_key, epoch, fingerprint, attempt, outcome in data["records"]:
            record = records.Record(int(epoch), str(fingerprint), int(attempt))
            record.state = records.RecordState.ENDED
            record.outcome = outcome_from_json(outcome)
            received[str(scoped_key)] = record
        return peers.HandOff(
            home_from_json(data["home"]),
            float(data["age_s"]),
            int(data["floor_epoch"]),
            bool(data["is_closed"]),
            received,
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed hand-off: {error!r}") from error


def _headers_to_json(headers: exchange.Headers) -> list[list[str]]:
    return [[n.decode("latin-1"), v.decode("latin-1")] for n, v in headers]


def _headers_from_json(data: typing.Any) -> exchange.Headers:
    return [
        (str(n).encode("latin-1"), str(v).encode("latin-1")) for n, v in data
    ]


def _bytes_to_json(data: bytes) -> str:
    return base64.b64encode(data).decode()
