"""Which keys should move where."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.plan_balance import BUSY, MOST_MOVES, plan_balance
from swiftpin.keyranges.plan_hot_keys import plan_hot_keys
from swiftpin.keyranges.plan_joins import plan_joins
from swiftpin.keyranges.plan_newcomers import plan_newcomers
from swiftpin.keyranges.plan_rescue import plan_rescue
from swiftpin.keyranges.target_share import mean_utilization, target_shares
from swiftpin.keyranges.target_speed import CapacityBounds

MOST_SEGMENTS: Final = 6
"""Segments a target, on average, beyond which none is cut for balance: each is renewed
by a call of its own every second."""

CROWDED: Final = 0.8
CROWDED_WHEN_IDLE: Final = 0.4
"""Parts of `MOST_SEGMENTS` above which pieces are joined under load, and when nothing
else is to be done."""


def plan_moves(
    assignment: Assignment,
    capacities_by_target: Mapping[str, float],
    rates_by_key: Mapping[int, float],
    bounds_by_target: Mapping[str, CapacityBounds] | None = None,
    *,
    limited: Collection[str] = (),
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
    moves = plan_rescue(assignment, shares, rates_by_key)
    most_segments = MOST_SEGMENTS * len(shares)
    may_cut = len(assignment.segments) < most_segments
    if may_cut:
        moves += plan_newcomers(assignment, shares, moves, limited)
        moves += plan_hot_keys(
            assignment.with_moves(moves, 0),
            shares,
            rates_by_key,
            bounds_by_target or _exact(capacities_by_target),
        )
    if len(moves) < MOST_MOVES:
        moves += plan_balance(
            assignment, shares, rates_by_key, moves, may_cut=may_cut, limited=limited
        )
    # Cuts need room below the limit. Unless pieces are given back beside other moves,
    # some seconds of hot keys and replaced targets use it up, and keys that become hot
    # stay where they are.
    is_idle = not moves and mean_utilization(shares) < BUSY
    crowded = CROWDED_WHEN_IDLE if is_idle else CROWDED
    is_crowded = len(assignment.segments) > most_segments * crowded
    if not moves or is_crowded:
        moves += plan_joins(
            assignment.with_moves(moves, 0), shares, rates_by_key, is_crowded=is_crowded
        )
    return moves


def _exact(capacities_by_target: Mapping[str, float]) -> dict[str, CapacityBounds]:
    """Return bounds of capacities that are known exactly."""
    return {
        target: CapacityBounds(low=capacity, high=capacity)
        for target, capacity in capacities_by_target.items()
    }
