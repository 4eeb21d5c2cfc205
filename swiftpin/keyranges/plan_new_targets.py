"""Planning of moves to targets that own no keys yet."""

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
    """Return moves of a first range to targets without keys, except limited ones."""
    moves: list[Move] = []
    receiving = {move.to for move in planned}
    planned_ranges = {(move.first, move.last) for move in planned}
    for target, share in shares.items():
        if share.width or target in receiving or target in limited_targets:
            continue
        segments = [
            segment
            for segment in assignment.segments
            if segment.owner in shares
            and not segment.former_owner
            and segment.width > 1
            and (segment.first, segment.last) not in planned_ranges
        ]
        if not segments:
            break
        donor = max(segments, key=lambda segment: _donor_rank(segment, shares))
        planned_ranges.add((donor.first, donor.last))
        middle = donor.first + donor.width // 2
        moves.append(Move(first=middle, last=donor.last, source=donor.owner, to=target))
        share.width += donor.last - middle + 1
    return moves


def _donor_rank(segment: Segment, shares: dict[str, TargetShare]) -> tuple[float, int]:
    """Return the sort key of donor segments: the owner's utilization, then width."""
    return (round(shares[segment.owner].utilization, 1), segment.width)
