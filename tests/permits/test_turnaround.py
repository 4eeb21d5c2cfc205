"""Tests of the estimated round-trip time of permits."""

from __future__ import annotations

import pytest

from swiftpin.permits.turnaround import Turnaround


def test_constant_round_trip_has_no_deviation() -> None:
    """Equal observations give a bound without deviation."""
    turnaround = Turnaround()
    for _ in range(3):
        turnaround.record(0.004)
    assert turnaround.round_trip_bound == pytest.approx(0.004)


def test_bound_covers_occasional_slow_round_trips() -> None:
    """The mean is 20 ms, but one of ten slots would idle for 130 ms."""
    turnaround = Turnaround()
    for number in range(200):
        turnaround.record(0.13 if number % 10 == 0 else 0.008)
    assert turnaround.round_trip_bound > 0.08


def test_bound_is_zero_without_observations() -> None:
    """No permits are granted beyond the slots before one was released."""
    assert Turnaround().round_trip_bound == 0.0
