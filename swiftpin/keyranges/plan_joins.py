"""Moves of cold pieces to the owner of keys beside them."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.plan_balance import BUSY
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_share import TargetShare, mean_utilization

COLD_SHARE: Final = 0.06
"""Part of a target's capacity up to which a piece is given to the owner of the keys
beside it: each piece is a grant of its own to renew."""

MOST_JOINS: Final = 6
"""Pieces given back at a time."""

PIECES_A_TARGET: Final = 1.5
"""Segments a target, on average, up to which nothing is given back."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Piece:
    """A segment that another owner's keys lie beside."""

    position: int
    owners: frozenset[str]
    """Owners of the keys on its two sides, its own left out."""

    is_between_one: bool
    """Whether one owner has the keys on both sides."""

    load: float
    """Requests a second."""

    width: int


def plan_joins(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    *,
    is_crowded: bool = False,
) -> list[Move]:
    """Return moves of the coldest pieces to the owner of keys beside them.

    Only of pieces between two of one owner, unless there are so many segments that
    each one less counts.
    """
    segments = assignment.segments
    if len(segments) <= PIECES_A_TARGET * len(shares):
        return []
    moves: list[Move] = []
    pieces = sorted(_pieces_between(segments, shares, rates_by_key), key=_cost)
    level = max(BUSY, mean_utilization(shares))
    moved: set[int] = set()
    kept: set[int] = set()
    for piece in pieces:
        if len(moves) >= MOST_JOINS:
            break
        beside = {piece.position - 1, piece.position + 1}
        if piece.position in kept or moved & beside:
            continue
        if not (is_crowded or piece.is_between_one):
            continue
        to = _taker(piece, shares, level)
        if to is None:
            continue
        moved.add(piece.position)
        kept |= beside
        shares[to].load += piece.load
        segment = segments[piece.position]
        moves.append(
            Move(first=segment.first, last=segment.last, source=segment.owner, to=to)
        )
    return moves


def _pieces_between(
    segments: tuple[Segment, ...],
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
) -> Iterator[Piece]:
    """Return the segments at rest that have another owner's at rest beside them."""
    keys = sorted(rates_by_key)
    for position in range(1, len(segments) - 1):
        before, segment, after = segments[position - 1 : position + 2]
        if before.former or segment.former or after.former:
            continue
        owners = {before.owner, after.owner}
        if segment.owner in owners or not owners <= shares.keys():
            # It will be one with its neighbour, or that one's keys leave themselves.
            continue
        low, high = bisect_left(keys, segment.first), bisect_right(keys, segment.last)
        yield Piece(
            position=position,
            owners=frozenset(owners),
            is_between_one=before.owner == after.owner,
            load=sum(rates_by_key[key] for key in keys[low:high]),
            width=segment.width,
        )


def _cost(piece: Piece) -> tuple[bool, int, float]:
    """Return by what pieces are chosen: narrow ones that leave two segments less."""
    return (not piece.is_between_one, piece.width, piece.load)


def _taker(piece: Piece, shares: dict[str, TargetShare], level: float) -> str | None:
    """Return the neighbour with most room, None when the piece is too busy for it."""
    to = min(piece.owners, key=lambda name: (shares[name].utilization, name))
    share = shares[to]
    room = level * share.capacity - share.load
    return to if piece.load <= min(COLD_SHARE * share.capacity, room) else None
