"""Positions in the store's history."""

from __future__ import annotations

from dotterelpath.domain import store_position


def at(revision, era=0):
    """Returns the position of a revision in an era."""
    return store_position.Position(era, revision)
