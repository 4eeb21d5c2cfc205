"""Moves of cold pieces to the owner of the keys on both of their sides."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.plan_balance import BUSY
from swiftpin.keyranges.target_share import TargetShare

COLD_SHARE: Final = 0.04
"""Part of a target's capacity up to which a piece between two of another owner is
given back to it: each piece is a grant of its own to renew."""

MOST_JOINS: Final = 6
"""Pieces given back at a time."""

PIECES_A_TARGET: Final = 1.5
"""Segments a target, on average, up to which nothing is given back."""


def plan_joins(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
) -> list[Move]:
    """Return moves of cold pieces to the owner of the keys on both of their sides."""
    segments = assignment.segments
    if len(segments) <= PIECES_A_TARGET * len(shares):
        return []
    keys = sorted(rates_by_key)
    moves: list[Move] = []
    for before, piece, after in zip(segments, segments[1:], segments[2:], strict=False):
        if len(moves) >= MOST_JOINS:
            break
        owner = before.owner
        if owner != after.owner or owner == piece.owner or owner not in shares:
            continue
        if before.former or piece.former or after.former:
            continue
        if moves and moves[-1].last >= before.first:
            continue
        low, high = bisect_left(keys, piece.first), bisect_right(keys, piece.last)
        load = sum(rates_by_key[key] for key in keys[low:high])
        share = shares[owner]
        room = BUSY * share.capacity - share.load
        if load > min(COLD_SHARE * share.capacity, room):
            continue
        share.load += load
        moves.append(
            Move(first=piece.first, last=piece.last, source=piece.owner, to=owner)
        )
    return moves
