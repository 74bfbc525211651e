"""The port for the encodings of what the store keeps."""

from __future__ import annotations

import typing

from dotterelpath.domain import document
from dotterelpath.domain import ledger


class DocumentCodec(typing.Protocol):
    """Reads and writes sections, heads and ledgers."""

    def parse_section(self, name: str, text: str) -> document.Section:
        """Reads a section.

        Args:
            name: The section's name.
            text: The operators' text.

        Raises:
            DotterelpathError: The text is not valid; the detail names the
                section, the line or path, and the rule.
        """

    def encode_head(self, head: document.Head) -> str:
        """Writes a head.

        Args:
            head: The head.
        """

    def decode_head(self, text: str) -> document.Head:
        """Reads a head.

        Args:
            text: What encode_head wrote.

        Raises:
            ValueError: The text is not a head.
        """

    def encode_ledger(self, value: ledger.Ledger) -> str:
        """Writes a ledger without its revision.

        Args:
            value: The ledger.
        """

    def decode_ledger(
        self, service: str, text: str, revision: int
    ) -> ledger.Ledger:
        """Reads a ledger.

        Args:
            service: The service.
            text: What encode_ledger wrote.
            revision: The store's revision of it.

        Raises:
            ValueError: The text is not a ledger.
        """
