"""Tests of the planner."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from swiftpin.keyranges.assignment import Assignment, divide_by_weight
from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.planner import plan_moves

TARGETS = ("a", "b", "c", "d")
CAPACITY = 10.0


def even_assignment() -> Assignment:
    """Return an even assignment to four targets."""
    return divide_by_weight(dict.fromkeys(TARGETS, 1.0), fence=1)


def loads_by_target(
    assignment: Assignment, rates: dict[int, float]
) -> dict[str, float]:
    """Return the load of each target."""
    result = dict.fromkeys(TARGETS, 0.0)
    for key, rate in rates.items():
        result[assignment.segment_of(key).owner] += rate
    return result


def test_nothing_moves_while_load_is_low() -> None:
    """Moves delay requests, so targets with low load keep their keys."""
    rates = {100: 1.0, 200: 2.0}
    assert plan_moves(even_assignment(), dict.fromkeys(TARGETS, CAPACITY), rates) == []


def test_hot_neighbouring_keys_are_spread() -> None:
    """Guards against long queues at one target while others idle.

    If neighbouring keys of one segment become hot, the segment must be split.
    """
    rates = dict.fromkeys(range(1000, 1200), 0.15)
    assignment = even_assignment()
    moves = plan_moves(assignment, dict.fromkeys(TARGETS, CAPACITY), rates)
    loads_after = loads_by_target(assignment.with_moves(moves, 2), rates)
    assert max(loads_after.values()) < CAPACITY
    assert sum(move.last - move.first + 1 for move in moves) <= 200


def test_keys_of_a_lost_target_all_move() -> None:
    """A target that is no longer eligible loses all its keys."""
    eligible = {"a": CAPACITY, "b": CAPACITY, "c": CAPACITY}
    assignment = even_assignment()
    reassigned = assignment.with_moves(plan_moves(assignment, eligible, {}), 2)
    assert {segment.owner for segment in reassigned.segments} == {"a", "b", "c"}
    assert {s.former_owner for s in reassigned.segments if s.former_owner} == {"d"}


def test_moving_segments_are_not_moved_again() -> None:
    """Guards against two targets that hold the same key.

    While a move waits for the former owner, the new owner does not hold the keys yet. A
    second move would release them at the wrong target.
    """
    assignment = even_assignment().with_moves(
        [Move(first=0, last=KEY_COUNT // 4 - 1, source="a", to="b")], 2
    )
    eligible = dict.fromkeys(("a", "c", "d"), CAPACITY)
    moves = plan_moves(assignment, eligible, {})
    assert all(move.first >= KEY_COUNT // 4 for move in moves)


def test_new_target_gets_keys() -> None:
    """A new target gets keys even if no target is overloaded."""
    eligible = dict.fromkeys((*TARGETS, "e"), CAPACITY)
    moves = plan_moves(even_assignment(), eligible, {})
    assert [move.to for move in moves] == ["e"]


@settings(max_examples=60, deadline=None)
@given(
    rates=st.dictionaries(
        st.integers(0, KEY_COUNT - 1), st.floats(0.1, 8.0), min_size=1, max_size=60
    ),
    eligible=st.sets(st.sampled_from((*TARGETS, "e")), min_size=1),
)
def test_moves_never_overlap(rates: dict[int, float], eligible: set[str]) -> None:
    """A plan moves each key at most once, from its owner to an eligible target."""
    assignment = even_assignment()
    moves = plan_moves(assignment, dict.fromkeys(eligible, CAPACITY), rates)
    seen: set[int] = set()
    for move in moves:
        keys = set(range(move.first, move.last + 1))
        assert not keys & seen
        seen |= keys
        assert move.to in eligible
        assert assignment.segment_of(move.first).owner == move.source
        assert assignment.segment_of(move.last).owner == move.source


def test_random_variation_causes_no_moves() -> None:
    """Guards against moves that follow random variation of an even load.

    Rates are measured over about a second; moves after each variation split the keys
    into 2,700 segments within half a minute without any hot key.
    """
    rates = dict.fromkeys(range(0, 6), 0.67)
    rates |= {KEY_COUNT // 2 + key: 0.67 for key in range(10)}
    assert plan_moves(even_assignment(), dict.fromkeys(TARGETS, CAPACITY), rates) == []


def test_cold_segments_are_merged_with_their_neighbour() -> None:
    """Once hot keys have cooled down, their segments are merged again."""
    moves = [
        Move(first=first, last=first + 3, source="a", to="b")
        for first in range(100, 2100, 100)
    ]
    split_assignment = even_assignment().with_moves(moves, 2)
    settled = Assignment(
        segments=tuple(
            replace(segment, former_owner="") for segment in split_assignment.segments
        )
    )
    merges = plan_moves(settled, dict.fromkeys(TARGETS, CAPACITY), {})
    assert merges
    assert {(move.source, move.to) for move in merges} == {("b", "a")}
