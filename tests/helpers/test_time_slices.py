"""Tests of long computations in time slices."""

from __future__ import annotations

from collections.abc import Generator

import pytest

from swiftpin.helpers import time_slices
from swiftpin.helpers.time_slices import Completed, run_time_slice, run_to_completion


def count(steps: int) -> Generator[None, None, int]:
    """Yield `steps` times and return the number of steps."""
    for _ in range(steps):
        yield
    return steps


@pytest.fixture(autouse=True)
def clock_fixture(monkeypatch: pytest.MonkeyPatch) -> None:
    """Advance the clock by a millisecond on every read."""
    now = iter(range(1_000_000))
    monkeypatch.setattr(time_slices, "monotonic_now", lambda: next(now) / 1000)


def test_short_computation_completes_in_one_slice() -> None:
    """A short computation is completed when the first call returns."""
    assert run_time_slice(count(5), 0.01) == Completed(5)


def test_long_computation_pauses() -> None:
    """Guards against an event loop blocked for tens of milliseconds."""
    steps = count(100)
    pauses = 0
    while (done := run_time_slice(steps, 0.01)) is None:
        pauses += 1
    assert done.result == 100
    assert pauses >= 5


def test_run_to_completion_does_not_pause() -> None:
    """Outside the event loop a computation runs without pauses."""
    assert run_to_completion(count(100)) == 100
