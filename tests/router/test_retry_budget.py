"""Tests of the retry budget of one service."""

from __future__ import annotations

import pytest

from swiftpin.router.retry_budget import RetryBudget
from swiftpin.router.retry_limits import RetryLimits

NOW = 100.0
WINDOW = 10.0
LIMITS = RetryLimits(
    earned_per_request=0.25, max_saved_per_request=0.05, slack=0.0, window=WINDOW
)


@pytest.fixture(name="budget")
def budget_fixture() -> RetryBudget:
    """Return the budget of an instance that has just started."""
    return RetryBudget()


def spend_all(budget: RetryBudget, limits: RetryLimits, now: float) -> int:
    """Spend all retries that the budget has at a time and return their number."""
    spent = 0
    while budget.reserve(limits, now):
        budget.spend(now)
        spent += 1
    return spent


def record(budget: RetryBudget, count: int, now: float) -> None:
    """Count some requests."""
    for _ in range(count):
        budget.record_request(LIMITS, now)


def test_new_instance_has_no_retries(budget: RetryBudget) -> None:
    """Failure: each process that started had the retries of a full window."""
    assert spend_all(budget, LIMITS, NOW) == 0
    record(budget, 4, NOW)
    assert spend_all(budget, LIMITS, NOW) == 1


def test_unused_retries_are_saved_in_part(budget: RetryBudget) -> None:
    """Saved retries are limited to a share of those of the previous window."""
    record(budget, 100, NOW)
    assert spend_all(budget, LIMITS, NOW) == 5
    record(budget, 100, NOW)
    assert spend_all(budget, LIMITS, NOW) == 10


def test_saved_retries_of_an_idle_service_expire(budget: RetryBudget) -> None:
    """Failure: requests older than a window still allowed retries."""
    record(budget, 100, NOW)
    assert spend_all(budget, LIMITS, NOW + WINDOW) == 1


def test_all_earned_retries_can_be_spent(budget: RetryBudget) -> None:
    """A service that rejects all the time can use its full ratio."""
    spent = 0
    for number in range(400):
        record(budget, 1, NOW + number / 40)
        spent += spend_all(budget, LIMITS, NOW + number / 40)
    assert spent == 100


def test_slack_is_spent_once_per_window(budget: RetryBudget) -> None:
    """The slack is available again when the retries have left the window."""
    limits = RetryLimits(
        earned_per_request=0.0, max_saved_per_request=0.0, slack=4.0, window=WINDOW
    )
    # One of the four is kept for earned retries that may be saved.
    assert spend_all(budget, limits, NOW) == 3
    assert spend_all(budget, limits, NOW + WINDOW - 0.1) == 0
    assert spend_all(budget, limits, NOW + WINDOW) == 3


def test_reserved_retries_count_when_they_are_sent(budget: RetryBudget) -> None:
    """Failure: retries that waited for permits were added to those of a window."""
    limits = RetryLimits(
        earned_per_request=0.0, max_saved_per_request=0.0, slack=4.0, window=WINDOW
    )
    for _ in range(3):
        assert budget.reserve(limits, NOW)
    assert not budget.reserve(limits, NOW)
    for _ in range(3):
        budget.spend(NOW + 5)
    assert not budget.reserve(limits, NOW + WINDOW)
    assert budget.reserve(limits, NOW + 5 + WINDOW)


def test_reserved_retries_count_among_the_saved_ones(budget: RetryBudget) -> None:
    """A reserved retry counts towards the limit of saved retries."""
    record(budget, 100, NOW)
    for _ in range(5):
        assert budget.reserve(LIMITS, NOW)
    record(budget, 40, NOW + 1)
    assert spend_all(budget, LIMITS, NOW + 1) == 2
    budget.release()
    assert spend_all(budget, LIMITS, NOW + 1) == 1
