"""The cost of a move."""

from __future__ import annotations

from swiftpin.config.measure_weights import MeasureWeights
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.policy import MoveCosts


def move_cost(
    view: PlacementView, slice_id: int, weights: MeasureWeights, costs: MoveCosts
) -> float:
    """Return what the move costs, in weighted slot-seconds.

    Churn counts the active keys that change owner; unavailable time the work that
    arrives while nobody serves the slice.
    """
    churn = view.active_keys(slice_id) * costs.key_move_cost
    unavailable = view.slice_load(slice_id) * costs.move_pause
    return weights.churn * churn + weights.unavailable * unavailable
