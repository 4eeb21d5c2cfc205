"""Judgement: no slice and no key has two owners at one time."""

from __future__ import annotations

from collections.abc import Iterator

from swiftpin.trace.concurrent_executions import ConcurrentExecutions
from swiftpin.trace.execution import Execution
from swiftpin.trace.judgement import Judgement
from swiftpin.trace.owner_interval import OwnerInterval
from swiftpin.trace.owner_intervals import OwnerIntervals
from swiftpin.trace.trace_index import TraceIndex
from swiftpin.trace.two_owners import TwoOwners
from swiftpin.trace.verdict import Verdict


def judge_single_owner(index: TraceIndex, owners: OwnerIntervals) -> Verdict:
    """Look at recorded ownership, and at the executions on each key."""
    violations: list[TwoOwners | ConcurrentExecutions] = []
    for intervals in owners.intervals_by_slice.values():
        violations.extend(_two_owners(intervals))
    executions_by_key = _done_by_key(index)
    for executions in executions_by_key.values():
        violations.extend(_concurrent(executions))
    judged = len(executions_by_key) + sum(
        len(intervals) for intervals in owners.intervals_by_slice.values()
    )
    return Verdict(
        judgement=Judgement.SINGLE_OWNER, judged=judged, violations=tuple(violations)
    )


def _two_owners(intervals: list[OwnerInterval]) -> Iterator[TwoOwners]:
    """Yield overlaps of different targets in intervals sorted by start."""
    active: list[OwnerInterval] = []
    for interval in intervals:
        active = [other for other in active if other.end > interval.start]
        for other in active:
            if other.target != interval.target and other.overlaps(interval):
                yield TwoOwners(first=other, second=interval)
        active.append(interval)


def _done_by_key(index: TraceIndex) -> dict[tuple[str, str], list[Execution]]:
    """Return the executions that took effect on a key of a divided service."""
    executions_by_key: dict[tuple[str, str], list[Execution]] = {}
    for execution in index.executions:
        start = execution.start
        if start.slice is None or start.key is None or not execution.is_done:
            continue
        executions_by_key.setdefault((start.service, start.key), []).append(execution)
    return executions_by_key


def _concurrent(executions: list[Execution]) -> Iterator[ConcurrentExecutions]:
    """Yield overlaps of executions on different targets."""
    active: list[Execution] = []
    for execution in sorted(executions, key=lambda item: item.start.start):
        active = [item for item in active if _end(item) > execution.start.start]
        for other in active:
            if other.start.target != execution.start.target:
                yield ConcurrentExecutions(first=other, second=execution)
        active.append(execution)


def _end(execution: Execution) -> float:
    """Return the end of an execution that is done."""
    return execution.start.start if execution.end is None else execution.end.end
