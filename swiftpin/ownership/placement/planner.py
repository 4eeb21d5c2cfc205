"""Decides which slices move."""

from __future__ import annotations

from dataclasses import replace

from swiftpin.ownership.placement.evacuation import Evacuation
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.placement.move_reason import MoveReason
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.policy import (
    InitialSpread,
    MoveOnJoin,
    MoveOnLeave,
    MoveOnLoad,
    MoveOnLoss,
    PlacementPolicy,
)
from swiftpin.ownership.placement.rebalance import Rebalance
from swiftpin.ownership.placement.target_state import TargetState


def plan_moves(view: PlacementView, policy: PlacementPolicy, now: float) -> list[Move]:
    """Return the moves that the policy asks for, the most urgent first.

    `now` is in monotonic seconds, the same clock as `TargetView.since`. The same
    arguments give the same moves on every instance.
    """
    match policy:
        case InitialSpread():
            return _evacuate(view, policy, now, MoveReason.INITIAL)
        case MoveOnLoss():
            return _evacuate(view, policy, now, MoveReason.LOSS)
        case MoveOnLeave():
            return _evacuate(view, policy, now, MoveReason.LEAVE)
        case MoveOnJoin():
            if not view.is_usable(policy.target):
                return []
            # The group's own mean counts: the new target shall be used although the
            # group as a whole may be lightly loaded.
            view = replace(view, service_utilisation=None)
            rebalance = _rebalance(view, policy, now, MoveReason.JOIN)
            return rebalance.plan(policy.move_limit, destination=policy.target)
        case MoveOnLoad():
            rebalance = _rebalance(view, policy, now, MoveReason.LOAD)
            return rebalance.plan(policy.move_limit, deadband=policy.deadband)


def _evacuate(
    view: PlacementView,
    policy: InitialSpread | MoveOnLoss | MoveOnLeave,
    now: float,
    reason: MoveReason,
) -> list[Move]:
    """Return moves of the slices that need a new owner."""
    evacuation = Evacuation(
        view, now, reason=reason, weights=policy.weights, costs=policy.costs
    )
    match policy:
        case InitialSpread():
            return evacuation.plan(policy.slice_ids - view.slices_by_id.keys())
        case MoveOnLoss():
            return evacuation.plan(_slices_of_lost(view))
        case MoveOnLeave():
            return evacuation.plan(_slices_of_leaving(view))


def _rebalance(
    view: PlacementView,
    policy: MoveOnJoin | MoveOnLoad,
    now: float,
    reason: MoveReason,
) -> Rebalance:
    """Return the decision with the policy's costs."""
    return Rebalance(
        view,
        now,
        reason=reason,
        horizon=policy.horizon,
        weights=policy.weights,
        costs=policy.costs,
    )


def _slices_of_lost(view: PlacementView) -> list[int]:
    """Return the slices of lost owners and of owners no longer declared."""
    kept = {
        target_id
        for target_id, target in view.targets_by_id.items()
        if target.state is not TargetState.LOST
    }
    return [
        slice_id
        for slice_id, assignment in view.slices_by_id.items()
        if assignment.target not in kept
    ]


def _slices_of_leaving(view: PlacementView) -> list[int]:
    """Return the slices of leaving owners."""
    owners = {
        target_id
        for target_id, target in view.targets_by_id.items()
        if target.state is TargetState.LEAVING
    }
    return [
        slice_id
        for slice_id, assignment in view.slices_by_id.items()
        if assignment.target in owners
    ]
