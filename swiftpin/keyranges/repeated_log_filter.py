"""Suppression of repeated log lines."""

from __future__ import annotations

import math

from swiftpin.core import callback


class RepeatedLogFilter:
    """Passes a line if its content changed or an interval, in seconds, has elapsed."""

    def __init__(self, interval: float = math.inf) -> None:
        self._interval = interval
        self._last_content: tuple[str, ...] | None = None
        self._logged_at = -math.inf

    @callback
    def should_log(self, now: float, *content: str) -> bool:
        """Return whether to write a line; if so, remember its content and time."""
        if content == self._last_content and now - self._logged_at < self._interval:
            return False
        self._last_content = content
        self._logged_at = now
        return True
