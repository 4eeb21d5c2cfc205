"""Tests of long computations in slices."""

from __future__ import annotations

from collections.abc import Generator

import pytest

from swiftpin.helpers import time_slices
from swiftpin.helpers.time_slices import Completed, run_time_slice, run_to_completion


def count(steps: int) -> Generator[None, None, int]:
    """Return the number of steps after as many."""
    for _ in range(steps):
        yield
    return steps


@pytest.fixture(autouse=True)
def clock_fixture(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each look at the clock take a millisecond."""
    now = iter(range(1_000_000))
    monkeypatch.setattr(time_slices, "monotonic_now", lambda: next(now) / 1000)


def test_short_computation_is_done_at_once() -> None:
    """A small configuration is in force when the call returns."""
    assert run_time_slice(count(5), 0.01) == Completed(5)


def test_long_computation_pauses() -> None:
    """Guards against an event loop that serves nobody for tens of milliseconds."""
    steps = count(100)
    pauses = 0
    while (done := run_time_slice(steps, 0.01)) is None:
        pauses += 1
    assert done.result == 100
    assert pauses >= 5


def test_whole_computation_takes_no_heed_of_time() -> None:
    """What runs outside the event loop is not cut up."""
    assert run_to_completion(count(100)) == 100
