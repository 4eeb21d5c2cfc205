"""Tests of the session with a target."""

from __future__ import annotations

from swiftpin.keyranges.const import CLOCK_DRIFT_FACTOR, HOLD_MARGIN, MIN_REGULAR_HOLD
from swiftpin.keyranges.target_session import SILENCE_TIMEOUT, TargetSession


def test_failures_show_that_a_target_is_lost_but_not_that_it_is_gone() -> None:
    """Failed calls never prove that a target has terminated.

    A target at its connection limit, or behind a broken link, may still serve other
    instances. So its keys are moved only once its grants have expired.
    """
    session = TargetSession()
    session.note_grant(10.0, MIN_REGULAR_HOLD)
    for number in range(100):
        session.note_failure(10.0 + number * SILENCE_TIMEOUT / 10)
    assert session.is_lost(10.1 + SILENCE_TIMEOUT)
    assert not session.is_gone
    assert (
        session.held_until == 10.0 + MIN_REGULAR_HOLD * CLOCK_DRIFT_FACTOR + HOLD_MARGIN
    )


def test_answer_between_failures_resets_the_timeout() -> None:
    """A target that answers is not lost."""
    session = TargetSession()
    session.note_failure(10.0)
    session.note_answer()
    session.note_failure(10.0 + SILENCE_TIMEOUT)
    assert not session.is_lost(10.0 + SILENCE_TIMEOUT)


def test_fence_belongs_to_one_connection() -> None:
    """Guards against two lives of a target that hold keys under the same fence.

    A restart breaks the connection, so a renewal over another connection may reach a
    new life.
    """
    session = TargetSession()
    fences = iter((11, 12, 13, 14))
    allocate_fence = fences.__next__
    assert session.fence_for_connection(1, 5, allocate_fence) == 11
    assert session.fence_for_connection(1, 5, allocate_fence) == 11
    assert session.fence_for_connection(1, 6, allocate_fence) == 12
    assert session.fence_for_connection(2, 5, allocate_fence) == 13
    # The first connection's fence would be lower than the last one sent.
    assert session.fence_for_connection(1, 5, allocate_fence) == 14


def test_fences_of_removed_segments_are_dropped() -> None:
    """Guards against unbounded growth by splits, merges and moves of segments."""
    session = TargetSession()
    fences = iter((11, 12))
    for segment_fence in (5, 6):
        session.fence_for_connection(1, segment_fence, fences.__next__)
    session.retain_fences({6})
    assert session.last_sent_fence(5) is None
    assert session.last_sent_fence(6) == 12
    session.drop_fence(6)
    assert session.last_sent_fence(6) is None
