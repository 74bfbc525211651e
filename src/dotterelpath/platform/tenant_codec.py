"""Decodes the tenants of the operators' configuration.

No text of a fault contains a value other than a tenant's name, since an entry
holds keys.
"""

from __future__ import annotations

import math
import reprlib
import typing

from dotterelpath.domain import tenants
from dotterelpath.platform import fields

# The longest name of a tenant, in bytes; it is sent in a header and in reports
# to other daemons.
MAX_NAME_BYTES = 256
# Lower priorities count as this one. Each priority in use costs every queue
# memory and time.
LOWEST_PRIORITY = 99

_MIN_PRINTABLE = 0x20
_DELETE = 0x7F


class Decoded:
    """The usable tenants, and what is wrong with others."""

    __slots__ = ("faults", "listed")

    def __init__(self) -> None:
        """Creates a result without tenants."""
        self.listed: dict[str, tenants.TenantKeys] = {}
        self.faults: list[str] = []


def decode(rows: typing.Any) -> Decoded:
    """Decodes the list of tenants.

    An entry that cannot be used is left out. Entries with the same name are one
    tenant with the keys of all and the other fields of the first.

    Args:
        rows: The decoded JSON.

    Returns:
        The tenants, and a text for each fault.
    """
    decoded = Decoded()
    if not isinstance(rows, list):
        decoded.faults.append("the tenants are not a list")
        return decoded
    for position, row in enumerate(rows):
        label = f"tenant {position}"
        try:
            data = fields.check_object(row, "the entry")
            name = _decode_name(data)
            label = f"tenant {reprlib.repr(name)}"
            entry = tenants.TenantKeys(
                _decode_tenant(name, data), _decode_keys(data)
            )
        except fields.FieldError as error:
            decoded.faults.append(f"{label} is left out: {error}")
            continue
        left_out = len(data["api_keys"]) - len(entry.keys)
        if left_out:
            decoded.faults.append(f"{label} has {left_out} unusable keys")
        priority = data.get("priority")
        if priority is not None and not _is_priority(priority):
            decoded.faults.append(f"{label} has an unusable priority")
        known = decoded.listed.get(name)
        if known is not None:
            decoded.faults.append(f"{label} is listed more than once")
            entry = tenants.TenantKeys(known.tenant, known.keys + entry.keys)
        decoded.listed[name] = entry
    return decoded


def _decode_name(data: dict[str, typing.Any]) -> str:
    name = data.get("name")
    if not isinstance(name, str) or not name:
        raise fields.FieldError("name is not a non-empty string")
    has_control = any(
        ord(character) < _MIN_PRINTABLE or ord(character) == _DELETE
        for character in name
    )
    if (
        has_control
        or name != name.strip()
        or len(name.encode()) > MAX_NAME_BYTES
    ):
        # It could not be sent in a header as it is.
        raise fields.FieldError(
            "name has control characters, outer spaces or more than"
            f" {MAX_NAME_BYTES} bytes"
        )
    return name


def _decode_keys(data: dict[str, typing.Any]) -> tuple[str, ...]:
    keys = data.get("api_keys")
    if not isinstance(keys, list):
        raise fields.FieldError("api_keys is not a list")
    usable = tuple(key for key in keys if isinstance(key, str) and key)
    if keys and not usable:
        raise fields.FieldError("api_keys has no usable key")
    return usable


def _decode_tenant(name: str, data: dict[str, typing.Any]) -> tenants.Tenant:
    return tenants.Tenant(
        name,
        _decode_priority(data.get("priority")),
        _decode_number(data, "rate_per_s"),
        _decode_number(data, "burst"),
    )


def _decode_priority(value: typing.Any) -> int | None:
    """Decodes a priority; an invalid one leaves the route's in place."""
    if not _is_priority(value):
        return None
    return min(int(value), LOWEST_PRIORITY)


def _is_priority(value: typing.Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _decode_number(data: dict[str, typing.Any], field: str) -> float:
    value = data.get(field)
    if value is None:
        return 0.0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0.0 <= value < math.inf:
        raise fields.FieldError(f"{field} is not a finite number of at least 0")
    return float(value)
