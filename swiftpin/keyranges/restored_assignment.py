"""The assignment to continue with if the recorded one may be outdated."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from swiftpin.core import callback
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.fences import FENCES_PER_TERM
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.keyranges.segment import Segment
from swiftpin.model.target_life import TargetLife


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRange:
    """The keys `first` to `last`, inclusive."""

    first: int
    last: int


@callback
def is_map_newer(key_map: KeyMap, recorded: Assignment) -> bool:
    """Return whether a known key map is probably newer than a restored record.

    The fences of unfinished moves were allocated when the record was taken over.
    """
    fences = [
        segment.fence for segment in recorded.segments if not segment.former_owner
    ]
    return key_map.term >= max(fences, default=0) // FENCES_PER_TERM


@callback
def with_known_owners(
    recorded: Assignment, key_map: KeyMap | None, allocate_fence: Callable[[], int]
) -> Assignment:
    """Return an assignment with the owners of a newer key map, as far as it has any.

    Targets that hold keys of which the record does not know then keep them. Moves of
    the record are left out: all targets but the owner are asked to release the keys.
    """
    owners_by_first: dict[int, str] = {}
    known_firsts = () if key_map is None else key_map.firsts
    previous_owner = ""
    for first in sorted({*recorded.firsts, *known_firsts}):
        known_owner = "" if key_map is None else key_map.owner_of(first)
        owner = known_owner or recorded.segment_of(first).owner
        if owner != previous_owner:
            owners_by_first[first] = previous_owner = owner
    ends = [*list(owners_by_first)[1:], KEY_COUNT]
    segments = tuple(
        Segment(first=first, last=end - 1, owner=owner, fence=allocate_fence())
        for (first, owner), end in zip(owners_by_first.items(), ends, strict=True)
    )
    return Assignment(segments=segments, max_hold=recorded.max_hold)


@callback
def ranges_of_others(assignment: Assignment, target_id: str) -> list[KeyRange]:
    """Return the ranges of keys that no life of a target owns."""
    ranges: list[KeyRange] = []
    for segment in assignment.segments:
        if _is_same_target(segment.owner, target_id):
            continue
        if ranges and ranges[-1].last == segment.first - 1:
            ranges[-1] = KeyRange(first=ranges[-1].first, last=segment.last)
        else:
            ranges.append(KeyRange(first=segment.first, last=segment.last))
    return ranges


@callback
def named_targets(assignment: Assignment) -> Iterator[str]:
    """Yield the owners and former owners in an assignment."""
    for segment in assignment.segments:
        yield segment.owner
        if segment.former_owner:
            yield segment.former_owner


@callback
def _is_same_target(life_id: str, other_id: str) -> bool:
    """Return whether two ids belong to lives of the same target."""
    if life_id == other_id:
        return True
    name, _, started = life_id.rpartition("@")
    is_start_known = bool(name) and started.isdecimal()
    life = TargetLife(name=name if is_start_known else life_id)
    return life.is_same_target(other_id)
