"""Tests of moves of keys that overload their owner.

They guard against a hot key that stays with a slow owner: a key with four times the
load that its owner can handle fits no target's spare capacity. Unless it is moved to a
target that is twice as fast, two thirds of its requests are rejected.
"""

from __future__ import annotations

from random import Random

import pytest

from swiftpin.keyranges.assignment import Assignment, divide_by_weight
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.plan_hot_keys import MIN_CAPACITY_RATIO
from swiftpin.keyranges.planner import plan_moves
from swiftpin.keyranges.target_speed import CapacityBounds, TargetSpeed

CAPACITIES = {"a": 40.0, "b": 45.0, "c": 90.0, "d": 45.0}
HOT_KEY = 1000


@pytest.fixture(name="even")
def even_fixture() -> Assignment:
    """Return an even assignment to four targets; target a owns the first keys."""
    return divide_by_weight(dict.fromkeys(CAPACITIES, 1.0), fence=1)


def move_of(key: int, moves: list[Move]) -> Move | None:
    """Return the move that includes a key."""
    return next((move for move in moves if move.first <= key <= move.last), None)


def test_hot_key_is_moved_to_the_fastest_target(even: Assignment) -> None:
    """The fastest target serves the most requests for the key."""
    move = move_of(HOT_KEY, plan_moves(even, CAPACITIES, {HOT_KEY: 175.0}))
    assert move == Move(first=HOT_KEY, last=HOT_KEY, source="a", to="c")


def test_hot_key_stays_if_no_target_is_much_faster(even: Assignment) -> None:
    """Speeds are estimates, and each move makes the key unavailable for a while."""
    similar = CAPACITIES | {"c": 50.0}
    assert move_of(HOT_KEY, plan_moves(even, similar, {HOT_KEY: 175.0})) is None


def test_key_that_its_owner_can_handle_alone_stays(even: Assignment) -> None:
    """The owner's other keys are moved instead."""
    rates = {HOT_KEY: 25.0} | dict.fromkeys(range(2000, 2030), 1.0)
    moves = plan_moves(even, CAPACITIES, rates)
    assert moves
    assert move_of(HOT_KEY, moves) is None


def test_second_hot_key_does_not_join_the_first(even: Assignment) -> None:
    """Two hot keys on the fastest target would each get half of its capacity."""
    c_key = next(s.first for s in even.segments if s.owner == "c")
    rates = {HOT_KEY: 100.0, c_key: 80.0}
    assert move_of(HOT_KEY, plan_moves(even, CAPACITIES, rates)) is None


def test_moving_hot_key_is_not_moved_again(even: Assignment) -> None:
    """The key's former owner may still hold it."""
    moving = even.with_moves([Move(first=HOT_KEY, last=HOT_KEY, source="a", to="b")], 2)
    assert move_of(HOT_KEY, plan_moves(moving, CAPACITIES, {HOT_KEY: 175.0})) is None


def test_hot_key_stays_while_speeds_are_uncertain(even: Assignment) -> None:
    """Guards against a hot key that is moved repeatedly: six owners within 2.5 s.

    The last requests at two equally fast targets may differ in length. Among a dozen
    single estimates some are always far off, so their bounds must be compared.
    """
    bounds = {
        name: CapacityBounds(low=capacity, high=capacity)
        for name, capacity in CAPACITIES.items()
    }
    owner_may_be_fast = bounds | {"a": CapacityBounds(low=40.0, high=80.0)}
    other_may_be_slow = bounds | {"c": CapacityBounds(low=45.0, high=90.0)}
    rates = {HOT_KEY: 175.0}
    assert move_of(HOT_KEY, plan_moves(even, CAPACITIES, rates, bounds)) is not None
    assert (
        move_of(HOT_KEY, plan_moves(even, CAPACITIES, rates, owner_may_be_fast)) is None
    )
    assert (
        move_of(HOT_KEY, plan_moves(even, CAPACITIES, rates, other_may_be_slow)) is None
    )


def test_equal_targets_rarely_differ_in_speed() -> None:
    """Normal variation of request times must not make a target appear faster."""
    rng = Random(1)
    speed = TargetSpeed()
    targets = [f"t{number}" for number in range(12)]
    differing_rounds = 0
    for _ in range(400):
        for target in targets:
            speed.add(target, rng.lognormvariate(-3.0, 0.5), failed=False)
        bounds = [speed.capacity_bounds(target, 4) for target in targets]
        max_low = max(bound.low for bound in bounds)
        differing_rounds += any(
            max_low > MIN_CAPACITY_RATIO * bound.high for bound in bounds
        )
    assert differing_rounds < 40
