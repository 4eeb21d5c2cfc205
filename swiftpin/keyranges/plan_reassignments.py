"""Moves of keys whose owner may not have them any more."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_share import TargetShare

PARTS_PER_SEGMENT: Final = 4
"""Parts into which the keys of a leaving target are cut at least, to spread them."""


def plan_reassignments(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
) -> list[Move]:
    """Return moves of all keys whose owner may not have them any more."""
    moves = []
    keys = sorted(rates_by_key)
    for segment in assignment.segments:
        if segment.owner in shares or segment.former_owner:
            continue
        for first, last in _pieces(segment):
            to = min(shares, key=lambda target: _pressure(shares[target]))
            low, high = bisect_left(keys, first), bisect_right(keys, last)
            shares[to].load += sum(rates_by_key[key] for key in keys[low:high])
            shares[to].width += last - first + 1
            moves.append(Move(first=first, last=last, source=segment.owner, to=to))
    return moves


def _pressure(share: TargetShare) -> tuple[float, float]:
    """Return by what receivers are compared: load first, then keys."""
    return (round(share.utilization, 1), share.width / share.capacity)


def _pieces(segment: Segment) -> list[tuple[int, int]]:
    """Return the parts into which a lost segment is cut."""
    count = (
        min(PARTS_PER_SEGMENT, segment.width)
        if segment.width > PARTS_PER_SEGMENT * 64
        else 1
    )
    bounds = [segment.first + segment.width * i // count for i in range(count + 1)]
    return [(bounds[i], bounds[i + 1] - 1) for i in range(count)]
