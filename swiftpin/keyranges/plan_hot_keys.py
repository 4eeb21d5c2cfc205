"""Planning of moves of single keys that overload their owner."""

from __future__ import annotations

from bisect import insort
from collections.abc import Mapping
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.target_share import TargetShare
from swiftpin.keyranges.target_speed import CapacityBounds

MIN_HOT_KEY_SHARE: Final = 0.8
"""Share of its owner's capacity that a key must need to be moved by itself. Below it,
the owner can serve the key once its other keys have been moved away."""

MIN_CAPACITY_RATIO: Final = 1.5
"""Minimum ratio of the new owner's spare capacity to the present owner's capacity.
During the release, the key is unavailable for as long as its longest request takes, and
an owner at its limit appears slower than an idle target."""


def plan_hot_keys(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    bounds_by_target: Mapping[str, CapacityBounds],
) -> list[Move]:
    """Return moves of keys that alone overload their owner to faster targets.

    A key can't be split between targets. If its request rate exceeds what a target can
    handle, the owner's speed determines how many requests succeed, and the targets of
    a service differ in speed. The faster target's other keys are moved away by
    `plan_balance`, as from any busy target.

    The lower bound of the new owner's capacity is compared with the upper bound of the
    present owner's: with single estimates, a hot key would be moved back and forth
    between targets of the same speed.
    """
    moves: list[Move] = []
    by_utilization = sorted(
        shares, key=lambda target: shares[target].utilization, reverse=True
    )
    for target in by_utilization:
        share = shares[target]
        if share.utilization <= 1:
            break
        if not share.keys:
            # All its load is planned: from keys of lost targets that will move to it.
            continue
        key = max(share.keys, key=rates_by_key.__getitem__)
        rate = rates_by_key[key]
        if (
            rate < MIN_HOT_KEY_SHARE * share.capacity
            or assignment.segment_of(key).former_owner
        ):
            continue
        spare_capacity_by_target = {
            other: bounds_by_target[other].low - _hottest_rate(candidate, rates_by_key)
            for other, candidate in shares.items()
        }
        destination = max(
            spare_capacity_by_target, key=spare_capacity_by_target.__getitem__
        )
        if (
            spare_capacity_by_target[destination]
            < MIN_CAPACITY_RATIO * bounds_by_target[target].high
        ):
            continue
        moves.append(Move(first=key, last=key, source=target, to=destination))
        share.load -= rate
        share.keys.remove(key)
        shares[destination].load += rate
        insort(shares[destination].keys, key)
    return moves


def _hottest_rate(share: TargetShare, rates_by_key: Mapping[int, float]) -> float:
    """Return the rate of a target's hottest key, which can't be split."""
    return max((rates_by_key[key] for key in share.keys), default=0.0)
