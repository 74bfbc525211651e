"""The port that encodes documents and ledgers for the store."""

from __future__ import annotations

import typing

from dotterelpath.domain import document
from dotterelpath.domain import ledger


class DocumentCodec(typing.Protocol):
    """Parses sections; encodes and decodes document heads and ledgers."""

    def parse_section(self, name: str, text: str) -> document.Section:
        """Parses and validates a section.

        Args:
            name: The section's name.
            text: The text that the operators wrote.

        Raises:
            DotterelpathError: The text is invalid; the detail names the
                section, the line or path, and the violated rule.
        """

    def encode_head(self, head: document.Head) -> str:
        """Encodes the head of the document.

        Args:
            head: The head.
        """

    def decode_head(self, text: str) -> document.Head:
        """Decodes the head of the document.

        Args:
            text: The output of encode_head.

        Raises:
            ValueError: The text is not a head.
        """

    def encode_ledger(self, value: ledger.Ledger) -> str:
        """Encodes a ledger without its revision, which the store assigns.

        Args:
            value: The ledger.
        """

    def decode_ledger(
        self, service: str, text: str, revision: int
    ) -> ledger.Ledger:
        """Decodes a ledger.

        Args:
            service: The service.
            text: The output of encode_ledger.
            revision: The ledger's revision in the store.

        Raises:
            ValueError: The text is not a ledger.
        """
