"""Tests of how a target's answers are read."""

from __future__ import annotations

from swiftpin.keyranges.const import CLOCK_DRIFT, HOLD_MARGIN, HOLD_TIME
from swiftpin.keyranges.target_session import SILENT_LIMIT, TargetSession


def test_failures_show_that_a_target_is_lost_but_not_that_it_is_gone() -> None:
    """Its keys are to go elsewhere, once its grants have ended.

    However many calls fail, at one moment or for seconds: a target that is full, or
    behind a link that is cut, may be at work for others.
    """
    session = TargetSession()
    session.note_grant(10.0, HOLD_TIME)
    for number in range(100):
        session.note_failure(10.0 + number * SILENT_LIMIT / 10)
    assert session.is_lost(10.1 + SILENT_LIMIT)
    assert not session.is_gone
    assert session.held_until == 10.0 + HOLD_TIME * CLOCK_DRIFT + HOLD_MARGIN


def test_an_answer_between_failures_counts() -> None:
    """Whoever answers is there."""
    session = TargetSession()
    session.note_failure(10.0)
    session.note_answer()
    session.note_failure(10.0 + SILENT_LIMIT)
    assert not session.is_lost(10.0 + SILENT_LIMIT)
