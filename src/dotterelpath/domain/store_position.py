"""Positions in the history of the store, which may begin anew in a later era.

A store that comes back from an older copy has lost its latest changes and gives
out their revisions again. It states the era of its history in each answer, so
that revisions of two eras are told from each other.
"""

from __future__ import annotations

import functools

from dotterelpath import errors


@functools.total_ordering
class Position:
    """An era of the store and a revision in it, ordered as a whole."""

    __slots__ = ("era", "revision")

    def __init__(self, era: int, revision: int) -> None:
        """Creates a position.

        Args:
            era: The era of the store; 0 if the store states none.
            revision: The revision; 0 before the first one.
        """
        self.era = era
        self.revision = revision

    @property
    def start_of_era(self) -> Position:
        """The position before all revisions of the era."""
        return Position(self.era, 0)

    def __eq__(self, other: object) -> bool:
        """Whether both are the same revision of the same era."""
        if not isinstance(other, Position):
            return NotImplemented
        return (self.era, self.revision) == (other.era, other.revision)

    def __lt__(self, other: Position) -> bool:
        """Whether this is an earlier era, or an earlier revision of the era."""
        if not isinstance(other, Position):
            return NotImplemented
        return (self.era, self.revision) < (other.era, other.revision)

    def __hash__(self) -> int:
        """Hashes the era and the revision."""
        return hash((self.era, self.revision))

    def __repr__(self) -> str:
        """Returns a text for messages of errors."""
        return f"revision {self.revision} of era {self.era}"


# Earlier than each answer of a store.
NOTHING = Position(0, 0)


def check_answer(position: Position, after: Position) -> None:
    """Checks that an answer continues the history that a call asked for.

    Args:
        position: The position of the answer.
        after: The position that the call named; with revision 0 for all keys,
            whose era may be a later one.

    Raises:
        HistoryLostError: The answer is of a later era, in which the changes
            after that position are not known.
        StoreEraError: The answer is of an earlier era.
    """
    if position.era < after.era:
        raise errors.StoreEraError(
            f"the answer is of era {position.era}, before era {after.era}"
        )
    if position.era > after.era and after.revision:
        raise errors.HistoryLostError(
            f"the store has gone from era {after.era} to era {position.era}"
        )
