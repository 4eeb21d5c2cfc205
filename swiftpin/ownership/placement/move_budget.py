"""Limit of moves a minute."""

from __future__ import annotations

from collections import deque
from typing import Final

from swiftpin.core import callback

_WINDOW: Final = 60.0


class MoveBudget:
    """Allows `moves_per_minute` moves in any 60 seconds.

    A bucket that refills would allow up to twice as many in a window after a quiet
    time; the times of the last moves are few enough to keep.
    """

    def __init__(self, moves_per_minute: int) -> None:
        self._limit = moves_per_minute
        self._moves: deque[tuple[float, int]] = deque()
        self._spent = 0

    @callback
    def available(self, now: float) -> int:
        """Return how many moves are allowed now."""
        while self._moves and self._moves[0][0] <= now - _WINDOW:
            self._spent -= self._moves.popleft()[1]
        return max(self._limit - self._spent, 0)

    @callback
    def spend(self, count: int, now: float) -> None:
        """Count moves that were begun now."""
        if count <= 0:
            return
        self._moves.append((now, count))
        self._spent += count
