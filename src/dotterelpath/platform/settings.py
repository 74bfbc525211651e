"""Parses the settings file that the platform gives to each process."""

from __future__ import annotations

import math
import reprlib
import typing

import orjson

from dotterelpath.domain import bounds
from dotterelpath.domain import deployment
from dotterelpath.domain import steering
from dotterelpath.platform import fields

PATH_VARIABLE = "DOTTERELPATH_CONFIG"
# The first port of the range must leave room for a second one.
MAX_PORT = 65535
# Maps attributes of bounds.Bounds to the platform's names.
_BOUND_NAMES = {
    "drain_s": "drain_s",
    "grace_s": "grace_s",
    "apply_s": "config_apply_s",
    "retry_ratio": "retry_budget_ratio",
    "retry_slack": "retry_slack",
    "retry_window_s": "budget_window_s",
    "address_ttl_s": "ttl_max_s",
    "min_used_share": "floor_share",
    "revoke_s": "revoke_s",
    "max_stretch_s": "max_stretch_s",
    "quota_window_s": "quota_window_s",
    "quota_overshoot": "quota_overshoot",
    "quota_slack": "quota_slack",
    "stall_s": "output_stall_s",
}
# The same for bounds that are true or false.
_FLAG_NAMES = {"is_revocation_strict": "strict_revoke"}
_FLAGS = {"true": True, "false": False, "1": True, "0": False}


def parse(content: bytes) -> deployment.Deployment:
    """Parses the settings.

    Args:
        content: The content of the settings file.

    Returns:
        The settings as a deployment.

    Raises:
        FieldError: The file is not JSON, or a field is missing or invalid.
    """
    try:
        data = fields.check_object(orjson.loads(content), "the file")
    except orjson.JSONDecodeError as error:
        raise fields.FieldError(f"the file is not JSON: {error}") from error
    ip = fields.get_string(data, "ip")
    listen = fields.check_object(data.get("listen"), "listen")
    # Free ports of this machine: the first is for datagrams between daemons and
    # for copies of the store, the second for metrics and status.
    first_port = _get_first_port(data)
    # The platform calls a data centre a zone.
    zone = fields.get_string(data, "zone")
    limits = fields.check_object(data.get("limits"), "limits")
    platform = fields.check_object(data.get("platform"), "platform")
    return deployment.Deployment(
        fields.get_string(data, "node_name"),
        zone,
        fields.get_string(data, "region"),
        fields.check_object(data.get("zones"), "zones"),
        _get_endpoint(listen, "front"),
        _get_endpoint(listen, "ready"),
        _get_endpoint(listen, "directory") if "directory" in listen else None,
        deployment.Endpoint(ip, first_port),
        deployment.Endpoint(ip, first_port + 1),
        _get_endpoint(platform, "address"),
        fields.get_number(platform, "reads_per_s"),
        fields.get_number(platform, "writes_per_s"),
        steering.Resources(
            # cpu_share is a fraction of one core; cores is the speed of that
            # core, as a multiple of a core's usual speed.
            fields.get_number(limits, "cpu_share")
            * fields.get_number(limits, "cores"),
            fields.get_number(limits, "link_mbps"),
        ),
        _parse_bounds(fields.get_list(data, "bounds")),
        fields.get_number(limits, "memory_mb") * 1024 * 1024
        if "memory_mb" in limits
        else math.inf,
        fields.get_number(limits, "max_fds") if "max_fds" in limits else None,
    )


def _get_first_port(data: dict[str, typing.Any]) -> int:
    ports = fields.get_list(data, "port_range")
    first_port = fields.get_integer(
        {"port_range": next(iter(ports), None)}, "port_range"
    )
    if not 0 < first_port < MAX_PORT:
        raise fields.FieldError(
            f"port_range starts with {first_port}, not with a port from 1 to"
            f" {MAX_PORT - 1}"
        )
    return first_port


def _get_endpoint(
    data: dict[str, typing.Any], name: str
) -> deployment.Endpoint:
    host, port = fields.parse_endpoint(fields.get_string(data, name), name)
    return deployment.Endpoint(host, port)


def _parse_bounds(entries: list[typing.Any]) -> bounds.Bounds:
    """Parses entries of the form name=value; absent bounds have defaults."""
    values: dict[str, typing.Any] = {}
    for entry in entries:
        name, _, value = str(entry).partition("=")
        name = name.strip()
        if name in _FLAG_NAMES.values():
            values[name] = _parse_flag(entry, value)
            continue
        try:
            number = float(value)
            if not 0.0 <= number < math.inf:
                raise ValueError(value)
            values[name] = number
        except ValueError:
            if name in _BOUND_NAMES.values():
                raise fields.FieldError(
                    f"the bound {reprlib.repr(entry)} is not a number of at"
                    " least 0"
                ) from None
            # Skips other bounds, which may be true or false: the fleet does
            # not use them.
            continue
    return bounds.Bounds(
        **{
            attribute: values[name]
            for attribute, name in (_BOUND_NAMES | _FLAG_NAMES).items()
            if name in values
        }
    )


def _parse_flag(entry: typing.Any, value: str) -> bool:
    flag = _FLAGS.get(value.strip().lower())
    if flag is None:
        raise fields.FieldError(
            f"the bound {reprlib.repr(entry)} is neither true nor false"
        )
    return flag
