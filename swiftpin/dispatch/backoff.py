"""Times to wait between tries."""

from __future__ import annotations

from random import Random

from swiftpin.core import callback


class Backoff:
    """Exponential back-off with full jitter; `base` and `cap` in seconds.

    Full jitter spreads the tries of many clients that failed at one moment over the
    whole interval, so that they do not come back together.
    """

    __slots__ = ("_base", "_cap", "_rng")

    def __init__(self, base: float, cap: float, rng: Random) -> None:
        self._base = base
        self._cap = cap
        self._rng = rng

    @callback
    def delay(self, attempt: int) -> float:
        """Return the seconds to wait after the attempt, counted from 1."""
        longest = self._base * 2.0 ** min(attempt - 1, 30)
        return self._rng.uniform(0.0, min(self._cap, longest))
