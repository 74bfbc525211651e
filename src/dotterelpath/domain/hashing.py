"""Rendezvous hashing: the candidates with the highest scores get a key."""

from __future__ import annotations

import typing

import xxhash


def score(key: str, candidate: str) -> int:
    """Computes the score of a candidate for a key.

    Args:
        key: The key to assign.
        candidate: The id of the candidate.

    Returns:
        A 64-bit score; the highest wins.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def ranked(key: str, candidates: typing.Iterable[str]) -> list[str]:
    """Ranks candidates for a key, the best first.

    Args:
        key: The key to assign.
        candidates: The ids of the candidates.

    Returns:
        The ids. Every daemon with the same candidates gets the same order.
    """
    return sorted(
        candidates, key=lambda candidate: (-score(key, candidate), candidate)
    )


def winner(key: str, candidates: typing.Iterable[str]) -> str | None:
    """Returns the id of the best candidate for a key.

    Args:
        key: The key to assign.
        candidates: The ids of the candidates.

    Returns:
        The best id, or None if there are no candidates.
    """
    return max(
        candidates,
        key=lambda candidate: (score(key, candidate), candidate),
        default=None,
    )
