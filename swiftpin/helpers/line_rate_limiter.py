"""Bound on the lines that are written in a second."""

from __future__ import annotations

import math

from swiftpin.core import callback


class LineRateLimiter:
    """Lets so many lines, and bytes, a second through and counts what it leaves out."""

    def __init__(self, max_lines: int, *, max_bytes: float = math.inf) -> None:
        self.suppressed = 0
        self._max_lines = max_lines
        self._max_bytes = max_bytes
        self._second = 0
        self._written = 0
        self._bytes = 0
        self._told = 0

    @callback
    def allow(self, now: float, size: int = 0, *, share: float = 1.0) -> bool:
        """Return whether a line of so many bytes fits into the second of `now`.

        `now` is a monotonic time. `share` is the part of the second's room that lines
        of this sort may fill; the rest is kept for others.
        """
        second = int(now)
        if second != self._second:
            self._second = second
            self._written = 0
            self._bytes = 0
        if (
            self._written + 1 > self._max_lines * share
            or self._bytes + size > self._max_bytes * share
        ):
            self.suppressed += 1
            return False
        self._written += 1
        self._bytes += size
        return True

    @callback
    def take_suppressed_count(self) -> int:
        """Return how many were left out since the last call."""
        count = self.suppressed - self._told
        self._told = self.suppressed
        return count
