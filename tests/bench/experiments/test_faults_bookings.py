"""Tests of what is said about a run's bookings."""

from __future__ import annotations

import pytest

from swiftpin.bench.experiments.faults_bookings import (
    BookingsSummary,
    summarize_bookings,
)
from swiftpin.bench.load.class_result import ClassResult
from swiftpin.bench.load.spell_summary import summarize_spells
from swiftpin.result import Executed, ResultCode
from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.execute_event import ExecuteEvent
from swiftpin.trace.execution_outcome import ExecutionOutcome
from swiftpin.trace.start_event import StartEvent
from swiftpin.trace.trace_event import TraceEvent

RESENDS = 5


@pytest.fixture
def counts() -> ClassResult:
    """Return the load's counts of four bookings."""
    return ClassResult(
        scheduled=4,
        answered=1,
        refused=0,
        unknown=3,
        unanswered=0,
        tries_by_result={},
        p50_ms=1.0,
        p99_ms=1.0,
        max_ms=1.0,
        unserved=summarize_spells({}),
    )


def answers(key: str, result: ResultCode, count: int = 1) -> list[TraceEvent]:
    """Return what the caller of one booking got."""
    executed = Executed.YES if result == ResultCode.ANSWERED else Executed.UNKNOWN
    return [
        AnswerEvent(
            request_id=f"{key}-{number}",
            service="desk",
            key="k",
            idempotency_key=key,
            request_class="booking",
            status=200,
            result=int(result),
            executed=executed,
            body_digest=None,
            whole=True,
            sent=float(number),
            at=float(number),
        )
        for number in range(count)
    ]


def start(key: str) -> StartEvent:
    """Return the start of a booking's execution."""
    return StartEvent(
        target="t",
        boot_id="b",
        service="desk",
        key="k",
        slice=1,
        term=2,
        request_id=key,
        idempotency_key=key,
        method="POST",
        start=1.0,
    )


def done(key: str) -> ExecuteEvent:
    """Return the end of a booking's execution."""
    return ExecuteEvent(
        target="t",
        boot_id="b",
        service="desk",
        key="k",
        slice=1,
        term=2,
        request_id=key,
        idempotency_key=key,
        method="POST",
        start=1.0,
        end=2.0,
        outcome=ExecutionOutcome.DONE,
        body_digest=None,
    )


def summarize(counts: ClassResult, events: list[TraceEvent]) -> BookingsSummary:
    """Return the summary."""
    return summarize_bookings(counts, events)


def test_unknown_ends_are_told_apart_by_what_the_targets_did(
    counts: ClassResult,
) -> None:
    """One ran, one died with its target, one never got there, one was answered."""
    events = [
        *answers("ran", ResultCode.OUTCOME_UNKNOWN, RESENDS),
        start("ran"),
        done("ran"),
        *answers("died", ResultCode.OUTCOME_UNKNOWN, RESENDS),
        start("died"),
        *answers("never", ResultCode.OUTCOME_UNKNOWN, RESENDS),
        *answers("good", ResultCode.OUTCOME_UNKNOWN, RESENDS - 1),
        *answers("good", ResultCode.ANSWERED),
        start("good"),
        done("good"),
    ]
    summary = summarize(counts, events)
    assert summary.unknown_ran == 1
    assert summary.unknown_maybe == 1
    assert summary.unknown_not_run == 1


def test_share_of_unknown_is_of_all_bookings(counts: ClassResult) -> None:
    """The share is what the load counted."""
    assert summarize(counts, []).unknown_share == pytest.approx(0.75)
