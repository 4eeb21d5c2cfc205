"""Tests of the duration of grants and of its recorded limit."""

from __future__ import annotations

import pytest

from swiftpin.keyranges.const import CLOCK_DRIFT_FACTOR, HOLD_MARGIN, MIN_REGULAR_HOLD
from swiftpin.keyranges.hold_times import MAX_REGULAR_HOLD, HoldLimit, regular_hold

MAX_HOLD = 10.0
MANY_SEGMENTS = 2000
FEW_SEGMENTS = 20


@pytest.fixture(name="limit")
def limit_fixture() -> HoldLimit:
    """Return the limit of an assigner whose targets accept grants of ten seconds."""
    return HoldLimit(MAX_HOLD)


def test_grants_renewed_less_often_last_longer() -> None:
    """The renewals of many segments take longer."""
    assert regular_hold(FEW_SEGMENTS) == MIN_REGULAR_HOLD
    assert regular_hold(MANY_SEGMENTS) == MAX_REGULAR_HOLD


def test_limit_covers_grants_sent_before_segments_were_merged(
    limit: HoldLimit,
) -> None:
    """Two targets must not hold the same keys after a takeover.

    A service has many segments and thus the longest grants. They are merged into a few,
    and the assigner terminates immediately. A successor that derived the duration of
    the grants from the remaining segments would not wait long enough.
    """
    now = 100.0
    granted_hold = limit.next_hold(MANY_SEGMENTS, MAX_REGULAR_HOLD, now)
    assert granted_hold == MAX_REGULAR_HOLD
    assert limit.limit_for_record(FEW_SEGMENTS, FEW_SEGMENTS, now + 1.0) >= granted_hold
    expired_at = now + granted_hold * CLOCK_DRIFT_FACTOR + HOLD_MARGIN
    assert (
        limit.limit_for_record(FEW_SEGMENTS, FEW_SEGMENTS, expired_at - 0.01)
        >= granted_hold
    )
    assert (
        limit.limit_for_record(FEW_SEGMENTS, FEW_SEGMENTS, expired_at)
        == MIN_REGULAR_HOLD
    )


def test_longer_grants_are_sent_only_after_the_limit_is_recorded(
    limit: HoldLimit,
) -> None:
    """A successor that read the record earlier must not miss longer grants."""
    assert limit.next_hold(MANY_SEGMENTS, MIN_REGULAR_HOLD, 100.0) == MIN_REGULAR_HOLD
    recorded = limit.limit_for_record(FEW_SEGMENTS, MANY_SEGMENTS, 100.0)
    assert limit.next_hold(MANY_SEGMENTS, recorded, 100.0) == MAX_REGULAR_HOLD


def test_record_without_a_limit_implies_the_maximum(
    limit: HoldLimit,
) -> None:
    """A record without a limit says nothing about its writer's settings."""
    assert limit.note_recorded(None, 100.0) == MAX_HOLD
    assert limit.limit_for_record(FEW_SEGMENTS, FEW_SEGMENTS, 105.0) == MAX_REGULAR_HOLD


def test_recorded_limit_of_other_settings_is_respected(limit: HoldLimit) -> None:
    """The previous assigner may have been allowed longer grants than this one."""
    assert limit.note_recorded(30.0, 100.0) == 30.0
    assert limit.next_hold(MANY_SEGMENTS, 30.0, 100.0) <= MAX_HOLD
    assert limit.limit_for_record(FEW_SEGMENTS, FEW_SEGMENTS, 120.0) == MAX_REGULAR_HOLD


def test_maximum_of_the_targets_is_respected() -> None:
    """No grant is longer than targets accept."""
    short_limit = HoldLimit(2.0)
    assert short_limit.limit_for_record(0, FEW_SEGMENTS, 0.0) == 2.0
    assert short_limit.next_hold(FEW_SEGMENTS, 2.0, 0.0) == 2.0
