"""Tests of the first assignment of slices."""

from __future__ import annotations

from collections import Counter

from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.placement.initial import initial_assignment
from tests.ownership.placement.builders import (
    GROUP,
    GROUPS,
    SLICES,
    make_specs,
    owned_count,
)


def test_all_slices_of_the_group_are_spread_evenly() -> None:
    """The group's slices are those with its number as remainder."""
    assignments = initial_assignment(GROUP, SLICES, GROUPS, make_specs(6, 3))
    assert sorted(assignments) == list(range(1, 1000, 4))
    counts = owned_count(assignments).values()
    assert max(counts) - min(counts) <= 1


def test_standbys_are_in_another_zone_and_evenly_spread() -> None:
    """The loss of one target burdens each target of the other zones alike."""
    specs = make_specs(6, 3)
    assignments = initial_assignment(GROUP, SLICES, GROUPS, specs)
    pairs = Counter((item.target, item.standby) for item in assignments.values())
    for owner, standby in pairs:
        assert standby is not None
        assert specs[owner].zone != specs[standby].zone
    assert len(pairs) == 6 * 4
    assert max(pairs.values()) - min(pairs.values()) <= 1


def test_slots_weigh() -> None:
    """A target with three times the slots gets three times the slices."""
    specs = {
        name: TargetSpec(id=name, address="127.0.0.1:1", zone="z", slots=slots)
        for name, slots in (("big", 6), ("small", 2))
    }
    counts = owned_count(initial_assignment(GROUP, 400, 4, specs))
    assert counts == {"big": 75, "small": 25}


def test_one_zone_still_gets_standbys_and_one_target_none() -> None:
    """A standby in the same zone is better than none."""
    pair = initial_assignment(GROUP, SLICES, GROUPS, make_specs(2, 1))
    assert all(item.standby not in (None, item.target) for item in pair.values())
    alone = initial_assignment(GROUP, SLICES, GROUPS, make_specs(1, 1))
    assert {item.standby for item in alone.values()} == {None}
    assert initial_assignment(GROUP, SLICES, GROUPS, {}) == {}
