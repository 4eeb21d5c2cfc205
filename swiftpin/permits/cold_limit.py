"""Limit of the permits for targets that are cold."""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import Final

from swiftpin.core import callback

EARLY_GRANT_TOLERANCE: Final = 0.05
"""Seconds by which a permit may be given before its turn: queues are looked at that
often."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdTarget:
    """What an issuer knows of a target that is cold."""

    remaining: float
    """Seconds for which it is still cold."""

    rate: float
    """Permits a second that the issuer may give; 0 leaves them to other instances."""


class ColdLimit:
    """Spaces the permits that one instance issues for a target while it is cold.

    A cold target that gets many more requests than it bears crashes.
    """

    __slots__ = ("_next_at", "_rate", "_warm_at")

    def __init__(self) -> None:
        self._warm_at = -math.inf
        self._rate = math.inf
        self._next_at = -math.inf

    @callback
    def set(self, target: ColdTarget | None, now: float) -> None:
        """Take what is known of the target, None when it is warm."""
        if target is None:
            self._warm_at = -math.inf
            return
        if not self.is_cold(now):
            # Another instance may have issued permits until now.
            self._next_at = now + _interval(target.rate)
        self._warm_at = now + target.remaining
        self._rate = target.rate

    @callback
    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold."""
        return now < self._warm_at

    @callback
    def rate(self, now: float) -> float:
        """Return the permits a second, infinite when the target is warm."""
        return self._rate if self.is_cold(now) and self._rate else math.inf

    @callback
    def time_until_permit(self, now: float) -> float:
        """Return the seconds until a permit may be given."""
        if not self.is_cold(now):
            return 0.0
        left = self._warm_at - now
        return min(max(self._next_at - now, 0.0), left) if self._rate else left

    @callback
    def record(self, now: float) -> None:
        """Note that a permit was given."""
        if self.is_cold(now) and self._rate:
            earliest = max(self._next_at, now - EARLY_GRANT_TOLERANCE)
            self._next_at = earliest + _interval(self._rate)


@callback
def _interval(rate: float) -> float:
    """Return the seconds between two permits."""
    return 1 / rate if rate else 0.0
