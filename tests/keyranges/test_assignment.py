"""Tests of assignments."""

from __future__ import annotations

from dataclasses import replace

import pytest

from swiftpin.exceptions import ConfigurationError
from swiftpin.keyranges.assignment import (
    Assignment,
    decode_assignment,
    divide_by_weight,
    encode_assignment,
)
from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.move import Move


@pytest.fixture(name="assignment")
def assignment_fixture() -> Assignment:
    """Return an assignment to three targets."""
    return divide_by_weight({"a": 2.0, "b": 2.0, "c": 4.0}, fence=7)


def covered_keys(assignment: Assignment) -> list[int]:
    """Return all keys of the segments, in the order of the segments."""
    return [
        key
        for segment in assignment.segments
        for key in range(segment.first, segment.last + 1)
    ]


def test_initial_ranges_follow_the_weights(assignment: Assignment) -> None:
    """A target with twice the slots gets twice as many keys."""
    widths = {segment.owner: segment.width for segment in assignment.segments}
    assert widths == {"a": KEY_COUNT // 4, "b": KEY_COUNT // 4, "c": KEY_COUNT // 2}


def test_moves_keep_every_key_covered_once(assignment: Assignment) -> None:
    """Splits leave no gaps or overlaps, even if a move spans several segments."""
    moved = assignment.with_moves(
        [
            Move(first=10, last=20, source="a", to="b"),
            Move(first=KEY_COUNT // 4 - 5, last=KEY_COUNT // 4 + 5, source="a", to="c"),
        ],
        next_fence=100,
    )
    assert covered_keys(moved) == list(range(KEY_COUNT))
    assert moved.segment_of(15).owner == "b"
    assert moved.segment_of(15).former_owner == "a"
    assert moved.segment_of(15).fence == 100
    assert moved.segment_of(9).fence == 7


def test_record_round_trip(assignment: Assignment) -> None:
    """A successor reads the same owners, former owners and fences."""
    moved = assignment.with_moves([Move(first=0, last=0, source="a", to="c")], 9)
    assert decode_assignment(encode_assignment(moved)) == moved


def test_malformed_record_is_an_error() -> None:
    """A malformed record is not mistaken for an empty one."""
    with pytest.raises(ConfigurationError):
        decode_assignment({"targets": ["a"], "rows": [[0, 5, 1, 0]]})


def test_neighbours_of_one_owner_are_merged(assignment: Assignment) -> None:
    """One grant with a new fence replaces several grants."""
    after_move = assignment.with_moves(
        [Move(first=10, last=20, source="a", to="b")], 50
    )
    assert after_move.with_merged_neighbours(90, 10)[1] == []
    after_return = Assignment(
        segments=tuple(
            replace(s, owner="a", former_owner="") for s in after_move.segments[:3]
        )
        + after_move.segments[3:]
    )
    merged, fences = after_return.with_merged_neighbours(90, 10)
    assert fences == [90]
    assert covered_keys(merged) == list(range(KEY_COUNT))
    assert merged.segments[0].last == KEY_COUNT // 4 - 1
    assert merged.segments[0].fence == 90


def test_record_contains_the_longest_grant(assignment: Assignment) -> None:
    """A successor reads how long to wait; records of older versions lack this."""
    with_hold = replace(assignment, max_hold=5.9)
    assert decode_assignment(encode_assignment(with_hold)) == with_hold
    assert decode_assignment(encode_assignment(assignment)).max_hold is None


def test_every_change_keeps_the_longest_grant(assignment: Assignment) -> None:
    """A successor must not wait too briefly after a plan was recorded.

    The changed assignment must keep the recorded duration of the longest grant.
    """
    with_hold = replace(assignment, max_hold=5.9)
    moved = with_hold.with_moves([Move(first=0, last=0, source="a", to="c")], 9)
    assert moved.max_hold == 5.9
    assert moved.with_merged_neighbours(90, 10)[0].max_hold == 5.9
    assert moved.with_replaced(moved.segments[0], moved.segments[0]) == moved
    assert moved.without_finished_moves(with_hold).max_hold == 5.9


def test_moves_finished_while_a_plan_was_recorded_stay_finished(
    assignment: Assignment,
) -> None:
    """A key must not stay without an owner forever.

    A move may finish while a plan that still contains it is being recorded. The plan
    must not replace the newer state.
    """
    moving = assignment.with_moves([Move(first=0, last=9, source="a", to="c")], 50)
    planned = moving.with_moves([Move(first=20, last=29, source="a", to="b")], 60)
    finished = moving.with_replaced(
        moving.segments[0], replace(moving.segments[0], former_owner="")
    )
    remaining = planned.without_finished_moves(finished)
    assert remaining.segment_of(5).former_owner == ""
    assert remaining.segment_of(25).former_owner == "a"
    assert planned.without_finished_moves(moving) == planned
