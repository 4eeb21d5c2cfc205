"""Tests of the back-off periods that targets ask for."""

from __future__ import annotations

from swiftpin.notices.target_backoffs import TargetBackoffs


def test_shorter_request_does_not_end_a_running_period() -> None:
    """Guards against a target that is called since a later answer named less."""
    backoffs = TargetBackoffs()
    backoffs.record("a", 3.0, 100.0)
    backoffs.record("a", 0.5, 101.0)
    assert backoffs.remaining("a", 102.0) == 1.0
    backoffs.record("a", 3.0, 102.0)
    assert backoffs.remaining("a", 103.0) == 2.0


def test_period_ends() -> None:
    """Guards against a target that stays unused after the time that it asked for."""
    backoffs = TargetBackoffs()
    backoffs.record("a", 3.0, 100.0)
    assert backoffs.count(102.9) == 1
    assert not backoffs.remaining("a", 103.0)
    assert not backoffs.count(103.0)


def test_life_that_is_gone_takes_its_period_along() -> None:
    """Guards against memory that grows with each start of a target."""
    backoffs = TargetBackoffs()
    backoffs.record("a", 3.0, 100.0)
    backoffs.record("b", 3.0, 100.0)
    backoffs.retain_targets({"b"}, 101.0)
    assert backoffs.count(101.0) == 1
    assert not backoffs.remaining("a", 101.0)
