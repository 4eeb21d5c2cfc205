"""Checker of recorded traces against the promises."""

from __future__ import annotations

from collections.abc import Iterable

from swiftpin.trace.judge_assignments import judge_assignments
from swiftpin.trace.judge_at_most_once import judge_at_most_once
from swiftpin.trace.judge_not_run import judge_not_run
from swiftpin.trace.judge_owned_executions import judge_owned_executions
from swiftpin.trace.judge_single_owner import judge_single_owner
from swiftpin.trace.judge_whole_answers import judge_whole_answers
from swiftpin.trace.judgement import Judgement
from swiftpin.trace.owner_intervals import OwnerIntervals
from swiftpin.trace.trace_event import TraceEvent
from swiftpin.trace.trace_index import TraceIndex
from swiftpin.trace.verdict import Verdict


def check_trace(
    events: Iterable[TraceEvent], *, repeatable_services: frozenset[str] = frozenset()
) -> dict[Judgement, Verdict]:
    """Return the verdict of each judgement.

    The events are those of all processes of a run. Idempotency keys count as work
    that must not repeat, but for those of `repeatable_services`.
    """
    index = TraceIndex(events)
    owners = OwnerIntervals(index)
    verdicts = (
        judge_single_owner(index, owners),
        judge_at_most_once(index, repeatable_services),
        judge_not_run(index, repeatable_services),
        judge_whole_answers(index),
        judge_assignments(index),
        judge_owned_executions(index, owners),
    )
    return {verdict.judgement: verdict for verdict in verdicts}
