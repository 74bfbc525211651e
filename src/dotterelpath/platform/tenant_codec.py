"""Decodes the tenants of the operators' configuration.

No text of a fault contains a value other than a tenant's name, since an entry
holds keys.
"""

from __future__ import annotations

import math
import re
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

_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")


class Decoded:
    """The usable tenants, and what is wrong with others."""

    __slots__ = ("changed", "faults", "unchanged")

    def __init__(self) -> None:
        """Creates a result without tenants."""
        self.changed: dict[str, tenants.TenantKeys] = {}
        # The names of tenants that are as in the previous table.
        self.unchanged: set[str] = set()
        self.faults: list[str] = []


def decode(
    rows: typing.Any, previous: tenants.TenantTable | None = None
) -> Decoded:
    """Decodes the list of tenants.

    An entry that cannot be used is left out. Entries with the same name are one
    tenant with the keys of all and the other fields of the first.

    Args:
        rows: The decoded JSON.
        previous: The table of an earlier configuration, if there is one.

    Returns:
        The tenants, and a text for each fault.
    """
    decoded = Decoded()
    if not isinstance(rows, list):
        decoded.faults.append("the tenants are not a list")
        return decoded
    for position, row in enumerate(rows):
        fingerprint = _fingerprint(row)
        if fingerprint is not None and previous is not None:
            name = row["name"]
            is_repeated = name in decoded.changed or name in decoded.unchanged
            if not is_repeated and previous.is_unchanged(name, fingerprint):
                decoded.unchanged.add(name)
                continue
        entry = _decode_row(position, row, fingerprint, decoded.faults)
        if entry is None:
            continue
        name = entry.tenant.name
        if name in decoded.unchanged:
            # The keys of the entry before are needed as well.
            return decode(rows)
        known = decoded.changed.get(name)
        if known is not None:
            decoded.faults.append(
                f"tenant {reprlib.repr(name)} is listed more than once"
            )
            entry = tenants.TenantKeys(known.tenant, known.keys + entry.keys)
        decoded.changed[name] = entry
    return decoded


def _fingerprint(row: typing.Any) -> int | None:
    """Returns a hash of an entry, or None if it is odd."""
    try:
        return hash(
            (
                row["name"],
                tuple(row["api_keys"]),
                row.get("priority"),
                row.get("rate_per_s"),
                row.get("burst"),
            )
        )
    except (AttributeError, KeyError, TypeError):
        return None


def _decode_row(
    position: int, row: typing.Any, fingerprint: int | None, faults: list[str]
) -> tenants.TenantKeys | None:
    """Decodes an entry; returns None, and adds a fault, if it is unusable.

    An entry with a fault has no fingerprint: the fault is reported each time.
    """
    label = f"tenant {position}"
    try:
        data = fields.check_object(row, "the entry")
        name = _decode_name(data)
        label = f"tenant {reprlib.repr(name)}"
        keys = _decode_keys(data)
        tenant = _decode_tenant(name, data)
    except fields.FieldError as error:
        faults.append(f"{label} is left out: {error}")
        return None
    if len(keys) < len(data["api_keys"]):
        count = len(data["api_keys"]) - len(keys)
        faults.append(f"{label} has {count} unusable keys")
        fingerprint = None
    priority = data.get("priority")
    if priority is not None and not _is_priority(priority):
        faults.append(f"{label} has an unusable priority")
        fingerprint = None
    return tenants.TenantKeys(tenant, keys, fingerprint)


def _decode_name(data: dict[str, typing.Any]) -> str:
    name = data.get("name")
    if not isinstance(name, str) or not name:
        raise fields.FieldError("name is not a non-empty string")
    is_sendable = (
        name == name.strip()
        and not _CONTROL_CHARACTER.search(name)
        and len(name.encode()) <= MAX_NAME_BYTES
    )
    if not is_sendable:
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
