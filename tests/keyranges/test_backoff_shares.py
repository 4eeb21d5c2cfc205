"""Tests of the capacity of targets that some instances must not call."""

from __future__ import annotations

import pytest

from swiftpin.keyranges.backoff_shares import HORIZON, MIN_SHARE, BackoffShares


def test_capacity_follows_the_instances_that_may_call() -> None:
    """Guards against keys that stay at a target that few instances may call."""
    shares = BackoffShares()
    assert shares.available_share("a", 4, 0.0) == 1.0
    for _ in range(3):
        shares.add("a", 3.0, 0.0)
    assert shares.available_share("a", 4, 0.0) == 0.25
    assert shares.available_share("b", 4, 0.0) == 1.0
    shares.add("a", 3.0, 0.0)
    assert shares.available_share("a", 4, 0.0) == MIN_SHARE


def test_short_period_moves_few_keys() -> None:
    """Guards against keys that flee for a pause that ends before they have moved."""
    shares = BackoffShares()
    for _ in range(4):
        shares.add("a", HORIZON / 8, 0.0)
    assert shares.available_share("a", 4, 0.0) == pytest.approx(0.875)


def test_capacity_returns_with_the_end_of_the_periods() -> None:
    """Guards against a target that stays without keys after its pause."""
    shares = BackoffShares()
    shares.add("a", 3.0, 0.0)
    assert shares.available_share("a", 2, 2.0) == 0.75
    assert shares.available_share("a", 2, 3.0) == 1.0
    shares.prune(3.0)
    assert shares.available_share("a", 2, 3.0) == 1.0
