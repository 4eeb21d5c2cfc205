"""Histogram of observed durations."""

from __future__ import annotations

from bisect import bisect_left

from swiftpin.core import callback


class Histogram:
    """Counts of values by bucket, and their sum; `bounds` are the upper bounds."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.total = 0.0
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)

    @callback
    def observe(self, value: float) -> None:
        """Count a value."""
        self._counts[bisect_left(self._bounds, value)] += 1
        self.total += value

    @callback
    def cumulative(self) -> list[tuple[float, int]]:
        """Return the number of values up to each bound and up to infinity."""
        counts = []
        running_total = 0
        for bound, count in zip(
            (*self._bounds, float("inf")), self._counts, strict=True
        ):
            running_total += count
            counts.append((bound, running_total))
        return counts
