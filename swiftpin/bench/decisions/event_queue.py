"""Simulated time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class EventQueue:
    """Calls functions at their times, in order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Have a function called after some time."""
        heappush(self._events, (self.now + seconds, next(self._numbers), call))

    def run(self, until: float) -> None:
        """Call what is due up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heappop(self._events)
            call()
        self.now = until
