"""Targets with room for another request, ranked by expected time."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Collection
from typing import Final

from swiftpin.core import callback
from swiftpin.permits.target_slots import (
    IDLE_SLOT_TOLERANCE,
    MAX_PIPELINED_PERMITS,
    TargetSlots,
)

OTHER_ZONE_FACTOR: Final = 2.0
"""Factor by which a target in another zone must be faster to be preferred: traffic
between zones costs money, and any free target answers within the objective."""


class TargetRanking:
    """Finds the best target of a service without comparing all of them.

    Contains the targets that have no limit and are not avoided after failures. Targets
    are grouped so that the order within a group is the same for all requests; only the
    first targets of the groups are compared. Targets without a free slot are grouped
    by limit as well: in such a group, the fastest target has room for another permit
    if any has.
    """

    def __init__(self) -> None:
        self._free_by_zone: dict[str, list[tuple[float, str]]] = {}
        self._full_by_group: dict[tuple[str, int, int], list[tuple[float, str]]] = {}
        self._entries_by_target: dict[
            str, tuple[list[tuple[float, str]], tuple[float, str]]
        ] = {}

    @callback
    def set(self, target: str, slots: TargetSlots) -> None:
        """Add a target, or update it after its slots have changed."""
        running, limit = len(slots.granted_at_by_request), slots.limit
        if not limit or running >= limit + MAX_PIPELINED_PERMITS:
            self.remove(target)
            return
        if running < limit:
            ranking = self._free_by_zone.setdefault(slots.zone, [])
        else:
            ranking = self._full_by_group.setdefault((slots.zone, limit, running), [])
        entry = (expected_time(slots), target)
        previous = self._entries_by_target.get(target)
        if previous is not None:
            if previous[0] is ranking and previous[1] == entry:
                return
            _remove_entry(*previous)
        insort(ranking, entry)
        self._entries_by_target[target] = (ranking, entry)

    @callback
    def remove(self, target: str) -> None:
        """Remove a target, if it is ranked."""
        previous = self._entries_by_target.pop(target, None)
        if previous is not None:
            _remove_entry(*previous)

    @callback
    def best_free(self, zone: str, skipped: Collection[str]) -> str | None:
        """Return the best target with a free slot, if any."""
        best: tuple[float, str] | None = None
        for target_zone, ranking in self._free_by_zone.items():
            distance = 1.0 if target_zone == zone else OTHER_ZONE_FACTOR
            for time, target in ranking:
                if target in skipped:
                    continue
                candidate = (time * distance, target)
                if best is None or candidate < best:
                    best = candidate
                break
        return None if best is None else best[1]

    @callback
    def best_full(
        self,
        zone: str,
        skipped: Collection[str],
        slots_by_target: dict[str, TargetSlots],
        round_trip: float,
    ) -> str | None:
        """Return the best target without a free slot that may get another permit."""
        best: tuple[float, str] | None = None
        for (target_zone, limit, running), ranking in self._full_by_group.items():
            extra = running - limit + IDLE_SLOT_TOLERANCE
            distance = 1.0 if target_zone == zone else OTHER_ZONE_FACTOR
            for time, target in ranking:
                # Whether `TargetSlots.max_permits` allows more than are running.
                if limit * round_trip / slots_by_target[target].mean_time <= extra:
                    break
                if target in skipped:
                    continue
                candidate = (time * distance, target)
                if best is None or candidate < best:
                    best = candidate
                break
        return None if best is None else best[1]


@callback
def expected_time(slots: TargetSlots) -> float:
    """Return the time of a further request by which a target is ranked."""
    load = (len(slots.granted_at_by_request) + 1) / slots.limit
    return slots.mean_time * (1 + load)


@callback
def _remove_entry(ranking: list[tuple[float, str]], entry: tuple[float, str]) -> None:
    """Remove an entry from its sorted list."""
    del ranking[bisect_left(ranking, entry)]
