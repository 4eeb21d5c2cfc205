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


def test_record_tells_the_longest_grant(assignment: Assignment) -> None:
    """A successor reads for how long to wait; an older version's record has nothing."""
    told = replace(assignment, longest_hold=5.9)
    assert decode_assignment(encode_assignment(told)) == told
    assert decode_assignment(encode_assignment(assignment)).longest_hold is None


def test_every_change_keeps_the_longest_grant(assignment: Assignment) -> None:
    """Symptom: a successor waited for too short. Sequence: a plan was recorded.

    Cause: the changed assignment was made without what the record had told.
    """
    told = replace(assignment, longest_hold=5.9)
    moved = told.with_moves([Move(first=0, last=0, source="a", to="c")], 9)
    assert moved.longest_hold == 5.9
    assert moved.with_joined(90, 10)[0].longest_hold == 5.9
    assert moved.with_replaced(moved.segments[0], moved.segments[0]) == moved
    assert moved.without_finished_moves(told).longest_hold == 5.9


def test_moves_that_ended_while_a_plan_was_recorded_stay_ended(
    assignment: Assignment,
) -> None:
    """Symptom: a key stayed without an owner for good.

    Sequence: a move ended while a plan that showed it was written to the record.
    Cause: the plan took the place of what was known by then.
    """
    moving = assignment.with_moves([Move(first=0, last=9, source="a", to="c")], 50)
    planned = moving.with_moves([Move(first=20, last=29, source="a", to="b")], 60)
    ended = moving.with_replaced(
        moving.segments[0], replace(moving.segments[0], former="")
    )
    after = planned.without_finished_moves(ended)
    assert after.segment_of(5).former == ""
    assert after.segment_of(25).former == "a"
    assert planned.without_finished_moves(moving) == planned
