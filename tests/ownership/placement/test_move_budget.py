"""Tests of the limit of moves a minute."""

from __future__ import annotations

from swiftpin.ownership.placement.move_budget import MoveBudget


def test_no_minute_has_more_moves_than_the_limit() -> None:
    """What was spent comes back exactly a minute later."""
    budget = MoveBudget(10)
    budget.spend(7, 100.0)
    budget.spend(3, 130.0)
    assert budget.available(159.9) == 0
    assert budget.available(160.0) == 7
    assert budget.available(190.0) == 10


def test_overspending_is_no_credit() -> None:
    """Moves beyond the limit count in full until their minute is over."""
    budget = MoveBudget(2)
    budget.spend(5, 0.0)
    assert budget.available(1.0) == 0
    budget.spend(0, 2.0)
    assert budget.available(60.0) == 2
