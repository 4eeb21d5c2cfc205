"""Planning of moves of keys whose owner is no longer eligible."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_share import TargetShare

PARTS_PER_SEGMENT: Final = 4
"""Parts into which a large segment is split, to spread its keys over targets."""


def plan_reassignments(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
) -> list[Move]:
    """Return moves of all keys whose owner is no longer eligible."""
    moves = []
    keys = sorted(rates_by_key)
    for segment in assignment.segments:
        if segment.owner in shares or segment.former_owner:
            continue
        for first, last in _split(segment):
            destination = min(
                shares, key=lambda target: _destination_rank(shares[target])
            )
            low, high = bisect_left(keys, first), bisect_right(keys, last)
            shares[destination].load += sum(rates_by_key[key] for key in keys[low:high])
            shares[destination].width += last - first + 1
            moves.append(
                Move(first=first, last=last, source=segment.owner, to=destination)
            )
    return moves


def _destination_rank(share: TargetShare) -> tuple[float, float]:
    """Return the sort key of destinations: load first, then number of keys."""
    return (round(share.utilization, 1), share.width / share.capacity)


def _split(segment: Segment) -> list[tuple[int, int]]:
    """Return the parts of a segment as first and last keys."""
    count = (
        min(PARTS_PER_SEGMENT, segment.width)
        if segment.width > PARTS_PER_SEGMENT * 64
        else 1
    )
    bounds = [segment.first + segment.width * i // count for i in range(count + 1)]
    return [(bounds[i], bounds[i + 1] - 1) for i in range(count)]
