"""Limit of the retries of one service."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

BURST_SECONDS: Final = 10.0
"""Seconds of the steady rate that may be saved up."""
BURST_TRIES: Final = 1000
"""First tries whose share may be saved up."""


class RetryBudget:
    """Token bucket filled by a share of the first tries and by a steady rate.

    Without it each layer's retries multiply the load of targets that fail because
    of their load, and keep them failing. `ratio` is the share, `min_per_second` the
    rate that lets a quiet service retry at all.
    """

    __slots__ = ("_cap", "_filled_at", "_min_per_second", "_ratio", "_tokens")

    def __init__(self, ratio: float, min_per_second: float, now: float) -> None:
        self._ratio = ratio
        self._min_per_second = min_per_second
        self._cap = min_per_second * BURST_SECONDS + ratio * BURST_TRIES
        self._tokens = min_per_second * BURST_SECONDS
        self._filled_at = now

    @callback
    def record_first_try(self) -> None:
        """Count a request that is not a retry."""
        self._tokens = min(self._tokens + self._ratio, self._cap)

    @callback
    def spend(self, now: float) -> bool:
        """Take a retry out of the budget; False when none is left."""
        elapsed = max(now - self._filled_at, 0.0)
        self._filled_at = max(now, self._filled_at)
        refill = elapsed * self._min_per_second
        self._tokens = min(self._tokens + refill, self._cap)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
