"""Planning of moves from overloaded targets to those with spare capacity."""

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
"""Utilization below which no keys are moved away from a target: queues are short."""

MAX_IMBALANCE: Final = 1.2
"""Ratio of a target's utilization to the mean above which keys are moved away."""

MIN_EXCESS_DEVIATIONS: Final = 1.5
"""Standard deviations by which a target's load must exceed the desired load. A rate
that is averaged over 1.5 seconds has an error of 25% at ten requests per second; moves
that follow such random variation would split the keys into thousands of segments."""

MAX_MOVES_PER_PLAN: Final = 24
"""Maximum number of moves in one plan; each costs a release and a grant."""

MIN_SPARE_CAPACITY_SHARE: Final = 0.05
"""Share of a target's capacity that must be free for it to receive keys."""


def plan_balance(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    planned: list[Move],
    *,
    may_split: bool = True,
    limited_targets: Collection[str] = (),
) -> list[Move]:
    """Return moves of busy keys from the busiest targets to those with spare capacity.

    Unless `may_split` is set, only complete segments are moved. Targets in
    `limited_targets` get their first keys here.
    """
    mean = mean_utilization(shares)
    desired_utilization = max(mean, BUSY_UTILIZATION * 0.7)
    moves: list[Move] = []
    # Moves that are already planned become segments with a former owner, which are
    # not moved again.
    projected = assignment.with_moves(planned, 0)
    donors = sorted(shares, key=lambda source: shares[source].utilization, reverse=True)
    for source in donors:
        if shares[source].utilization < max(BUSY_UTILIZATION, mean * MAX_IMBALANCE):
            break
        has_idle_target = any(not shares[target].load for target in limited_targets)
        if not has_idle_target and not _is_significant(
            shares[source], desired_utilization
        ):
            continue
        source_moves = _plan_moves_from(
            source,
            projected,
            shares,
            rates_by_key,
            desired_utilization,
            may_split=may_split,
        )
        moves += source_moves
        projected = projected.with_moves(source_moves, 0)
        if len(moves) + len(planned) >= MAX_MOVES_PER_PLAN:
            break
    return moves


def _is_significant(share: TargetShare, desired_utilization: float) -> bool:
    """Return whether a target's excess load is more than random variation."""
    excess = share.load - desired_utilization * share.capacity
    return excess > MIN_EXCESS_DEVIATIONS * math.sqrt(share.load / DECAY_TIME)


def _plan_moves_from(
    source: str,
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    desired_utilization: float,
    *,
    may_split: bool,
) -> list[Move]:
    """Return moves that reduce one target's load to the desired utilization."""
    share = shares[source]
    moves: list[Move] = []
    projected = assignment
    movable_keys = [
        key for key in share.keys if _is_movable(projected.segment_of(key), source)
    ]
    while movable_keys and len(moves) < MAX_MOVES_PER_PLAN:
        excess = share.load - desired_utilization * share.capacity
        destination = min(shares, key=lambda target: shares[target].utilization)
        spare_capacity = (
            desired_utilization * shares[destination].capacity
            - shares[destination].load
        )
        max_load = (
            min(excess, spare_capacity)
            if may_split
            else _equalizing_load(share, shares[destination])
        )
        if (
            destination == source
            or max_load < MIN_SPARE_CAPACITY_SHARE * shares[destination].capacity
        ):
            break
        find_window = hottest_window if may_split else hottest_segment
        window = find_window(movable_keys, projected, rates_by_key, max_load)
        if window is None:
            break
        low, high = window
        moved_load = sum(rates_by_key[key] for key in movable_keys[low : high + 1])
        first, last = movable_keys[low], movable_keys[high]
        if not may_split:
            segment = projected.segment_of(first)
            first, last = segment.first, segment.last
        move = Move(first=first, last=last, source=source, to=destination)
        moves.append(move)
        # Splitting the segment keeps later windows from spanning the moved keys.
        projected = projected.with_moves([move], 0)
        share.load -= moved_load
        shares[destination].load += moved_load
        del movable_keys[low : high + 1]
    return moves


def _equalizing_load(source: TargetShare, destination: TargetShare) -> float:
    """Return the load that must be moved to equalize the utilization of two targets.

    Complete segments rarely fit into the capacity below the desired utilization.
    """
    combined_capacity = (
        source.capacity
        * destination.capacity
        / (source.capacity + destination.capacity)
    )
    return (source.utilization - destination.utilization) * combined_capacity


def _is_movable(segment: Segment, owner: str) -> bool:
    """Return whether a segment belongs to the owner and is not being moved."""
    return segment.owner == owner and not segment.former_owner
