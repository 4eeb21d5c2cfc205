"""Times from which there is capacity for requests that were refused."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

MIN_RETRY_AFTER: Final = 0.1
MAX_RETRY_AFTER: Final = 10.0
"""Seconds; a caller has 9 s at most."""

RATE_PERIOD: Final = 1.0
"""Seconds over which freed bytes are counted."""

RATE_WEIGHT: Final = 0.5
"""Weight of the last period in the moving average."""

LONGEST_DELIVERY: Final = 64.0
"""Seconds in which a caller that reads 4 kB/s takes a whole buffer."""


class ReturnTimes:
    """Spreads the returns of refused callers over the times at which bytes are freed.

    The sum of the bytes of all callers that were told the same time is at most what is
    freed until then. Only for callers that would be told more than 10 s it is not.
    """

    def __init__(self, limit: float) -> None:
        self._min_rate = limit / LONGEST_DELIVERY
        self._rate = self._min_rate
        self._freed = 0.0
        self._period_began_at: float | None = None
        self._taken_until = 0.0

    @callback
    def record_freed(self, size: float) -> None:
        """Record bytes that are free again."""
        self._freed += size

    @callback
    def retry_after(self, size: float, now: float) -> float:
        """Return the seconds after which there is room for a request."""
        self._update_rate(now)
        until = max(self._taken_until, now) + size / max(self._rate, 1.0)
        self._taken_until = min(until, now + MAX_RETRY_AFTER)
        return min(max(until - now, MIN_RETRY_AFTER), MAX_RETRY_AFTER)

    @callback
    def _update_rate(self, now: float) -> None:
        """Update the bytes that are freed per second."""
        if self._period_began_at is None:
            self._period_began_at = now
        elapsed = now - self._period_began_at
        if elapsed < RATE_PERIOD:
            return
        rate = self._freed / elapsed
        mean = self._rate + RATE_WEIGHT * (rate - self._rate)
        self._rate = max(mean, self._min_rate)
        self._freed = 0.0
        self._period_began_at = now
