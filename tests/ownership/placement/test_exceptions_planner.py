"""Tests of the split and merge of hot keys."""

from __future__ import annotations

from dataclasses import replace

from swiftpin.ownership.placement.exception_plan import ExceptionPlan
from swiftpin.ownership.placement.exceptions_planner import (
    SplitPolicy,
    plan_exceptions,
)
from swiftpin.ownership.placement.hot_key import HotKey
from swiftpin.ownership.placement.key_exception import KeyException
from tests.ownership.placement.builders import GROUPS, SLICES, make_specs, make_view

LOAD = dict.fromkeys(range(1, 1000, 4), 0.02)  # 1 slot for each of 5 targets
POLICY = SplitPolicy(slices=SLICES, groups=GROUPS)


def _hot(key: str, load: float) -> HotKey:
    """Return a hot key of exactly known load."""
    return HotKey(key=key, load=load, load_at_most=load)


def _plan(
    hot_keys: list[HotKey],
    exceptions: dict[str, KeyException] | None = None,
    policy: SplitPolicy = POLICY,
    load: dict[int, float] = LOAD,
) -> ExceptionPlan:
    """Return the plan for five targets with a load of one slot each."""
    view = make_view(make_specs(5, 5), load_by_slice=load)
    return plan_exceptions(view, exceptions or {}, hot_keys, policy, lambda _: 9, 0.0)


def test_a_hot_key_gets_a_slice_of_its_own_in_its_group() -> None:
    """Keys of 5% of a target's share are split out, lighter ones are not."""
    plan = _plan([_hot("a", 0.4), _hot("b", 0.06), _hot("c", 0.04)])
    assert [item.key for item in plan.splits] == ["a", "b"]
    assert [item.slice_id for item in plan.splits] == [1001, 1005]
    assert {item.slice_id % GROUPS for item in plan.splits} == {1}
    assert {item.home for item in plan.splits} == {9}


def test_an_exception_is_kept_between_the_bounds_and_merged_below() -> None:
    """A key at 3% stays split, one at 1% or unseen goes back."""
    exceptions = {
        key: KeyException(key=key, slice_id=1001 + 4 * index, home=9)
        for index, key in enumerate(("cooling", "cold", "unseen"))
    }
    plan = _plan([_hot("cooling", 0.03), _hot("cold", 0.01)], exceptions)
    assert [item.key for item in plan.merges] == ["unseen", "cold"]
    assert plan.splits == ()


def test_a_merge_that_moves_its_key_waits_until_room_is_short() -> None:
    """Keys away from home stay, the coldest go first once there are too many."""
    owners = make_view(make_specs(5, 5), load_by_slice=LOAD)
    away = next(item for item in owners.slices_by_id.values() if item.target == "t1")
    home = next(i for i, item in owners.slices_by_id.items() if item.target != "t1")
    exceptions = {
        key: KeyException(key=key, slice_id=1001 + 4 * index, home=home)
        for index, key in enumerate(("a", "b", "c"))
    }
    view = replace(
        owners,
        slices_by_id=dict(owners.slices_by_id)
        | {item.slice_id: away for item in exceptions.values()},
        load_by_slice=LOAD | {1001: 0.003, 1005: 0.001, 1009: 0.002},
    )

    def merged(kept: int) -> list[str]:
        policy = replace(POLICY, kept=kept)
        plan = plan_exceptions(view, exceptions, [], policy, lambda _: home, 0.0)
        return [item.key for item in plan.merges]

    assert merged(3) == []
    assert merged(1) == ["b", "c"]


def test_an_exception_unseen_by_the_tracker_counts_with_its_slice() -> None:
    """A new holder's tracker is empty; the load of the slice keeps the exception."""
    exceptions = {"k": KeyException(key="k", slice_id=1001, home=9)}
    assert _plan([], exceptions, load=LOAD | {1001: 0.3}).merges == ()


def test_the_limit_keeps_the_hottest_and_counts_merges() -> None:
    """A merge makes room for a split."""
    exceptions = {"cold": KeyException(key="cold", slice_id=1001, home=9)}
    policy = SplitPolicy(slices=SLICES, groups=GROUPS, limit=1)
    plan = _plan([_hot("a", 0.4), _hot("b", 0.3)], exceptions, policy)
    assert [item.key for item in plan.splits] == ["a"]
    assert [item.key for item in plan.merges] == ["cold"]
    assert plan.splits[0].slice_id != 1001
