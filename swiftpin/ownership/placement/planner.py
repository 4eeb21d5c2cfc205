"""Decides which slices move."""

from __future__ import annotations

from swiftpin.ownership.placement.evacuation import Evacuation
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.placement.move_reason import MoveReason
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.policy import (
    InitialSpread,
    MoveOnLeave,
    MoveOnLoss,
    PlacementPolicy,
)
from swiftpin.ownership.placement.target_state import TargetState


def plan_moves(view: PlacementView, policy: PlacementPolicy, now: float) -> list[Move]:
    """Return the moves that the policy asks for, the most urgent first.

    `now` is in monotonic seconds, the same clock as `TargetView.since`. The same
    arguments give the same moves on every instance.
    """
    match policy:
        case InitialSpread():
            slice_ids = [
                slice_id
                for slice_id in policy.slice_ids
                if slice_id not in view.slices_by_id
            ]
            reason = MoveReason.INITIAL
        case MoveOnLoss():
            slice_ids = _slices_in_state(view, TargetState.LOST)
            reason = MoveReason.LOSS
        case MoveOnLeave():
            slice_ids = _slices_in_state(view, TargetState.LEAVING)
            reason = MoveReason.LEAVE
    evacuation = Evacuation(
        view, now, reason=reason, weights=policy.weights, costs=policy.costs
    )
    return evacuation.plan(slice_ids)


def _slices_in_state(view: PlacementView, state: TargetState) -> list[int]:
    """Return the slices whose owner is in the state; unknown owners count as lost."""
    owners = {
        target_id
        for target_id, target in view.targets_by_id.items()
        if target.state is state
    }
    includes_unknown = state is TargetState.LOST
    return [
        slice_id
        for slice_id, assignment in view.slices_by_id.items()
        if assignment.target in owners
        or (includes_unknown and assignment.target not in view.targets_by_id)
    ]
