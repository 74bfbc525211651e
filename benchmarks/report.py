"""Tables of benchmarks, with bounds."""

from __future__ import annotations

import typing


class Bound:
    """A figure and the target that it is held against."""

    __slots__ = ("limit", "name", "value")

    def __init__(self, name: str, value: float, limit: float) -> None:
        """Creates a bound.

        Args:
            name: What is bounded.
            value: The measured figure.
            limit: The most that the stated target allows.
        """
        self.name = name
        self.value = value
        self.limit = limit

    @property
    def is_met(self) -> bool:
        """Whether the figure is within the target."""
        return self.value <= self.limit


class Table:
    """The result of one benchmark."""

    __slots__ = ("bounds", "columns", "notes", "rows", "title")

    def __init__(self, title: str, columns: tuple[str, ...]) -> None:
        """Creates an empty table.

        Args:
            title: What was measured.
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
            *cells: One cell for each column.
        """
        self.rows.append(cells)

    def add_note(self, text: str) -> None:
        """Adds a line below the table.

        Args:
            text: The line.
        """
        self.notes.append(text)

    def add_bound(self, name: str, value: float, limit: float) -> None:
        """Holds a figure against its target.

        Args:
            name: What is bounded.
            value: The measured figure.
            limit: The most that the stated target allows.
        """
        self.bounds.append(Bound(name, value, limit))

    def to_text(self) -> str:
        """Renders the table for people."""
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
        """Builds the table for machines."""
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
