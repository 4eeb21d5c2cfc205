"""Transmission time that is due at an instance's link."""

from __future__ import annotations

import math

from swiftpin.core import callback


class LinkBacklog:
    """Bytes that the link still has to transmit to callers, as seconds.

    Answers share the link evenly, so one is delayed at most by as much of each other
    answer as it has itself. A short answer is transmitted soon beside many long ones.
    """

    def __init__(self, bandwidth: float) -> None:
        self._bandwidth = bandwidth
        self._idle_at = -math.inf

    @callback
    def add(self, size: float, now: float) -> None:
        """Add bytes that are due; a negative number removes bytes."""
        start = max(self._idle_at, now)
        self._idle_at = max(start + size / self._bandwidth, now)

    @callback
    def seconds(self, now: float) -> float:
        """Return the seconds until all bytes that are due are transmitted."""
        return max(self._idle_at - now, 0.0)

    @callback
    def excess(self, size: float, answers: int, time_left: float, now: float) -> float:
        """Return the seconds until an answer can be transmitted in its time.

        It is transmitted beside `answers` others. An answer that needs more time than
        it has even alone waits until the link is idle.
        """
        own = size / self._bandwidth
        spare = max(time_left - own, 0.0)
        backlog = self.seconds(now)
        return 0.0 if min(backlog, own * answers) <= spare else backlog - spare
