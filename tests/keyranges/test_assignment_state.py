"""Tests of the state of an assignment."""

from __future__ import annotations

import pytest

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.segment import Segment


@pytest.fixture(name="state")
def state_fixture() -> AssignmentState:
    """Return the state of an assignment whose second half is being moved."""
    state = AssignmentState()
    state.assignment = Assignment(
        segments=(
            Segment(first=0, last=32767, owner="a", fence=5),
            Segment(first=32768, last=65535, owner="b", fence=6, former_owner="c"),
        )
    )
    return state


def test_keys_being_moved_have_no_owner_yet(state: AssignmentState) -> None:
    """Renewals are sent to owners only; a move sends the grant to its new owner."""
    assert state.owners() == {"a"}
    assert state.involved_targets() == {"a", "b", "c"}


def test_split_segment_counts_as_changed(state: AssignmentState) -> None:
    """Two targets must not hold the same keys.

    If part of a segment is moved away just before a renewal of the segment is sent, the
    renewal would grant that part again.
    """
    old_segment = state.current.segments[0]
    assert state.is_unchanged(old_segment)
    split = Move(first=100, last=200, source="a", to="b")
    state.assignment = state.current.with_moves([split], 7)
    assert not state.is_unchanged(old_segment)


def test_fences_of_removed_segments_are_pruned(state: AssignmentState) -> None:
    """Each move has its own fence, so the set would grow during the whole term."""
    state.granted_fences = set(range(10))
    state.prune_granted_fences()
    assert state.granted_fences == {5, 6}
