"""Rate limit for log lines."""

from __future__ import annotations

import math

from swiftpin.core import callback


class LineRateLimiter:
    """Limits lines and bytes per second and counts the suppressed lines."""

    def __init__(self, max_lines: int, *, max_bytes: float = math.inf) -> None:
        self.suppressed = 0
        self._max_lines = max_lines
        self._max_bytes = max_bytes
        self._second = 0
        self._lines_this_second = 0
        self._bytes_this_second = 0
        self._reported_count = 0

    @callback
    def allow(self, now: float, size: int = 0, *, share: float = 1.0) -> bool:
        """Return whether a line of `size` bytes may be written at `now`, and count it.

        `now` is a monotonic time. `share` is the fraction of the limits that lines of
        this kind may use; the rest is reserved for other lines.
        """
        second = int(now)
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
            self._bytes_this_second = 0
        if (
            self._lines_this_second + 1 > self._max_lines * share
            or self._bytes_this_second + size > self._max_bytes * share
        ):
            self.suppressed += 1
            return False
        self._lines_this_second += 1
        self._bytes_this_second += size
        return True

    @callback
    def take_suppressed_count(self) -> int:
        """Return the number of lines suppressed since the last call."""
        count = self.suppressed - self._reported_count
        self._reported_count = self.suppressed
        return count
