"""Planning of moves to the targets at which callers wait for the shortest time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
import math
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.expected_wait import ExpectedWaits
from swiftpin.keyranges.key_load import DECAY_TIME
from swiftpin.keyranges.key_windows import hottest_window
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.move_history import MoveHistory
from swiftpin.keyranges.plan_balance import (
    MAX_MOVES_PER_PLAN,
    MIN_EXCESS_DEVIATIONS,
    MIN_SPARE_CAPACITY_SHARE,
)
from swiftpin.keyranges.plan_hot_keys import MIN_HOT_KEY_SHARE
from swiftpin.keyranges.target_share import TargetShare

MAX_RESPONSE_SHARE: Final = 0.4
"""Share of the objective above which a target's response time is too long: requests
take up to several times the mean."""

GOAL_SHARE: Final = 0.8
"""Share of the longest acceptable response time that moves bring about; otherwise each
variation of an estimate would cause another move."""

MAX_WIDE_RESPONSE_SHARE: Final = 1.0
"""Share of the objective above which also ranges with ordinary demand are moved away:
many keys must change owners for little load."""

MIN_HOT_DEVIATIONS: Final = 0.5
"""Standard deviations by which a target's load must exceed the desired load for hot
ranges to be moved, which makes few keys change owners."""

MIN_DENSITY_RATIO: Final = 4.0
"""Ratio of a range's demand per key to the mean of all keys above which it is hot."""

MIN_PROBE_LOAD: Final = 0.3
"""Requests per second that a slow target keeps, so that its recovery is detected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementBasis:
    """What moves are planned by, besides the shares of the targets."""

    assignment: Assignment
    rates_by_key: Mapping[int, float]
    waits: ExpectedWaits
    history: MoveHistory
    objective: float
    """Seconds within which callers should have the answer."""

    def is_movable(self, key: int, owner: str) -> bool:
        """Return whether a key belongs to the owner and is not being moved."""
        segment = self.assignment.segment_of(key)
        return segment.owner == owner and not segment.former_owner

    def is_hot(self, move: Move, load: float) -> bool:
        """Return whether a range has much more demand per key than the service."""
        mean = sum(self.rates_by_key.values()) / KEY_COUNT
        return load > MIN_DENSITY_RATIO * mean * (move.last - move.first + 1)


def plan_by_wait(
    basis: PlacementBasis, shares: dict[str, TargetShare], max_moves: int
) -> list[Move]:
    """Return moves from targets with a long response time to those with a short one.

    It handles ranges of neighbouring keys that become hot and targets that become
    slow.
    Keys that alone exceed their owner's capacity stay, and its other keys are moved
    away: no distribution of the load shortens the wait for the hot key.
    """
    servable = {
        target: share
        for target, share in shares.items()
        if _hottest_rate(share, basis) < MIN_HOT_KEY_SHARE * share.capacity
    }
    if not servable:
        return []
    balanced = basis.waits.balanced_response_time(servable)
    max_time = max(MAX_RESPONSE_SHARE * basis.objective, balanced / GOAL_SHARE)
    level = max_time * GOAL_SHARE
    goals_by_target = {
        target: basis.waits.load_at(level, target, share.capacity)
        for target, share in servable.items()
    }
    moves: list[Move] = []
    for source in _donors(basis, shares, max_time):
        if len(moves) >= min(max_moves, MAX_MOVES_PER_PLAN):
            break
        moves += _plan_moves_from(
            source, basis, shares, servable, goals_by_target, level
        )
    return moves


def _donors(
    basis: PlacementBasis, shares: Mapping[str, TargetShare], max_time: float
) -> list[str]:
    """Return the targets to move keys away from, longest response time first."""
    times_by_target = {
        target: basis.waits.response_time(target, share.load, share.capacity)
        for target, share in shares.items()
        if share.load > MIN_PROBE_LOAD
    }
    return sorted(
        (
            target
            for target, seconds in times_by_target.items()
            if seconds > max_time
            and _excess_deviations(target, basis, shares[target], max_time * GOAL_SHARE)
            > MIN_HOT_DEVIATIONS
        ),
        key=times_by_target.__getitem__,
        reverse=True,
    )


def _excess_deviations(
    target: str, basis: PlacementBasis, share: TargetShare, level: float
) -> float:
    """Return a target's excess load in standard deviations of its measured load."""
    excess = share.load - basis.waits.load_at(level, target, share.capacity)
    return excess / math.sqrt(share.load / DECAY_TIME)


def _plan_moves_from(
    source: str,
    basis: PlacementBasis,
    shares: dict[str, TargetShare],
    servable: Mapping[str, TargetShare],
    goals_by_target: Mapping[str, float],
    level: float,
) -> list[Move]:
    """Return moves that shorten one target's response time to the balanced one."""
    share = shares[source]
    moves: list[Move] = []
    projected = basis.assignment
    movable_keys = [key for key in share.keys if basis.is_movable(key, source)]
    may_move_wide = (
        basis.waits.response_time(source, share.load, share.capacity)
        > MAX_WIDE_RESPONSE_SHARE * basis.objective
        and _excess_deviations(source, basis, share, level) > MIN_EXCESS_DEVIATIONS
    )
    if source not in servable:
        hot_key = max(share.keys, key=basis.rates_by_key.__getitem__)
        desired_load = basis.rates_by_key[hot_key]
        movable_keys = [key for key in movable_keys if key != hot_key]
    else:
        # Moves of ordinary ranges end at a longer response time: few of their requests
        # are late, and it takes hundreds of keys to shorten it.
        goal = max(level, GOAL_SHARE * basis.objective) if may_move_wide else level
        desired_load = max(
            basis.waits.load_at(goal, source, share.capacity), MIN_PROBE_LOAD
        )
    barred: set[str] = {source}
    while movable_keys and len(moves) < MAX_MOVES_PER_PLAN:
        excess = share.load - desired_load
        destination = _choose_destination(
            basis, servable, barred, excess, goals_by_target
        )
        if destination is None:
            break
        room = goals_by_target[destination] - servable[destination].load
        window = hottest_window(
            movable_keys, projected, basis.rates_by_key, min(excess, room)
        )
        if window is None:
            break
        low, high = window
        move = Move(
            first=movable_keys[low],
            last=movable_keys[high],
            source=source,
            to=destination,
        )
        moved_load = sum(
            basis.rates_by_key[key] for key in movable_keys[low : high + 1]
        )
        if not may_move_wide and not basis.is_hot(move, moved_load):
            break
        if basis.history.is_unfounded_reversal(
            move, basis.rates_by_key, basis.waits.seconds_by_target
        ):
            barred.add(destination)
            continue
        moves.append(move)
        # Splitting the segment keeps later windows from spanning the moved keys.
        projected = projected.with_moves([move], 0)
        share.load -= moved_load
        servable[destination].load += moved_load
        del movable_keys[low : high + 1]
    return moves


def _choose_destination(
    basis: PlacementBasis,
    servable: Mapping[str, TargetShare],
    barred: set[str],
    excess: float,
    goals_by_target: Mapping[str, float],
) -> str | None:
    """Return the target with the shortest response time once it has the load."""
    best: str | None = None
    best_seconds = math.inf
    for target, share in servable.items():
        if target in barred:
            continue
        room = min(goals_by_target[target] - share.load, excess)
        if room < MIN_SPARE_CAPACITY_SHARE * share.capacity:
            continue
        seconds = basis.waits.response_time(target, share.load + room, share.capacity)
        if seconds < best_seconds:
            best, best_seconds = target, seconds
    return best


def _hottest_rate(share: TargetShare, basis: PlacementBasis) -> float:
    """Return the rate of a target's hottest key, which can't be split."""
    return max((basis.rates_by_key[key] for key in share.keys), default=0.0)
