"""For how long permits are on their way."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

MIN_OBSERVATION_WEIGHT: Final = 0.03
"""Weight of one permit's time."""

DEVIATIONS: Final = 4.0
"""Mean deviations above the mean for the upper bound, as in TCP's retransmission
timer."""


class Turnaround:
    """Seconds for which a permit is out beyond its target's work.

    It goes to the instance that asked, and its end comes back: some milliseconds in a
    small fleet, tens of them where links are thin and processors small.
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
        """Take one permit's time; the first ones count alike."""
        self._count += 1
        weight = max(1 / self._count, MIN_OBSERVATION_WEIGHT)
        self._deviation += weight * (abs(seconds - self._mean) - self._deviation)
        self._mean += weight * (seconds - self._mean)
        if self._count == 1:
            self._deviation = 0.0
