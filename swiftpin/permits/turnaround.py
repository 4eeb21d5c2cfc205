"""Round-trip time of permits."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

MIN_OBSERVATION_WEIGHT: Final = 0.03
"""Minimum weight of one observation; the first ones have equal weights."""

DEVIATIONS: Final = 4.0
"""Mean deviations added to the mean for the upper bound, as in TCP's retransmission
timer."""


class Turnaround:
    """Estimates for how long permits are outstanding beyond their targets' work.

    A permit is sent to the requesting instance, and its release is sent back. This
    takes a few milliseconds in a small fleet, and tens of them with low bandwidth and
    little CPU capacity.
    """

    def __init__(self) -> None:
        self._count = 0
        self._mean = 0.0
        self._deviation = 0.0

    @property
    def round_trip_bound(self) -> float:
        """Return an upper bound for a permit's round trip, in seconds."""
        return self._mean + DEVIATIONS * self._deviation

    @callback
    def record(self, seconds: float) -> None:
        """Record the round trip of one permit; the first ones count equally."""
        self._count += 1
        weight = max(1 / self._count, MIN_OBSERVATION_WEIGHT)
        self._deviation += weight * (abs(seconds - self._mean) - self._deviation)
        self._mean += weight * (seconds - self._mean)
        if self._count == 1:
            self._deviation = 0.0
