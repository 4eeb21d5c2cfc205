"""The least or most utilised target while a decision shifts load."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from swiftpin.ownership.placement.load_table import LoadTable


class LoadHeap:
    """Heap of the usable targets by utilisation, ties by id.

    The first is the least utilised, with `most` the most utilised one.
    """

    def __init__(self, table: LoadTable, *, most: bool = False) -> None:
        self._table = table
        self._sign = -1.0 if most else 1.0
        self._dropped: set[str] = set()
        self._heap = [self._entry(target) for target in table.capacity_by_target]
        heapify(self._heap)

    def first(self) -> str | None:
        """Return the first target, None when all were dropped."""
        # An entry is out of date once its target's load was shifted; `note` pushed a
        # new one then. Taking an old one would send everything to one target.
        while self._heap:
            key, target_id = self._heap[0]
            if target_id not in self._dropped and key == self._key(target_id):
                return target_id
            heappop(self._heap)
        return None

    def note(self, target_id: str) -> None:
        """Take in that the target's load changed; a dropped one comes back."""
        self._dropped.discard(target_id)
        heappush(self._heap, self._entry(target_id))

    def drop(self, target_id: str) -> None:
        """Leave the target out until its load changes."""
        self._dropped.add(target_id)

    def _key(self, target_id: str) -> float:
        """Return the utilisation as the heap orders it."""
        return self._sign * self._table.utilisation(target_id)

    def _entry(self, target_id: str) -> tuple[float, str]:
        """Return the heap entry of the target."""
        return (self._key(target_id), target_id)
