"""Tests of how many instances share a limit of the fleet."""

from __future__ import annotations

import pytest

from swiftpin.router.fleet_size import (
    ANNOUNCEMENT_TIME,
    COUNT_RETENTION,
    MAX_HOLDER_SILENCE,
    FleetSize,
    member_count_to_announce,
)

WINDOW = 10.0
SETTLED = WINDOW + ANNOUNCEMENT_TIME


@pytest.fixture(name="size")
def size_fixture() -> FleetSize:
    """Return the size of a fleet of eight, at an instance that began at 0 s."""
    size = FleetSize()
    hear(size, 8, 0.0, SETTLED)
    return size


def hear(size: FleetSize, members: int, begin: float, end: float) -> None:
    """Have an instance hear the holder once a second."""
    for seconds in range(round(end - begin) + 1):
        size.record_member_count(members, begin + seconds)


def test_instance_that_never_heard_a_holder_has_no_share() -> None:
    """Failure: an instance that had just started took itself for the only one."""
    assert FleetSize().members(WINDOW, 100.0) is None


def test_instance_that_started_waits_for_a_window(size: FleetSize) -> None:
    """Failure: what a killed process had spent was spent again by the next one."""
    assert size.members(WINDOW, SETTLED - 0.1) is None
    assert size.members(WINDOW, SETTLED) == 8


def test_instance_that_is_cut_off_has_no_share(size: FleetSize) -> None:
    """Failure: those cut off and those who counted them out spent the same share."""
    assert size.members(WINDOW, SETTLED + MAX_HOLDER_SILENCE) == 8
    assert size.members(WINDOW, SETTLED + MAX_HOLDER_SILENCE + 0.1) is None
    back_at = SETTLED + MAX_HOLDER_SILENCE + 1
    hear(size, 8, back_at, back_at + SETTLED)
    assert size.members(WINDOW, back_at + SETTLED - 0.1) is None
    assert size.members(WINDOW, back_at + SETTLED) == 8


def test_takeover_keeps_the_share(size: FleetSize) -> None:
    """The time until there is a new holder does not count as being cut off."""
    size.record_member_count(8, SETTLED + MAX_HOLDER_SILENCE)
    assert size.members(WINDOW, SETTLED + MAX_HOLDER_SILENCE) == 8


def test_count_that_falls_is_not_believed_for_a_while(size: FleetSize) -> None:
    """Failure: a new holder told of the few members that it had heard so far."""
    hear(size, 3, SETTLED + 1, SETTLED + COUNT_RETENTION)
    assert size.members(WINDOW, SETTLED + COUNT_RETENTION) == 8
    size.record_member_count(3, SETTLED + COUNT_RETENTION + 0.1)
    assert size.members(WINDOW, SETTLED + COUNT_RETENTION + 0.1) == 3


def test_count_that_rises_is_taken_at_once(size: FleetSize) -> None:
    """Instances that were added have their share from all others."""
    size.record_member_count(16, SETTLED + 1)
    assert size.members(WINDOW, SETTLED + 1) == 16


@pytest.mark.parametrize("members", [1, 2, 7, 8, 9, 72, 195, 7000])
@pytest.mark.parametrize("told", [0, 1, 8, 9, 80, 219, 8000])
def test_told_count_is_never_below_the_members(members: int, told: int) -> None:
    """Failure: one instance in eight was not counted until others had come too."""
    count = member_count_to_announce(members, told)
    assert members <= count <= 1.25 * members + 1
    assert member_count_to_announce(members, count) == count
