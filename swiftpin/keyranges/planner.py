"""Which keys should move where."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.plan_balance import (
    BUSY_UTILIZATION,
    MAX_MOVES_PER_PLAN,
    plan_balance,
)
from swiftpin.keyranges.plan_hot_keys import plan_hot_keys
from swiftpin.keyranges.plan_merges import plan_merges
from swiftpin.keyranges.plan_new_targets import plan_new_targets
from swiftpin.keyranges.plan_reassignments import plan_reassignments
from swiftpin.keyranges.target_share import mean_utilization, target_shares
from swiftpin.keyranges.target_speed import CapacityBounds

MAX_SEGMENTS_PER_TARGET: Final = 6
"""Segments a target, on average, beyond which none is cut for balance: each is renewed
by a call of its own every second."""

MERGE_THRESHOLD: Final = 0.8
IDLE_MERGE_THRESHOLD: Final = 0.4
"""Parts of `MOST_SEGMENTS` above which pieces are joined under load, and when nothing
else is to be done."""


def plan_moves(
    assignment: Assignment,
    capacities_by_target: Mapping[str, float],
    rates_by_key: Mapping[int, float],
    bounds_by_target: Mapping[str, CapacityBounds] | None = None,
    *,
    limited_targets: Collection[str] = (),
) -> list[Move]:
    """Return moves that empty lost targets and then even the load out.

    `capacities_by_target` holds the targets that may own keys, with the requests a
    second that each can bear; `bounds_by_target` tells between what that certainly
    lies, if it is not known exactly. Targets that are `limited` for a while get keys by
    their load only. Segments on the move, which have a former owner, stay.
    """
    if not capacities_by_target:
        return []
    shares = target_shares(assignment, capacities_by_target, rates_by_key)
    moves = plan_reassignments(assignment, shares, rates_by_key)
    most_segments = MAX_SEGMENTS_PER_TARGET * len(shares)
    may_cut = len(assignment.segments) < most_segments
    if may_cut:
        moves += plan_new_targets(assignment, shares, moves, limited_targets)
        moves += plan_hot_keys(
            assignment.with_moves(moves, 0),
            shares,
            rates_by_key,
            bounds_by_target or _exact(capacities_by_target),
        )
    if len(moves) < MAX_MOVES_PER_PLAN:
        moves += plan_balance(
            assignment,
            shares,
            rates_by_key,
            moves,
            may_cut=may_cut,
            limited_targets=limited_targets,
        )
    # Cuts need room below the limit. Unless pieces are given back beside other moves,
    # some seconds of hot keys and replaced targets use it up, and keys that become hot
    # stay where they are.
    is_idle = not moves and mean_utilization(shares) < BUSY_UTILIZATION
    crowded = IDLE_MERGE_THRESHOLD if is_idle else MERGE_THRESHOLD
    is_crowded = len(assignment.segments) > most_segments * crowded
    if not moves or is_crowded:
        moves += plan_merges(
            assignment.with_moves(moves, 0),
            shares,
            rates_by_key,
            has_many_segments=is_crowded,
        )
    return moves


def _exact(capacities_by_target: Mapping[str, float]) -> dict[str, CapacityBounds]:
    """Return bounds of capacities that are known exactly."""
    return {
        target: CapacityBounds(low=capacity, high=capacity)
        for target, capacity in capacities_by_target.items()
    }
