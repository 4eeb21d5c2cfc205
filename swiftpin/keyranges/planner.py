"""Planning of all moves of a service."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
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
from swiftpin.keyranges.target_share import TargetShare, mean_utilization, target_shares
from swiftpin.keyranges.target_speed import CapacityBounds

MAX_SEGMENTS_PER_TARGET: Final = 6
"""Average number of segments per target from which no segment is split for balance:
each segment's grant is renewed by a separate call every second."""

MERGE_THRESHOLD: Final = 0.8
IDLE_MERGE_THRESHOLD: Final = 0.4
"""Shares of `MAX_SEGMENTS_PER_TARGET` above which segments between different owners are
merged too, the first under load, the second if there is nothing else to move."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MovePlanners:
    """Planners that replace the usual ones for a service with uneven demand."""

    plan_hot_keys: Callable[[Assignment, dict[str, TargetShare]], list[Move]]
    """Called with the assignment after the planned moves and the targets' shares."""

    plan_balance: Callable[[Assignment, dict[str, TargetShare], int], list[Move]]
    """Called with the assignment after the planned moves, the shares of the targets
    that may get keys, and the maximum number of moves."""

    is_allowed_merge: Callable[[Move], bool]
    """Returns whether a move that merges segments may be made."""


def plan_moves(
    assignment: Assignment,
    capacities_by_target: Mapping[str, float],
    rates_by_key: Mapping[int, float],
    bounds_by_target: Mapping[str, CapacityBounds] | None = None,
    *,
    limited_targets: Collection[str] = (),
    planners: MovePlanners | None = None,
) -> list[Move]:
    """Return moves of all keys of lost targets and moves that balance the load.

    `capacities_by_target` holds the targets that may own keys and the requests per
    second that each can handle; `bounds_by_target` holds the lower and upper bound of
    each capacity, if it is not known exactly. Targets in `limited_targets`, whose
    capacity is limited for a while, get keys only to balance the load. Segments that
    are being moved, which have a former owner, are not moved again. `planners` replace
    the usual ones while segments may be split.
    """
    if not capacities_by_target:
        return []
    shares = target_shares(assignment, capacities_by_target, rates_by_key)
    moves = plan_reassignments(assignment, shares, rates_by_key)
    max_segments = MAX_SEGMENTS_PER_TARGET * len(shares)
    may_split = len(assignment.segments) < max_segments
    if may_split:
        moves += plan_new_targets(assignment, shares, moves, limited_targets)
        projected = assignment.with_moves(moves, 0)
        if planners is None:
            moves += plan_hot_keys(
                projected,
                shares,
                rates_by_key,
                bounds_by_target or _exact_bounds(capacities_by_target),
            )
        else:
            moves += planners.plan_hot_keys(projected, shares)
    if planners is not None and may_split and not limited_targets:
        moves += planners.plan_balance(
            assignment.with_moves(moves, 0), shares, MAX_MOVES_PER_PLAN - len(moves)
        )
    elif len(moves) < MAX_MOVES_PER_PLAN:
        moves += plan_balance(
            assignment,
            shares,
            rates_by_key,
            moves,
            may_split=may_split,
            limited_targets=limited_targets,
        )
    # Segments are only split below the limit. Unless some are merged along with other
    # moves, a few seconds of hot keys and replaced targets reach the limit, and keys
    # that become hot afterwards can't be moved.
    is_idle = not moves and mean_utilization(shares) < BUSY_UTILIZATION
    merge_threshold = IDLE_MERGE_THRESHOLD if is_idle else MERGE_THRESHOLD
    has_many_segments = len(assignment.segments) > max_segments * merge_threshold
    if not moves or has_many_segments:
        merges = plan_merges(
            assignment.with_moves(moves, 0),
            shares,
            rates_by_key,
            has_many_segments=has_many_segments,
        )
        moves += [
            move
            for move in merges
            if planners is None or planners.is_allowed_merge(move)
        ]
    return moves


def _exact_bounds(
    capacities_by_target: Mapping[str, float],
) -> dict[str, CapacityBounds]:
    """Return equal lower and upper bounds for exactly known capacities."""
    return {
        target: CapacityBounds(low=capacity, high=capacity)
        for target, capacity in capacities_by_target.items()
    }
