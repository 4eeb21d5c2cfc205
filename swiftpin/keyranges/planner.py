"""Which keys should move where."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
import math
from typing import Final

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.key_load import MEMORY
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.segment import Segment

BUSY: Final = 0.55
"""Utilization below which a target is left alone: queues are short there."""

IMBALANCE: Final = 1.2
"""How far above the mean a target's utilization is before it gives keys away."""

CHANCE: Final = 1.5
"""Standard deviations by which a target's load must exceed the level: a rate that was
counted over a second and a half is off by a quarter at ten requests a second, and moves
after chance cut the keys into thousands of pieces."""

COLD_SHARE: Final = 0.04
"""Part of a target's capacity up to which a piece between two of another owner is
given back to it: each piece is a grant of its own to renew."""

MOST_JOINS: Final = 6
"""Pieces given back at a time."""

PIECES_A_TARGET: Final = 1.5
"""Segments a target, on average, up to which nothing is given back."""

MOST_MOVES: Final = 24
"""Moves planned at a time; each costs a release and a grant."""

PIECES: Final = 4
"""Parts into which the keys of a leaving target are cut at least, to spread them."""

MOST_SEGMENTS: Final = 6
"""Segments a target, on average, beyond which none is cut for balance: each is renewed
by a call of its own every second."""

SMALLEST_ROOM: Final = 0.05
"""Share of a target's capacity that must be free for it to take keys."""


@dataclass(kw_only=True, slots=True)
class TargetShare:
    """One target while a plan is made; loads in requests a second."""

    capacity: float
    load: float = 0.0
    width: int = 0
    keys: list[int] = field(default_factory=list)
    """Keys with load, in order."""

    @property
    def utilization(self) -> float:
        """Return the part of the capacity that is used."""
        return self.load / self.capacity


def plan_moves(
    assignment: Assignment,
    capacities_by_target: Mapping[str, float],
    rates_by_key: Mapping[int, float],
) -> list[Move]:
    """Return moves that empty lost targets and then even the load out.

    `capacities_by_target` holds the targets that may own keys, with the requests a
    second that each can bear. Segments on the move, which have a former owner, stay.
    """
    if not capacities_by_target:
        return []
    shares = _shares(assignment, capacities_by_target, rates_by_key)
    moves = _rescue(assignment, shares, rates_by_key)
    if len(assignment.segments) > MOST_SEGMENTS * len(shares):
        return moves or _joins(assignment, shares, rates_by_key)
    moves += _feed_idle(assignment, shares, moves)
    if len(moves) < MOST_MOVES:
        moves += _balance(assignment, shares, rates_by_key, moves)
    if not moves:
        moves = _joins(assignment, shares, rates_by_key)
    return moves


def _shares(
    assignment: Assignment,
    capacities_by_target: Mapping[str, float],
    rates_by_key: Mapping[int, float],
) -> dict[str, TargetShare]:
    """Return what each target that may own keys has now."""
    shares = {
        target: TargetShare(capacity=capacity)
        for target, capacity in capacities_by_target.items()
    }
    for segment in assignment.segments:
        share = shares.get(segment.owner)
        if share is not None:
            share.width += segment.width
    for key in sorted(rates_by_key):
        share = shares.get(assignment.segment_of(key).owner)
        if share is not None:
            share.load += rates_by_key[key]
            share.keys.append(key)
    return shares


def _rescue(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
) -> list[Move]:
    """Return moves of all keys whose owner may not have them any more."""
    moves = []
    keys = sorted(rates_by_key)
    for segment in assignment.segments:
        if segment.owner in shares or segment.former:
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
    count = min(PIECES, segment.width) if segment.width > PIECES * 64 else 1
    bounds = [segment.first + segment.width * i // count for i in range(count + 1)]
    return [(bounds[i], bounds[i + 1] - 1) for i in range(count)]


def _feed_idle(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    planned: list[Move],
) -> list[Move]:
    """Return a first range for each target that owns nothing."""
    moves: list[Move] = []
    fed = {move.to for move in planned}
    taken = {(move.first, move.last) for move in planned}
    for target, share in shares.items():
        if share.width or target in fed:
            continue
        segments = [
            segment
            for segment in assignment.segments
            if segment.owner in shares
            and not segment.former
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


def _balance(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    planned: list[Move],
) -> list[Move]:
    """Return moves of busy keys from the busiest targets to those with room."""
    total_capacity = sum(share.capacity for share in shares.values())
    mean = sum(share.load for share in shares.values()) / total_capacity
    level = max(mean, BUSY * 0.7)
    moves: list[Move] = []
    # What is planned shows as segments with a former owner; those are left alone.
    working = assignment.with_moves(planned, 0)
    donors = sorted(shares, key=lambda name: shares[name].utilization, reverse=True)
    for name in donors:
        if shares[name].utilization < max(BUSY, mean * IMBALANCE):
            break
        if not _is_certain(shares[name], level):
            continue
        relief = _relieve(name, working, shares, rates_by_key, level)
        moves += relief
        working = working.with_moves(relief, 0)
        if len(moves) + len(planned) >= MOST_MOVES:
            break
    return moves


def _is_certain(share: TargetShare, level: float) -> bool:
    """Return whether a target's load exceeds the level by more than chance."""
    excess = share.load - level * share.capacity
    return excess > CHANCE * math.sqrt(share.load / MEMORY)


def _joins(
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


def _relieve(
    name: str,
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    level: float,
) -> list[Move]:
    """Return moves that bring one target's load down to the level."""
    share = shares[name]
    moves: list[Move] = []
    working = assignment
    left = [key for key in share.keys if _may_leave(working.segment_of(key), name)]
    while left and len(moves) < MOST_MOVES:
        excess = share.load - level * share.capacity
        to = min(shares, key=lambda target: shares[target].utilization)
        room = level * shares[to].capacity - shares[to].load
        amount = min(excess, room)
        if to == name or amount < SMALLEST_ROOM * shares[to].capacity:
            break
        window = _hottest_window(left, working, rates_by_key, amount)
        if window is None:
            break
        low, high = window
        moved = sum(rates_by_key[key] for key in left[low : high + 1])
        move = Move(first=left[low], last=left[high], source=name, to=to)
        moves.append(move)
        # The cut keeps later windows from reaching across the keys that left.
        working = working.with_moves([move], 0)
        share.load -= moved
        shares[to].load += moved
        del left[low : high + 1]
    return moves


def _may_leave(segment: Segment, owner: str) -> bool:
    """Return whether a segment is the owner's and not on the move."""
    return segment.owner == owner and not segment.former


def _hottest_window(
    keys: list[int],
    assignment: Assignment,
    rates_by_key: Mapping[int, float],
    amount: float,
) -> tuple[int, int] | None:
    """Return positions in `keys` of neighbours with about the amount of load.

    Grown from the hottest key that fits, towards its nearer neighbour, within one
    segment: so few keys move for much load.
    """
    best = -1
    for position, key in enumerate(keys):
        rate = rates_by_key[key]
        if rate <= amount and (best < 0 or rate > rates_by_key[keys[best]]):
            best = position
    if best < 0:
        return None
    segment = assignment.segment_of(keys[best])
    low = high = best
    load = rates_by_key[keys[best]]
    while True:
        step = _nearer_neighbour(keys, low, high, segment)
        if step is None or load + rates_by_key[keys[step]] > amount:
            return low, high
        load += rates_by_key[keys[step]]
        low, high = min(low, step), max(high, step)


def _nearer_neighbour(
    keys: list[int], low: int, high: int, segment: Segment
) -> int | None:
    """Return the position of the next key to take in, None when there is none."""
    below = low - 1 if low > 0 and keys[low - 1] >= segment.first else None
    above = (
        high + 1 if high + 1 < len(keys) and keys[high + 1] <= segment.last else None
    )
    if below is None or above is None:
        return above if below is None else below
    if keys[low] - keys[below] < keys[above] - keys[high]:
        return below
    return above
