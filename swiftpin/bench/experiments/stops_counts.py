"""Counts of what callers and targets saw during planned stops."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from swiftpin.bench.load.load_result import LoadResult
from swiftpin.result import Executed, executed_by_result
from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.execute_event import ExecuteEvent
from swiftpin.trace.execution_outcome import ExecutionOutcome
from swiftpin.trace.start_event import StartEvent
from swiftpin.trace.trace_event import TraceEvent

NEW_WORK_LIMIT: Final = 2.0
"""Seconds after which a leaving target must get no new work."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NewWork:
    """Requests that a target began after its stop was ordered, as in `TargetStop`."""

    starts: int
    last_after: float | None
    late: int


def broken_by_error(load: LoadResult) -> dict[str, int]:
    """Return the tries that ended without an answer, by the error's name."""
    return _tries(load, numbered=False)


def refused_by_result(load: LoadResult) -> dict[str, int]:
    """Return the tries that no target answered, by result code."""
    tries = _tries(load, numbered=True)
    return {
        result: count
        for result, count in tries.items()
        if executed_by_result(int(result)) is not Executed.YES
    }


def count_cut_answers(events: Iterable[TraceEvent]) -> int:
    """Return how many answers reached their callers in part."""
    return sum(isinstance(item, AnswerEvent) and not item.whole for item in events)


def count_cut_executions(events: Iterable[TraceEvent]) -> int:
    """Return how many executions ended before they were done."""
    return sum(
        isinstance(item, ExecuteEvent) and item.outcome is not ExecutionOutcome.DONE
        for item in events
    )


def count_refused(events: Iterable[TraceEvent], since: float, until: float) -> int:
    """Return how many answers between two times came from no target."""
    return sum(
        isinstance(item, AnswerEvent)
        and item.executed is not Executed.YES
        and since <= item.at < until
        for item in events
    )


def new_work(
    events: Sequence[TraceEvent], target: str, ordered_at: float, until: float
) -> NewWork:
    """Return what a target began between its order and its restart."""
    after = [
        item.start - ordered_at
        for item in events
        if isinstance(item, StartEvent)
        and item.target == target
        and ordered_at < item.start < until
    ]
    return NewWork(
        starts=len(after),
        last_after=max(after, default=None),
        late=sum(item > NEW_WORK_LIMIT for item in after),
    )


def _tries(load: LoadResult, *, numbered: bool) -> dict[str, int]:
    """Return tries with a result code, or those with an error's name instead."""
    tries: Counter[str] = Counter()
    for result in load.classes_by_name.values():
        tries.update(result.tries_by_result)
    return {name: count for name, count in tries.items() if name.isdigit() == numbered}
