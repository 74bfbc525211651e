"""An event loop whose time jumps to the next timer instead of passing."""

from __future__ import annotations

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's time by the timeout instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.loop = None

    def select(self, timeout=None):
        ready = super().select(0.0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("nothing is left to happen")
        self.loop.now_s += timeout
        return ready


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs tasks without sockets in simulated time."""

    def __init__(self):
        self.now_s = 1000.0
        selector = _JumpingSelector()
        super().__init__(selector)
        selector.loop = self

    def time(self):
        return self.now_s


class SimulatedClock:
    """The clock of a simulated loop; see ports.clock."""

    def __init__(self, loop):
        self._loop = loop

    def now_s(self):
        return self._loop.now_s

    def wall_s(self):
        return self._loop.now_s


def run(create):
    """Runs a coroutine in simulated time.

    Args:
        create: Gets the loop and returns the coroutine.

    Returns:
        The coroutine's result.
    """
    loop = SimulatedLoop()
    try:
        return loop.run_until_complete(create(loop))
    finally:
        loop.close()
