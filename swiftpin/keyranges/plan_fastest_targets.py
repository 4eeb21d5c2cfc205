"""Planning of moves of hot keys to the fastest targets that are free for them."""

from __future__ import annotations

from bisect import insort
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.move_history import MoveHistory
from swiftpin.keyranges.plan_hot_keys import MIN_HOT_KEY_SHARE
from swiftpin.keyranges.target_share import TargetShare
from swiftpin.keyranges.target_speed import CapacityBounds

HORIZON: Final = 3.0
"""Seconds for which a hot key is expected to stay hot."""

PAUSE_REQUESTS: Final = 3.0
"""Time for which a moved key is not served, in multiples of the mean time of a request:
the longest running one must end first."""

MIN_SPEED_RATIO: Final = 1.3
"""Ratio of the capacities that outweighs the error of the estimates, which is some 11%
for each of the two."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HotKeyBasis:
    """What moves of hot keys are planned by."""

    rates_by_key: Mapping[int, float]
    bounds_by_target: Mapping[str, CapacityBounds]
    seconds_by_target: Mapping[str, float]
    restricted_targets: Collection[str]
    """Targets that are cold, limited to a rate or in a back-off period."""

    history: MoveHistory


def plan_fastest_targets(
    basis: HotKeyBasis, assignment: Assignment, shares: dict[str, TargetShare]
) -> list[Move]:
    """Return moves of keys that alone overload their owner to the fastest free targets.

    It handles a key that gets several times what any target serves. The other keys of
    the new owner are moved away in the same plan, since its share includes the hot key.
    A key is moved only if what the faster target serves more while the key is hot
    outweighs what is not served during the move.
    """
    moves: list[Move] = []
    for source in sorted(shares, key=lambda it: shares[it].utilization, reverse=True):
        share = shares[source]
        if share.utilization <= 1:
            break
        key = max(share.keys, key=basis.rates_by_key.__getitem__, default=None)
        if key is None or not _is_hot(key, share, basis):
            continue
        if assignment.segment_of(key).former_owner or basis.history.moved(key):
            continue
        destination = _fastest_free_target(key, source, basis, shares)
        if destination is None:
            continue
        moves.append(Move(first=key, last=key, source=source, to=destination))
        share.load -= basis.rates_by_key[key]
        share.keys.remove(key)
        shares[destination].load += basis.rates_by_key[key]
        insort(shares[destination].keys, key)
    return moves


def _is_hot(key: int, share: TargetShare, basis: HotKeyBasis) -> bool:
    """Return whether a key needs a target of its own."""
    return basis.rates_by_key[key] >= MIN_HOT_KEY_SHARE * share.capacity


def _fastest_free_target(
    key: int, source: str, basis: HotKeyBasis, shares: Mapping[str, TargetShare]
) -> str | None:
    """Return the fastest target without a hot key, None if the key had better stay."""
    low_by_target = {
        target: basis.bounds_by_target[target].low
        for target, share in shares.items()
        if target != source
        and target not in basis.restricted_targets
        and not any(_is_hot(other, share, basis) for other in share.keys)
    }
    if not low_by_target:
        return None
    fastest = max(low_by_target, key=low_by_target.__getitem__)
    bounds = basis.bounds_by_target[source]
    present = (bounds.low + bounds.high) / 2
    rate = basis.rates_by_key[key]
    gain = (min(rate, low_by_target[fastest]) - min(rate, present)) * HORIZON
    pause = PAUSE_REQUESTS * basis.seconds_by_target[source]
    if low_by_target[fastest] < MIN_SPEED_RATIO * present or gain < present * pause:
        return None
    return fastest
