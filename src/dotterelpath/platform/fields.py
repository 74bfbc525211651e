"""Reads fields of decoded JSON and checks their types.

Error texts shorten the value found: a value from the store may be of any size,
and the text goes into a log line.
"""

from __future__ import annotations

import ipaddress
import math
import reprlib
import typing


class FieldError(ValueError):
    """A field is missing or has an unexpected value."""


def get_string(data: dict[str, typing.Any], name: str) -> str:
    """Returns a non-empty string.

    Args:
        data: The object.
        name: The name of the field.

    Raises:
        FieldError: The field is missing or not a non-empty string.
    """
    value = data.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(
            f"{name} is {reprlib.repr(value)}, not a non-empty string"
        )
    return value


def get_number(data: dict[str, typing.Any], name: str) -> float:
    """Returns a number that is not negative.

    Args:
        data: The object.
        name: The name of the field.

    Raises:
        FieldError: The field is missing or not a number of at least 0.
    """
    value = data.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f"{name} is {reprlib.repr(value)}, not a number")
    if value < 0:
        raise FieldError(f"{name} is {reprlib.repr(value)}, less than 0")
    if not math.isfinite(value):
        raise FieldError(f"{name} is {reprlib.repr(value)}, not finite")
    return float(value)


def get_integer(data: dict[str, typing.Any], name: str) -> int:
    """Returns an integer that is not negative.

    Args:
        data: The object.
        name: The name of the field.

    Raises:
        FieldError: The field is missing or not an integer of at least 0.
    """
    value = data.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise FieldError(
            f"{name} is {reprlib.repr(value)}, not an integer of at least 0"
        )
    return value


def check_object(data: typing.Any, name: str) -> dict[str, typing.Any]:
    """Checks that a value is an object.

    Args:
        data: The value.
        name: The name of the value, for the error.

    Raises:
        FieldError: The value is not an object.
    """
    if not isinstance(data, dict):
        raise FieldError(f"{name} is not an object")
    return data


def get_list(data: dict[str, typing.Any], name: str) -> list[typing.Any]:
    """Returns a list.

    Args:
        data: The object.
        name: The name of the field.

    Raises:
        FieldError: The field is missing or not a list.
    """
    value = data.get(name)
    if not isinstance(value, list):
        raise FieldError(f"{name} is not a list")
    return value


def parse_endpoint(value: str, name: str) -> tuple[str, int]:
    """Parses an IP address and a port.

    Args:
        value: The text, in the form ADDRESS:PORT.
        name: The name of the field, for the error.

    Raises:
        FieldError: The text has another form.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise FieldError(
            f"{name} is {reprlib.repr(value)}, which does not start with an IP"
            " address"
        ) from None
    # int() refuses very long numbers with an error of its own.
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or not 0 < int(port) < 65536:
        raise FieldError(
            f"{name} is {reprlib.repr(value)}, which does not end with a port"
            " from 1 to 65535"
        )
    return host, int(port)
