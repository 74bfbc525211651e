"""Decides which request a response on a reused connection belongs to."""

from __future__ import annotations

import enum


class Match(enum.Enum):
    """The request that a response belongs to."""

    CURRENT = "current"
    # An earlier request of the connection. The response to the current request
    # may follow.
    EARLIER = "earlier"
    # It cannot be known.
    UNKNOWN = "unknown"


def match(
    named_id: str | None, current_id: str, is_first: bool, must_be_named: bool
) -> Match:
    """Matches a response to the requests of its connection.

    A faulty server may send a second copy of a response or of a refusal, which
    arrives where the response to the next request is expected. If such a copy
    names no request, it looks like that response.

    Args:
        named_id: The id of the request that the response names, if any.
        current_id: The id of the request that was written last.
        is_first: Whether no other request was written to the connection.
        must_be_named: Whether servers name the request in a response like this.

    Returns:
        The request that the response belongs to.
    """
    if named_id is not None:
        return Match.CURRENT if named_id == current_id else Match.EARLIER
    if is_first and not must_be_named:
        return Match.CURRENT
    return Match.UNKNOWN
