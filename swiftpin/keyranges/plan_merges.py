"""Planning of moves that merge cold segments with a neighbouring segment."""

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
"""Share of a target's capacity up to which a segment's load counts as cold, so that the
segment may be merged with a neighbour: each segment needs a grant of its own."""

MAX_MERGES_PER_PLAN: Final = 6
"""Maximum number of segments in one plan that are moved to be merged."""

MIN_SEGMENTS_PER_TARGET_TO_MERGE: Final = 1.5
"""Average number of segments per target up to which no segments are merged."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MergeCandidate:
    """A segment that could be merged with a neighbouring segment."""

    index: int
    neighbour_owners: frozenset[str]
    """Owners of the keys on both sides."""

    has_single_neighbour_owner: bool
    """Whether the keys on both sides have the same owner."""

    load: float
    """Requests per second."""

    width: int


def plan_merges(
    assignment: Assignment,
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
    *,
    has_many_segments: bool = False,
) -> list[Move]:
    """Return moves of cold segments to the owner of a neighbouring segment.

    Unless `has_many_segments` is set, only segments between two segments of the same
    owner are moved.
    """
    segments = assignment.segments
    if len(segments) <= MIN_SEGMENTS_PER_TARGET_TO_MERGE * len(shares):
        return []
    moves: list[Move] = []
    candidates = sorted(
        _merge_candidates(segments, shares, rates_by_key), key=_merge_order
    )
    max_utilization = max(BUSY_UTILIZATION, mean_utilization(shares))
    moved_indexes: set[int] = set()
    kept_indexes: set[int] = set()
    for candidate in candidates:
        if len(moves) >= MAX_MERGES_PER_PLAN:
            break
        neighbour_indexes = {candidate.index - 1, candidate.index + 1}
        if candidate.index in kept_indexes or moved_indexes & neighbour_indexes:
            continue
        if not (has_many_segments or candidate.has_single_neighbour_owner):
            continue
        destination = _choose_destination(candidate, shares, max_utilization)
        if destination is None:
            continue
        moved_indexes.add(candidate.index)
        kept_indexes |= neighbour_indexes
        shares[destination].load += candidate.load
        segment = segments[candidate.index]
        moves.append(
            Move(
                first=segment.first,
                last=segment.last,
                source=segment.owner,
                to=destination,
            )
        )
    return moves


def _merge_candidates(
    segments: tuple[Segment, ...],
    shares: dict[str, TargetShare],
    rates_by_key: Mapping[int, float],
) -> Iterator[MergeCandidate]:
    """Return segments that could be merged with a neighbour.

    Neither they nor their neighbours are being moved.
    """
    keys = sorted(rates_by_key)
    for index in range(1, len(segments) - 1):
        previous_segment, segment, next_segment = segments[index - 1 : index + 2]
        if (
            previous_segment.former_owner
            or segment.former_owner
            or next_segment.former_owner
        ):
            continue
        neighbour_owners = {previous_segment.owner, next_segment.owner}
        if segment.owner in neighbour_owners or not neighbour_owners <= shares.keys():
            # It will be merged without a move, or a neighbour's keys are reassigned.
            continue
        low, high = bisect_left(keys, segment.first), bisect_right(keys, segment.last)
        yield MergeCandidate(
            index=index,
            neighbour_owners=frozenset(neighbour_owners),
            has_single_neighbour_owner=previous_segment.owner == next_segment.owner,
            load=sum(rates_by_key[key] for key in keys[low:high]),
            width=segment.width,
        )


def _merge_order(candidate: MergeCandidate) -> tuple[bool, int, float]:
    """Return the sort key: first those that save two segments, then narrow ones."""
    return (not candidate.has_single_neighbour_owner, candidate.width, candidate.load)


def _choose_destination(
    candidate: MergeCandidate, shares: dict[str, TargetShare], max_utilization: float
) -> str | None:
    """Return the less utilized neighbour, None if the segment is too busy for it."""
    destination = min(
        candidate.neighbour_owners, key=lambda owner: (shares[owner].utilization, owner)
    )
    share = shares[destination]
    spare_capacity = max_utilization * share.capacity - share.load
    return (
        destination
        if candidate.load <= min(MAX_COLD_SHARE * share.capacity, spare_capacity)
        else None
    )
