"""Moves of busy keys from the busiest targets to those with room."""

from __future__ import annotations

from collections.abc import Collection, Mapping
import math
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.key_load import DECAY_TIME
from swiftpin.keyranges.key_windows import hottest_segment, hottest_window
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_share import TargetShare, mean_utilization

BUSY_UTILIZATION: Final = 0.55
"""Utilization below which a target is left alone: queues are short there."""

MAX_IMBALANCE: Final = 1.2
"""How far above the mean a target's utilization is before it gives keys away."""

MIN_EXCESS_DEVIATIONS: Final = 1.5
"""Standard deviations by which a target's load must exceed the level: a rate that was
counted over a second and a half is off by a quarter at ten requests a second, and moves
after chance cut the keys into thousands of pieces."""

MAX_MOVES_PER_PLAN: Final = 24
"""Moves planned at a time; each costs a release and a grant."""

MIN_SPARE_CAPACITY_SHARE: Final = 0.05
"""Share of a target's capacity that must be free for it to take keys."""


def plan_balance(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    planned: list[Move],
    *,
    may_cut: bool = True,
    limited_targets: Collection[str] = (),
) -> list[Move]:
    """Return moves of busy keys from the busiest targets to those with room.

    Whole segments only, unless they may be cut. Targets that are `limited` for a while
    get their first keys here.
    """
    mean = mean_utilization(shares)
    level = max(mean, BUSY_UTILIZATION * 0.7)
    moves: list[Move] = []
    # What is planned shows as segments with a former owner; those are left alone.
    working = assignment.with_moves(planned, 0)
    donors = sorted(shares, key=lambda name: shares[name].utilization, reverse=True)
    for name in donors:
        if shares[name].utilization < max(BUSY_UTILIZATION, mean * MAX_IMBALANCE):
            break
        has_idle = any(not shares[target].load for target in limited_targets)
        if not has_idle and not _is_certain(shares[name], level):
            continue
        relief = _relieve(name, working, shares, rates_by_key, level, may_cut=may_cut)
        moves += relief
        working = working.with_moves(relief, 0)
        if len(moves) + len(planned) >= MAX_MOVES_PER_PLAN:
            break
    return moves


def _is_certain(share: TargetShare, level: float) -> bool:
    """Return whether a target's load exceeds the level by more than chance."""
    excess = share.load - level * share.capacity
    return excess > MIN_EXCESS_DEVIATIONS * math.sqrt(share.load / DECAY_TIME)


def _relieve(
    name: str,
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    level: float,
    *,
    may_cut: bool,
) -> list[Move]:
    """Return moves that bring one target's load down to the level."""
    share = shares[name]
    moves: list[Move] = []
    working = assignment
    left = [key for key in share.keys if _may_leave(working.segment_of(key), name)]
    while left and len(moves) < MAX_MOVES_PER_PLAN:
        excess = share.load - level * share.capacity
        to = min(shares, key=lambda target: shares[target].utilization)
        room = level * shares[to].capacity - shares[to].load
        amount = min(excess, room) if may_cut else _even_amount(share, shares[to])
        if to == name or amount < MIN_SPARE_CAPACITY_SHARE * shares[to].capacity:
            break
        choose = hottest_window if may_cut else hottest_segment
        window = choose(left, working, rates_by_key, amount)
        if window is None:
            break
        low, high = window
        moved = sum(rates_by_key[key] for key in left[low : high + 1])
        first, last = left[low], left[high]
        if not may_cut:
            segment = working.segment_of(first)
            first, last = segment.first, segment.last
        move = Move(first=first, last=last, source=name, to=to)
        moves.append(move)
        # The cut keeps later windows from reaching across the keys that left.
        working = working.with_moves([move], 0)
        share.load -= moved
        shares[to].load += moved
        del left[low : high + 1]
    return moves


def _even_amount(giver: TargetShare, taker: TargetShare) -> float:
    """Return the load by whose move two targets are utilized alike.

    Whole segments seldom fit the room below the level.
    """
    capacities = giver.capacity * taker.capacity / (giver.capacity + taker.capacity)
    return (giver.utilization - taker.utilization) * capacities


def _may_leave(segment: Segment, owner: str) -> bool:
    """Return whether a segment is the owner's and not on the move."""
    return segment.owner == owner and not segment.former_owner
