"""Tests of the sketch of hot keys."""

from __future__ import annotations

from collections import Counter
import random

import pytest

from swiftpin.ownership.placement.hot_key_tracker import (
    KEY_LENGTH_LIMIT,
    HotKeyTracker,
)


def test_hot_keys_are_found_among_many() -> None:
    """Ten keys with a third of the load stand out of ten thousand."""
    rng = random.Random(7)
    tracker = HotKeyTracker(0.0, capacity=128)
    for step in range(20_000):
        hot = rng.random() < 0.33
        key = f"hot{rng.randrange(10)}" if hot else f"cold{rng.randrange(10_000)}"
        tracker.record(key, 0.001, step * 0.001)
    keys = {item.key for item in tracker.top(10, 20.0)}
    assert keys == {f"hot{index}" for index in range(10)}


def test_the_certain_load_never_exceeds_the_true_one() -> None:
    """True weight lies between the bounds when nothing decays."""
    rng = random.Random(3)
    tracker = HotKeyTracker(0.0, capacity=16, half_life=1.0)
    true: Counter[str] = Counter()
    for _ in range(3000):
        key = f"k{int(rng.paretovariate(0.7)) % 200}"
        true[key] += 1
        tracker.record(key, 1.0, 0.0)
    for item in tracker.top(16, 0.0):
        load = true[item.key] * 0.6931471805599453
        assert item.load <= load + 1e-9
        assert load <= item.load_at_most + 1e-9


def test_load_is_in_slots_and_decays() -> None:
    """A key that keeps half a slot busy shows 0.5; a half-life later half of it."""
    tracker = HotKeyTracker(0.0, half_life=10.0)
    for step in range(2000):
        tracker.record("k", 0.05, step * 0.1)
    (hot,) = tracker.top(5, 200.0)
    assert hot.load == pytest.approx(0.5, rel=0.01)
    (hot,) = tracker.top(5, 210.0)
    assert hot.load == pytest.approx(0.25, rel=0.01)


def test_the_tracker_forgets_what_was_hot() -> None:
    """After some half-lives a key of today outranks yesterday's."""
    tracker = HotKeyTracker(0.0, half_life=10.0)
    tracker.record("old", 100.0, 0.0)
    tracker.record("new", 1.0, 100.0)
    assert [item.key for item in tracker.top(2, 100.0)] == ["new", "old"]


def test_weights_do_not_overflow_in_a_long_life() -> None:
    """Symptom: an overflow, or infinite loads, after hours.

    Sequence: records at ever later times, a gap of days among them.
    Cause: weights are scaled up with time, which a float holds for 1,023 half-lives.
    """
    tracker = HotKeyTracker(0.0, half_life=1.0, capacity=4)
    for hour in range(100):
        for key in range(8):
            tracker.record(f"k{key}", 1.0, hour * 3600.0 + key)
    tracker.record("last", 1.0, 1e7)
    assert tracker.top(1, 1e7)[0].key == "last"
    assert 0.0 < tracker.top(1, 1e7)[0].load < 1.0


def test_memory_is_bounded() -> None:
    """No more keys than the capacity, none of excessive length."""
    tracker = HotKeyTracker(0.0, capacity=8)
    for index in range(1000):
        tracker.record(f"k{index}", 1.0, 0.0)
    tracker.record("x" * (KEY_LENGTH_LIMIT + 1), 1e9, 0.0)
    assert len(tracker.top(100, 0.0)) == 8
    assert len(tracker._heap) == 8
    assert all(len(item.key) < 10 for item in tracker.top(100, 0.0))
