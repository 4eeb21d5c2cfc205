"""Tests of the assignment as its assigner knows it."""

from __future__ import annotations

import pytest

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.segment import Segment


@pytest.fixture(name="state")
def state_fixture() -> AssignmentState:
    """Return the state of an assignment whose second half is on the move."""
    state = AssignmentState()
    state.assignment = Assignment(
        segments=(
            Segment(first=0, last=32767, owner="a", fence=5),
            Segment(first=32768, last=65535, owner="b", fence=6, former="c"),
        )
    )
    return state


def test_keys_on_the_move_have_no_owner_yet(state: AssignmentState) -> None:
    """Renewals go to owners; a move grants its new owner itself."""
    assert state.owners() == {"a"}
    assert state.involved_targets() == {"a", "b", "c"}


def test_segment_that_was_cut_stands_no_more(state: AssignmentState) -> None:
    """Symptom: two targets held the same keys.

    Sequence: a renewal was about to be sent when a part of its segment was given away.
    Cause: it would have granted that part once more.
    """
    before = state.present.segments[0]
    assert state.stands(before)
    cut = Move(first=100, last=200, source="a", to="b")
    state.assignment = state.present.with_moves([cut], 7)
    assert not state.stands(before)


def test_fences_of_segments_that_are_gone_are_forgotten(state: AssignmentState) -> None:
    """Each move has a fence of its own, so they would grow as long as a term lasts."""
    state.granted_fences = set(range(10))
    state.prune_granted_fences()
    assert state.granted_fences == {5, 6}
