"""Rendezvous hashing: the candidates with the highest scores get a key."""

from __future__ import annotations

import typing

import xxhash


def score(key: str, member: str) -> int:
    """Computes the score of a candidate for a key.

    Args:
        key: The key to assign.
        member: The id of the candidate.

    Returns:
        A 64-bit score; the highest wins.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def ranked(key: str, members: typing.Iterable[str]) -> list[str]:
    """Ranks candidates for a key, the best first.

    Args:
        key: The key to assign.
        members: The ids of the candidates.

    Returns:
        The ids. Every daemon with the same candidates gets the same order.
    """
    return sorted(members, key=lambda member: (-score(key, member), member))


def winner(key: str, members: typing.Iterable[str]) -> str | None:
    """Returns the id of the best candidate for a key.

    Args:
        key: The key to assign.
        members: The ids of the candidates.

    Returns:
        The best id, or None if there are no candidates.
    """
    return max(
        members, key=lambda member: (score(key, member), member), default=None
    )
