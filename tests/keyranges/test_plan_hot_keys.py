"""Tests of the moves of keys that are too hot for their owner.

Symptom: two thirds of the requests for a hot key were rejected for as long as it was
hot. Sequence: one key was asked for four times as often as its owner bears; all other
keys left that owner. Cause: the key itself fitted no other target's room, so it stayed,
though other targets were twice as fast as its owner.
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
HOT = 1000


@pytest.fixture(name="even")
def even_fixture() -> Assignment:
    """Return an even assignment to four targets; the first keys are a's."""
    return divide_by_weight(dict.fromkeys(CAPACITIES, 1.0), fence=1)


def move_of(key: int, moves: list[Move]) -> Move | None:
    """Return the move that takes a key along."""
    return next((move for move in moves if move.first <= key <= move.last), None)


def test_hot_key_goes_to_the_target_that_bears_most(even: Assignment) -> None:
    """Nothing else serves more of its callers."""
    move = move_of(HOT, plan_moves(even, CAPACITIES, {HOT: 175.0}))
    assert move == Move(first=HOT, last=HOT, source="a", to="c")


def test_hot_key_stays_where_no_target_bears_much_more(even: Assignment) -> None:
    """Speeds are estimates; a key that wanders is unserved with each move."""
    similar = CAPACITIES | {"c": 50.0}
    assert move_of(HOT, plan_moves(even, similar, {HOT: 175.0})) is None


def test_key_that_its_owner_bears_alone_stays(even: Assignment) -> None:
    """The owner's other keys leave instead."""
    rates = {HOT: 25.0} | dict.fromkeys(range(2000, 2030), 1.0)
    moves = plan_moves(even, CAPACITIES, rates)
    assert moves
    assert move_of(HOT, moves) is None


def test_second_hot_key_does_not_join_the_first(even: Assignment) -> None:
    """Two keys on the fastest target would each get half of it."""
    c_key = next(s.first for s in even.segments if s.owner == "c")
    rates = {HOT: 100.0, c_key: 80.0}
    assert move_of(HOT, plan_moves(even, CAPACITIES, rates)) is None


def test_hot_key_on_the_move_is_left_alone(even: Assignment) -> None:
    """Its former owner may still hold it."""
    moving = even.with_moves([Move(first=HOT, last=HOT, source="a", to="b")], 2)
    assert move_of(HOT, plan_moves(moving, CAPACITIES, {HOT: 175.0})) is None


def test_hot_key_stays_while_speeds_are_uncertain(even: Assignment) -> None:
    """Symptom: a hot key had six owners within 2.5 s.

    Sequence: the last requests at its owner were long and those at another target of
    the same speed short; so the key moved, and moved on. Cause: single estimates were
    compared, and among a dozen of them some are always far off.
    """
    bounds = {
        name: CapacityBounds(low=capacity, high=capacity)
        for name, capacity in CAPACITIES.items()
    }
    owner_may_be_fast = bounds | {"a": CapacityBounds(low=40.0, high=80.0)}
    other_may_be_slow = bounds | {"c": CapacityBounds(low=45.0, high=90.0)}
    rates = {HOT: 175.0}
    assert move_of(HOT, plan_moves(even, CAPACITIES, rates, bounds)) is not None
    assert move_of(HOT, plan_moves(even, CAPACITIES, rates, owner_may_be_fast)) is None
    assert move_of(HOT, plan_moves(even, CAPACITIES, rates, other_may_be_slow)) is None


def test_speeds_of_equal_targets_rarely_lie_apart() -> None:
    """Requests of one kind that spread as much as usual name no faster target."""
    rng = Random(1)
    speed = TargetSpeed()
    targets = [f"t{number}" for number in range(12)]
    apart = 0
    for _ in range(400):
        for target in targets:
            speed.add(target, rng.lognormvariate(-3.0, 0.5), failed=False)
        bounds = [speed.capacity_bounds(target, 4) for target in targets]
        most = max(bound.low for bound in bounds)
        apart += any(most > MIN_CAPACITY_RATIO * bound.high for bound in bounds)
    assert apart < 40
