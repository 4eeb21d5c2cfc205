"""Tests of the time for which permits are on their way."""

from __future__ import annotations

import pytest

from swiftpin.permits.turnaround import Turnaround


def test_steady_way_has_no_deviation() -> None:
    """What is always the same is known with its second time."""
    turnaround = Turnaround()
    for _ in range(3):
        turnaround.record(0.004)
    assert turnaround.round_trip_bound == pytest.approx(0.004)


def test_way_that_is_seldom_slow_counts_as_slow() -> None:
    """The mean is 20 ms, yet one slot in ten would idle for 130 ms."""
    turnaround = Turnaround()
    for number in range(200):
        turnaround.record(0.13 if number % 10 == 0 else 0.008)
    assert turnaround.round_trip_bound > 0.08


def test_nothing_is_known_at_first() -> None:
    """Nothing is given ahead before a permit came back."""
    assert Turnaround().round_trip_bound == 0.0
