"""Tests of planning."""

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


def even() -> Assignment:
    """Return an even assignment to four targets."""
    return divide_by_weight(dict.fromkeys(TARGETS, 1.0), fence=1)


def loads(assignment: Assignment, rates: dict[int, float]) -> dict[str, float]:
    """Return the load of each target."""
    result = dict.fromkeys(TARGETS, 0.0)
    for key, rate in rates.items():
        result[assignment.segment_of(key).owner] += rate
    return result


def test_nothing_moves_while_load_is_low() -> None:
    """Churn costs callers a wait, so calm targets keep their keys."""
    rates = {100: 1.0, 200: 2.0}
    assert plan_moves(even(), dict.fromkeys(TARGETS, CAPACITY), rates) == []


def test_hot_neighbours_are_shared_out() -> None:
    """Symptom: one target's requests wait for seconds while others idle.

    Sequence: neighbouring keys become busy; all of them belong to one target.
    Cause: a range was only ever moved as a whole.
    """
    rates = dict.fromkeys(range(1000, 1200), 0.15)
    assignment = even()
    moves = plan_moves(assignment, dict.fromkeys(TARGETS, CAPACITY), rates)
    after = loads(assignment.with_moves(moves, 2), rates)
    assert max(after.values()) < CAPACITY
    assert sum(move.last - move.first + 1 for move in moves) <= 200


def test_keys_of_a_lost_target_all_move() -> None:
    """A target that is not eligible any more ends up with no key."""
    eligible = {"a": CAPACITY, "b": CAPACITY, "c": CAPACITY}
    assignment = even()
    after = assignment.with_moves(plan_moves(assignment, eligible, {}), 2)
    assert {segment.owner for segment in after.segments} == {"a", "b", "c"}
    assert {s.former_owner for s in after.segments if s.former_owner} == {"d"}


def test_segments_on_the_move_stay() -> None:
    """Symptom: two targets held the same key.

    Sequence: a move waited for its former owner; the plan moved the keys once more.
    Cause: the second move released them at a target that had never held them.
    """
    assignment = even().with_moves(
        [Move(first=0, last=KEY_COUNT // 4 - 1, source="a", to="b")], 2
    )
    eligible = dict.fromkeys(("a", "c", "d"), CAPACITY)
    moves = plan_moves(assignment, eligible, {})
    assert all(move.first >= KEY_COUNT // 4 for move in moves)


def test_new_target_gets_keys() -> None:
    """A target that joined is used although nobody is overloaded."""
    eligible = dict.fromkeys((*TARGETS, "e"), CAPACITY)
    moves = plan_moves(even(), eligible, {})
    assert [move.to for move in moves] == ["e"]


@settings(max_examples=60, deadline=None)
@given(
    rates=st.dictionaries(
        st.integers(0, KEY_COUNT - 1), st.floats(0.1, 8.0), min_size=1, max_size=60
    ),
    eligible=st.sets(st.sampled_from((*TARGETS, "e")), min_size=1),
)
def test_moves_never_overlap(rates: dict[int, float], eligible: set[str]) -> None:
    """One plan moves a key at most once, from the target that has it."""
    assignment = even()
    moves = plan_moves(assignment, dict.fromkeys(eligible, CAPACITY), rates)
    seen: set[int] = set()
    for move in moves:
        keys = set(range(move.first, move.last + 1))
        assert not keys & seen
        seen |= keys
        assert move.to in eligible
        assert assignment.segment_of(move.first).owner == move.source
        assert assignment.segment_of(move.last).owner == move.source


def test_chance_moves_nothing() -> None:
    """Symptom: 2,700 pieces after half a minute without any hot key.

    Sequence: requests were spread evenly; by chance one target got a few more.
    Cause: a rate counted over a second was taken for the truth.
    """
    rates = dict.fromkeys(range(0, 6), 0.67)
    rates |= {KEY_COUNT // 2 + key: 0.67 for key in range(10)}
    assert plan_moves(even(), dict.fromkeys(TARGETS, CAPACITY), rates) == []


def test_cold_pieces_go_back_to_their_neighbour() -> None:
    """After a hot key has cooled its pieces are joined again, some at a time."""
    moves = [
        Move(first=first, last=first + 3, source="a", to="b")
        for first in range(100, 2100, 100)
    ]
    cut = even().with_moves(moves, 2)
    settled = Assignment(
        segments=tuple(replace(segment, former_owner="") for segment in cut.segments)
    )
    joins = plan_moves(settled, dict.fromkeys(TARGETS, CAPACITY), {})
    assert joins
    assert {(move.source, move.to) for move in joins} == {("b", "a")}
