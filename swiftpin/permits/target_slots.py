"""Use of one target's slots."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

FIRST_TIME: Final = 0.2
"""Seconds assumed for a request before any was seen."""

WEIGHT: Final = 0.12
"""Weight of one observed time: a target that turns slow shows after a few requests."""

FAILURE_PAUSE: Final = 0.6
"""Seconds for which a target that failed is passed over where another will do."""


@dataclass(kw_only=True, slots=True)
class TargetSlots:
    """Requests that run at a target by permits given here, and how long they take."""

    limit: int
    zone: str = ""
    running: int = 0
    mean_time: float = FIRST_TIME
    avoided_until: float = 0.0
    recent_failures: deque[float] = field(default_factory=lambda: deque(maxlen=8))

    @property
    def is_free(self) -> bool:
        """Return whether a request would run at once."""
        return self.running < self.limit

    def note_time(self, seconds: float) -> None:
        """Take an observed time."""
        self.mean_time += WEIGHT * (seconds - self.mean_time)
        self.recent_failures.clear()

    def note_failure(self, now: float) -> None:
        """Take a failure; the longer they go on, the longer the target is avoided."""
        self.recent_failures.append(now)
        self.avoided_until = now + FAILURE_PAUSE * len(self.recent_failures)
