"""Tests of the measure of unserved time."""

from __future__ import annotations

import pytest

from swiftpin.bench.load.unserved_meter import UnservedMeter


@pytest.fixture
def meter() -> UnservedMeter:
    """Return a meter that counts everything above 100 ms."""
    return UnservedMeter(threshold=0.1)


def test_prompt_answers_leave_no_spell(meter: UnservedMeter) -> None:
    """Normal service is not counted."""
    meter.begin("k", 1.0)
    meter.end("k", 1.05, is_answered=True)
    assert meter.spells_by_key == {}


def test_spell_runs_from_first_waiting_request(meter: UnservedMeter) -> None:
    """Later requests for the same key do not shorten the spell."""
    meter.begin("k", 1.0)
    meter.begin("k", 1.5)
    meter.end("k", 2.0, is_answered=True)
    meter.end("k", 2.01, is_answered=True)
    assert meter.spells_by_key == {"k": [1.0]}


def test_stuck_request_does_not_count_while_others_are_answered(
    meter: UnservedMeter,
) -> None:
    """One request hangs at a frozen gateway; the key itself is served."""
    meter.begin("k", 1.0)
    for step in range(1, 180):
        at = 1.0 + step * 0.05
        meter.begin("k", at)
        meter.end("k", at + 0.01, is_answered=True)
    meter.end("k", 10.0, is_answered=True)
    assert meter.spells_by_key == {}


def test_spell_restarts_with_answer(meter: UnservedMeter) -> None:
    """A second gap while a request still waits is a spell of its own."""
    meter.begin("k", 1.0)
    meter.begin("k", 1.0)
    meter.end("k", 1.01, is_answered=True)
    meter.end("k", 3.01, is_answered=True)
    assert meter.spells_by_key["k"] == [pytest.approx(2.0)]


def test_abandoned_request_counts(meter: UnservedMeter) -> None:
    """A key whose only request was given up was unserved all the time."""
    meter.begin("k", 1.0)
    meter.end("k", 6.0, is_answered=False)
    assert meter.spells_by_key == {"k": [5.0]}


def test_keys_are_apart(meter: UnservedMeter) -> None:
    """An answer to one key ends no spell of another."""
    meter.begin("a", 1.0)
    meter.begin("b", 1.0)
    meter.end("b", 1.01, is_answered=True)
    meter.end("a", 2.0, is_answered=True)
    assert meter.spells_by_key == {"a": [1.0]}
