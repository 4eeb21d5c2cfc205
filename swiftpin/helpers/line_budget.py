"""Bound on the lines that are written in a second."""

from __future__ import annotations

import math

from swiftpin.core import callback


class LineBudget:
    """Lets so many lines, and bytes, a second through and counts what it leaves out."""

    def __init__(self, most: int, *, most_bytes: float = math.inf) -> None:
        self.left_out = 0
        self._most = most
        self._most_bytes = most_bytes
        self._second = 0
        self._written = 0
        self._bytes = 0
        self._told = 0

    @callback
    def take(self, now: float, size: int = 0, *, share: float = 1.0) -> bool:
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
            self._written + 1 > self._most * share
            or self._bytes + size > self._most_bytes * share
        ):
            self.left_out += 1
            return False
        self._written += 1
        self._bytes += size
        return True

    @callback
    def take_left_out(self) -> int:
        """Return how many were left out since the last call."""
        count = self.left_out - self._told
        self._told = self.left_out
        return count
