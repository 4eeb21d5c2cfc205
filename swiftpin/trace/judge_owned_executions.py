"""Judgement: targets execute only while they own the slice."""

from __future__ import annotations

from swiftpin.trace.execution import Execution
from swiftpin.trace.judgement import Judgement
from swiftpin.trace.not_owned_execution import NotOwnedExecution
from swiftpin.trace.owner_interval import OwnerInterval
from swiftpin.trace.owner_intervals import OwnerIntervals
from swiftpin.trace.trace_index import TraceIndex
from swiftpin.trace.verdict import Verdict


def judge_owned_executions(index: TraceIndex, owners: OwnerIntervals) -> Verdict:
    """Look at the executions on targets that check grants."""
    violations: list[NotOwnedExecution] = []
    judged = 0
    for execution in index.executions:
        start = execution.start
        if start.slice is None or start.unchecked:
            continue
        judged += 1
        intervals = owners.intervals_by_slice.get((start.service, start.slice), [])
        if not any(_covers(interval, execution) for interval in intervals):
            violations.append(NotOwnedExecution(execution=execution))
    return Verdict(
        judgement=Judgement.OWNED_EXECUTIONS,
        judged=judged,
        violations=tuple(violations),
    )


def _covers(interval: OwnerInterval, execution: Execution) -> bool:
    """Return whether the execution started within the interval."""
    start = execution.start
    if (interval.target, interval.boot_id) != (start.target, start.boot_id):
        return False
    return interval.start <= start.start <= interval.end
