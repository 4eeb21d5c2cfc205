"""Rate of the slots that went to requests which others have to let pass."""

from __future__ import annotations

from collections import Counter, deque
import math
from typing import Final

from swiftpin.core import callback

WINDOW: Final = 1.0
"""Seconds over which grants are counted."""

DEVIATIONS: Final = 3.0
"""Standard deviations by which future arrivals are assumed to stay below the recent
count. Without a margin, callers are rejected whom a pause in the arrivals would have
served."""


class RecentGrants:
    """Counts the grants of the last window, by priority and chance.

    Requests that wait are left out, since those ahead in a queue are counted there, and
    so are rejected ones, which overtake nobody.
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
        """Return the grants a second to go before a waiting request, at the least.

        For a request that will miss its objective those are all that were in time, and
        late ones of higher priority; for others those of higher priority in time.
        """
        self._prune(now)
        count = sum(
            number
            for (other, other_in_time), number in self._counts.items()
            if (other_in_time and not is_in_time)
            or (other < priority and other_in_time >= is_in_time)
        )
        return max(count - DEVIATIONS * math.sqrt(count), 0.0) / WINDOW

    @callback
    def is_empty(self, now: float) -> bool:
        """Return whether nothing was granted within the window."""
        self._prune(now)
        return not self._grants

    @callback
    def _prune(self, now: float) -> None:
        """Forget what left the window."""
        while self._grants and self._grants[0][0] < now - WINDOW:
            _, priority, is_in_time = self._grants.popleft()
            self._counts[priority, is_in_time] -= 1
