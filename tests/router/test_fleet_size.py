"""Tests of the number of instances that share a limit of the fleet."""

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
    """Return the size of a fleet of eight as known to an instance started at 0 s."""
    size = FleetSize()
    announce(size, 8, 0.0, SETTLED)
    return size


def announce(size: FleetSize, members: int, begin: float, end: float) -> None:
    """Announce a count to an instance once per second."""
    for seconds in range(round(end - begin) + 1):
        size.record_member_count(members, begin + seconds)


def test_instance_that_was_never_connected_has_no_share() -> None:
    """Guards against a newly started instance that considers itself the only one."""
    assert FleetSize().members(WINDOW, 100.0) is None


def test_started_instance_waits_for_a_window(size: FleetSize) -> None:
    """Guards against a restarted instance that uses the share of its window twice."""
    assert size.members(WINDOW, SETTLED - 0.1) is None
    assert size.members(WINDOW, SETTLED) == 8


def test_disconnected_instance_has_no_share(size: FleetSize) -> None:
    """Guards against a share used both by a disconnected instance and by the others."""
    assert size.members(WINDOW, SETTLED + MAX_HOLDER_SILENCE) == 8
    assert size.members(WINDOW, SETTLED + MAX_HOLDER_SILENCE + 0.1) is None
    reconnected_at = SETTLED + MAX_HOLDER_SILENCE + 1
    announce(size, 8, reconnected_at, reconnected_at + SETTLED)
    assert size.members(WINDOW, reconnected_at + SETTLED - 0.1) is None
    assert size.members(WINDOW, reconnected_at + SETTLED) == 8


def test_takeover_keeps_the_share(size: FleetSize) -> None:
    """An instance does not count as disconnected during a takeover of the lease."""
    size.record_member_count(8, SETTLED + MAX_HOLDER_SILENCE)
    assert size.members(WINDOW, SETTLED + MAX_HOLDER_SILENCE) == 8


def test_lower_count_takes_effect_after_a_delay(size: FleetSize) -> None:
    """Guards against the low count that a new holder announces at first."""
    announce(size, 3, SETTLED + 1, SETTLED + COUNT_RETENTION)
    assert size.members(WINDOW, SETTLED + COUNT_RETENTION) == 8
    size.record_member_count(3, SETTLED + COUNT_RETENTION + 0.1)
    assert size.members(WINDOW, SETTLED + COUNT_RETENTION + 0.1) == 3


def test_higher_count_takes_effect_at_once(size: FleetSize) -> None:
    """All other instances reduce their shares when instances are added."""
    size.record_member_count(16, SETTLED + 1)
    assert size.members(WINDOW, SETTLED + 1) == 16


@pytest.mark.parametrize("members", [1, 2, 7, 8, 9, 72, 195, 7000])
@pytest.mark.parametrize("announced", [0, 1, 8, 9, 80, 219, 8000])
def test_announced_count_is_never_below_the_members(
    members: int, announced: int
) -> None:
    """Guards against added instances that are not counted until more are added."""
    count = member_count_to_announce(members, announced)
    assert members <= count <= 1.25 * members + 1
    assert member_count_to_announce(members, count) == count
