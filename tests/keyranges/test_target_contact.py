"""Tests of how a target's answers are read."""

from __future__ import annotations

from swiftpin.keyranges.const import CLOCK_DRIFT, HOLD_MARGIN, HOLD_TIME
from swiftpin.keyranges.target_contact import SILENT_LIMIT, TargetContact


def test_failures_show_that_a_target_is_lost_but_not_that_it_is_gone() -> None:
    """Its keys are to go elsewhere, once its grants have ended.

    However many calls fail, at one moment or for seconds: a target that is full, or
    behind a link that is cut, may be at work for others.
    """
    contact = TargetContact()
    contact.note_grant(10.0, HOLD_TIME)
    for number in range(100):
        contact.note_failure(10.0 + number * SILENT_LIMIT / 10)
    assert contact.is_lost(10.1 + SILENT_LIMIT)
    assert not contact.is_gone
    assert contact.held_until == 10.0 + HOLD_TIME * CLOCK_DRIFT + HOLD_MARGIN


def test_an_answer_between_failures_counts() -> None:
    """Whoever answers is there."""
    contact = TargetContact()
    contact.note_failure(10.0)
    contact.note_answer()
    contact.note_failure(10.0 + SILENT_LIMIT)
    assert not contact.is_lost(10.0 + SILENT_LIMIT)
