"""The recorded assignment of a service's keys."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any, Final

from swiftpin.exceptions import ConfigurationError
from swiftpin.helpers.json_fields import (
    FieldError,
    read_field,
    read_integer,
    read_list,
    read_mapping,
    read_string,
)
from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.segment import Segment
from swiftpin.platform.names import MILLISECONDS_PER_SECOND

ROW_LENGTH: Final = 4
"""Number of values in a row: first key, owner, fence, former owner."""

ATTR_MAX_HOLD: Final = "longest_grant_ms"


@dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """Segments that cover all keys, in key order."""

    segments: tuple[Segment, ...]
    max_hold: float | None = None
    """Duration in seconds of the longest grant that may still be valid. None if the
    record was written by a version that doesn't store it."""

    firsts: tuple[int, ...] = field(init=False, repr=False, compare=False)
    """First key of each segment, for binary search."""

    def __post_init__(self) -> None:
        firsts = tuple(segment.first for segment in self.segments)
        object.__setattr__(self, "firsts", firsts)

    def segment_of(self, key: int) -> Segment:
        """Return the segment that contains a key."""
        return self.segments[bisect_right(self.firsts, key) - 1]

    def fences(self) -> set[int]:
        """Return the recorded fences of all segments."""
        return {segment.fence for segment in self.segments}

    def with_moves(self, moves: Iterable[Move], next_fence: int) -> Assignment:
        """Return the assignment after moves, each of which gets its own fence."""
        segments = list(self.segments)
        for move in moves:
            segments = _apply_move(segments, move, next_fence)
            next_fence += 1
        return replace(self, segments=tuple(segments))

    def with_merged_neighbours(
        self, next_fence: int, max_merged: int
    ) -> tuple[Assignment, list[int]]:
        """Merge neighbouring segments of the same owner.

        Return the assignment and the new fences, one per merged segment and at most
        `max_merged`. Segments that are being moved are left unchanged.
        """
        merged: list[Segment] = []
        fences: list[int] = []
        for segment in self.segments:
            previous = merged[-1] if merged else None
            if (
                previous is None
                or previous.owner != segment.owner
                or previous.former_owner
                or segment.former_owner
            ):
                merged.append(segment)
            elif fences and previous.fence == fences[-1]:
                merged[-1] = replace(previous, last=segment.last)
            elif len(fences) < max_merged:
                fences.append(next_fence + len(fences))
                merged[-1] = replace(previous, last=segment.last, fence=fences[-1])
            else:
                merged.append(segment)
        return replace(self, segments=tuple(merged)), fences

    def with_replaced(self, old: Segment, new: Segment) -> Assignment:
        """Return the assignment with a segment replaced, if it still contains it."""
        segments = tuple(
            new if segment == old else segment for segment in self.segments
        )
        return replace(self, segments=segments)

    def without_finished_moves(self, current: Assignment) -> Assignment:
        """Return this plan without the moves that have finished in `current`."""
        unfinished_fences = {
            segment.fence for segment in current.segments if segment.former_owner
        }
        finished_fences = current.fences() - unfinished_fences
        return replace(
            self,
            segments=tuple(
                replace(segment, former_owner="")
                if segment.former_owner and segment.fence in finished_fences
                else segment
                for segment in self.segments
            ),
        )


def _apply_move(segments: list[Segment], move: Move, fence: int) -> list[Segment]:
    """Return the segments after a move."""
    result = []
    for segment in segments:
        if segment.last < move.first or segment.first > move.last:
            result.append(segment)
            continue
        first = max(segment.first, move.first)
        last = min(segment.last, move.last)
        if segment.first < first:
            result.append(replace(segment, last=first - 1))
        result.append(
            Segment(
                first=first,
                last=last,
                owner=move.to,
                fence=fence,
                former_owner=segment.owner,
            )
        )
        if last < segment.last:
            result.append(replace(segment, first=last + 1))
    return result


def divide_by_weight(
    weights_by_target: dict[str, float],
    fence: int,
    max_hold: float | None = None,
) -> Assignment:
    """Return an initial assignment with ranges in proportion to the weights."""
    total = sum(weights_by_target.values())
    segments = []
    first = 0
    cumulative_weight = 0.0
    for target, weight in sorted(weights_by_target.items()):
        cumulative_weight += weight
        end = round(KEY_COUNT * cumulative_weight / total)
        if end <= first:
            continue
        segments.append(Segment(first=first, last=end - 1, owner=target, fence=fence))
        first = end
    return Assignment(segments=tuple(segments), max_hold=max_hold)


def encode_assignment(assignment: Assignment) -> dict[str, Any]:
    """Return the record's content; rows refer to targets by their index."""
    indexes: dict[str, int] = {"": 0}
    rows = []
    for segment in assignment.segments:
        owner = indexes.setdefault(segment.owner, len(indexes))
        former = indexes.setdefault(segment.former_owner, len(indexes))
        rows.append([segment.first, owner, segment.fence, former])
    content: dict[str, Any] = {"targets": list(indexes), "rows": rows}
    if assignment.max_hold is not None:
        content[ATTR_MAX_HOLD] = round(assignment.max_hold * MILLISECONDS_PER_SECOND)
    return content


def decode_assignment(content: object) -> Assignment:
    """Return the assignment in a record; raise `ConfigurationError` if malformed."""
    try:
        fields = read_mapping(content, "the record")
        targets = read_list(read_field(fields, "targets"), "targets")
        rows = read_list(read_field(fields, "rows"), "rows")
        names = [read_string(name, "a target", may_be_empty=True) for name in targets]
        partial_segments = [_decode_row(row, names) for row in rows]
        max_hold = None
        if ATTR_MAX_HOLD in fields:
            max_hold = read_integer(fields[ATTR_MAX_HOLD], ATTR_MAX_HOLD)
        return Assignment(
            segments=_fill_last_keys(partial_segments),
            max_hold=None if max_hold is None else max_hold / MILLISECONDS_PER_SECOND,
        )
    except FieldError as err:
        raise ConfigurationError(f"record of an assignment: {err}") from err


def _decode_row(row: object, names: list[str]) -> Segment:
    """Return the segment in a row; its last key is a placeholder."""
    values = read_list(row, "a row")
    if len(values) != ROW_LENGTH:
        raise FieldError("a row has the wrong number of values")
    first = read_integer(values[0], "the first key", maximum=KEY_COUNT - 1)
    owner = names[read_integer(values[1], "the owner", maximum=len(names) - 1)]
    former = names[read_integer(values[3], "the former owner", maximum=len(names) - 1)]
    return Segment(
        first=first,
        last=first,
        owner=read_string(owner, "the owner"),
        fence=read_integer(values[2], "the fence"),
        former_owner=former,
    )


def _fill_last_keys(partial_segments: list[Segment]) -> tuple[Segment, ...]:
    """Return the segments with their last keys; raise on gaps and overlaps."""
    firsts = [segment.first for segment in partial_segments]
    if not firsts or firsts[0] != 0 or firsts != sorted(set(firsts)):
        raise FieldError("the rows do not cover each key exactly once")
    ends = [*firsts[1:], KEY_COUNT]
    return tuple(
        replace(segment, last=end - 1)
        for segment, end in zip(partial_segments, ends, strict=True)
    )
