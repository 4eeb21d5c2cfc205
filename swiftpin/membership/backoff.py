"""Growing delays between tries."""

from __future__ import annotations

from random import Random


class Backoff:
    """Delays in seconds that double up to a limit, each cut by chance.

    The cut, down to half, keeps instances that failed together from trying again
    together.
    """

    def __init__(self, random: Random, initial: float, limit: float) -> None:
        self._random = random
        self._initial = initial
        self._limit = limit
        self._delay = initial

    def next_delay(self) -> float:
        """Return the delay before the next try."""
        delay = self._delay * self._random.uniform(0.5, 1.0)
        self._delay = min(self._limit, self._delay * 2)
        return delay

    def reset(self) -> None:
        """Start again from the initial delay."""
        self._delay = self._initial
