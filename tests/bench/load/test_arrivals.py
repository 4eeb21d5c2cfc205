"""Tests of the open loop's schedule."""

from __future__ import annotations

from random import Random

import pytest

from swiftpin.bench.load.arrivals import arrival_times


def test_arrivals_fill_the_duration_at_the_rate() -> None:
    """Arrivals stay within the run and come at the stated rate."""
    times = list(arrival_times(rate=500, start=10.0, duration=20.0, random=Random(1)))
    assert min(times) > 10.0
    assert max(times) < 30.0
    assert len(times) == pytest.approx(10_000, rel=0.05)


def test_arrivals_are_seeded_and_ordered() -> None:
    """The same seed gives the same schedule, in order of time."""
    first = list(arrival_times(rate=50, start=0.0, duration=5.0, random=Random(7)))
    again = list(arrival_times(rate=50, start=0.0, duration=5.0, random=Random(7)))
    assert first == again == sorted(first)
