"""Tests of the bound on lines."""

from __future__ import annotations

from swiftpin.helpers.line_rate_limiter import LineRateLimiter


def test_lines_above_the_bound_are_left_out_and_counted() -> None:
    """Each second has its own room, and nothing is left out without a count."""
    budget = LineRateLimiter(3)
    assert [budget.allow(5.0 + number / 10) for number in range(5)] == [
        True,
        True,
        True,
        False,
        False,
    ]
    assert budget.allow(6.0)
    assert budget.take_suppressed_count() == 2
    assert budget.take_suppressed_count() == 0


def test_bytes_and_shares_have_a_bound_too() -> None:
    """Long lines use up a second's room as many short ones do."""
    budget = LineRateLimiter(100, max_bytes=1000)
    assert budget.allow(5.0, 700, share=0.75)
    assert not budget.allow(5.1, 100, share=0.75)
    assert budget.allow(5.2, 300)
    assert not budget.allow(5.3, 1)
    assert budget.allow(6.0, 1)
    assert budget.suppressed == 2
