"""Load that a holder measures from its own requests."""

from __future__ import annotations

from swiftpin.ownership.load_meter import MIN_HOT_LOAD, WINDOW, LoadMeter


def test_a_few_requests_make_no_hot_key() -> None:
    """Symptom: a group at rest writes its record every few seconds.

    Events: a service that is idle but for a handful of requests; each of their keys
    is far above the mean of nothing and is split out of its slice.
    Cause: hot keys were found by their share alone (docs/measurements/slopes.json: 0.8
    writes a second at rest).
    """
    meter = LoadMeter(0.0)
    for number in range(20):
        meter.record(number, f"k{number}", 0.003, 1.0)
    assert meter.hot_keys(5.0) == []


def test_a_key_that_keeps_a_slot_busy_is_hot() -> None:
    """Its load is measured in slots."""
    meter = LoadMeter(0.0)
    for second in range(int(WINDOW) * 10):
        meter.record(1, "hot", 0.5, float(second))
        meter.record(2, "cold", 0.01, float(second))
    hot = meter.hot_keys(WINDOW * 10)
    assert [item.key for item in hot] == ["hot"]
    assert 0.4 < hot[0].load < 0.6
    assert hot[0].load > MIN_HOT_LOAD


def test_load_fades() -> None:
    """Work of ten half-lives ago weighs a thousandth."""
    meter = LoadMeter(0.0)
    meter.record(7, "k", 10.0, 0.0)
    before = meter.load_by_slice(0.0)[7]
    after = meter.load_by_slice(WINDOW * 10)[7]
    assert after < before / 1000
