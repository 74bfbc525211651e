"""Starts the daemon's tasks and stops the daemon when one fails."""

from __future__ import annotations

import asyncio
import typing

import structlog

from dotterelpath import errors

_log = structlog.get_logger()


class Supervisor:
    """Runs the daemon's tasks until one fails or a stop is requested."""

    __slots__ = ("_failure", "_stopped", "_tasks")

    def __init__(self) -> None:
        """Creates a supervisor without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = asyncio.Event()
        self._failure: BaseException | None = None

    def start(
        self, name: str, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        """Starts a task whose failure stops the daemon.

        Args:
            name: The task's name, for logs.
            work: The coroutine to run.

        Returns:
            The task.
        """
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def stop(self) -> None:
        """Makes wait return without an error."""
        self._stopped.set()

    async def wait(self) -> None:
        """Waits until the daemon must stop.

        Raises:
            DotterelpathError: A task failed.
        """
        await self._stopped.wait()
        if self._failure is not None:
            raise errors.DotterelpathError(
                errors.ResultCode.TASK_DIED, repr(self._failure)
            ) from self._failure

    async def cancel_all(self) -> None:
        """Cancels the running tasks and waits for them to end."""
        running = list(self._tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._failure = task.exception()
        _log.error(
            "task failed", task=task.get_name(), error=repr(self._failure)
        )
        self._stopped.set()
