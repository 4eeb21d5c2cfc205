"""Moves of cold pieces to the owner of keys beside them."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.plan_balance import BUSY_UTILIZATION
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_share import TargetShare, mean_utilization

MAX_COLD_SHARE: Final = 0.06
"""Part of a target's capacity up to which a piece is given to the owner of the keys
beside it: each piece is a grant of its own to renew."""

MAX_MERGES_PER_PLAN: Final = 6
"""Pieces given back at a time."""

MIN_SEGMENTS_PER_TARGET_TO_MERGE: Final = 1.5
"""Segments a target, on average, up to which nothing is given back."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MergeCandidate:
    """A segment that another owner's keys lie beside."""

    index: int
    neighbour_owners: frozenset[str]
    """Owners of the keys on its two sides, its own left out."""

    has_single_neighbour: bool
    """Whether one owner has the keys on both sides."""

    load: float
    """Requests a second."""

    width: int


def plan_merges(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    *,
    has_many_segments: bool = False,
) -> list[Move]:
    """Return moves of the coldest pieces to the owner of keys beside them.

    Only of pieces between two of one owner, unless there are so many segments that
    each one less counts.
    """
    segments = assignment.segments
    if len(segments) <= MIN_SEGMENTS_PER_TARGET_TO_MERGE * len(shares):
        return []
    moves: list[Move] = []
    pieces = sorted(_pieces_between(segments, shares, rates_by_key), key=_cost)
    level = max(BUSY_UTILIZATION, mean_utilization(shares))
    moved: set[int] = set()
    kept: set[int] = set()
    for piece in pieces:
        if len(moves) >= MAX_MERGES_PER_PLAN:
            break
        beside = {piece.index - 1, piece.index + 1}
        if piece.index in kept or moved & beside:
            continue
        if not (has_many_segments or piece.has_single_neighbour):
            continue
        to = _taker(piece, shares, level)
        if to is None:
            continue
        moved.add(piece.index)
        kept |= beside
        shares[to].load += piece.load
        segment = segments[piece.index]
        moves.append(
            Move(first=segment.first, last=segment.last, source=segment.owner, to=to)
        )
    return moves


def _pieces_between(
    segments: tuple[Segment, ...],
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
) -> Iterator[MergeCandidate]:
    """Return the segments at rest that have another owner's at rest beside them."""
    keys = sorted(rates_by_key)
    for position in range(1, len(segments) - 1):
        before, segment, after = segments[position - 1 : position + 2]
        if before.former_owner or segment.former_owner or after.former_owner:
            continue
        owners = {before.owner, after.owner}
        if segment.owner in owners or not owners <= shares.keys():
            # It will be one with its neighbour, or that one's keys leave themselves.
            continue
        low, high = bisect_left(keys, segment.first), bisect_right(keys, segment.last)
        yield MergeCandidate(
            index=position,
            neighbour_owners=frozenset(owners),
            has_single_neighbour=before.owner == after.owner,
            load=sum(rates_by_key[key] for key in keys[low:high]),
            width=segment.width,
        )


def _cost(piece: MergeCandidate) -> tuple[bool, int, float]:
    """Return by what pieces are chosen: narrow ones that leave two segments less."""
    return (not piece.has_single_neighbour, piece.width, piece.load)


def _taker(
    piece: MergeCandidate, shares: dict[str, TargetShare], level: float
) -> str | None:
    """Return the neighbour with most room, None when the piece is too busy for it."""
    to = min(piece.neighbour_owners, key=lambda name: (shares[name].utilization, name))
    share = shares[to]
    room = level * share.capacity - share.load
    return to if piece.load <= min(MAX_COLD_SHARE * share.capacity, room) else None
