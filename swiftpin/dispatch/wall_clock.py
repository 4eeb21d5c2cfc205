"""Wall time, for what outlives a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Self

CLOCK_SKEW: Final = 60.0
"""Seconds by which the wall clocks of two instances may differ."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WallClock:
    """Maps monotonic seconds to wall milliseconds since the epoch and back.

    The offset is taken once, so that a step of the system's clock does not make
    records of a running process older or younger.
    """

    offset: float

    @classmethod
    def from_times(cls, *, wall: float, monotonic: float) -> Self:
        """Return the clock at whose making both times, in seconds, were read."""
        return cls(offset=wall - monotonic)

    def to_wall(self, now: float) -> int:
        """Return the wall time in milliseconds."""
        return int((now + self.offset) * 1000)

    def to_monotonic(self, wall: int, now: float) -> float:
        """Return when something was stamped, late by the skew, never after now.

        Another instance's clock may run behind ours. Without the skew its records
        would look older than they are, and be forgotten early.
        """
        return min(wall / 1000 - self.offset + CLOCK_SKEW, now)
