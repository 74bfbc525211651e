"""Idempotency keys that name the daemon which keeps their outcome.

An issued key is ``dk1.HOME.INCARNATION.EPOCH.UNIQUE``. The part up to the last
dot comes from an address answer; the caller appends a unique part. EPOCH counts
``EPOCH_S`` periods since the home started, so that a home judges a key's age by
its own monotonic clock.
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
    """One life of a daemon, as the keeper of keys' outcomes."""

    __slots__ = ("daemon_id", "incarnation")

    def __init__(self, daemon_id: str, incarnation: str) -> None:
        """Creates a home.

        Args:
            daemon_id: The daemon's id.
            incarnation: A value, in hexadecimal, that is new and greater at
                each start.
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
        """Names the home for logs."""
        return f"{self.daemon_id}.{self.incarnation}"


class IssuedKey:
    """A key whose prefix was issued by this fleet."""

    __slots__ = ("epoch", "home", "unique")

    def __init__(self, home: Home, epoch: int, unique: str) -> None:
        """Creates an issued key.

        Args:
            home: The daemon that keeps the outcome.
            epoch: The home's epoch when the prefix was issued.
            unique: The caller's own part.
        """
        self.home = home
        self.epoch = epoch
        self.unique = unique


def new_incarnation(wall_s: float, nonce: int) -> str:
    """Names one life of a daemon.

    Args:
        wall_s: When it starts, in seconds of wall-clock time.
        nonce: A random number below 65536, should two starts coincide.

    Returns:
        Hexadecimal digits that grow from start to start.
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
    """Converts an uptime into an epoch.

    Args:
        uptime_s: Seconds since the daemon started.

    Returns:
        The number of whole epochs.
    """
    return int(uptime_s / EPOCH_S)


def parse(key: str) -> IssuedKey | None:
    """Reads a key.

    Args:
        key: The value of the Idempotency-Key header.

    Returns:
        The issued key, or None for a key that the caller made itself.

    Raises:
        DotterelpathError: The key is too long, has characters outside
            printable ASCII, or looks issued and is malformed.
    """
    if len(key) > MAX_KEY_LENGTH or not _PRINTABLE.match(key):
        raise errors.DotterelpathError(
            errors.ResultCode.KEY_MALFORMED,
            f"a key has 1 to {MAX_KEY_LENGTH} printable ASCII characters",
        )
    if not key.startswith(_SCHEME + "."):
        return None
    match = _ISSUED.match(key)
    if match is None:
        raise errors.DotterelpathError(
            errors.ResultCode.KEY_MALFORMED,
            "an issued prefix needs 8 to 80 characters of A-Z a-z 0-9 _ -"
            " after it",
        )
    daemon_id, incarnation, number, unique = match.groups()
    return IssuedKey(Home(daemon_id, incarnation), int(number), unique)
