"""Rate of recent grants to requests that overtake others."""

from __future__ import annotations

from collections import Counter, deque
import math
from typing import Final

from swiftpin.core import callback

WINDOW: Final = 1.0
"""Seconds over which grants are counted."""

DEVIATIONS: Final = 3.0
"""Standard deviations subtracted from the recent count to estimate future arrivals.
Without this margin, callers are rejected that could be served when arrivals pause."""


class RecentGrants:
    """Counts the grants of the last window by priority and expected timeliness.

    Waiting requests are not counted here, as the queue counts those ahead itself, nor
    are rejected ones, which overtake nobody.
    """

    def __init__(self) -> None:
        self._grants: deque[tuple[float, int, bool]] = deque()
        self._counts: Counter[tuple[int, bool]] = Counter()

    @callback
    def record(self, priority: int, now: float, *, is_in_time: bool) -> None:
        """Count a request that got a slot."""
        self._grants.append((now, priority, is_in_time))
        self._counts[priority, is_in_time] += 1

    @callback
    def min_overtaking_rate(
        self, priority: int, now: float, *, is_in_time: bool
    ) -> float:
        """Return a lower bound for the grants per second that overtake a request.

        A request that will miss its objective is overtaken by all that are in time and
        by late ones of higher priority; one that is in time only by those of higher
        priority that are in time too.
        """
        self._prune(now)
        count = 0
        for (granted_priority, granted_in_time), grants in self._counts.items():
            if (granted_in_time and not is_in_time) or (
                granted_priority < priority and granted_in_time >= is_in_time
            ):
                count += grants
        return max(count - DEVIATIONS * math.sqrt(count), 0.0) / WINDOW

    @callback
    def is_empty(self, now: float) -> bool:
        """Return whether no grant was recorded within the window."""
        self._prune(now)
        return not self._grants

    @callback
    def _prune(self, now: float) -> None:
        """Remove grants that are older than the window."""
        while self._grants and self._grants[0][0] < now - WINDOW:
            _, priority, is_in_time = self._grants.popleft()
            self._counts[priority, is_in_time] -= 1
