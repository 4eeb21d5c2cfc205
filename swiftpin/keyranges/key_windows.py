"""Selection of neighbouring keys that are moved together."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.segment import Segment


def hottest_window(
    keys: list[int],
    assignment: Assignment,
    rates_by_key: Mapping[int, float],
    max_load: float,
) -> tuple[int, int] | None:
    """Return the first and last position in `keys` of a window of neighbouring keys.

    The window's load is at most `max_load`. It starts at the hottest key that fits and
    grows towards the nearer neighbour, within one segment, so that few keys are moved
    for much load.
    """
    best = -1
    for position, key in enumerate(keys):
        rate = rates_by_key[key]
        if rate <= max_load and (best < 0 or rate > rates_by_key[keys[best]]):
            best = position
    if best < 0:
        return None
    segment = assignment.segment_of(keys[best])
    low = high = best
    load = rates_by_key[keys[best]]
    while True:
        neighbour = _nearer_neighbour(keys, low, high, segment)
        if neighbour is None or load + rates_by_key[keys[neighbour]] > max_load:
            return low, high
        load += rates_by_key[keys[neighbour]]
        low, high = min(low, neighbour), max(high, neighbour)


def hottest_segment(
    keys: list[int],
    assignment: Assignment,
    rates_by_key: Mapping[int, float],
    max_load: float,
) -> tuple[int, int] | None:
    """Return positions in `keys` of the busiest segment with at most `max_load`."""
    best: tuple[int, int] | None = None
    best_load = 0.0
    low = 0
    while low < len(keys):
        high = bisect_right(keys, assignment.segment_of(keys[low]).last) - 1
        load = sum(rates_by_key[key] for key in keys[low : high + 1])
        if best_load < load <= max_load:
            best, best_load = (low, high), load
        low = high + 1
    return best


def _nearer_neighbour(
    keys: list[int], low: int, high: int, segment: Segment
) -> int | None:
    """Return the position of the nearer adjacent key in the segment, None if none."""
    below = low - 1 if low > 0 and keys[low - 1] >= segment.first else None
    above = (
        high + 1 if high + 1 < len(keys) and keys[high + 1] <= segment.last else None
    )
    if below is None or above is None:
        return above if below is None else below
    if keys[low] - keys[below] < keys[above] - keys[high]:
        return below
    return above
