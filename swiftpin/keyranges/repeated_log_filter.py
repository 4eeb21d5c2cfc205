"""When a log line about the same thing is written again."""

from __future__ import annotations

import math

from swiftpin.core import callback


class RepeatedLogFilter:
    """Lets a line through when what it tells changed, or after an interval."""

    def __init__(self, interval: float = math.inf) -> None:
        self._interval = interval
        self._told: tuple[str, ...] | None = None
        self._told_at = -math.inf

    @callback
    def should_log(self, now: float, *told: str) -> bool:
        """Return whether to write a line now; note that it is written then."""
        if told == self._told and now - self._told_at < self._interval:
            return False
        self._told = told
        self._told_at = now
        return True
