"""Tests of how many instances share a limit of the fleet."""

from __future__ import annotations

import pytest

from swiftpin.router.fleet_size import members_to_tell


@pytest.mark.parametrize("members", [1, 2, 7, 8, 9, 72, 195, 7000])
@pytest.mark.parametrize("told", [0, 1, 8, 9, 80, 219, 8000])
def test_told_count_is_never_below_the_members(members: int, told: int) -> None:
    """Failure: one instance in eight was not counted until others had come too."""
    count = members_to_tell(members, told)
    assert members <= count <= 1.25 * members + 1
    assert members_to_tell(members, count) == count
