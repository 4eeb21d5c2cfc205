"""Rate limit of the permits for cold targets."""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import Final

from swiftpin.core import callback

EARLY_GRANT_TOLERANCE: Final = 0.05
"""Seconds by which a permit may be granted early, since queues are checked at this
interval only."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdTarget:
    """State of a cold target and its permit rate at one issuer."""

    remaining: float
    """Seconds until the target is warm."""

    rate: float
    """Permits per second that each issuer may grant."""

    max_issuers: int = 1
    """Number of issuers that may grant permits at that rate."""


class ColdLimit:
    """Limits the rate at which one issuer grants permits for a cold target.

    A cold target crashes when it receives many more requests than it can handle.
    """

    __slots__ = ("_next_permit_at", "_period", "_rate", "_warm_at", "max_issuers")

    def __init__(self) -> None:
        self.max_issuers = 1
        self._warm_at = -math.inf
        self._rate = math.inf
        self._next_permit_at = -math.inf
        self._period: float | None = None

    @callback
    def set(self, target: ColdTarget | None, now: float) -> None:
        """Update the state of the target; None means that it is warm."""
        if target is None:
            self._warm_at = -math.inf
            return
        if not self.is_cold(now):
            # Another instance may have granted permits until now.
            self._next_permit_at = now + _interval(target.rate)
        self._warm_at = now + target.remaining
        self._rate = target.rate
        self.max_issuers = target.max_issuers

    @callback
    def set_period(self, period: float | None, starts_in: float, now: float) -> None:
        """Wait for one interval after another issuer may have granted permits.

        `period` identifies the time during which this issuer may grant permits, None if
        it may not; it starts in `starts_in` seconds.
        """
        if period is not None and period == self._period and not starts_in:
            return
        self._period = period
        earliest = now + starts_in + _interval(self._rate)
        self._next_permit_at = max(self._next_permit_at, earliest)

    @callback
    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold."""
        return now < self._warm_at

    @callback
    def remaining(self, now: float) -> float:
        """Return the seconds until the target is warm."""
        return max(self._warm_at - now, 0.0)

    @callback
    def rate(self, now: float) -> float:
        """Return the permits per second, infinite when the target is warm."""
        return self._rate if self.is_cold(now) and self._rate else math.inf

    @callback
    def time_until_permit(self, now: float) -> float:
        """Return the seconds until the rate allows the next permit."""
        if not self.is_cold(now):
            return 0.0
        if not self._rate:
            return self.remaining(now)
        return min(max(self._next_permit_at - now, 0.0), self.remaining(now))

    @callback
    def record(self, now: float) -> None:
        """Record that a permit was granted."""
        if self.is_cold(now):
            earliest = max(self._next_permit_at, now - EARLY_GRANT_TOLERANCE)
            self._next_permit_at = earliest + _interval(self._rate)


@callback
def _interval(rate: float) -> float:
    """Return the seconds between two permits, 0 for a rate of 0."""
    return 1 / rate if rate else 0.0
