"""Result tables of benchmarks, with upper bounds on measured values."""

from __future__ import annotations

import typing


class Bound:
    """A measured value and its upper bound."""

    __slots__ = ("limit", "name", "value")

    def __init__(self, name: str, value: float, limit: float) -> None:
        """Creates a bound.

        Args:
            name: The name of the measured value.
            value: The measured value.
            limit: The highest value that the target allows.
        """
        self.name = name
        self.value = value
        self.limit = limit

    @property
    def is_met(self) -> bool:
        """Whether the value is at most the limit."""
        return self.value <= self.limit


class Table:
    """The results of one benchmark."""

    __slots__ = ("bounds", "columns", "notes", "rows", "title")

    def __init__(self, title: str, columns: tuple[str, ...]) -> None:
        """Creates an empty table.

        Args:
            title: The title, which names what was measured.
            columns: The names of the columns.
        """
        self.title = title
        self.columns = columns
        self.rows: list[tuple[typing.Any, ...]] = []
        self.notes: list[str] = []
        self.bounds: list[Bound] = []

    def add_row(self, *cells: typing.Any) -> None:
        """Adds a row.

        Args:
            *cells: The values, one for each column.
        """
        self.rows.append(cells)

    def add_note(self, text: str) -> None:
        """Adds a line of text below the table.

        Args:
            text: The line of text.
        """
        self.notes.append(text)

    def add_bound(self, name: str, value: float, limit: float) -> None:
        """Adds a bound on a measured value.

        Args:
            name: The name of the measured value.
            value: The measured value.
            limit: The highest value that the target allows.
        """
        self.bounds.append(Bound(name, value, limit))

    def to_text(self) -> str:
        """Formats the table as aligned text with its notes and bounds."""
        cells = [self.columns, *self.rows]
        widths = [
            max(len(str(line[i])) for line in cells)
            for i in range(len(self.columns))
        ]
        lines = [f"## {self.title}"]
        for line in cells:
            padded = [
                str(c).rjust(w) for c, w in zip(line, widths, strict=True)
            ]
            lines.append("  ".join(padded))
        lines += self.notes
        for bound in self.bounds:
            verdict = "met" if bound.is_met else "MISSED"
            lines.append(
                f"bound: {bound.name}: {bound.value:.3f}, at most"
                f" {bound.limit:g}: {verdict}"
            )
        return "\n".join(lines)

    def to_json(self) -> dict[str, typing.Any]:
        """Converts the table to an object for JSON."""
        return {
            "title": self.title,
            "columns": self.columns,
            "rows": self.rows,
            "notes": self.notes,
            "bounds": [
                {
                    "name": bound.name,
                    "value": bound.value,
                    "limit": bound.limit,
                    "met": bound.is_met,
                }
                for bound in self.bounds
            ],
        }
