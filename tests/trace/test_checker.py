"""Tests of the checker by small traces with stated outcomes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from swiftpin.trace.checker import check_trace
from swiftpin.trace.judgement import Judgement
from swiftpin.trace.reader import read_trace

TRACES = Path(__file__).parent.parent / "traces"
EXPECTED: dict[str, dict[str, list[str]]] = json.loads(
    (TRACES / "expected.json").read_text()
)


@pytest.mark.parametrize("name", sorted(EXPECTED))
def test_trace_has_its_stated_outcome(name: str) -> None:
    """The file's name tells what happens; all judgements are compared."""
    verdicts = check_trace(read_trace(TRACES / f"{name}.jsonl"))
    found = {
        judgement.value: [type(item).__name__ for item in verdict.violations]
        for judgement, verdict in verdicts.items()
        if not verdict.is_good
    }
    assert found == EXPECTED[name]


def test_every_trace_has_an_outcome() -> None:
    """A file that is not listed would never be judged."""
    assert {path.stem for path in TRACES.glob("*.jsonl")} == EXPECTED.keys()


def test_every_judgement_is_shown_able_to_fail() -> None:
    """A judgement that no trace fails proves nothing."""
    failed = {judgement for outcome in EXPECTED.values() for judgement in outcome}
    assert failed == {judgement.value for judgement in Judgement}


def test_idempotency_keys_of_a_repeatable_service_may_run_again() -> None:
    """The caller of the checker names the services whose work may repeat."""
    events = list(read_trace(TRACES / "bad_ran_twice.jsonl"))
    verdicts = check_trace(events, repeatable_services=frozenset({"desk"}))
    assert verdicts[Judgement.AT_MOST_ONCE].is_good


def test_nothing_is_judged_in_an_empty_trace() -> None:
    """A verdict over nothing can be told from a good one."""
    verdicts = check_trace([])
    assert [verdict.judged for verdict in verdicts.values()] == [0] * len(Judgement)


def test_good_trace_is_judged_on_every_point() -> None:
    """The good trace is good because it was looked at."""
    verdicts = check_trace(read_trace(TRACES / "good_move.jsonl"))
    assert all(verdict.judged for verdict in verdicts.values())
