"""Tests of how long grants last, and of what the record says of it."""

from __future__ import annotations

import pytest

from swiftpin.keyranges.const import CLOCK_DRIFT, HOLD_MARGIN, HOLD_TIME
from swiftpin.keyranges.hold_times import MAX_REGULAR_HOLD, HoldLimit, regular_hold

LONGEST = 10.0
MANY = 2000
FEW = 20


@pytest.fixture(name="limit")
def limit_fixture() -> HoldLimit:
    """Return the limit of an assigner whose targets take grants of ten seconds."""
    return HoldLimit(LONGEST)


def test_grants_last_longer_where_they_are_renewed_less_often() -> None:
    """The renewals of many segments take their time."""
    assert regular_hold(FEW) == HOLD_TIME
    assert regular_hold(MANY) == MAX_REGULAR_HOLD


def test_successor_waits_for_grants_of_before_segments_were_joined(
    limit: HoldLimit,
) -> None:
    """Symptom: two targets held the same keys after a take-over.

    Sequence: a service had many segments, so its grants lasted longest; they were
    joined to a few; the assigner ended at once. Its successor waited for as long as the
    grants of a few segments last. Cause: it guessed that from the segments it found.
    """
    now = 100.0
    given = limit.next_hold(MANY, MAX_REGULAR_HOLD, now)
    assert given == MAX_REGULAR_HOLD
    assert limit.limit_for_record(FEW, FEW, now + 1.0) >= given
    ended = now + given * CLOCK_DRIFT + HOLD_MARGIN
    assert limit.limit_for_record(FEW, FEW, ended - 0.01) >= given
    assert limit.limit_for_record(FEW, FEW, ended) == HOLD_TIME


def test_longer_grants_wait_for_their_record(limit: HoldLimit) -> None:
    """A successor that read the record before must not miss them."""
    assert limit.next_hold(MANY, HOLD_TIME, 100.0) == HOLD_TIME
    recorded = limit.limit_for_record(FEW, MANY, 100.0)
    assert limit.next_hold(MANY, recorded, 100.0) == MAX_REGULAR_HOLD


def test_record_of_another_version_may_mean_the_longest_grants(
    limit: HoldLimit,
) -> None:
    """A record that names no hold says nothing of its writer's settings."""
    assert limit.note_recorded(None, 100.0) == LONGEST
    assert limit.limit_for_record(FEW, FEW, 105.0) == MAX_REGULAR_HOLD


def test_limit_of_other_settings_is_believed(limit: HoldLimit) -> None:
    """A former assigner may have been allowed longer grants than this one."""
    assert limit.note_recorded(30.0, 100.0) == 30.0
    assert limit.next_hold(MANY, 30.0, 100.0) <= LONGEST
    assert limit.limit_for_record(FEW, FEW, 120.0) == MAX_REGULAR_HOLD


def test_short_limit_of_the_targets_is_kept() -> None:
    """No grant is longer than targets take."""
    short = HoldLimit(2.0)
    assert short.limit_for_record(0, FEW, 0.0) == 2.0
    assert short.next_hold(FEW, 2.0, 0.0) == 2.0
