"""Tests of the estimation of target speeds."""

from __future__ import annotations

from swiftpin.keyranges.target_speed import TargetSpeed


def test_slow_target_has_less_capacity() -> None:
    """The capacity reflects the times of a target's own requests."""
    speed = TargetSpeed()
    for _ in range(60):
        speed.add("fast", 0.1, failed=False)
        speed.add("slow", 0.3, failed=False)
    assert speed.capacity("fast", 2) > 2 * speed.capacity("slow", 2)


def test_target_that_answers_nothing_in_time_turns_slow() -> None:
    """Guards against requests that time out at one target for seconds.

    A target that becomes twelve times slower answers no request in time, so abandoned
    requests must count towards its speed too.
    """
    speed = TargetSpeed()
    for _ in range(20):
        speed.add("a", 0.2, failed=False)
    capacity_before = speed.capacity("a", 2)
    for _ in range(5):
        speed.add_abandoned("a", 1.2)
    assert speed.capacity("a", 2) < capacity_before / 2


def test_caller_that_leaves_early_says_nothing() -> None:
    """A request that is abandoned early must not make a target appear fast."""
    speed = TargetSpeed()
    capacity_before = speed.capacity("a", 2)
    speed.add_abandoned("a", 0.01)
    assert speed.capacity("a", 2) == capacity_before


def test_failing_target_has_less_capacity() -> None:
    """A target that fails part of its requests gets fewer keys."""
    speed = TargetSpeed()
    capacity_before = speed.capacity("a", 2)
    for _ in range(10):
        speed.add("a", 0.0, failed=True)
    assert speed.capacity("a", 2) < capacity_before / 2
