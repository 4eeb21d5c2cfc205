"""One timer that is set to the earliest of many moments."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from swiftpin.core import callback

TIMER_SLACK: Final = 0.001
"""Seconds by which the timer is late, so that it never fires just too early."""


class WakeTimer:
    """Calls an action at the earliest moment set; one event-loop timer at most."""

    __slots__ = ("_action", "_at", "_handle")

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action
        self._at = float("inf")
        self._handle: asyncio.TimerHandle | None = None

    @callback
    def set(self, at: float, now: float) -> None:
        """Call the action at a moment (monotonic seconds) unless an earlier is set."""
        if at >= self._at:
            return
        self.cancel()
        self._at = at
        delay = max(at - now, 0.0) + TIMER_SLACK
        self._handle = asyncio.get_running_loop().call_later(delay, self._fire)

    @callback
    def cancel(self) -> None:
        """Forget the moment."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None
        self._at = float("inf")

    def _fire(self) -> None:
        """Call the action; it may set the next moment."""
        self.cancel()
        self._action()
