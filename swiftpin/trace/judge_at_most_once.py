"""Judgement: work that must not repeat runs at most once."""

from __future__ import annotations

from swiftpin.trace.executed_again import ExecutedAgain
from swiftpin.trace.judgement import Judgement
from swiftpin.trace.trace_index import TraceIndex
from swiftpin.trace.verdict import Verdict


def judge_at_most_once(
    index: TraceIndex, repeatable_services: frozenset[str]
) -> Verdict:
    """Look at the executions of each idempotency key.

    A start without an end may have run: its target died in the middle of it.
    """
    violations: list[ExecutedAgain] = []
    judged = 0
    for (service, _), executions in index.executions_by_idempotency_key.items():
        if service in repeatable_services:
            continue
        judged += 1
        ran = [execution for execution in executions if execution.may_have_run]
        ran.sort(key=lambda execution: execution.start.start)
        violations.extend(
            ExecutedAgain(first=ran[0], second=again) for again in ran[1:]
        )
    return Verdict(
        judgement=Judgement.AT_MOST_ONCE, judged=judged, violations=tuple(violations)
    )
