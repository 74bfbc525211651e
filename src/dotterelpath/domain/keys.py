"""Idempotency keys that name the daemon which records their outcome.

An issued key has the form ``dk1.HOME.INCARNATION.EPOCH.UNIQUE``. The fleet
issues the part up to the last dot together with addresses; the caller appends
a unique part. EPOCH counts periods of ``EPOCH_S`` seconds since the start of
the home, so that the home can tell a key's age by its own monotonic clock.
"""

from __future__ import annotations

import re

from dotterelpath import errors

EPOCH_S = 10.0
MAX_KEY_LENGTH = 200
_SCHEME = "dk1"
_PRINTABLE = re.compile(r"[\x21-\x7e]+\Z")
_ISSUED = re.compile(
    r"dk1\.([A-Za-z0-9_-]{1,64})\.([0-9a-f]{1,16})\.([0-9]{1,9})\."
    r"([A-Za-z0-9_-]{8,80})\Z"
)


class Home:
    """One run of a daemon's process, identified by its incarnation.

    The home of a key is the run that holds the record of the key's outcome.
    """

    __slots__ = ("daemon_id", "incarnation")

    def __init__(self, daemon_id: str, incarnation: str) -> None:
        """Creates a home.

        Args:
            daemon_id: The daemon's id.
            incarnation: Hexadecimal digits, greater at each start.
        """
        self.daemon_id = daemon_id
        self.incarnation = incarnation

    def __eq__(self, other: object) -> bool:
        """Compares by daemon and incarnation."""
        if not isinstance(other, Home):
            return NotImplemented
        return (
            self.daemon_id == other.daemon_id
            and self.incarnation == other.incarnation
        )

    def __hash__(self) -> int:
        """Hashes by daemon and incarnation."""
        return hash((self.daemon_id, self.incarnation))

    def __repr__(self) -> str:
        """Formats the home for log lines and status pages."""
        return f"{self.daemon_id}.{self.incarnation}"


class IssuedKey:
    """A parsed key whose prefix was issued by this fleet."""

    __slots__ = ("epoch", "home", "unique")

    def __init__(self, home: Home, epoch: int, unique: str) -> None:
        """Creates an issued key.

        Args:
            home: The home that records the outcome.
            epoch: The home's epoch when the prefix was issued.
            unique: The part that the caller appended.
        """
        self.home = home
        self.epoch = epoch
        self.unique = unique


def new_incarnation(wall_s: float, nonce: int) -> str:
    """Creates the incarnation of a starting daemon.

    Args:
        wall_s: Wall-clock time of the start, in seconds.
        nonce: A random number below 65536, which tells apart two starts in
            the same millisecond.

    Returns:
        Hexadecimal digits, greater at each start.
    """
    return f"{int(wall_s * 1000.0):011x}{nonce:04x}"


def issue_prefix(home: Home, uptime_s: float) -> str:
    """Issues a key prefix.

    Args:
        home: The issuing daemon.
        uptime_s: Seconds since the daemon started.

    Returns:
        The prefix, ending in a dot.
    """
    return (
        f"{_SCHEME}.{home.daemon_id}.{home.incarnation}.{epoch_at(uptime_s)}."
    )


def epoch_at(uptime_s: float) -> int:
    """Returns the epoch at an uptime.

    Args:
        uptime_s: Seconds since the daemon started.

    Returns:
        The number of whole epochs since the start.
    """
    return int(uptime_s / EPOCH_S)


def parse(key: str) -> IssuedKey | None:
    """Parses a key.

    Args:
        key: The value of the Idempotency-Key header.

    Returns:
        The issued key, or None for a key that the caller made itself.

    Raises:
        DotterelpathError: The key is empty, too long or not printable ASCII,
            or has the prefix of an issued key but not its form.
    """
    if len(key) > MAX_KEY_LENGTH or not _PRINTABLE.match(key):
        raise errors.DotterelpathError(
            errors.ResultCode.KEY_MALFORMED,
            f"a key must have 1 to {MAX_KEY_LENGTH} printable ASCII characters"
            f" and no spaces; this one has a length of {len(key)}",
        )
    if not key.startswith(_SCHEME + "."):
        return None
    match = _ISSUED.match(key)
    if match is None:
        raise errors.DotterelpathError(
            errors.ResultCode.KEY_MALFORMED,
            f"a key that starts with {_SCHEME}. must be an issued prefix and 8"
            " to 80 characters of A-Z a-z 0-9 _ -",
        )
    daemon_id, incarnation, number, unique = match.groups()
    return IssuedKey(Home(daemon_id, incarnation), int(number), unique)
