"""Tests of the bound on lines."""

from __future__ import annotations

from swiftpin.helpers.line_budget import LineBudget


def test_lines_above_the_bound_are_left_out_and_counted() -> None:
    """Each second has its own room, and nothing is left out without a count."""
    budget = LineBudget(3)
    assert [budget.take(5.0 + number / 10) for number in range(5)] == [
        True,
        True,
        True,
        False,
        False,
    ]
    assert budget.take(6.0)
    assert budget.take_left_out() == 2
    assert budget.take_left_out() == 0


def test_bytes_and_shares_have_a_bound_too() -> None:
    """Long lines use up a second's room as many short ones do."""
    budget = LineBudget(100, most_bytes=1000)
    assert budget.take(5.0, 700, share=0.75)
    assert not budget.take(5.1, 100, share=0.75)
    assert budget.take(5.2, 300)
    assert not budget.take(5.3, 1)
    assert budget.take(6.0, 1)
    assert budget.left_out == 2
