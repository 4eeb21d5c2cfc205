"""Tests of the counts of the experiment on planned stops."""

from __future__ import annotations

import pytest

from swiftpin.bench.experiments.stops_counts import (
    broken_by_error,
    count_cut_answers,
    count_cut_executions,
    count_refused,
    new_work,
    refused_by_result,
)
from swiftpin.bench.load.class_tally import ClassTally
from swiftpin.bench.load.latency_histogram import LatencyHistogram
from swiftpin.bench.load.load_result import LoadResult
from swiftpin.bench.load.merge import merge_results
from swiftpin.bench.load.worker_result import WorkerResult
from swiftpin.result import Executed
from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.execute_event import ExecuteEvent
from swiftpin.trace.execution_outcome import ExecutionOutcome
from swiftpin.trace.start_event import StartEvent


def started(target: str, at: float) -> StartEvent:
    """Return the start of an execution."""
    return StartEvent(
        target=target,
        boot_id="b",
        service="desk",
        key="k",
        slice=1,
        term=2,
        request_id="r",
        idempotency_key=None,
        method="GET",
        start=at,
    )


def ended(outcome: ExecutionOutcome) -> ExecuteEvent:
    """Return the end of an execution."""
    return ExecuteEvent(
        target="desk-1",
        boot_id="b",
        service="desk",
        key="k",
        slice=1,
        term=2,
        request_id="r",
        idempotency_key=None,
        method="GET",
        start=1.0,
        end=2.0,
        outcome=outcome,
        body_digest=None,
    )


def answered(
    *, whole: bool = True, executed: Executed = Executed.YES, at: float = 2.0
) -> AnswerEvent:
    """Return an answer as a caller got it."""
    return AnswerEvent(
        request_id="r",
        service="desk",
        key="k",
        idempotency_key=None,
        request_class="download",
        status=200,
        result=100,
        executed=executed,
        body_digest="d",
        whole=whole,
        sent=1.0,
        at=at,
    )


@pytest.fixture
def load() -> LoadResult:
    """Return a load in which some tries failed."""
    empty = LatencyHistogram().encode()
    tries = {"100": 50, "101": 2, "300": 3, "400": 1, "ServerDisconnectedError": 4}
    tally = ClassTally(scheduled=60, tries_by_result=tries, latency=empty)
    return merge_results(
        [
            WorkerResult(
                index=0,
                started=0.0,
                measured_seconds=1.0,
                cpu=0.1,
                send_lag=empty,
                tallies_by_class={"lookup": tally},
            )
        ]
    )


def test_broken_connections_are_counted_by_error(load: LoadResult) -> None:
    """Answers of any kind are not among them."""
    assert broken_by_error(load) == {"ServerDisconnectedError": 4}


def test_refusals_are_counted_by_result(load: LoadResult) -> None:
    """What a target answered, also earlier, is not refused."""
    assert refused_by_result(load) == {"300": 3, "400": 1}


def test_answers_in_part_are_cut_off() -> None:
    """A whole answer is none."""
    assert count_cut_answers([answered(whole=True), answered(whole=False)]) == 1


def test_refusals_are_counted_within_their_time() -> None:
    """What did not run and what nobody can tell both count."""
    events = [
        answered(at=3.0),
        answered(executed=Executed.NO, at=3.0),
        answered(executed=Executed.UNKNOWN, at=4.0),
        answered(executed=Executed.NO, at=9.0),
    ]
    assert count_refused(events, since=2.0, until=5.0) == 2


def test_executions_that_were_not_done_are_cut_off() -> None:
    """Only a done execution is none."""
    events = [ended(outcome) for outcome in ExecutionOutcome]
    assert count_cut_executions(events) == len(ExecutionOutcome) - 1


def test_new_work_counts_from_the_order_to_the_end() -> None:
    """Other targets, and the target's next boot, don't count."""
    events = [
        started("desk-1", 9.0),
        started("desk-1", 10.5),
        started("desk-1", 12.5),
        started("desk-1", 20.5),
        started("desk-2", 13.0),
    ]
    work = new_work(events, "desk-1", ordered_at=10.0, until=20.0)
    assert work.starts == 2
    assert work.last_after == pytest.approx(2.5)
    assert work.late == 1


def test_target_without_new_work_has_no_last_start() -> None:
    """A target may have been empty at once."""
    work = new_work([], "desk-1", ordered_at=10.0, until=20.0)
    assert work.last_after is None
    assert work.late == 0
