"""Tests of moves after losses and before planned stops."""

from __future__ import annotations

import pytest

from swiftpin.config.measure_weights import MeasureWeights
from swiftpin.ownership.placement.const import STANDBY_TOLERANCE
from swiftpin.ownership.placement.move_reason import MoveReason
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.planner import plan_moves
from swiftpin.ownership.placement.policy import (
    InitialSpread,
    MoveCosts,
    MoveOnLeave,
    MoveOnLoss,
    PlacementPolicy,
)
from swiftpin.ownership.placement.standbys import plan_standbys
from swiftpin.ownership.placement.target_state import TargetState
from tests.ownership.placement.builders import GROUP, make_specs, make_view, owned_count


@pytest.mark.parametrize(
    ("state", "policy", "reason"),
    [
        (TargetState.LOST, MoveOnLoss(), MoveReason.LOSS),
        (TargetState.LEAVING, MoveOnLeave(), MoveReason.LEAVE),
    ],
)
def test_exactly_the_slices_of_the_target_move(
    state: TargetState, policy: PlacementPolicy, reason: MoveReason
) -> None:
    """Nothing moves that need not, and survivors share evenly."""
    view = make_view(make_specs(5, 5), {"t2": state})
    moves = plan_moves(view, policy, 0.0)
    moved = {move.slice_id for move in moves}
    owned = {i for i, item in view.slices_by_id.items() if item.target == "t2"}
    assert moved == owned
    assert {move.reason for move in moves} == {reason}
    counts = owned_count(view.slices_by_id, moves)
    assert max(counts.values()) - min(counts.values()) <= 250 / 4 * 0.1
    assert "t2" not in counts


def test_slices_go_to_their_standbys_where_these_have_room() -> None:
    """Standbys were warned, so with even load nearly all slices go to them."""
    view = make_view(make_specs(5, 5), {"t0": TargetState.LOST})
    moves = plan_moves(view, MoveOnLoss(), 0.0)
    to_standby = [
        move
        for move in moves
        if view.slices_by_id[move.slice_id].standby == move.destination
    ]
    assert len(to_standby) >= 0.9 * len(moves)


def test_no_survivor_takes_more_than_its_share() -> None:
    """Whoever takes slices ends near the mean load; who was above it takes none."""
    load = {slice_id: 0.001 * (slice_id % 7) for slice_id in range(1, 1000, 4)}
    owners = make_view(make_specs(5, 3)).slices_by_id
    load[next(i for i, item in owners.items() if item.target == "t2")] = 0.1
    view = make_view(make_specs(5, 3), {"t1": TargetState.LOST}, load_by_slice=load)
    load_by_target = dict.fromkeys(view.targets_by_id, 0.0)
    moves = plan_moves(view, MoveOnLoss(), 0.0)
    destinations = {move.slice_id: move.destination for move in moves}
    for slice_id, item in view.slices_by_id.items():
        load_by_target[destinations.get(slice_id, item.target)] += load[slice_id]
    mean = sum(load_by_target.values()) / 4
    takers = set(destinations.values())
    assert takers == {"t0", "t3", "t4"}
    assert max(load_by_target[taker] for taker in takers) <= STANDBY_TOLERANCE * mean


def test_new_standbys_avoid_the_lost_target_and_the_owners_zone() -> None:
    """Moves and the repair together leave every slice with a fit standby."""
    specs = make_specs(6, 3)
    view = make_view(specs, {"t3": TargetState.LOST})
    moves = plan_moves(view, MoveOnLoss(), 0.0)
    repaired = plan_standbys(view)
    standbys = {i: (item.target, item.standby) for i, item in view.slices_by_id.items()}
    standbys |= {i: (standbys[i][0], standby) for i, standby in repaired.items()}
    standbys |= {move.slice_id: (move.destination, move.standby) for move in moves}
    for owner, standby in standbys.values():
        assert standby not in (None, "t3")
        assert specs[owner].zone != specs[str(standby)].zone


def test_slices_of_an_undeclared_target_count_as_lost() -> None:
    """An owner that left the declaration can't be asked; its slices must move."""
    specs = make_specs(4, 2)
    full = make_view(specs)
    del specs["t1"]
    view = PlacementView(
        group=GROUP,
        slices_by_id=full.slices_by_id,
        targets_by_id={key: full.targets_by_id[key] for key in specs},
    )
    moves = plan_moves(view, MoveOnLoss(), 0.0)
    assert {move.source for move in moves} == {"t1"}
    assert len(moves) == owned_count(view.slices_by_id)["t1"]


def test_without_a_usable_target_nothing_moves() -> None:
    """Slices stay where they are until some target can take them."""
    states = {"t0": TargetState.LOST, "t1": TargetState.LEAVING}
    view = make_view(make_specs(2, 2), states)
    assert plan_moves(view, MoveOnLoss(), 0.0) == []


def test_slices_without_owner_are_spread() -> None:
    """Slices that the record lacks get owners, and nothing else moves."""
    full = make_view(make_specs(4, 2))
    kept = {i: item for i, item in full.slices_by_id.items() if i > 100}
    view = PlacementView(
        group=GROUP, slices_by_id=kept, targets_by_id=full.targets_by_id
    )
    moves = plan_moves(view, InitialSpread(slice_ids=frozenset(full.slices_by_id)), 0.0)
    assert {move.slice_id for move in moves} == full.slices_by_id.keys() - kept.keys()
    assert {move.source for move in moves} == {None}
    counts = owned_count(kept, moves)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_cost_follows_the_weights() -> None:
    """Churn counts keys; unavailable time the work that arrives in the pause."""
    load = dict.fromkeys(range(1, 1000, 4), 1.0)
    view = make_view(make_specs(2, 2), {"t0": TargetState.LOST}, load_by_slice=load)
    weights = MeasureWeights(churn=3.0, unavailable=2.0)
    costs = MoveCosts(key_move_cost=0.01, move_pause=0.05)
    move = plan_moves(view, MoveOnLoss(weights=weights, costs=costs), 0.0)[0]
    assert move.cost == pytest.approx(3.0 * 100 * 0.01 + 2.0 * 0.05, rel=1e-3)
