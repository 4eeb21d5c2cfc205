"""Bound on the lines that are written in a second."""

from __future__ import annotations

from swiftpin.core import callback


class LineBudget:
    """Lets `most` lines a second through and counts those that it leaves out."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._second = 0
        self._written = 0
        self._left_out = 0

    @callback
    def take(self, now: float) -> bool:
        """Return whether another line fits into the second of a monotonic time."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= self._most:
            self._left_out += 1
            return False
        self._written += 1
        return True

    @callback
    def take_left_out(self) -> int:
        """Return how many were left out since the last call."""
        left_out, self._left_out = self._left_out, 0
        return left_out
