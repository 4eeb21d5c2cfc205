"""Moves of a first range to each target that owns nothing."""

from __future__ import annotations

from collections.abc import Collection

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_share import TargetShare


def plan_new_targets(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    planned: list[Move],
    limited_targets: Collection[str] = (),
) -> list[Move]:
    """Return a first range for each target that owns nothing and is not limited."""
    moves: list[Move] = []
    fed = {move.to for move in planned}
    taken = {(move.first, move.last) for move in planned}
    for target, share in shares.items():
        if share.width or target in fed or target in limited_targets:
            continue
        segments = [
            segment
            for segment in assignment.segments
            if segment.owner in shares
            and not segment.former_owner
            and segment.width > 1
            and (segment.first, segment.last) not in taken
        ]
        if not segments:
            break
        donor = max(segments, key=lambda segment: _want(segment, shares))
        taken.add((donor.first, donor.last))
        middle = donor.first + donor.width // 2
        moves.append(Move(first=middle, last=donor.last, source=donor.owner, to=target))
        share.width += donor.last - middle + 1
    return moves


def _want(segment: Segment, shares: dict[str, TargetShare]) -> tuple[float, int]:
    """Return how much a segment's owner would like to be relieved of a part."""
    return (round(shares[segment.owner].utilization, 1), segment.width)
