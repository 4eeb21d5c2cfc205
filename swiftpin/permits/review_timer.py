"""Timer for the postponed review of waiting requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from swiftpin.core import callback


class ReviewTimer:
    """Calls a function once after a delay, if an event loop is running.

    Without it, a postponed rejection would wait for the next event of its queue. Times
    are on the clock of the caller.
    """

    def __init__(self, on_due: Callable[[float], None]) -> None:
        self._on_due = on_due
        self._is_started = False

    @callback
    def start(self, delay: float, now: float) -> None:
        """Start the timer unless it is running."""
        if self._is_started:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._is_started = True
        loop.call_later(delay, self._fire, now - loop.time())

    @callback
    def _fire(self, clock_offset: float) -> None:
        """Call the function with the present time."""
        self._is_started = False
        self._on_due(asyncio.get_running_loop().time() + clock_offset)
