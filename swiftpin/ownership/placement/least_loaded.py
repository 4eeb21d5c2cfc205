"""The least utilised target while a decision shifts load."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from swiftpin.ownership.placement.hashing import tie_hash
from swiftpin.ownership.placement.load_table import LoadTable


class LeastLoaded:
    """Heap of the usable targets by utilisation, ties by hash."""

    def __init__(self, table: LoadTable) -> None:
        self._table = table
        self._heap = [self._entry(target) for target in table.capacity_by_target]
        heapify(self._heap)

    def choose(self) -> str:
        """Return the least utilised target."""
        # An entry is out of date once its target's load was shifted; `note` pushed a
        # new one then. Taking an old one would send everything to one target.
        while True:
            utilisation, _, target_id = self._heap[0]
            if utilisation == self._table.utilisation(target_id):
                return target_id
            heappop(self._heap)

    def note(self, target_id: str) -> None:
        """Take in that the target's load changed."""
        heappush(self._heap, self._entry(target_id))

    def _entry(self, target_id: str) -> tuple[float, int, str]:
        """Return the heap entry of the target."""
        utilisation = self._table.utilisation(target_id)
        return (utilisation, tie_hash("least", target_id), target_id)
