"""Moves of single keys that are too hot for their owner."""

from __future__ import annotations

from bisect import insort
from collections.abc import Mapping
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.target_share import TargetShare
from swiftpin.keyranges.target_speed import CapacityBounds

MIN_HOT_KEY_SHARE: Final = 0.8
"""Part of its owner's capacity that one key must ask for to be moved by itself. Below
it the owner serves the key once its other keys have left."""

MIN_CAPACITY_RATIO: Final = 1.5
"""By how much the new owner must bear more than the present one, at least, to be worth
a move: while it is released the key is unserved for as long as its longest request, and
an owner at its limit looks slower than one that idles."""


def plan_hot_keys(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    bounds_by_target: Mapping[str, CapacityBounds],
) -> list[Move]:
    """Return moves of keys that alone overload their owner to one that bears more.

    A key can't be shared out. So what callers of a key get that is asked for more often
    than a target bears depends on its owner's speed, and the speeds of one service's
    targets differ. What else the faster target has leaves it as from any busy one.

    The new owner's least capacity is compared with the present one's most: by single
    estimates a hot key would go back and forth between targets of the same speed.
    """
    moves: list[Move] = []
    by_utilization = sorted(
        shares, key=lambda name: shares[name].utilization, reverse=True
    )
    for name in by_utilization:
        share = shares[name]
        if share.utilization <= 1:
            break
        if not share.keys:
            # All of its load is still to come, with keys of a lost target.
            continue
        key = max(share.keys, key=rates_by_key.__getitem__)
        rate = rates_by_key[key]
        if (
            rate < MIN_HOT_KEY_SHARE * share.capacity
            or assignment.segment_of(key).former_owner
        ):
            continue
        room_by_target = {
            other: bounds_by_target[other].low - _hottest_rate(candidate, rates_by_key)
            for other, candidate in shares.items()
        }
        to = max(room_by_target, key=room_by_target.__getitem__)
        if room_by_target[to] < MIN_CAPACITY_RATIO * bounds_by_target[name].high:
            continue
        moves.append(Move(first=key, last=key, source=name, to=to))
        share.load -= rate
        share.keys.remove(key)
        shares[to].load += rate
        insort(shares[to].keys, key)
    return moves


def _hottest_rate(share: TargetShare, rates_by_key: Mapping[int, float]) -> float:
    """Return the rate of a target's hottest key, which can't be shared out."""
    return max((rates_by_key[key] for key in share.keys), default=0.0)
