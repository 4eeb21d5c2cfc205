"""Limiter of the permits for one target that names a rate limit."""

from __future__ import annotations

from collections import deque
import math
from typing import Final

from swiftpin.core import callback

WINDOW: Final = 4.0
"""Seconds within which a target counts its requests."""

MAX_RATE_FACTOR: Final = 1.5
"""Multiple of its limit that a target tolerates within a window."""

MAX_PERMITS_BEYOND_RATE: Final = 3
"""Permits that may be granted beyond that multiple. A target tolerates five requests;
two are kept for permits of earlier issuers and late arrivals."""

INITIAL_TOKENS: Final = 1.0
BURST_TOKENS: Final = 2.0
"""Permits that may be granted at once after a pause."""

GRANT_DELAY: Final = 0.1
"""Seconds for which a permit may become available before it is granted, since queues
are checked periodically."""

MIN_LIMIT: Final = 0.2
"""Minimum rate of permits: only an answer shows that a target's limit has changed."""


class RateLimiter:
    """Token bucket with a hard limit on the permits within a window.

    Permits are recorded even without a limit, because a target counts requests from
    before it named its limit. Limits are at least `MIN_LIMIT`, times are on the event
    loop's clock.
    """

    __slots__ = ("_granted_at", "_period", "_tokens", "_updated_at")

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS
        self._updated_at = -math.inf
        self._period: float | None = None
        self._granted_at: deque[float] = deque()

    @callback
    def set_period(self, period: float | None, starts_in: float, now: float) -> None:
        """Drop saved tokens if another issuer may have granted permits meanwhile.

        `period` identifies the time during which this issuer may be the only one, None
        if it is not. No tokens are saved until it starts in `starts_in` seconds.
        """
        if period is not None and period == self._period and not starts_in:
            return
        self._period = period
        self._tokens = min(self._tokens, INITIAL_TOKENS)
        self._updated_at = now + starts_in

    @callback
    def time_until_permit(self, limit: float, now: float) -> float:
        """Return the seconds until the next permit may be granted."""
        self._refill(limit, now)
        wait_for_token = max(1.0 - self._tokens, 0.0) / limit
        return max(wait_for_token, self._time_until_window_has_room(limit, now))

    @callback
    def record(self, limit: float, now: float) -> None:
        """Record a permit; `limit` is infinite if the target names none."""
        self._granted_at.append(now)
        self._drop_expired(now)
        if not math.isinf(limit):
            self._refill(limit, now)
            self._tokens -= 1.0

    @callback
    def _refill(self, limit: float, now: float) -> None:
        """Add the tokens for the time since the last call."""
        if math.isinf(self._updated_at):
            self._updated_at = now
        elapsed = max(now - self._updated_at, 0.0)
        max_tokens = BURST_TOKENS + limit * GRANT_DELAY
        self._tokens = min(self._tokens + limit * elapsed, max_tokens)
        self._updated_at = max(self._updated_at, now)

    @callback
    def _time_until_window_has_room(self, limit: float, now: float) -> float:
        """Return the seconds until the window has room for a permit."""
        self._drop_expired(now)
        max_permits = int(MAX_RATE_FACTOR * limit * WINDOW) + MAX_PERMITS_BEYOND_RATE
        excess = len(self._granted_at) - max_permits
        return self._granted_at[excess] + WINDOW - now if excess >= 0 else 0.0

    @callback
    def _drop_expired(self, now: float) -> None:
        """Drop the permits that are older than the window."""
        while self._granted_at and self._granted_at[0] <= now - WINDOW:
            self._granted_at.popleft()
