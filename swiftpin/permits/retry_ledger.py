"""Times at which rejected callers of a key may return."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.permits.retry_spread import (
    MAX_RATE_LIMITED_RETRY_AFTER,
    MIN_RETRY_AFTER,
)


class RetryLedger:
    """Spaces the retries for each key by the time that its owner needs for a request.

    With delays that don't depend on the number of rejected callers, ten times as many
    return in a second as can be served, and most are rejected again.
    """

    def __init__(self) -> None:
        self._next_at_by_key: dict[int, float] = {}

    @callback
    def reserve(
        self, key: int, rate: float, waiting: int, ends_at: float, now: float
    ) -> float:
        """Return the seconds after which a rejected request should be tried again.

        `rate` is the number of requests for the key that are served in a second, of
        which `waiting` are waiting. A request that has ended by then gets no time of
        its own, since its caller won't return.
        """
        earliest_at = now + max(waiting / rate, MIN_RETRY_AFTER)
        due_at = max(self._next_at_by_key.get(key, 0.0), earliest_at)
        if due_at <= ends_at:
            self._next_at_by_key[key] = due_at + 1 / rate
        return min(due_at - now, MAX_RATE_LIMITED_RETRY_AFTER)

    @callback
    def prune(self, now: float) -> None:
        """Drop the keys for which no caller is expected to return."""
        self._next_at_by_key = {
            key: next_at
            for key, next_at in self._next_at_by_key.items()
            if next_at > now
        }
