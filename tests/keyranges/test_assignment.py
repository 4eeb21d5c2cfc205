"""Tests of assignments."""

from __future__ import annotations

from dataclasses import replace

import pytest

from swiftpin.exceptions import ConfigurationError
from swiftpin.keyranges.assignment import (
    Assignment,
    decode_assignment,
    divide_evenly,
    encode_assignment,
)
from swiftpin.keyranges.const import KEYS
from swiftpin.keyranges.move import Move


@pytest.fixture(name="assignment")
def assignment_fixture() -> Assignment:
    """Return an assignment to three targets."""
    return divide_evenly({"a": 2.0, "b": 2.0, "c": 4.0}, fence=7)


def covered(assignment: Assignment) -> list[int]:
    """Return the keys in order of the segments' bounds."""
    return [
        key
        for segment in assignment.segments
        for key in range(segment.first, segment.last + 1)
    ]


def test_first_division_follows_the_weights(assignment: Assignment) -> None:
    """A target with twice the slots gets twice the keys."""
    widths = {segment.owner: segment.width for segment in assignment.segments}
    assert widths == {"a": KEYS // 4, "b": KEYS // 4, "c": KEYS // 2}


def test_moves_keep_every_key_covered_once(assignment: Assignment) -> None:
    """Cuts leave no gap and no overlap, also across segments' bounds."""
    moved = assignment.with_moves(
        [
            Move(first=10, last=20, source="a", to="b"),
            Move(first=KEYS // 4 - 5, last=KEYS // 4 + 5, source="a", to="c"),
        ],
        next_fence=100,
    )
    assert covered(moved) == list(range(KEYS))
    assert moved.segment_of(15).owner == "b"
    assert moved.segment_of(15).former == "a"
    assert moved.segment_of(15).fence == 100
    assert moved.segment_of(9).fence == 7


def test_record_comes_back_as_it_was_written(assignment: Assignment) -> None:
    """A successor reads owners, former owners and fences."""
    moved = assignment.with_moves([Move(first=0, last=0, source="a", to="c")], 9)
    assert decode_assignment(encode_assignment(moved)) == moved


def test_malformed_record_is_an_error() -> None:
    """A record that cannot be read is never taken for an empty one."""
    with pytest.raises(ConfigurationError):
        decode_assignment({"targets": ["a"], "rows": [[0, 5, 1, 0]]})


def test_neighbours_of_one_owner_are_joined(assignment: Assignment) -> None:
    """One grant takes the place of several, under a fence that was never used."""
    there = assignment.with_moves([Move(first=10, last=20, source="a", to="b")], 50)
    assert there.with_joined(90, 10)[1] == []
    back = Assignment(
        segments=tuple(replace(s, owner="a", former="") for s in there.segments[:3])
        + there.segments[3:]
    )
    joined, fences = back.with_joined(90, 10)
    assert fences == [90]
    assert covered(joined) == list(range(KEYS))
    assert joined.segments[0].last == KEYS // 4 - 1
    assert joined.segments[0].fence == 90
