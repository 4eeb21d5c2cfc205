"""Tests of how a target's answers are read."""

from __future__ import annotations

from swiftpin.keyranges.const import CLOCK_DRIFT_FACTOR, HOLD_MARGIN, MIN_REGULAR_HOLD
from swiftpin.keyranges.target_session import SILENCE_TIMEOUT, TargetSession


def test_failures_show_that_a_target_is_lost_but_not_that_it_is_gone() -> None:
    """Its keys are to go elsewhere, once its grants have ended.

    However many calls fail, at one moment or for seconds: a target that is full, or
    behind a link that is cut, may be at work for others.
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


def test_an_answer_between_failures_counts() -> None:
    """Whoever answers is there."""
    session = TargetSession()
    session.note_failure(10.0)
    session.note_answer()
    session.note_failure(10.0 + SILENCE_TIMEOUT)
    assert not session.is_lost(10.0 + SILENCE_TIMEOUT)


def test_fence_belongs_to_one_connection() -> None:
    """Symptom: a target took keys under a fence that its earlier life had.

    Sequence: the connection broke in a restart; the renewal went over another one.
    Cause: nothing tied the fence to the life that it had been sent to.
    """
    session = TargetSession()
    fences = iter((11, 12, 13, 14))
    take = fences.__next__
    assert session.fence_for_connection(1, 5, take) == 11
    assert session.fence_for_connection(1, 5, take) == 11
    assert session.fence_for_connection(1, 6, take) == 12
    assert session.fence_for_connection(2, 5, take) == 13
    # Back on the first connection the first fence would be below the last.
    assert session.fence_for_connection(1, 5, take) == 14


def test_fences_of_segments_that_are_gone_are_forgotten() -> None:
    """Cuts, joins and moves leave fences behind."""
    session = TargetSession()
    fences = iter((11, 12))
    for segment_fence in (5, 6):
        session.fence_for_connection(1, segment_fence, fences.__next__)
    session.retain_fences({6})
    assert session.last_sent_fence(5) is None
    assert session.last_sent_fence(6) == 12
    session.drop_fence(6)
    assert session.last_sent_fence(6) is None
