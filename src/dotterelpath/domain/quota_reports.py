"""What daemons tell each other of tenants' quotas."""

from __future__ import annotations

import typing

# The shortest time between two reports, in seconds.
PERIOD_S = 0.1
# The same where less than half of the bytes is left: fewer reports with more
# entries take fewer bytes.
SPARING_PERIOD_S = 0.2
# The longest time between two reports of a serving daemon, in seconds, if the
# bytes allow it.
MIN_HEARTBEAT_S = 0.4
# The most tenants in one report.
MAX_ENTRIES = 64
# The most daemons that a report names as heard.
MAX_HEARD = 256
# The limit of the names and numbers in one report, in bytes. The datagram has
# at most 1,200 bytes, which no network splits.
MAX_ENTRY_BYTES = 800
# Bytes of one entry beside the name, and of a report beside its entries.
ENTRY_BYTES = 24
HEADER_BYTES = 95
# The bytes a second that the reports to all daemons take, and the most at once:
# when callers move, all tenants have news.
BYTES_PER_S = 4000.0
MAX_BYTES = 16000.0
# Heartbeats take this part of the bytes.
HEARTBEAT_PART = 0.5
# The entries of a report get at least these bytes.
MIN_ENTRY_BYTES = 80
# The entries of a heartbeat get at most these bytes if other reports follow: it
# names one tenant, by which the sender is known to have requests.
BEAT_ENTRY_BYTES = 40

Entry = tuple[str, float, int]


class Header:
    """Identifies a report and acknowledges the receiver's."""

    __slots__ = ("acknowledged", "heard", "run", "sequence")

    def __init__(
        self,
        run: int,
        sequence: int,
        acknowledged: int = 0,
        heard: typing.Sequence[str] | None = None,
    ) -> None:
        """Creates a header.

        Args:
            run: A number that tells the sender's processes apart.
            sequence: The number of the report, which increases.
            acknowledged: The receiver's last report that the sender has; 0 if
                it has none.
            heard: The daemons that the sender has contact with; None if the
                report does not name them.
        """
        self.run = run
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.heard = heard


class Report:
    """What a daemon tells the others of its tenants."""

    __slots__ = ("acknowledgements", "entries", "header", "receivers")

    def __init__(
        self,
        header: Header,
        entries: list[Entry],
        acknowledgements: dict[str, int],
        receivers: frozenset[str] | None = None,
    ) -> None:
        """Creates a report.

        Args:
            header: The header, without an acknowledgement.
            entries: The name, the demand in requests a second and the count of
                admitted requests of each tenant.
            acknowledgements: The number of the last report of each other
                daemon, which only that daemon gets.
            receivers: The serving daemons that get the report; None for all.
        """
        self.receivers = receivers
        self.header = header
        self.entries = entries
        self.acknowledgements = acknowledgements

    def header_for(self, receiver: str) -> Header:
        """Returns the header with the receiver's acknowledgement.

        Args:
            receiver: The daemon that gets the report.
        """
        header = self.header
        return Header(
            header.run,
            header.sequence,
            self.acknowledgements.get(receiver, 0),
            header.heard,
        )


def entry_bytes(name: str) -> int:
    """Returns the most bytes of an entry; JSON may escape characters.

    Args:
        name: The name of the tenant.
    """
    if name.isprintable() and '"' not in name and "\\" not in name:
        return len(name.encode()) + ENTRY_BYTES
    return 6 * len(name) + ENTRY_BYTES


def heartbeat_s(receivers: int) -> float:
    """Returns the longest time between two reports, in seconds.

    Args:
        receivers: How many daemons get the reports.
    """
    bytes_per_s = BYTES_PER_S * HEARTBEAT_PART
    size = HEADER_BYTES + BEAT_ENTRY_BYTES
    return max(MIN_HEARTBEAT_S, size * receivers / bytes_per_s)
