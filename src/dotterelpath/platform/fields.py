"""Checked reads of decoded JSON."""

from __future__ import annotations

import ipaddress
import typing


class FieldError(ValueError):
    """A field is missing or of another type."""


def get_string(data: dict[str, typing.Any], name: str) -> str:
    """Reads a text that is not empty.

    Args:
        data: The object.
        name: The field.

    Raises:
        FieldError: It is missing or no such text.
    """
    value = data.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(f"{name} is no text")
    return value


def get_number(data: dict[str, typing.Any], name: str) -> float:
    """Reads a number that is not negative.

    Args:
        data: The object.
        name: The field.

    Raises:
        FieldError: It is missing or no such number.
    """
    value = data.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f"{name} is no number")
    if value < 0:
        raise FieldError(f"{name} is negative")
    return float(value)


def get_integer(data: dict[str, typing.Any], name: str) -> int:
    """Reads a whole number that is not negative.

    Args:
        data: The object.
        name: The field.

    Raises:
        FieldError: It is missing or no such number.
    """
    value = data.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise FieldError(f"{name} is no whole number")
    return value


def check_object(data: typing.Any, name: str) -> dict[str, typing.Any]:
    """Reads a table.

    Args:
        data: The value.
        name: What it is, for the error.

    Raises:
        FieldError: It is no table.
    """
    if not isinstance(data, dict):
        raise FieldError(f"{name} is no table")
    return data


def get_list(data: dict[str, typing.Any], name: str) -> list[typing.Any]:
    """Reads a list.

    Args:
        data: The object.
        name: The field.

    Raises:
        FieldError: It is missing or no list.
    """
    value = data.get(name)
    if not isinstance(value, list):
        raise FieldError(f"{name} is no list")
    return value


def parse_endpoint(value: str, name: str) -> tuple[str, int]:
    """Reads an IP address and a port.

    Args:
        value: The text, as ADDRESS:PORT.
        name: The field, for the error.

    Raises:
        FieldError: It has another form.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise FieldError(f"{name} does not begin with an IP address") from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise FieldError(f"{name} is no address with a port")
    return host, int(port)
