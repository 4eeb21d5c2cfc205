"""Tests of the lower bound of moves."""

from __future__ import annotations

from swiftpin.bench.placement.least_moves import least_moves


def test_nothing_to_mend_needs_no_move() -> None:
    """Loads within the goal need none."""
    assert least_moves({"a": [0.5, 0.6], "b": [0.9]}, 1.0) == 0


def test_a_unit_that_fits_elsewhere_is_one_move() -> None:
    """The heaviest unit that fits is enough."""
    assert least_moves({"a": [0.5, 1.0], "b": [0.5]}, 1.0) == 1


def test_a_unit_that_fits_nowhere_costs_the_room_made_for_it() -> None:
    """Four light units are cheaper than the heavy one, which would displace five."""
    units = {"a": [1.0, *[0.1] * 5], "b": [0.15] * 6, "c": [0.15] * 6}
    assert least_moves(units, 1.0) == 4


def test_a_group_above_the_goal_is_only_asked_to_be_even() -> None:
    """A group whose mean is above the goal needs no move once it is even."""
    assert least_moves({"a": [1.0, 1.0], "b": [1.0, 1.0]}, 1.0) == 0
