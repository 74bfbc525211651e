"""Rendezvous hashing: each member scores a key, and the best ones win."""

from __future__ import annotations

import typing

import xxhash


def score(key: str, member: str) -> int:
    """Scores a member for a key.

    Args:
        key: What is placed.
        member: The candidate's id.

    Returns:
        A 64-bit score; the highest wins.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def ranked(key: str, members: typing.Iterable[str]) -> list[str]:
    """Orders members for a key, best first.

    Args:
        key: What is placed.
        members: The candidates' ids.

    Returns:
        The ids, in an order that every daemon with the same list computes.
    """
    return sorted(members, key=lambda member: (-score(key, member), member))


def winner(key: str, members: typing.Iterable[str]) -> str | None:
    """Finds the best member for a key.

    Args:
        key: What is placed.
        members: The candidates' ids.

    Returns:
        The best id, or None without members.
    """
    return max(
        members, key=lambda member: (score(key, member), member), default=None
    )
