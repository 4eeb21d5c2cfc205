"""Bound on the requests that a target with a rate limit may receive."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from typing import Final

WINDOW: Final = 4.0
RATE_FACTOR: Final = 1.5
EXTRA_REQUESTS: Final = 5


def max_requests(limit: float) -> float:
    """Return the requests that a target may receive within any window."""
    return RATE_FACTOR * limit * WINDOW + EXTRA_REQUESTS


def most_in_window(
    arrivals: Sequence[float], since: float, window: float = WINDOW
) -> int:
    """Return the arrivals in the worst window that ends at or after `since`."""
    arrivals = sorted(arrivals)
    counts = [
        index + 1 - bisect_left(arrivals, arrival - window)
        for index, arrival in enumerate(arrivals)
        if arrival >= since
    ]
    return max(counts, default=0)
