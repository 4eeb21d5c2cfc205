"""Tests of moves that even out load."""

from __future__ import annotations

from dataclasses import replace

import pytest

from swiftpin.config.measure_weights import MeasureWeights
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.placement.move_reason import MoveReason
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.planner import plan_moves
from swiftpin.ownership.placement.policy import MoveOnJoin, MoveOnLoad
from swiftpin.ownership.placement.target_state import TargetState
from swiftpin.ownership.placement.target_view import TargetView
from tests.ownership.placement.builders import GROUP, make_specs, make_view, owned_count

EVEN = dict.fromkeys(range(1, 1000, 4), 0.02)


def _skewed_load(view: PlacementView, owner: str, factor: float) -> dict[int, float]:
    """Return even load, multiplied on the slices of one owner."""
    return {
        slice_id: 0.02 * (factor if item.target == owner else 1.0)
        for slice_id, item in view.slices_by_id.items()
    }


def _peak_ratio(view: PlacementView, moves: list[Move]) -> float:
    """Return the highest target's load over the mean once the moves are made."""
    destinations = {move.slice_id: move.destination for move in moves}
    load_by_target = dict.fromkeys(view.targets_by_id, 0.0)
    for slice_id, item in view.slices_by_id.items():
        owner = destinations.get(slice_id, item.target)
        load_by_target[owner] += view.load_by_slice[slice_id]
    mean = sum(load_by_target.values()) / len(load_by_target)
    return max(load_by_target.values()) / mean


def test_an_overloaded_target_gives_slices_away() -> None:
    """A target with twice the load ends within the goal, nobody else gives any."""
    load = _skewed_load(make_view(make_specs(5, 5)), "t1", 2.0)
    view = make_view(make_specs(5, 5), load_by_slice=load)
    moves = plan_moves(view, MoveOnLoad(move_limit=1000), 0.0)
    assert {move.source for move in moves} == {"t1"}
    assert {move.reason for move in moves} == {MoveReason.LOAD}
    assert _peak_ratio(view, moves) <= 1.15


def test_even_load_moves_nothing() -> None:
    """Without a gain there is no move, however many the budget allows."""
    view = make_view(make_specs(5, 5), load_by_slice=EVEN)
    assert plan_moves(view, MoveOnLoad(move_limit=1000), 0.0) == []


def test_a_light_group_need_not_be_even_in_itself() -> None:
    """A target above its group but not above the service keeps its slices."""
    load = _skewed_load(make_view(make_specs(5, 5)), "t1", 1.5)
    view = make_view(make_specs(5, 5), load_by_slice=load)
    light = replace(view, service_utilisation=0.75)
    assert plan_moves(view, MoveOnLoad(move_limit=1000), 0.0) != []
    assert plan_moves(light, MoveOnLoad(move_limit=1000), 0.0) == []


def test_a_heavy_group_evens_out_as_far_as_it_can() -> None:
    """All its targets are above the service's mean; the peak still comes down."""
    load = _skewed_load(make_view(make_specs(5, 5)), "t1", 1.3)
    view = make_view(make_specs(5, 5), load_by_slice=load)
    heavy = replace(view, service_utilisation=0.4)
    moves = plan_moves(heavy, MoveOnLoad(move_limit=1000), 0.0)
    assert _peak_ratio(heavy, moves) <= 1.04


def test_the_limit_takes_the_most_valuable_moves_first() -> None:
    """A shorter list is the beginning of the longer one."""
    load = _skewed_load(make_view(make_specs(5, 5)), "t1", 2.0)
    view = make_view(make_specs(5, 5), load_by_slice=load)
    all_moves = plan_moves(view, MoveOnLoad(move_limit=1000), 0.0)
    assert plan_moves(view, MoveOnLoad(move_limit=3), 0.0) == all_moves[:3]


@pytest.mark.parametrize(
    "policy",
    [
        MoveOnLoad(move_limit=1000, weights=MeasureWeights(churn=1000.0)),
        MoveOnLoad(move_limit=1000, horizon=0.1),
    ],
)
def test_moves_that_cost_more_than_they_gain_are_left_out(policy: MoveOnLoad) -> None:
    """Dear churn or a short horizon keeps owners where they are."""
    load = _skewed_load(make_view(make_specs(5, 5)), "t1", 2.0)
    view = make_view(make_specs(5, 5), load_by_slice=load)
    assert plan_moves(view, policy, 0.0) == []


def test_a_key_with_a_slice_of_its_own_moves_alone() -> None:
    """One key is cheaper to move than the many of a slice, so it goes first."""
    plain = make_view(make_specs(5, 5))
    hot = next(i for i, item in plain.slices_by_id.items() if item.target == "t3")
    load = _skewed_load(plain, "t4", 0.5) | {hot: 0.4}
    view = make_view(make_specs(5, 5), load_by_slice=load, active_keys={hot: 1})
    moves = plan_moves(view, MoveOnLoad(move_limit=1), 0.0)
    assert [move.slice_id for move in moves] == [hot]


def test_load_that_no_slice_explains_stays_but_counts() -> None:
    """A target busy with other work gives slices away until it is even."""
    plain = make_view(make_specs(5, 5), load_by_slice=EVEN)
    view = PlacementView(
        group=GROUP,
        slices_by_id=plain.slices_by_id,
        targets_by_id=plain.targets_by_id,
        load_by_slice=EVEN,
        load_by_target={"t2": 1.6},
    )
    moves = plan_moves(view, MoveOnLoad(move_limit=1000), 0.0)
    assert {move.source for move in moves} == {"t2"}


def test_a_joining_target_comes_to_its_share() -> None:
    """The share of one in six moves there, and only there."""
    specs = make_specs(6, 3)
    owners = make_view({key: specs[key] for key in specs if key != "t5"})
    view = PlacementView(
        group=GROUP,
        slices_by_id=owners.slices_by_id,
        targets_by_id={key: TargetView(spec=spec) for key, spec in specs.items()},
        load_by_slice=EVEN,
    )
    moves = plan_moves(view, MoveOnJoin(target="t5", move_limit=1000), 0.0)
    assert {move.destination for move in moves} == {"t5"}
    assert {move.reason for move in moves} == {MoveReason.JOIN}
    counts = owned_count(view.slices_by_id, moves)
    assert max(counts.values()) - min(counts.values()) <= 2


def test_a_cold_target_gets_a_growing_share() -> None:
    """Just after its start a cold target gets few slices, a minute later all."""
    specs = make_specs(6, 3)
    owners = make_view({key: specs[key] for key in specs if key != "t5"})
    targets = {key: TargetView(spec=spec) for key, spec in specs.items()}
    targets["t5"] = TargetView(spec=specs["t5"], state=TargetState.COLD, since=100.0)
    view = PlacementView(
        group=GROUP,
        slices_by_id=owners.slices_by_id,
        targets_by_id=targets,
        load_by_slice=EVEN,
    )
    policy = MoveOnJoin(target="t5", move_limit=1000)
    counts = [len(plan_moves(view, policy, now)) for now in (100.0, 130.0, 160.0)]
    assert counts[0] <= 6
    assert counts[0] < counts[1] < counts[2]
    assert counts[2] >= 40


def test_nothing_joins_an_unusable_target() -> None:
    """A target lost again before the decision gets nothing."""
    view = make_view(make_specs(3, 3), {"t0": TargetState.LOST}, load_by_slice=EVEN)
    assert plan_moves(view, MoveOnJoin(target="t0", move_limit=9), 0.0) == []
    assert plan_moves(view, MoveOnJoin(target="absent", move_limit=9), 0.0) == []


def test_a_relieved_target_is_left_alone_by_the_next_decision() -> None:
    """Symptom: slices move in every decision although the load hardly changes.

    Sequence: an overloaded target is relieved, its load is measured 2% higher and
    placement decided again. Cause: relieved only to the trigger, it is above it again.
    """
    load = _skewed_load(make_view(make_specs(5, 5)), "t1", 1.4)
    view = make_view(make_specs(5, 5), load_by_slice=load)
    policy = MoveOnLoad(move_limit=1000)
    owners = dict(view.slices_by_id)
    for move in plan_moves(view, policy, 0.0):
        owners[move.slice_id] = replace(
            owners[move.slice_id], target=move.destination, standby=move.standby
        )
    noisy = {
        slice_id: slice_load * (1.02 if owners[slice_id].target == "t1" else 1.0)
        for slice_id, slice_load in load.items()
    }
    later = replace(view, slices_by_id=owners, load_by_slice=noisy)
    assert owners != view.slices_by_id
    assert plan_moves(later, policy, 1.0) == []
