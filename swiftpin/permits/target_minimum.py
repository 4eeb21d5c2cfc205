"""Smallest of a value per target."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import Final

from swiftpin.core import callback

MIN_OUTDATED_ENTRIES: Final = 64
"""Outdated heap entries that are always tolerated."""


class TargetMinimum:
    """Finds the target with the smallest value in logarithmic time.

    Replaced entries stay in the heap until they are first or become too many.
    """

    def __init__(self) -> None:
        self._values_by_target: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    @callback
    def set(self, target: str, value: float) -> None:
        """Add a target, or replace its value."""
        if self._values_by_target.get(target) == value:
            return
        self._values_by_target[target] = value
        heappush(self._heap, (value, target))
        if len(self._heap) > 3 * len(self._values_by_target) + MIN_OUTDATED_ENTRIES:
            self._heap = [
                (value, target) for target, value in self._values_by_target.items()
            ]
            heapify(self._heap)

    @callback
    def remove(self, target: str) -> None:
        """Remove a target, if it is contained."""
        self._values_by_target.pop(target, None)

    @callback
    def first(self) -> tuple[float, str] | None:
        """Return the smallest value and its target, None without targets."""
        heap, values = self._heap, self._values_by_target
        while heap:
            value, target = heap[0]
            if values.get(target) == value:
                return heap[0]
            heappop(heap)
        return None
