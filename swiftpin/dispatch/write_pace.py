"""Limit of a journal's writes."""

from __future__ import annotations

from swiftpin.core import callback


class WritePace:
    """One write an interval on average, and a burst of writes that come sooner.

    A lone booking needs two writes in a row, for its record and its outcome; the
    burst keeps the second one from waiting. `interval` is in seconds.
    """

    __slots__ = ("_burst", "_interval", "_next")

    def __init__(self, interval: float, burst: int) -> None:
        self._interval = interval
        self._burst = interval * burst
        self._next = float("-inf")

    @callback
    def pause(self, now: float) -> float:
        """Return how long the next write has to wait in seconds."""
        return max(self._next - self._burst - now, 0.0)

    @callback
    def record_write(self, now: float) -> None:
        """Count a write that starts."""
        self._next = max(self._next, now) + self._interval
