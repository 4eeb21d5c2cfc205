"""Tests of the division of targets into groups."""

from __future__ import annotations

import pytest

from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.placement.groups import assign_targets_to_groups
from tests.ownership.placement.builders import make_specs


def _group_by_target(specs: dict[str, TargetSpec], groups: int) -> dict[str, int]:
    """Return the group of each target."""
    return {
        target_id: group
        for group, ids in assign_targets_to_groups(specs, groups).items()
        for target_id in ids
    }


@pytest.mark.parametrize(
    ("targets", "zones", "groups"),
    [(25, 3, 4), (20, 4, 4), (250, 4, 50), (3, 2, 4), (0, 1, 2), (7, 1, 3)],
)
def test_every_target_is_in_one_group_and_sizes_are_even(
    targets: int, zones: int, groups: int
) -> None:
    """Sizes differ by at most one and nobody is left out."""
    ids_by_group = assign_targets_to_groups(make_specs(targets, zones), groups)
    sizes = [len(ids) for ids in ids_by_group.values()]
    assert sorted(ids_by_group) == list(range(groups))
    assert sum(sizes) == len(frozenset[str]().union(*ids_by_group.values())) == targets
    assert max(sizes) - min(sizes) <= 1


@pytest.mark.parametrize(("targets", "zones"), [(25, 3), (250, 4), (250, 5)])
def test_a_group_spans_all_zones_that_it_can(targets: int, zones: int) -> None:
    """Each group of five has targets in every zone."""
    specs = make_specs(targets, zones)
    for ids in assign_targets_to_groups(specs, targets // 5).values():
        assert len({specs[target_id].zone for target_id in ids}) == zones


def test_a_small_zone_serves_every_group_before_any_twice() -> None:
    """Five targets of a zone beside fifteen of another reach all five groups."""
    specs = {
        name: TargetSpec(
            id=name, address="127.0.0.1:1", zone="small" if i < 5 else "big"
        )
        for i, name in enumerate(f"t{index}" for index in range(20))
    }
    for ids in assign_targets_to_groups(specs, 5).values():
        assert {specs[target_id].zone for target_id in ids} == {"small", "big"}


def test_the_order_of_the_declaration_does_not_matter() -> None:
    """Instances that read the targets in another order decide the same."""
    specs = make_specs(100, 3)
    backwards = dict(reversed(specs.items()))
    first = assign_targets_to_groups(specs, 20)
    assert assign_targets_to_groups(backwards, 20) == first


@pytest.mark.parametrize("removed", ["t0", "t77", "t399"])
def test_removing_a_target_moves_few_others(removed: str) -> None:
    """At most 16 of 399 targets change group when one leaves the declaration."""
    specs = make_specs(400, 4)
    before = _group_by_target(specs, 80)
    del specs[removed]
    after = _group_by_target(specs, 80)
    assert sum(before[target] != group for target, group in after.items()) <= 16


def test_no_group_is_refused() -> None:
    """A service without groups is a mistake."""
    with pytest.raises(ValueError, match="at least one group"):
        assign_targets_to_groups({}, 0)
