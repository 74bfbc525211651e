"""The task that applies changes of the settings file."""

from __future__ import annotations

import asyncio
import pathlib
import typing

import structlog

from dotterelpath.domain import bounds as bounds_domain
from dotterelpath.domain import deployment
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox

# How often the file is checked, in seconds; it may change without a signal.
POLL_INTERVAL_S = 1.0

_log = structlog.get_logger()

Parser = typing.Callable[[bytes], deployment.Deployment]


class SettingsWatcher:
    """Reads the settings file again when it has changed.

    Invalid settings are ignored. Changed addresses take effect only when the
    process is restarted.
    """

    __slots__ = (
        "_bounds",
        "_content",
        "_file_stamp",
        "_parse",
        "_path",
        "_subscribers",
        "_wake",
    )

    def __init__(
        self,
        path: pathlib.Path,
        content: bytes,
        bounds: bounds_domain.Bounds,
        parse: Parser,
        subscribers: tuple[mailbox.Mailbox[typing.Any], ...],
    ) -> None:
        """Creates the task's state.

        Args:
            path: The path of the file.
            content: The content of the file when the daemon started.
            bounds: The limits in that content.
            parse: Parses the content; raises ValueError if it is invalid.
            subscribers: The mailboxes that get the changed limits.
        """
        self._path = path
        self._content = content
        self._bounds = bounds
        self._parse = parse
        self._subscribers = subscribers
        # Unknown, since the file may have changed after it was read.
        self._file_stamp: tuple[int, int] | None = None
        self._wake = asyncio.Event()

    @property
    def bounds(self) -> bounds_domain.Bounds:
        """The limits in force."""
        return self._bounds

    def reload(self) -> None:
        """Reads the file at once, even if its time and size are unchanged."""
        _log.info("reload requested")
        self._wake.set()

    async def run(self) -> None:
        """Checks the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                stamp = _file_stamp(self._path)
                if stamp == self._file_stamp:
                    continue
                self._file_stamp = stamp
            self._wake.clear()
            self.reread()

    def reread(self) -> None:
        """Puts the content of the file into force if it is new and valid."""
        try:
            content = self._path.read_bytes()
            if content == self._content:
                return
            changed = self._parse(content)
        except (OSError, ValueError) as error:
            _log.warning("settings refused", error=str(error))
            return
        self._content = content
        self._bounds = changed.bounds
        _log.info("settings in force")
        for subscriber in self._subscribers:
            subscriber.force(fleet_events.BoundsChanged(changed.bounds))


def _file_stamp(path: pathlib.Path) -> tuple[int, int] | None:
    try:
        found = path.stat()
    except OSError:
        return None
    return (found.st_mtime_ns, found.st_size)
