"""Moves of slices whose owner shall not or cannot keep them."""

from __future__ import annotations

from collections.abc import Iterable

from swiftpin.config.measure_weights import MeasureWeights
from swiftpin.ownership.placement.const import STANDBY_TOLERANCE
from swiftpin.ownership.placement.cost import move_cost
from swiftpin.ownership.placement.hashing import tie_hash
from swiftpin.ownership.placement.load_heap import LoadHeap
from swiftpin.ownership.placement.load_table import LoadTable
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.placement.move_reason import MoveReason
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.policy import MoveCosts
from swiftpin.ownership.placement.standby import StandbyChooser


class Evacuation:
    """One decision that gives slices new owners, each exactly one move.

    The heaviest slice goes first. A slice goes to its standby unless that would bring
    the standby more than `STANDBY_TOLERANCE` times its fair share, otherwise to the
    least utilised target; so no survivor takes more than its share.
    """

    def __init__(
        self,
        view: PlacementView,
        now: float,
        *,
        reason: MoveReason,
        weights: MeasureWeights,
        costs: MoveCosts,
    ) -> None:
        self._view = view
        self._reason = reason
        self._weights = weights
        self._costs = costs
        self._table = LoadTable(view, now)
        self._chooser = StandbyChooser(
            target.spec
            for target in view.targets_by_id.values()
            if target.state.is_usable
        )

    def plan(self, slice_ids: Iterable[int]) -> list[Move]:
        """Return a move for each slice, none if no target is usable."""
        if not self._table.capacity_by_target:
            return []
        ordered = sorted(slice_ids, key=self._order)
        least = LoadHeap(self._table)
        return [self._move(slice_id, least) for slice_id in ordered]

    def _order(self, slice_id: int) -> tuple[float, int, int]:
        """Return the sort key: heavier slices first, ties by hash."""
        load = self._view.slice_load(slice_id)
        return (-load, tie_hash(self._view.group.service, slice_id), slice_id)

    def _move(self, slice_id: int, least: LoadHeap) -> Move:
        """Decide where the slice goes and count its load there."""
        assignment = self._view.slices_by_id.get(slice_id)
        source = assignment.target if assignment else None
        load = self._view.slice_load(slice_id)
        standby = assignment.standby if assignment else None
        destination = self._destination(standby, load, least)
        self._table.shift(source, destination, load)
        least.note(destination)
        return Move(
            slice_id=slice_id,
            source=source,
            destination=destination,
            standby=self._chooser.choose(destination),
            reason=self._reason,
            cost=move_cost(self._view, slice_id, self._weights, self._costs),
        )

    def _destination(self, standby: str | None, load: float, least: LoadHeap) -> str:
        """Return the standby if it has room, else the least utilised target."""
        if standby is not None and self._has_room(standby, load):
            return standby
        first = least.first()
        assert first is not None, "plan() saw a usable target and none is dropped"
        return first

    def _has_room(self, standby: str, load: float) -> bool:
        """Return whether the standby can take the load within its fair share."""
        if not self._view.is_usable(standby):
            return False
        limit = self._table.fair_utilisation * STANDBY_TOLERANCE
        return self._table.utilisation(standby, load) <= limit
