"""Moves that even out load."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.config.measure_weights import MeasureWeights
from swiftpin.ownership.placement.const import SETTLE_RATIO
from swiftpin.ownership.placement.cost import move_cost
from swiftpin.ownership.placement.hashing import tie_hash
from swiftpin.ownership.placement.load_heap import LoadHeap
from swiftpin.ownership.placement.load_table import LoadTable
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.placement.move_reason import MoveReason
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.policy import MoveCosts
from swiftpin.ownership.placement.standby import StandbyChooser


@dataclass(frozen=True, kw_only=True, slots=True)
class _Candidate:
    """A slice that might move and what that is worth, in weighted slot-seconds."""

    slice_id: int
    load: float
    cost: float
    net_gain: float


class Rebalance:
    """One decision that moves slices off the most utilised targets.

    Each step takes the most utilised target and the least utilised one and moves the
    slice with the highest net gain: what the smaller overload is worth over the
    horizon, less the cost of the move. It ends when no move gains anything.
    """

    def __init__(
        self,
        view: PlacementView,
        now: float,
        *,
        reason: MoveReason,
        horizon: float,
        weights: MeasureWeights,
        costs: MoveCosts,
    ) -> None:
        self._view = view
        self._reason = reason
        self._horizon = horizon
        self._weights = weights
        self._costs = costs
        self._table = LoadTable(view, now)
        self._slices_by_target = self._owned_slices()
        self._chooser = StandbyChooser(
            target.spec
            for target in view.targets_by_id.values()
            if target.state.is_usable
        )

    def plan(
        self, move_limit: int, *, destination: str | None = None, deadband: float = 0.0
    ) -> list[Move]:
        """Return `move_limit` moves at most; with a destination, only moves there.

        Targets at most `deadband` (ratio) above the mean are left alone, others are
        brought down to `SETTLE_RATIO` of it.
        """
        moves: list[Move] = []
        most = LoadHeap(self._table, most=True)
        least = LoadHeap(self._table)
        trigger = self._table.threshold(deadband)
        settled = self._table.threshold(deadband * SETTLE_RATIO)
        # A target stopped just below the trigger would be above it again with the next
        # measurement's noise, and slices would move in every decision.
        while (source := most.first()) is not None and len(moves) < move_limit:
            if self._table.utilisation(source) <= trigger:
                break
            while len(moves) < move_limit and self._table.utilisation(source) > settled:
                move = self._next_move(source, destination or least.first())
                if move is None:
                    break
                moves.append(move)
                least.note(source)
                least.note(move.destination)
                most.note(move.destination)
            most.drop(source)
        return moves

    def _next_move(self, source: str, taker: str | None) -> Move | None:
        """Return the move from source to taker that gains most and count it."""
        if taker is None or taker == source:
            return None
        candidate = self._best(source, taker)
        if candidate is None:
            return None
        return self._move(candidate, source, taker)

    def _owned_slices(self) -> dict[str, set[int]]:
        """Return the slices of each usable target."""
        owned: dict[str, set[int]] = {
            target_id: set() for target_id in self._table.capacity_by_target
        }
        for slice_id, assignment in self._view.slices_by_id.items():
            if assignment.target in owned:
                owned[assignment.target].add(slice_id)
        return owned

    def _best(self, source: str, taker: str) -> _Candidate | None:
        """Return the slice whose move gains most, None if none gains anything."""
        candidates = [
            self._candidate(slice_id, source, taker)
            for slice_id in self._slices_by_target[source]
        ]
        return max(
            (candidate for candidate in candidates if candidate.net_gain > 0.0),
            key=lambda candidate: (candidate.net_gain, tie_hash(candidate.slice_id)),
            default=None,
        )

    def _candidate(self, slice_id: int, source: str, taker: str) -> _Candidate:
        """Return what moving the slice would be worth."""
        load = self._view.slice_load(slice_id)
        before = self._table.penalty(source) + self._table.penalty(taker)
        after = self._table.penalty(source, -load) + self._table.penalty(taker, load)
        gain = self._weights.imbalance * (before - after) * self._horizon
        cost = move_cost(self._view, slice_id, self._weights, self._costs)
        return _Candidate(slice_id=slice_id, load=load, cost=cost, net_gain=gain - cost)

    def _move(self, candidate: _Candidate, source: str, taker: str) -> Move:
        """Count the slice for its taker and return the move."""
        self._table.shift(source, taker, candidate.load)
        self._slices_by_target[source].discard(candidate.slice_id)
        # A slice moves once a decision: it isn't counted among the taker's, or it could
        # wander on and its owners on the way would get grants for nothing.
        return Move(
            slice_id=candidate.slice_id,
            source=source,
            destination=taker,
            standby=self._chooser.choose(taker),
            reason=self._reason,
            cost=candidate.cost,
        )
