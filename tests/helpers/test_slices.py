"""Tests of long computations in slices."""

from __future__ import annotations

from collections.abc import Generator

import pytest

from swiftpin.helpers import slices
from swiftpin.helpers.slices import Done, run_slice, run_whole


def count(steps: int) -> Generator[None, None, int]:
    """Return the number of steps after as many."""
    for _ in range(steps):
        yield
    return steps


@pytest.fixture(autouse=True)
def clock_fixture(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each look at the clock take a millisecond."""
    now = iter(range(1_000_000))
    monkeypatch.setattr(slices, "monotonic_now", lambda: next(now) / 1000)


def test_short_computation_is_done_at_once() -> None:
    """A small configuration is in force when the call returns."""
    assert run_slice(count(5), 0.01) == Done(5)


def test_long_computation_pauses() -> None:
    """Guards against an event loop that serves nobody for tens of milliseconds."""
    steps = count(100)
    pauses = 0
    while (done := run_slice(steps, 0.01)) is None:
        pauses += 1
    assert done.result == 100
    assert pauses >= 5


def test_whole_computation_takes_no_heed_of_time() -> None:
    """What runs outside the event loop is not cut up."""
    assert run_whole(count(100)) == 100
